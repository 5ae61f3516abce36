//! Which stores hold which messages.
//!
//! A message belongs to a partition; each partition has a group of `2f + 1` stores, chosen by rendezvous hashing over
//! the stores of a set: in different zones as far as there are enough, or within the partition's home zone as far as
//! that has enough ([`CopySpread`]). A write counts once `f + 1` stores of the group have synced it, a read once all but
//! `f` of the group have answered, so that any read meets any write.

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
        Self::salted(text, 0)
    }

    /// One of several partitions of a text.
    fn salted(text: &str, salt: u64) -> Self {
        Partition((hash(text.as_bytes(), salt) % u64::from(PARTITIONS)) as u16)
    }
}

/// Partitions that a message without an ordering key may be given. With four zones, one message in ten thousand finds
/// none of its zone among them.
const MOST_CANDIDATES: u64 = 32;

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

/// How the copies of a message are spread over zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopySpread {
    /// In different zones as far as there are enough: no message waits for a zone that is lost.
    #[default]
    AcrossZones,
    /// In the home zone of the partition as far as it has stores: bodies stay in one zone, and messages wait for it.
    WithinZone,
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
    /// Agreed with the first set, and kept: groups would be others with another one.
    #[serde(default)]
    pub spread: CopySpread,
}

impl Placement {
    /// The group of a partition in each set, the target's last.
    pub fn groups(&self, partition: Partition) -> Vec<Group> {
        self.sets.iter().map(|set| Group::of(set, partition, self.tolerated, self.spread)).collect()
    }

    /// The partitions to try in turn for a message without an ordering key that is taken in a zone, best first: those
    /// whose home is that zone, where copies stay within zones, then the others. There is always one.
    pub fn candidates<'a>(&'a self, id: &'a str, zone: &'a str) -> impl Iterator<Item = Partition> + 'a {
        let zones = self.sets.last().map(|set| zones_of(set)).unwrap_or_default();
        let prefers_zone =
            self.spread == CopySpread::WithinZone && zones.iter().any(|known| known.as_ref() == zone);
        let is_at_home = move |partition: &Partition| {
            !prefers_zone || home_zone(&zones, *partition).is_some_and(|home| home.as_ref() == zone)
        };
        let partitions = (0..MOST_CANDIDATES).map(|salt| Partition::salted(id, salt));
        let at_home = partitions.clone().filter(is_at_home.clone());
        at_home.chain(partitions.filter(move |partition| !is_at_home(partition)))
    }

    /// Every store that holds, or is to hold, the partition.
    pub fn stores(&self, partition: Partition) -> BTreeSet<StoreId> {
        self.groups(partition).into_iter().flat_map(|group| group.stores).collect()
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

/// The zones of a set, each once.
fn zones_of(set: &[StoreEntry]) -> Vec<&Arc<str>> {
    let mut zones: Vec<&Arc<str>> = set.iter().map(|entry| &entry.zone).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// The home zone of a partition, by rendezvous hashing over zones: a zone that comes or goes changes that of few others.
fn home_zone<'a>(zones: &[&'a Arc<str>], partition: Partition) -> Option<&'a Arc<str>> {
    zones.iter().copied().max_by_key(|zone| hash(zone.as_bytes(), u64::from(partition.0)))
}

/// The stores of one partition in one set, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    pub stores: Vec<StoreId>,
    tolerated: usize,
}

impl Group {
    fn of(set: &[StoreEntry], partition: Partition, tolerated: u16, spread: CopySpread) -> Self {
        let size = (2 * usize::from(tolerated) + 1).min(set.len());
        let mut ranked: Vec<(u64, &StoreEntry)> = set
            .iter()
            .map(|entry| (hash(entry.id.name.0.as_bytes(), u64::from(partition.0)), entry))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let home = match spread {
            CopySpread::AcrossZones => None,
            CopySpread::WithinZone => home_zone(&zones_of(set), partition),
        };
        let (at_home, others): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(_, entry)| home.is_some_and(|home| entry.zone == *home));
        let mut seen = BTreeSet::new();
        let (first, rest): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|(_, entry)| seen.insert(entry.zone.clone()));
        let chosen = at_home.into_iter().chain(first).chain(rest).take(size);
        let stores = chosen.map(|(_, entry)| entry.id.clone()).collect();
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

    pub fn is_write_quorum(&self, acknowledged: &BTreeSet<StoreId>) -> bool {
        !self.stores.is_empty() && self.count(acknowledged) >= self.write_quorum()
    }

    pub fn is_read_quorum(&self, answered: &BTreeSet<StoreId>) -> bool {
        !self.stores.is_empty() && self.count(answered) >= self.read_quorum()
    }
}
