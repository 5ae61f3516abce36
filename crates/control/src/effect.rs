//! The effects that the state machine requests from its driver, and its errors.

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

/// An effect that the driver carries out, in the order given.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to a node. It may be lost; messages on one connection keep their order.
    Send { to: NodeName, message: ControlMessage },
    /// Append records to the log and sync it, then call `Control::persisted` with the sequence.
    Persist { records: Vec<Bytes>, sequence: u64 },
    /// Durably replace the log, including all records given out so far, by this snapshot; then call
    /// `Control::persisted` with the sequence.
    Snapshot { snapshot: Bytes, sequence: u64 },
    /// A newer committed state came into force at this process.
    InForce(Arc<ControlState>),
    /// The contact with a majority of the core changed.
    Contact(Contact),
    /// The answer to an operator's call.
    Answer { token: Token, outcome: Outcome },
    /// Call `Control::tick` at this time. Replaces the earlier wake-up time.
    Wake(Micros),
}

/// Why a state, a change or a record could not be used.
#[derive(Debug)]
pub enum ControlError {
    /// An entry does not follow the state that this process has.
    OutOfOrder { have: Stamp, wanted: Stamp },
    /// A change resulted in a different configuration text than at the leader.
    WrongDigest { index: u64 },
    /// A configuration cannot be read, or a change cannot be applied to it.
    Config(Vec<ConfigError>),
    /// A record of the control log cannot be read.
    Record(FrameError),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::OutOfOrder { have, wanted } => {
                write!(
                    f,
                    "an entry with the previous state {wanted:?} does not follow the current state {have:?}"
                )
            }
            ControlError::WrongDigest { index } => {
                write!(f, "entry {index} resulted in a configuration text with a different digest")
            }
            ControlError::Config(errors) => {
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                write!(f, "a configuration cannot be used: {}", errors.join("; "))
            }
            ControlError::Record(error) => write!(f, "a record of the control log cannot be read: {error}"),
        }
    }
}

impl std::error::Error for ControlError {}
