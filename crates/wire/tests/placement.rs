//! Quorums of any placement meet.

use std::collections::BTreeSet;
use std::sync::Arc;

use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use quickcheck::quickcheck;

fn entry(number: u8) -> StoreEntry {
    let id = StoreId { name: NodeName::new(&format!("store-{number}")), disk: DiskId(u64::from(number)) };
    StoreEntry { id, zone: Arc::from(format!("zone-{}", number % 4)) }
}

fn placement(stores: u8, tolerated: u16) -> Placement {
    Placement { epoch: PlacementEpoch(1), tolerated, sets: vec![(0..stores).map(entry).collect()] }
}

quickcheck! {
    fn a_read_meets_a_write(stores: u8, tolerated: u8, partition: u16, drop: u8) -> bool {
        let (stores, tolerated) = (stores % 20 + 1, u16::from(tolerated % 3));
        let placement = placement(stores, tolerated);
        let group = &placement.groups(Partition(partition % PARTITIONS))[0];
        let mut order = group.stores.clone();
        let turn = usize::from(drop) % order.len();
        order.rotate_left(turn);
        let written: BTreeSet<StoreId> = order.iter().take(group.write_quorum()).cloned().collect();
        let read: BTreeSet<StoreId> = order.iter().rev().take(group.read_quorum()).cloned().collect();
        group.is_written(&written) && group.is_read(&read) && written.intersection(&read).next().is_some()
    }

    fn a_group_spreads_over_zones(partition: u16) -> bool {
        let group = &placement(12, 1).groups(Partition(partition % PARTITIONS))[0];
        let zones: BTreeSet<u64> = group.stores.iter().map(|store| store.disk.0 % 4).collect();
        zones.len() == 3
    }
}
