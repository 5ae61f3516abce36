//! The table of a placement gives what the placement gives.

use std::collections::BTreeSet;
use std::sync::Arc;

use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::placement_table::PlacementTable;
use quickcheck::quickcheck;

fn set(first: u16, stores: u16, zones: u16) -> Vec<StoreEntry> {
    let entry = |number: u16| StoreEntry {
        id: StoreId { name: NodeName::new(&format!("store-{number}")), disk: DiskId(u64::from(number)) },
        zone: Arc::from(format!("zone-{}", number % zones)),
    };
    (first..first + stores).map(entry).collect()
}

fn placement(sets: &[(u16, u16)], zones: u16, tolerated: u16) -> Arc<Placement> {
    let sets = sets.iter().map(|(first, stores)| set(*first, *stores, zones)).collect();
    Arc::new(Placement { epoch: PlacementEpoch(3), tolerated, sets, ..Placement::default() })
}

fn agree(placement: &Arc<Placement>, partition: Partition, chosen: &BTreeSet<StoreId>) -> bool {
    let table = PlacementTable::new(placement.clone());
    // The second look is at what the first one kept.
    (0..2).all(|_| {
        table.groups(partition) == placement.groups(partition)
            && table.stores(partition) == placement.stores(partition)
            && table.is_write_quorum(partition, chosen) == placement.is_write_quorum(partition, chosen)
            && table.is_read_quorum(partition, chosen) == placement.is_read_quorum(partition, chosen)
    })
}

quickcheck! {
    /// Guards against a table that finds other stores, or counts quorums in another way, than the placement.
    fn a_table_agrees_with_its_placement(
        sizes: (u8, u8), shift: u8, zones: u8, tolerated: u8, partition: u16, chosen: u32
    ) -> bool {
        let sets = [(0, u16::from(sizes.0 % 24)), (u16::from(shift % 24), u16::from(sizes.1 % 24))];
        let sets = if shift.is_multiple_of(3) { &sets[..1] } else { &sets[..] };
        let placement = placement(sets, u16::from(zones % 6) + 1, u16::from(tolerated % 3));
        let partition = Partition(partition % PARTITIONS);
        let stores = placement.stores(partition).into_iter().enumerate();
        let chosen = stores.filter(|(place, _)| chosen >> (place % 32) & 1 == 1).map(|(_, id)| id).collect();
        agree(&placement, partition, &chosen)
    }
}

/// Guards against a table that differs for some partition only.
#[test]
fn all_partitions_agree() {
    let placement = placement(&[(0, 17), (3, 20)], 5, 1);
    let table = PlacementTable::new(placement.clone());
    for partition in (0..PARTITIONS).map(Partition) {
        assert_eq!(table.groups(partition), placement.groups(partition), "{partition:?}");
    }
}

/// Guards against a durable write that nothing stands behind.
#[test]
fn nothing_is_written_where_there_is_no_set_or_no_partition() {
    let none = PlacementTable::new(Arc::default());
    assert!(!none.is_write_quorum(Partition(0), &BTreeSet::new()));
    let table = PlacementTable::new(placement(&[(0, 4)], 4, 1));
    let all = table.stores(Partition(0));
    assert!(table.groups(Partition(PARTITIONS)).is_empty());
    assert!(!table.is_write_quorum(Partition(PARTITIONS), &all));
}
