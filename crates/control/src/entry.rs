//! Entries: the commands that lead from one agreed state to the next.

use bytes::Bytes;
use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{Placement, StoreId, hash};
use serde::{Deserialize, Serialize};

use crate::core_membership::CoreMembership;

/// The name of a state: the epoch of the leader that proposed it, and how many entries led to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u64,
    pub index: u64,
}

/// A member of the core: a node with its disk. One whose disk was lost is another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CoreMember {
    pub name: NodeName,
    pub disk: DiskId,
}

/// What tells one operator's change from another: a hash of its kind, its `If-Match` and its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

const FIRST_SEED: u64 = 0x5eed;
const SECOND_SEED: u64 = 0x0dd5_0000_5eed;

impl RequestId {
    pub(crate) fn of(if_match: u64, change: &Change) -> Self {
        let (kind, bytes) = match change {
            Change::Whole(bytes) => (1, bytes),
            Change::Patch(bytes) => (2, bytes),
        };
        let seed = if_match.wrapping_mul(4) + kind;
        RequestId(hash(bytes, FIRST_SEED ^ seed), hash(bytes, SECOND_SEED ^ seed.rotate_left(17)))
    }
}

/// A change to the operator's configuration, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Whole(Bytes),
    Patch(Bytes),
}

impl Change {
    pub(crate) fn len(&self) -> usize {
        match self {
            Change::Whole(bytes) | Change::Patch(bytes) => bytes.len(),
        }
    }
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The first entry of a leader.
    Lead { leader: NodeName },
    /// A change of the configuration. `digest` is that of the whole text that it leads to.
    Configure { request: RequestId, version: u64, digest: u64, change: Change },
    /// The core's membership from now on.
    Core { core: CoreMembership },
    /// Stores in force, and those that are emptied.
    Stores { placement: Placement, retiring: Vec<StoreId>, retired: Vec<StoreId> },
}

/// A step from one state to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub previous: Stamp,
    pub stamp: Stamp,
    pub command: Command,
}

/// Bytes of an entry beside its change, for bounds on memory.
const ENTRY_BYTES: usize = 256;

impl Entry {
    pub(crate) fn size(&self) -> usize {
        match &self.command {
            Command::Configure { change, .. } => ENTRY_BYTES + change.len(),
            _ => ENTRY_BYTES,
        }
    }
}
