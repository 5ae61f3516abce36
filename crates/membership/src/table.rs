//! The member table, and the order that decides which knowledge about a member wins.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeInfo, NodeName};
use pewterseam_wire::placement::hash;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::message::Rumor;

/// Number of buckets that the table is divided into for comparison by hash.
pub(crate) const BUCKETS: usize = 64;

/// Size of the hash of a bucket.
const HASH_BYTES: usize = 4;

/// Status of a member. With equal life and incarnation, the variant declared later wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    Alive,
    /// The member did not answer. It is treated as live until the suspicion ends.
    Suspect,
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl Status {
    pub(crate) fn is_live(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// A member and what is known about it.
pub(crate) struct Member {
    pub info: Arc<NodeInfo>,
    pub incarnation: u32,
    pub status: Status,
    /// When a suspect is declared dead, or a dead member is removed.
    pub deadline: Micros,
    /// The highest digest that the member sent in this life.
    pub digest: u64,
}

impl Member {
    fn rank(&self) -> (u64, u32, Status) {
        (self.info.life.0, self.incarnation, self.status)
    }

    pub(crate) fn rumor(&self) -> Rumor {
        Rumor { info: self.info.clone(), incarnation: self.incarnation, status: self.status }
    }

    /// A suspicion does not change the hash, because it resolves without a comparison.
    fn hash(&self) -> u32 {
        let rank = if self.status.is_live() { 0 } else { 1 };
        let seed = self.info.life.0 ^ (u64::from(self.incarnation) << 40) ^ rank;
        hash(self.info.name.0.as_bytes(), seed) as u32
    }
}

/// All members except this process itself.
#[derive(Default)]
pub(crate) struct Table {
    members: BTreeMap<NodeName, Member>,
    live: usize,
}

/// The result of merging a rumor into the table.
pub(crate) enum Merge {
    /// The rumor contains nothing new.
    Known,
    /// The rumor is newer. `before` is the previous state of the member, if it was known.
    Newer { before: Option<(Arc<NodeInfo>, Status)> },
}

impl Table {
    pub(crate) fn get(&self, name: &NodeName) -> Option<&Member> {
        self.members.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &NodeName) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    /// Number of members that are alive or suspected.
    pub(crate) fn live_count(&self) -> usize {
        self.live
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.status.is_live())
    }

    /// Merges a rumor if it is greater than the present knowledge. The death of an unknown member is not stored.
    pub(crate) fn merge(&mut self, rumor: &Rumor, deadline: Micros) -> Merge {
        let rank = (rumor.info.life.0, rumor.incarnation, rumor.status);
        match self.members.get_mut(&rumor.info.name) {
            Some(member) if rank <= member.rank() => Merge::Known,
            Some(member) => {
                let before = Some((member.info.clone(), member.status));
                if member.info.life != rumor.info.life {
                    member.digest = 0;
                }
                self.live += usize::from(rumor.status.is_live());
                self.live -= usize::from(member.status.is_live());
                member.info = rumor.info.clone();
                member.incarnation = rumor.incarnation;
                member.status = rumor.status;
                member.deadline = deadline;
                Merge::Newer { before }
            }
            None if !rumor.status.is_live() => Merge::Known,
            None => {
                let member = Member {
                    info: rumor.info.clone(),
                    incarnation: rumor.incarnation,
                    status: rumor.status,
                    deadline,
                    digest: 0,
                };
                self.live += 1;
                self.members.insert(rumor.info.name.clone(), member);
                Merge::Newer { before: None }
            }
        }
    }

    /// Removes the dead members whose deadline has passed.
    pub(crate) fn forget(&mut self, now: Micros) {
        self.members.retain(|_, member| member.status.is_live() || member.deadline > now);
    }

    pub(crate) fn bucket_of(name: &NodeName) -> usize {
        (hash(name.0.as_bytes(), 0) % BUCKETS as u64) as usize
    }

    /// The hash of each bucket, including the entry of this process. Dead members count as absent.
    pub(crate) fn bucket_hashes(&self, own: &Member) -> ByteBuf {
        let mut hashes = [0_u32; BUCKETS];
        for member in self.live().chain(std::iter::once(own)) {
            hashes[Table::bucket_of(&member.info.name)] ^= member.hash();
        }
        ByteBuf::from(hashes.iter().flat_map(|hash| hash.to_be_bytes()).collect::<Vec<u8>>())
    }

    /// The buckets in which two tables differ, or none if the hashes have another length.
    pub(crate) fn differing(ours: &[u8], theirs: &[u8]) -> Vec<usize> {
        if ours.len() != theirs.len() {
            return Vec::new();
        }
        let pairs = ours.chunks(HASH_BYTES).zip(theirs.chunks(HASH_BYTES)).enumerate();
        pairs.filter(|(_, (ours, theirs))| ours != theirs).map(|(bucket, _)| bucket).collect()
    }
}
