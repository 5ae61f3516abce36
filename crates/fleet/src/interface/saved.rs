//! What a fleet's machine keeps beyond its process.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::decision::{Decision, InForce};
use super::member::MemberId;

/// A voter: a member's place, and how often the place was given a seat anew. A voter whose folder was lost
/// or is an old one comes back under the next life, as if it had never been there, so that its earlier
/// votes bind nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    pub place: MemberId,
    /// From 1.
    pub life: u32,
}

/// An entry of the replicated log, in our own terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    /// `data` says how the voters change; otherwise what is proposed. Both in postcard's format.
    pub voters: bool,
    pub data: Vec<u8>,
}

/// A change of what is saved. They are replayed in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The process started for the so-many-th time.
    Started { incarnation: u32 },
    /// What a learner learnt.
    Learnt(Decision),
    /// Nothing before is missing in `InForce` any more; replaces all that was learnt.
    LearntAll(InForce),
    /// What a voter promised: entries, term, vote.
    Voter(Batch),
    /// All of a voter's state, in place of all batches before it.
    VoterWhole(Batch),
    /// The seat of this life was given up or found lost.
    NoVoter { life: u32 },
    /// The newest life and mark of other voters that this member saw.
    Marks(BTreeMap<MemberId, (u32, u64)>),
}

/// All that was decided up to an index of the log, and who the voters were.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<VoterId>,
    /// They get the log and have no vote yet.
    pub learners: Vec<VoterId>,
    /// The decisions in force and the seats' lives, in postcard's format.
    pub data: Vec<u8>,
}

/// What must be on disk before a voter says anything that rests on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    pub voter: VoterId,
    /// Grows with each batch of a voter. Others remember it: a folder that holds a lower one is an old one.
    pub mark: u64,
    pub term: u64,
    pub vote: Option<VoterId>,
    pub commit: u64,
    /// In place of all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// In place of all entries from the first one's index.
    pub entries: Vec<Entry>,
}

/// All records of a folder in their order, as the driver read them; empty for a new or lost folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    pub records: Vec<Record>,
}
