//! Which stores hold which messages.
//!
//! A message belongs to a partition; each partition has a group of `2f + 1` stores, chosen by rendezvous hashing over
//! the stores of a set, in different zones as far as there are enough. A write counts once `f + 1` stores of the group
//! have synced it, a read once all but `f` of the group have answered, so that any read meets any write.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{DiskId, NodeName};

/// Partitions of all messages.
pub const PARTITIONS: u16 = 4096;

/// A partition, below [`PARTITIONS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Partition(pub u16);

impl Partition {
    /// The partition of an ordering key, or of a request id where there is no key.
    pub fn of(text: &str) -> Self {
        Partition((hash(text.as_bytes(), 0) % u64::from(PARTITIONS)) as u16)
    }
}

/// FNV-1a with a final mix: stable over versions, as placements rest on it.
pub fn hash(bytes: &[u8], seed: u64) -> u64 {
    let mut value = 0xcbf2_9ce4_8422_2325 ^ seed;
    for byte in bytes {
        value ^= u64::from(*byte);
        value = value.wrapping_mul(0x0000_0100_0000_01b3);
    }
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^ (value >> 33)
}

/// A store in a set: a name with its disk, since one whose disk was lost holds nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId {
    pub name: NodeName,
    pub disk: DiskId,
}

/// A store in a set, with what placement needs of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    pub id: StoreId,
    pub zone: Arc<str>,
}

/// A number that rises with each change of the sets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlacementEpoch(pub u64);

/// The stores in force. While messages move, `sets` holds the older sets first and the target last; a write or a read
/// then needs its quorum in each of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    pub epoch: PlacementEpoch,
    /// `f`: stores that may be lost at one time.
    pub tolerated: u16,
    pub sets: Vec<Vec<StoreEntry>>,
}

impl Placement {
    /// The group of a partition in each set, the target's last.
    pub fn groups(&self, partition: Partition) -> Vec<Group> {
        self.sets.iter().map(|set| Group::of(set, partition, self.tolerated)).collect()
    }

    /// Every store that holds, or is to hold, the partition.
    pub fn stores(&self, partition: Partition) -> BTreeSet<StoreId> {
        self.groups(partition).into_iter().flat_map(|group| group.stores).collect()
    }

    /// Whether these stores' acknowledgements make a write durable.
    pub fn is_written(&self, partition: Partition, acknowledged: &BTreeSet<StoreId>) -> bool {
        let groups = self.groups(partition);
        !groups.is_empty() && groups.iter().all(|group| group.is_written(acknowledged))
    }

    /// Whether these stores' answers meet every durable write.
    pub fn is_read(&self, partition: Partition, answered: &BTreeSet<StoreId>) -> bool {
        let groups = self.groups(partition);
        !groups.is_empty() && groups.iter().all(|group| group.is_read(answered))
    }
}

/// The stores of one partition in one set, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    pub stores: Vec<StoreId>,
    tolerated: usize,
}

impl Group {
    fn of(set: &[StoreEntry], partition: Partition, tolerated: u16) -> Self {
        let size = (2 * usize::from(tolerated) + 1).min(set.len());
        let mut ranked: Vec<(u64, &StoreEntry)> = set
            .iter()
            .map(|entry| (hash(entry.id.name.0.as_bytes(), u64::from(partition.0)), entry))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let mut zones = BTreeSet::new();
        let (first, rest): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(_, entry)| zones.insert(entry.zone.clone()));
        let stores = first.into_iter().chain(rest).take(size).map(|(_, entry)| entry.id.clone()).collect();
        Group { stores, tolerated: usize::from(tolerated) }
    }

    /// Acknowledgements that make a write durable.
    pub fn write_quorum(&self) -> usize {
        (self.tolerated + 1).min(self.stores.len())
    }

    /// Answers that meet every durable write.
    pub fn read_quorum(&self) -> usize {
        self.stores.len() + 1 - self.write_quorum()
    }

    fn count(&self, stores: &BTreeSet<StoreId>) -> usize {
        self.stores.iter().filter(|store| stores.contains(store)).count()
    }

    pub fn is_written(&self, acknowledged: &BTreeSet<StoreId>) -> bool {
        !self.stores.is_empty() && self.count(acknowledged) >= self.write_quorum()
    }

    pub fn is_read(&self, answered: &BTreeSet<StoreId>) -> bool {
        !self.stores.is_empty() && self.count(answered) >= self.read_quorum()
    }
}
