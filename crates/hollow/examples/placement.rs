//! Measures the choice of a partition's stores: `cargo run --release -p pewterseam-hollow --example placement`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::placement_table::PlacementTable;

const SIZES: [usize; 4] = [4, 17, 200, 2_000];
const ZONES: usize = 19;

fn placement(stores: usize) -> Arc<Placement> {
    let entry = |number: usize| StoreEntry {
        id: StoreId { name: NodeName::new(&format!("store-{number:05}")), disk: DiskId(number as u64) },
        zone: Arc::from(format!("zone-{}", number % ZONES)),
    };
    let set = (0..stores).map(entry).collect();
    Arc::new(Placement { epoch: PlacementEpoch(1), tolerated: 1, sets: vec![set], ..Placement::default() })
}

/// Microseconds for each partition.
fn each(work: impl Fn(Partition)) -> f64 {
    let start = Instant::now();
    (0..PARTITIONS).map(Partition).for_each(work);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(PARTITIONS)
}

fn main() {
    println!("| stores | placement, us | table, first look, us | table, later looks, us |");
    println!("| --- | --- | --- | --- |");
    for stores in SIZES {
        let placement = placement(stores);
        let table = PlacementTable::new(placement.clone());
        let sorted = each(|partition| drop(black_box(placement.groups(partition))));
        let first = each(|partition| _ = black_box(table.groups(partition)));
        let later = each(|partition| _ = black_box(table.groups(partition)));
        println!("| {stores} | {sorted:.2} | {first:.2} | {later:.4} |");
    }
}
