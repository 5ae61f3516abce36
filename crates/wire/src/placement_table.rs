//! The groups of a placement, found once for each partition.
//!
//! [`Placement::groups`] ranks all stores at each call, so that its time grows with their number; callers that ask for
//! each message keep a table, and make a new one with each new placement.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock};

use crate::placement::{Group, PARTITIONS, Partition, Placement, StoreId};

/// A placement with the groups that were asked for so far. It gives what [`Placement`] gives.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    placement: Arc<Placement>,
    groups: Vec<OnceLock<Box<[Group]>>>,
}

impl PlacementTable {
    /// A table of which nothing is filled in yet.
    pub fn new(placement: Arc<Placement>) -> Self {
        PlacementTable { placement, groups: vec![OnceLock::new(); usize::from(PARTITIONS)] }
    }

    pub fn placement(&self) -> &Arc<Placement> {
        &self.placement
    }

    /// The group of a partition in each set, the target's last; none for a partition that is none.
    pub fn groups(&self, partition: Partition) -> &[Group] {
        let Some(place) = self.groups.get(usize::from(partition.0)) else { return &[] };
        place.get_or_init(|| self.placement.groups(partition).into_boxed_slice())
    }

    /// Every store that holds, or is to hold, the partition.
    pub fn stores(&self, partition: Partition) -> BTreeSet<StoreId> {
        self.groups(partition).iter().flat_map(|group| group.stores.iter().cloned()).collect()
    }

    /// Whether these stores' acknowledgements make a write durable.
    pub fn is_write_quorum(&self, partition: Partition, acknowledged: &BTreeSet<StoreId>) -> bool {
        let groups = self.groups(partition);
        !groups.is_empty() && groups.iter().all(|group| group.is_write_quorum(acknowledged))
    }

    /// Whether these stores' answers meet every durable write.
    pub fn is_read_quorum(&self, partition: Partition, answered: &BTreeSet<StoreId>) -> bool {
        let groups = self.groups(partition);
        !groups.is_empty() && groups.iter().all(|group| group.is_read_quorum(answered))
    }
}
