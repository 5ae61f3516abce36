//! What the machine wants done, and what can go wrong in it.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_config::ConfigError;
use pewterseam_wire::Micros;
use pewterseam_wire::control::ControlState;
use pewterseam_wire::frame::FrameError;
use pewterseam_wire::identity::NodeName;

use crate::contact::Contact;
use crate::entry::Stamp;
use crate::message::ControlMessage;
use crate::operator::{Outcome, Token};

/// What a driver does for the machine, in this order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to a node. It may be lost; on one connection messages keep their order.
    Send { to: NodeName, message: ControlMessage },
    /// Append records to the log and sync it, then call `Control::persisted` with the sequence.
    Persist { records: Vec<Bytes>, sequence: u64 },
    /// Replace the log, up to all records given out so far, by this snapshot, durably; then call `Control::persisted`.
    Snapshot { snapshot: Bytes, sequence: u64 },
    /// The newest committed state that this process knows.
    InForce(Arc<ControlState>),
    /// Contact with a majority of the core was found, or lapsed.
    Contact(Contact),
    /// The answer to an operator's call.
    Answer { token: Token, outcome: Outcome },
    /// Call `Control::tick` at this time, and no longer at the one asked for before.
    Wake(Micros),
}

/// Why something could not be taken in.
#[derive(Debug)]
pub enum ControlError {
    /// An entry does not follow the state that is held.
    OutOfOrder { have: Stamp, wanted: Stamp },
    /// A change led to another text here than at the leader.
    WrongDigest { index: u64 },
    /// A configuration cannot be read, or a change not be applied.
    Config(Vec<ConfigError>),
    /// A record on the disk cannot be read.
    Record(FrameError),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::OutOfOrder { have, wanted } => {
                write!(f, "an entry on top of {wanted:?} does not follow the state {have:?}")
            }
            ControlError::WrongDigest { index } => {
                write!(f, "entry {index} led to a text with another digest")
            }
            ControlError::Config(errors) => {
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                write!(f, "a configuration cannot be used: {}", errors.join("; "))
            }
            ControlError::Record(error) => write!(f, "a record of control cannot be read: {error}"),
        }
    }
}

impl std::error::Error for ControlError {}
