//! What relays tell each other about the list.

use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

use crate::interface::ListedInstance;
use crate::list::Difference;

/// A read of the list that a relay made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReadId {
    pub(crate) reader: NodeName,
    pub(crate) life: u64,
    pub(crate) sequence: u64,
}

/// What relays tell each other about the list. Any of them may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ListMessage {
    /// A read found the list with this digest. Passed on by each relay to its part of the others.
    News {
        read: ReadId,
        /// Time since the read, as far as the relays on the way know.
        age: Micros,
        digest: u64,
        /// What changed since the list with the digest before it; none where nothing did.
        change: Option<(u64, Difference)>,
    },
    /// Is there a later list than this one? Only a relay that has one answers.
    Ask { asked_at: Micros, age: Option<Micros>, digest: Option<u64> },
    /// To that: the list is still the same.
    Same { asked_at: Micros, age: Micros, digest: u64 },
    /// To that: the whole list.
    Whole { asked_at: Micros, age: Micros, instances: Vec<Arc<ListedInstance>> },
}
