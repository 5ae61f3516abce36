//! Whole states on their way, in pieces.
//!
//! A transfer is of one state, named by its stamp. What has come is kept: after a silence only the pieces that lack are
//! asked for, of any process that holds the same state. A holder keeps the state that it began to hand out for a
//! while, so that a leader that goes on changing does not outrun a transfer; the entries after it follow.

use std::collections::VecDeque;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::frame;
use pewterseam_wire::placement::hash;
use serde::{Deserialize, Serialize};

use crate::agreed::Agreed;
use crate::entry::Stamp;
use crate::storage::encode;

/// Bytes of a piece.
pub(crate) const PIECE_BYTES: usize = 32 * 1024;

/// Pieces that are asked for at a time.
const WINDOW: usize = 4;

/// A state is larger than this only by mistake.
const MOST_STATE_BYTES: u32 = 64 * 1024 * 1024;

/// A state that nobody asked for in this time is no longer kept for handing out.
const KEPT_FOR: Micros = 10_000_000;

/// So many states are kept for handing out.
const MOST_KEPT: usize = 2;

/// Bytes for which an answer is awaited a millisecond longer: a link that is repeated on gets no faster.
const BYTES_PER_MILLISECOND: u64 = 1024;

/// How much longer an answer is awaited to a message with so many bytes.
pub(crate) fn time_to_carry(bytes: usize) -> Micros {
    bytes as u64 / BYTES_PER_MILLISECOND * 1_000
}

/// What is known of the state that is handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateKind {
    /// It is committed.
    Committed,
    /// Its holder has accepted it.
    Accepted,
}

/// Which bytes a transfer is of: those of a state with this stamp, and with this digest.
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

/// A part of a state. All but the last are equally long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePiece {
    pub state: StateName,
    pub number: u32,
    pub bytes: Bytes,
}

/// A state that arrives.
#[derive(Clone)]
pub(crate) struct IncomingState {
    pub name: StateName,
    pieces: Vec<Option<Bytes>>,
    /// Pieces that were asked for and have not come.
    asked: Vec<u32>,
}

impl IncomingState {
    /// None where the name is that of no state.
    pub(crate) fn new(name: StateName) -> Option<Self> {
        let is_state = name.bytes > 0 && name.bytes <= MOST_STATE_BYTES;
        let pieces = vec![None; if is_state { name.pieces() } else { 0 }];
        let asked = (0..WINDOW.min(pieces.len()) as u32).collect();
        is_state.then_some(IncomingState { name, pieces, asked })
    }

    /// Takes a piece. False where it is none of this state, or came before.
    pub(crate) fn take(&mut self, piece: StatePiece) -> bool {
        if piece.state != self.name {
            return false;
        }
        let expected = self.length_of(piece.number);
        let Some(place) = self.pieces.get_mut(piece.number as usize) else { return false };
        if place.is_some() || piece.bytes.len() != expected {
            return false;
        }
        self.asked.retain(|asked| *asked != piece.number);
        *place = Some(piece.bytes);
        true
    }

    fn length_of(&self, number: u32) -> usize {
        let before = number as usize * PIECE_BYTES;
        (self.name.bytes as usize).saturating_sub(before).min(PIECE_BYTES)
    }

    /// Whether nothing is on its way, as far as is known.
    pub(crate) fn is_idle(&self) -> bool {
        self.asked.is_empty()
    }

    /// The pieces to ask for next.
    pub(crate) fn next_window(&mut self) -> Vec<u32> {
        let lacking = self.pieces.iter().enumerate().filter(|(_, piece)| piece.is_none());
        self.asked = lacking.map(|(number, _)| number as u32).take(WINDOW).collect();
        self.asked.clone()
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }

    /// The state, if its bytes are those that were announced.
    pub(crate) fn finish(self) -> Option<Agreed> {
        let bytes: Vec<u8> = self.pieces.into_iter().flatten().flatten().collect();
        if bytes.len() != self.name.bytes as usize || hash(&bytes, 0) != self.name.digest {
            return None;
        }
        let agreed: Agreed = frame::decode(&bytes).ok()?;
        (agreed.stamp == self.name.stamp).then_some(agreed)
    }
}

/// A state that is handed out.
#[derive(Clone)]
struct OutgoingState {
    name: StateName,
    bytes: Bytes,
    used_at: Micros,
}

/// The states that are handed out, the newest last.
#[derive(Clone, Default)]
pub(crate) struct OutgoingStates {
    states: VecDeque<OutgoingState>,
}

impl OutgoingStates {
    /// Prepares a state, unless it is there.
    pub(crate) fn keep(&mut self, kind: StateKind, agreed: &Agreed, now: Micros) -> StateName {
        self.states.retain(|state| now < state.used_at + KEPT_FOR);
        let is_it = |state: &&mut OutgoingState| state.name.stamp == agreed.stamp && state.name.kind == kind;
        if let Some(state) = self.states.iter_mut().find(is_it) {
            state.used_at = now;
            return state.name;
        }
        let bytes = encode(agreed);
        let digest = hash(&bytes, 0);
        let name = StateName { kind, stamp: agreed.stamp, bytes: bytes.len() as u32, digest };
        if self.states.len() >= MOST_KEPT {
            self.states.pop_front();
        }
        self.states.push_back(OutgoingState { name, bytes, used_at: now });
        name
    }

    /// The newest committed state that is being handed out already.
    pub(crate) fn newest_committed(&self, now: Micros) -> Option<StateName> {
        let committed = |state: &&OutgoingState| {
            state.name.kind == StateKind::Committed && now < state.used_at + KEPT_FOR
        };
        self.states.iter().filter(committed).map(|state| state.name).max_by_key(|name| name.stamp)
    }

    /// Pieces of a state that is kept; none where it is not.
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
        Some(numbers.iter().take(WINDOW).filter_map(piece).collect())
    }

    /// The first pieces of a state that is kept.
    pub(crate) fn first_pieces(&mut self, name: StateName, now: Micros) -> Vec<StatePiece> {
        let first: Vec<u32> = (0..WINDOW as u32).collect();
        self.pieces(name, &first, now).unwrap_or_default()
    }
}
