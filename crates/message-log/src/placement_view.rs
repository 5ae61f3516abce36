//! A store's view of the current placement.

use std::collections::HashSet;
use std::sync::Arc;

use pewterseam_wire::placement::{
    PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId, hash,
};

/// The role of a store as a replica of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaState {
    /// The store is in no group of the partition.
    NotInGroup,
    /// The store is in a group, but has not yet copied what was written before it joined.
    Incomplete,
    /// The store holds everything, and its answers count towards a quorum.
    Complete,
}

/// How a request's epoch compares to the store's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochOrder {
    Older,
    Same,
    Newer,
}

/// The placement as this store sees it.
#[derive(Debug)]
pub(crate) struct PlacementView {
    store: StoreId,
    placement: Arc<Placement>,
    set_hashes: Vec<u64>,
    /// The sets for which everything was copied, and the epoch of the placement for which that holds.
    copied: Vec<(u64, PlacementEpoch)>,
    /// A cache by partition, filled on demand.
    replica_states: Vec<Option<ReplicaState>>,
}

impl PlacementView {
    pub fn new(store: StoreId) -> Self {
        PlacementView {
            store,
            placement: Arc::default(),
            set_hashes: Vec::new(),
            copied: Vec::new(),
            replica_states: vec![None; usize::from(PARTITIONS)],
        }
    }

    pub fn placement(&self) -> &Arc<Placement> {
        &self.placement
    }

    pub fn epoch(&self) -> PlacementEpoch {
        self.placement.epoch
    }

    pub fn order(&self, epoch: PlacementEpoch) -> EpochOrder {
        match epoch.cmp(&self.placement.epoch) {
            std::cmp::Ordering::Less => EpochOrder::Older,
            std::cmp::Ordering::Equal => EpochOrder::Same,
            std::cmp::Ordering::Greater => EpochOrder::Newer,
        }
    }

    /// Sets a newer placement. Returns false if the placement is not newer.
    pub fn set(&mut self, placement: Arc<Placement>) -> bool {
        if placement.sets.is_empty() || placement.epoch <= self.placement.epoch && !self.set_hashes.is_empty()
        {
            return false;
        }
        // If the next epoch keeps a set, the set has received all writes without a gap. After a skipped epoch this is not
        // certain.
        let (before, after) = (self.placement.epoch, placement.epoch);
        let is_next = after.0 == before.0 + 1;
        for (_, epoch) in self.copied.iter_mut().filter(|(_, epoch)| is_next && *epoch == before) {
            *epoch = after;
        }
        self.set_hashes = placement.sets.iter().map(|set| set_hash(set)).collect();
        self.placement = placement;
        self.copied.retain(|(set, epoch)| *epoch == after && self.set_hashes.contains(set));
        self.replica_states.fill(None);
        true
    }

    /// Marks a set as copied: this store has everything that the set's members must hold.
    pub fn note_copied(&mut self, set: u64, epoch: PlacementEpoch) {
        if !self.copied.contains(&(set, epoch)) {
            self.copied.push((set, epoch));
        }
        self.replica_states.fill(None);
    }

    /// The sets of the current placement, except for the first, that were copied under it.
    pub fn copied_sets(&self) -> Vec<u64> {
        let later = self.set_hashes.iter().skip(1).copied();
        later.filter(|set| self.copied.contains(&(*set, self.placement.epoch))).collect()
    }

    /// The hash of the set that messages are being moved to.
    pub fn target_hash(&self) -> Option<u64> {
        self.set_hashes.last().copied()
    }

    /// Whether messages are being moved to a set that contains this store.
    pub fn is_joining(&self) -> bool {
        let target = self.placement.sets.last();
        self.placement.sets.len() > 1
            && target.is_some_and(|set| set.iter().any(|entry| entry.id == self.store))
    }

    pub fn replica_state(&mut self, partition: Partition) -> ReplicaState {
        let index = usize::from(partition.0);
        match self.replica_states.get(index).copied() {
            Some(Some(replica_state)) => replica_state,
            Some(None) => {
                let replica_state = self.compute_replica_state(partition);
                self.replica_states[index] = Some(replica_state);
                replica_state
            }
            None => ReplicaState::NotInGroup,
        }
    }

    /// The first set is complete: it contains every durable write since it took effect, and it stays the first set until
    /// another set is complete. Later sets are complete once they were copied.
    fn compute_replica_state(&self, partition: Partition) -> ReplicaState {
        let mut replica_state = ReplicaState::NotInGroup;
        for (index, group) in self.placement.groups(partition).iter().enumerate() {
            if !group.stores.contains(&self.store) {
                continue;
            }
            if index == 0 || self.copied.contains(&(self.set_hashes[index], self.placement.epoch)) {
                return ReplicaState::Complete;
            }
            replica_state = ReplicaState::Incomplete;
        }
        replica_state
    }

    /// The partitions that this store still has to copy.
    pub fn incomplete_partitions(&mut self) -> Vec<Partition> {
        if self.placement.sets.len() < 2 {
            return Vec::new();
        }
        let all = (0..PARTITIONS).map(Partition);
        all.filter(|partition| self.replica_state(*partition) == ReplicaState::Incomplete).collect()
    }

    /// The number of live stores that precede this one in the target group. If no store is known to be alive, all stores
    /// are assumed to be.
    pub fn rank(&self, partition: Partition, live: &HashSet<StoreId>) -> usize {
        let Some(group) = self.placement.groups(partition).pop() else { return 0 };
        let before = group.stores.iter().take_while(|store| **store != self.store);
        before.filter(|store| live.is_empty() || live.contains(store)).count()
    }

    /// The stores of the group that holds the messages of a partition, or that they are being moved to.
    pub fn target_stores(&self, partition: Partition) -> Vec<StoreId> {
        self.placement.groups(partition).pop().map(|group| group.stores).unwrap_or_default()
    }

    /// The stores that join a partition's group, if this store is in the group that they copy from.
    pub fn joining_stores(&self, partition: Partition) -> Vec<StoreId> {
        if self.placement.sets.len() < 2 {
            return Vec::new();
        }
        let groups = self.placement.groups(partition);
        let (Some(first), Some(target)) = (groups.first(), groups.last()) else { return Vec::new() };
        if !first.stores.contains(&self.store) {
            return Vec::new();
        }
        target.stores.iter().filter(|store| !first.stores.contains(store)).cloned().collect()
    }
}

/// A hash of a set of stores that does not depend on their order.
fn set_hash(set: &[StoreEntry]) -> u64 {
    set.iter().fold(0, |sum, entry| sum ^ hash(entry.id.name.0.as_bytes(), entry.id.disk.0))
}
