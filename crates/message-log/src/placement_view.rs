//! A store's place in the placement in force.

use std::collections::HashSet;
use std::sync::Arc;

use pewterseam_wire::placement::{
    PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId, hash,
};

/// How a store stands to a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// In none of its groups.
    Outside,
    /// In a group, but it has yet to copy what was written before.
    Incomplete,
    /// Its answers count.
    Complete,
}

/// How a request's epoch stands to the store's.
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
    /// Sets for which everything was copied, and the placement under which that holds.
    copied: Vec<(u64, PlacementEpoch)>,
    /// Filled as partitions are asked for.
    standings: Vec<Option<Standing>>,
}

impl PlacementView {
    pub fn new(store: StoreId) -> Self {
        PlacementView {
            store,
            placement: Arc::default(),
            set_hashes: Vec::new(),
            copied: Vec::new(),
            standings: vec![None; usize::from(PARTITIONS)],
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

    /// Takes a newer placement. False where it is none.
    pub fn set(&mut self, placement: Arc<Placement>) -> bool {
        if placement.sets.is_empty() || placement.epoch <= self.placement.epoch && !self.set_hashes.is_empty()
        {
            return false;
        }
        // A set that the very next placement keeps was written to without a break. Of a later one nobody knows.
        let (before, after) = (self.placement.epoch, placement.epoch);
        let is_next = after.0 == before.0 + 1;
        for (_, epoch) in self.copied.iter_mut().filter(|(_, epoch)| is_next && *epoch == before) {
            *epoch = after;
        }
        self.set_hashes = placement.sets.iter().map(|set| set_hash(set)).collect();
        self.placement = placement;
        self.copied.retain(|(set, epoch)| *epoch == after && self.set_hashes.contains(set));
        self.standings.fill(None);
        true
    }

    /// Notes that everything was copied that members of a set must know.
    pub fn note_copied(&mut self, set: u64, epoch: PlacementEpoch) {
        if !self.copied.contains(&(set, epoch)) {
            self.copied.push((set, epoch));
        }
        self.standings.fill(None);
    }

    /// The sets of the placement in force, but for the first, that were copied under it.
    pub fn copied_sets(&self) -> Vec<u64> {
        let later = self.set_hashes.iter().skip(1).copied();
        later.filter(|set| self.copied.contains(&(*set, self.placement.epoch))).collect()
    }

    /// The hash of the set that messages are moving to.
    pub fn target_hash(&self) -> Option<u64> {
        self.set_hashes.last().copied()
    }

    /// Whether messages are moving to a set that this store is in.
    pub fn is_joining(&self) -> bool {
        let target = self.placement.sets.last();
        self.placement.sets.len() > 1
            && target.is_some_and(|set| set.iter().any(|entry| entry.id == self.store))
    }

    pub fn standing(&mut self, partition: Partition) -> Standing {
        let index = usize::from(partition.0);
        match self.standings.get(index).copied() {
            Some(Some(standing)) => standing,
            Some(None) => {
                let standing = self.find_standing(partition);
                self.standings[index] = Some(standing);
                standing
            }
            None => Standing::Outside,
        }
    }

    /// The first set is complete: every durable write since it came into force is in it, and it stays first until
    /// another one is. Later ones are once they were copied.
    fn find_standing(&self, partition: Partition) -> Standing {
        let mut standing = Standing::Outside;
        for (index, group) in self.placement.groups(partition).iter().enumerate() {
            if !group.stores.contains(&self.store) {
                continue;
            }
            if index == 0 || self.copied.contains(&(self.set_hashes[index], self.placement.epoch)) {
                return Standing::Complete;
            }
            standing = Standing::Incomplete;
        }
        standing
    }

    /// The partitions that this store has yet to copy.
    pub fn incomplete_partitions(&mut self) -> Vec<Partition> {
        if self.placement.sets.len() < 2 {
            return Vec::new();
        }
        let all = (0..PARTITIONS).map(Partition);
        all.filter(|partition| self.standing(*partition) == Standing::Incomplete).collect()
    }

    /// How many live stores of the target's group come before this one. Where no store is known to live, all are
    /// taken to.
    pub fn rank(&self, partition: Partition, live: &HashSet<StoreId>) -> usize {
        let Some(group) = self.placement.groups(partition).pop() else { return 0 };
        let before = group.stores.iter().take_while(|store| **store != self.store);
        before.filter(|store| live.is_empty() || live.contains(store)).count()
    }

    /// The stores of the group that messages of a partition are moving to, or are at.
    pub fn target_stores(&self, partition: Partition) -> Vec<StoreId> {
        self.placement.groups(partition).pop().map(|group| group.stores).unwrap_or_default()
    }

    /// The stores that are new to a partition, where this one is in the group that they copy from.
    pub fn newcomers(&self, partition: Partition) -> Vec<StoreId> {
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

/// A number for a set of stores, the same in whatever order it lists them.
fn set_hash(set: &[StoreEntry]) -> u64 {
    set.iter().fold(0, |sum, entry| sum ^ hash(entry.id.name.0.as_bytes(), entry.id.disk.0))
}
