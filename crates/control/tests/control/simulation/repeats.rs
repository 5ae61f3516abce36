//! Bytes of committed state that a node was sent before.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_control::ControlMessage;
use pewterseam_wire::frame;
use pewterseam_wire::placement::hash;

/// What each node was sent of entries and states, and how much of it twice.
#[derive(Clone, Default)]
pub struct Repeats {
    sent: BTreeSet<(usize, u64)>,
    bytes: BTreeMap<usize, usize>,
}

impl Repeats {
    /// Notes a message to a node. Only entries and pieces of states count.
    pub fn note(&mut self, to: usize, message: &ControlMessage) {
        if !matches!(message, ControlMessage::Entries { .. } | ControlMessage::StatePiece(_)) {
            return;
        }
        let Ok(bytes) = frame::encode(message) else { return };
        if !self.sent.insert((to, hash(&bytes, 0))) {
            *self.bytes.entry(to).or_default() += bytes.len();
        }
    }

    /// Bytes that a node was sent again.
    pub fn to(&self, node: usize) -> usize {
        self.bytes.get(&node).copied().unwrap_or(0)
    }
}
