//! Log entries: the commands that lead from one agreed state to the next.

use bytes::Bytes;
use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{Placement, StoreId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::core_membership::CoreMembership;

/// Identifies a state: the epoch of the leader that proposed it, and the number of entries that led to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u64,
    pub index: u64,
}

/// A member of the core: a node together with its disk. A node whose disk was replaced is a different member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CoreMember {
    pub name: NodeName,
    pub disk: DiskId,
}

/// Identifies an operator's change for deduplication: the SHA-256 digest of its kind, its `If-Match` version and its
/// bytes. A change that is sent again unchanged has the same identifier; the same bytes on top of another version are
/// a different change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub [u64; 4]);

const WHOLE: u8 = 1;
const PATCH: u8 = 2;

impl RequestId {
    pub(crate) fn of(if_match: u64, change: &Change) -> Self {
        let (kind, bytes) = match change {
            Change::Whole(bytes) => (WHOLE, bytes),
            Change::Patch(bytes) => (PATCH, bytes),
        };
        let digest =
            Sha256::new().chain_update([kind]).chain_update(if_match.to_be_bytes()).chain_update(bytes);
        let mut words = [0; 4];
        for (word, bytes) in words.iter_mut().zip(digest.finalize().chunks_exact(8)) {
            *word = bytes.iter().fold(0, |word, byte| word << 8 | u64::from(*byte));
        }
        RequestId(words)
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
    /// The first entry of a leader's epoch.
    Lead { leader: NodeName },
    /// A change of the configuration. `digest` is the digest of the complete configuration text that results from it.
    Configure { request: RequestId, version: u64, digest: u64, change: Change },
    /// Replaces the core membership.
    Core { core: CoreMembership },
    /// Replaces the placement, and the lists of stores that are being emptied (`retiring`) or have been (`retired`).
    Stores { placement: Placement, retiring: Vec<StoreId>, retired: Vec<StoreId> },
    /// Changes the list of relays that may grant permits of limited services.
    Homes { joining: Vec<NodeName>, leaving: Vec<NodeName> },
}

/// A step from the previous state to the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub previous: Stamp,
    pub stamp: Stamp,
    pub command: Command,
}

/// Estimated bytes of an entry without its change, for memory limits.
const ENTRY_BYTES: usize = 256;

impl Entry {
    pub(crate) fn size(&self) -> usize {
        match &self.command {
            Command::Configure { change, .. } => ENTRY_BYTES + change.len(),
            Command::Homes { joining, leaving } => {
                let names = joining.iter().chain(leaving);
                ENTRY_BYTES + names.map(|name| name.0.len()).sum::<usize>()
            }
            _ => ENTRY_BYTES,
        }
    }
}
