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
    /// The whole list is wanted, if it has this digest.
    Wanted { digest: u64 },
    /// The whole list; time since it was read.
    Whole { age: Micros, instances: Vec<Arc<ListedInstance>> },
}
