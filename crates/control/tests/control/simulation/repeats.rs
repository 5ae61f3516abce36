//! Counts the bytes of committed state that a node is sent more than once.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_control::ControlMessage;
use pewterseam_wire::frame;
use pewterseam_wire::placement::hash;

/// The entries and state pieces that each node was sent, and the bytes of those that it was sent again.
#[derive(Clone, Default)]
pub struct Repeats {
    sent: BTreeSet<(usize, u64)>,
    bytes: BTreeMap<usize, usize>,
}

impl Repeats {
    /// Records a message to a node. Only entries and pieces of states count.
    pub fn note(&mut self, to: usize, message: &ControlMessage) {
        if !matches!(message, ControlMessage::Entries { .. } | ControlMessage::StatePiece(_)) {
            return;
        }
        let Ok(bytes) = frame::encode(message) else { return };
        if !self.sent.insert((to, hash(&bytes, 0))) {
            *self.bytes.entry(to).or_default() += bytes.len();
        }
    }

    /// The bytes that a node was sent again.
    pub fn to(&self, node: usize) -> usize {
        self.bytes.get(&node).copied().unwrap_or(0)
    }
}
