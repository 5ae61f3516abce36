//! Transfers of complete states, in pieces.
//!
//! A transfer is of one state, identified by its stamp. The pieces that have arrived are kept: after a timeout only
//! the missing pieces are requested, from any process that holds the same state. A holder keeps a state that it has
//! begun to send for a while, so that a transfer can finish even though the leader keeps committing changes; the
//! entries after that state follow it.

use std::collections::VecDeque;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::frame;
use pewterseam_wire::placement::hash;
use serde::{Deserialize, Serialize};

use crate::agreed::Agreed;
use crate::entry::Stamp;
use crate::storage::encode;

/// The size of a piece in bytes.
pub(crate) const PIECE_BYTES: usize = 32 * 1024;

/// The number of pieces that are requested at a time.
const WINDOW_PIECES: usize = 4;

/// The maximum accepted size of a state; a larger size can only be an error.
const MAX_STATE_BYTES: u32 = 64 * 1024 * 1024;

/// A state that was not requested for this long is no longer kept for sending.
const STATE_RETENTION: Micros = 10_000_000;

/// The maximum number of states that are kept for sending.
const MAX_KEPT_STATES: usize = 2;

/// The timeout of an answer grows by one millisecond for each this many bytes: sending again over a slow link would
/// only load it further.
const BYTES_PER_MILLISECOND: u64 = 1024;

/// The additional timeout for the answer to a message of this many bytes.
pub(crate) fn transfer_timeout(bytes: usize) -> Micros {
    bytes as u64 / BYTES_PER_MILLISECOND * 1_000
}

/// What the sender of a state knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateKind {
    /// The state is committed.
    Committed,
    /// The sender has accepted the state.
    Accepted,
}

/// Identifies the bytes of a transfer: a state with this stamp and this digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateName {
    pub kind: StateKind,
    pub stamp: Stamp,
    pub bytes: u32,
    pub digest: u64,
}

impl StateName {
    fn pieces(&self) -> usize {
        (self.bytes as usize).div_ceil(PIECE_BYTES)
    }
}

/// A piece of a state. All pieces but the last have the same length.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePiece {
    pub state: StateName,
    pub number: u32,
    pub bytes: Bytes,
}

/// A state that is being received.
#[derive(Clone)]
pub(crate) struct IncomingState {
    pub name: StateName,
    pieces: Vec<Option<Bytes>>,
    /// The pieces that were requested and have not arrived.
    requested: Vec<u32>,
}

impl IncomingState {
    /// None if the size in the name is not valid.
    pub(crate) fn new(name: StateName) -> Option<Self> {
        let is_state = name.bytes > 0 && name.bytes <= MAX_STATE_BYTES;
        let pieces = vec![None; if is_state { name.pieces() } else { 0 }];
        let requested = (0..WINDOW_PIECES.min(pieces.len()) as u32).collect();
        is_state.then_some(IncomingState { name, pieces, requested })
    }

    /// Adds a piece. Returns false if it is not part of this state or has arrived before.
    pub(crate) fn add_piece(&mut self, piece: StatePiece) -> bool {
        if piece.state != self.name {
            return false;
        }
        let expected = self.length_of(piece.number);
        let Some(slot) = self.pieces.get_mut(piece.number as usize) else { return false };
        if slot.is_some() || piece.bytes.len() != expected {
            return false;
        }
        self.requested.retain(|number| *number != piece.number);
        *slot = Some(piece.bytes);
        true
    }

    fn length_of(&self, number: u32) -> usize {
        let before = number as usize * PIECE_BYTES;
        (self.name.bytes as usize).saturating_sub(before).min(PIECE_BYTES)
    }

    /// Whether all requested pieces have arrived.
    pub(crate) fn is_idle(&self) -> bool {
        self.requested.is_empty()
    }

    /// Chooses the missing pieces to request next, and notes them as requested.
    pub(crate) fn next_window(&mut self) -> Vec<u32> {
        let missing = self.pieces.iter().enumerate().filter(|(_, piece)| piece.is_none());
        self.requested = missing.map(|(number, _)| number as u32).take(WINDOW_PIECES).collect();
        self.requested.clone()
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }

    /// Decodes the state, if its bytes match the announced size, digest and stamp.
    pub(crate) fn finish(self) -> Option<Agreed> {
        let bytes: Vec<u8> = self.pieces.into_iter().flatten().flatten().collect();
        if bytes.len() != self.name.bytes as usize || hash(&bytes, 0) != self.name.digest {
            return None;
        }
        let agreed: Agreed = frame::decode(&bytes).ok()?;
        (agreed.stamp == self.name.stamp).then_some(agreed)
    }
}

/// A state that is being sent.
#[derive(Clone)]
struct OutgoingState {
    name: StateName,
    bytes: Bytes,
    used_at: Micros,
}

/// The states that are being sent, the newest last.
#[derive(Clone, Default)]
pub(crate) struct OutgoingStates {
    states: VecDeque<OutgoingState>,
}

impl OutgoingStates {
    /// Encodes a state and keeps it for sending, unless it is kept already.
    pub(crate) fn keep(&mut self, kind: StateKind, agreed: &Agreed, now: Micros) -> StateName {
        self.states.retain(|state| now < state.used_at + STATE_RETENTION);
        let is_same_state =
            |state: &&mut OutgoingState| state.name.stamp == agreed.stamp && state.name.kind == kind;
        if let Some(state) = self.states.iter_mut().find(is_same_state) {
            state.used_at = now;
            return state.name;
        }
        let bytes = encode(agreed);
        let digest = hash(&bytes, 0);
        let name = StateName { kind, stamp: agreed.stamp, bytes: bytes.len() as u32, digest };
        if self.states.len() >= MAX_KEPT_STATES {
            self.states.pop_front();
        }
        self.states.push_back(OutgoingState { name, bytes, used_at: now });
        name
    }

    /// The newest committed state that is already being sent.
    pub(crate) fn newest_committed(&self, now: Micros) -> Option<StateName> {
        let committed = |state: &&OutgoingState| {
            state.name.kind == StateKind::Committed && now < state.used_at + STATE_RETENTION
        };
        self.states.iter().filter(committed).map(|state| state.name).max_by_key(|name| name.stamp)
    }

    /// The requested pieces of a state that is kept; none if it is not kept.
    pub(crate) fn pieces(
        &mut self, name: StateName, numbers: &[u32], now: Micros,
    ) -> Option<Vec<StatePiece>> {
        let state = self.states.iter_mut().find(|state| state.name == name)?;
        state.used_at = now;
        let bytes = &state.bytes;
        let piece = |number: &u32| {
            let start = (*number as usize).saturating_mul(PIECE_BYTES);
            let end = start.saturating_add(PIECE_BYTES).min(bytes.len());
            (start < end).then(|| StatePiece { state: name, number: *number, bytes: bytes.slice(start..end) })
        };
        Some(numbers.iter().take(WINDOW_PIECES).filter_map(piece).collect())
    }

    /// The first pieces of a state that is kept.
    pub(crate) fn first_pieces(&mut self, name: StateName, now: Micros) -> Vec<StatePiece> {
        let first: Vec<u32> = (0..WINDOW_PIECES as u32).collect();
        self.pieces(name, &first, now).unwrap_or_default()
    }
}
