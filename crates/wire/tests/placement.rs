//! Quorums of any placement meet.

use std::collections::BTreeSet;
use std::sync::Arc;

use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{
    CopySpread, PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId,
};
use quickcheck::quickcheck;

fn entry(number: u8) -> StoreEntry {
    let id = StoreId { name: NodeName::new(&format!("store-{number}")), disk: DiskId(u64::from(number)) };
    StoreEntry { id, zone: Arc::from(format!("zone-{}", number % 4)) }
}

fn placement(stores: u8, tolerated: u16) -> Placement {
    spread_placement(stores, tolerated, CopySpread::AcrossZones)
}

fn spread_placement(stores: u8, tolerated: u16, spread: CopySpread) -> Placement {
    Placement { epoch: PlacementEpoch(1), tolerated, sets: vec![(0..stores).map(entry).collect()], spread }
}

/// How many stores of a group are in each of the four zones.
fn stores_by_zone(placement: &Placement, partition: Partition) -> [usize; 4] {
    let mut counts = [0; 4];
    for store in &placement.groups(partition)[0].stores {
        counts[store.disk.0 as usize % 4] += 1;
    }
    counts
}

/// The zone that holds the first store of a group.
fn first_zone(placement: &Placement, partition: Partition) -> String {
    format!("zone-{}", placement.groups(partition)[0].stores[0].disk.0 % 4)
}

quickcheck! {
    fn a_read_meets_a_write(stores: u8, tolerated: u8, partition: u16, drop: u8, within: bool) -> bool {
        let (stores, tolerated) = (stores % 20 + 1, u16::from(tolerated % 3));
        let spread = if within { CopySpread::WithinZone } else { CopySpread::AcrossZones };
        let placement = spread_placement(stores, tolerated, spread);
        let group = &placement.groups(Partition(partition % PARTITIONS))[0];
        let mut order = group.stores.clone();
        let turn = usize::from(drop) % order.len();
        order.rotate_left(turn);
        let written: BTreeSet<StoreId> = order.iter().take(group.write_quorum()).cloned().collect();
        let read: BTreeSet<StoreId> = order.iter().rev().take(group.read_quorum()).cloned().collect();
        group.is_write_quorum(&written) && group.is_read_quorum(&read) && written.intersection(&read).next().is_some()
    }

    fn a_group_spreads_over_zones(partition: u16) -> bool {
        let group = &placement(12, 1).groups(Partition(partition % PARTITIONS))[0];
        let zones: BTreeSet<u64> = group.stores.iter().map(|store| store.disk.0 % 4).collect();
        zones.len() == 3
    }

    /// Four stores in each zone and groups of five: one zone has all it can, and one store is elsewhere.
    fn a_group_stays_within_a_zone(partition: u16) -> bool {
        let placement = spread_placement(16, 2, CopySpread::WithinZone);
        let mut counts = stores_by_zone(&placement, Partition(partition % PARTITIONS));
        counts.sort_unstable();
        counts == [0, 0, 1, 4]
    }

    /// Where a zone has fewer stores than a group needs, the others are in different zones.
    fn a_group_of_a_small_zone_goes_on_to_others(partition: u16) -> bool {
        let placement = spread_placement(4, 1, CopySpread::WithinZone);
        let mut counts = stores_by_zone(&placement, Partition(partition % PARTITIONS));
        counts.sort_unstable();
        counts == [0, 1, 1, 1]
    }

    fn a_message_is_kept_where_it_is_taken(id: u64, zone: u8) -> bool {
        let placement = spread_placement(16, 2, CopySpread::WithinZone);
        let zone = format!("zone-{}", zone % 4);
        let chosen = placement.candidates(&id.to_string(), &zone).next();
        chosen.is_some_and(|partition| first_zone(&placement, partition) == zone)
    }

    /// In a zone without stores, and where copies go across zones, a message has the partition of its id.
    fn without_a_home_zone_the_id_decides(id: u64, within: bool) -> bool {
        let spread = if within { CopySpread::WithinZone } else { CopySpread::AcrossZones };
        let zone = if within { "elsewhere" } else { "zone-1" };
        let placement = spread_placement(16, 2, spread);
        let id = id.to_string();
        let chosen = placement.candidates(&id, zone).next();
        chosen == Some(Partition::of(&id))
    }
}

/// Guards against zones that are the home of few partitions or of none.
#[test]
fn zones_share_the_partitions() {
    let placement = spread_placement(16, 2, CopySpread::WithinZone);
    let mut counts = [0_u16; 4];
    for partition in 0..PARTITIONS {
        let by_zone = stores_by_zone(&placement, Partition(partition));
        let home = by_zone.iter().position(|count| *count == 4).expect("a home zone");
        counts[home] += 1;
    }
    assert!(counts.iter().all(|count| *count > PARTITIONS / 5), "{counts:?}");
}

/// Guards against stores of other zones taking over the groups of a zone that keeps its own.
#[test]
fn a_new_store_changes_groups_of_its_zone_alone() {
    let before = spread_placement(15, 1, CopySpread::WithinZone);
    let after = spread_placement(16, 1, CopySpread::WithinZone);
    for partition in (0..PARTITIONS).map(Partition) {
        if first_zone(&before, partition) != "zone-3" {
            assert_eq!(before.groups(partition), after.groups(partition), "{partition:?}");
        }
    }
}
