//! How committed states reach processes that lack them: as single entries, or as a complete state in pieces.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::entry::{Entry, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::transfer::{IncomingState, OutgoingStates, StateKind, StateName, StatePiece};

/// An unanswered fetch is sent to another process after this time; the timeout then doubles with each further fetch.
const FETCH_TIMEOUT: Micros = 400_000;

/// The upper bound of the fetch timeout.
const MAX_FETCH_TIMEOUT: Micros = 3_200_000;

/// A process requests the next entry only after this time: the entry may already be on its way, and news of its index
/// travels faster than a large entry.
const PUSH_TIMEOUT: Micros = 150_000;

/// An announced entry gets one more millisecond to arrive for each this many bytes: it passes over several links, one
/// after the other.
const BYTES_PER_MILLISECOND: u64 = 320;

const MILLISECOND: Micros = 1_000;

/// The delay before another process is asked when one knows nothing newer; it doubles with each request without a
/// result.
const EMPTY_ANSWER_PAUSE: Micros = 10_000;
const MAX_DOUBLINGS: u32 = 8;

/// After this many requests in a row without a result (a holder lacks the state, or does not answer), a transfer
/// starts again from the beginning.
const MAX_FAILURES: u32 = 6;

/// A large entry that was announced and is on its way.
#[derive(Clone, Copy)]
struct AnnouncedEntry {
    index: u64,
    /// The entry is requested after this time.
    arrives_by: Micros,
}

/// What this process is known to lack, and the requests for it.
#[derive(Clone)]
pub(crate) struct CatchUp {
    /// The highest index known to exist, and a process that has it.
    newest_index: u64,
    holder: Option<NodeName>,
    announced: Option<AnnouncedEntry>,
    fetch_at: Option<Micros>,
    /// When the last request was sent, or something new arrived after it.
    last_activity_at: Micros,
    turn: usize,
    incoming: Option<IncomingState>,
    /// The sender of the last piece.
    source: Option<NodeName>,
    timeout: Micros,
    /// The number of requests in a row without a result.
    failures: u32,
    pub outgoing: OutgoingStates,
}

impl Default for CatchUp {
    fn default() -> Self {
        CatchUp {
            newest_index: 0,
            holder: None,
            announced: None,
            fetch_at: None,
            last_activity_at: 0,
            turn: 0,
            incoming: None,
            source: None,
            timeout: FETCH_TIMEOUT,
            failures: 0,
            outgoing: OutgoingStates::default(),
        }
    }
}

impl CatchUp {
    pub(crate) fn next_wake(&self) -> Micros {
        self.fetch_at.unwrap_or(Micros::MAX)
    }

    /// Whether a transfer of a complete state to this process is under way.
    pub(crate) fn is_receiving(&self) -> bool {
        self.incoming.is_some()
    }

    /// Notes that something new arrived.
    fn note_progress(&mut self, now: Micros) {
        self.timeout = FETCH_TIMEOUT;
        self.failures = 0;
        self.last_activity_at = now;
        self.fetch_at = Some(now + self.timeout);
    }

    /// Handles restored contact: a request that went unanswered while contact was lost is repeated at once. A request
    /// counts as unanswered after the first timeout; until then its answer may be on its way, and a repeated request
    /// would load the link with the same data again.
    pub(crate) fn contact_restored(&mut self, now: Micros) {
        self.timeout = FETCH_TIMEOUT;
        let timed_out_at = self.last_activity_at + FETCH_TIMEOUT;
        self.fetch_at = self.fetch_at.map(|at| at.min(timed_out_at.max(now)));
    }

    /// Notes that a request was sent.
    fn request_sent(&mut self, now: Micros) {
        self.last_activity_at = now;
        self.fetch_at = Some(now + self.timeout);
        self.timeout = (self.timeout * 2).min(MAX_FETCH_TIMEOUT);
    }
}

impl Control {
    /// Notes that a node knows the state with this index.
    pub(crate) fn note_known_index(&mut self, index: u64, holder: NodeName) {
        if index <= self.replica.committed.stamp.index || holder == self.name {
            return;
        }
        // The latest reporter is kept, so that many processes that lack the same entry ask different ones.
        if index >= self.catch_up.newest_index || self.catch_up.holder.is_none() {
            self.catch_up.newest_index = self.catch_up.newest_index.max(index);
            self.catch_up.holder = Some(holder);
        }
        if self.catch_up.fetch_at.is_none() {
            self.catch_up.fetch_at = Some(self.expected_arrival(index));
        }
    }

    /// When an entry that others know should have arrived here without a request.
    fn expected_arrival(&self, index: u64) -> Micros {
        let known = self.replica.committed.stamp.index;
        let announced = self.catch_up.announced.filter(|announced| announced.index > known);
        let arrives = announced.map_or(self.now, |announced| announced.arrives_by);
        let is_next = index == known + 1;
        if is_next { arrives.max(self.now + PUSH_TIMEOUT) } else { arrives.max(self.now) }
    }

    /// Handles a leader's announcement of a large entry: the entry gets time to arrive before it is requested.
    pub(crate) fn announced(&mut self, index: u64, bytes: u64) {
        let transfer_time = bytes / BYTES_PER_MILLISECOND * MILLISECOND;
        let arrives_by = self.now + PUSH_TIMEOUT + transfer_time;
        self.catch_up.announced = Some(AnnouncedEntry { index, arrives_by });
    }

    pub(crate) fn run_catch_up(&mut self) {
        let Some(at) = self.catch_up.fetch_at else { return };
        self.drop_obsolete_transfer();
        if self.catch_up.incoming.is_none()
            && self.catch_up.newest_index <= self.replica.committed.stamp.index
        {
            self.catch_up.fetch_at = None;
            self.catch_up.holder = None;
            self.catch_up.timeout = FETCH_TIMEOUT;
            return;
        }
        if at > self.now {
            return;
        }
        self.catch_up.failures += 1;
        let holder = self.next_holder();
        self.catch_up.request_sent(self.now);
        let Some(holder) = holder else { return };
        if self.catch_up.incoming.is_some() {
            return self.ask_for_pieces(holder);
        }
        let have = self.replica.committed.stamp;
        self.send(holder, ControlMessage::Fetch { have });
    }

    /// Drops a transfer of a state that is known by now, or that no process can continue.
    fn drop_obsolete_transfer(&mut self) {
        let Some(incoming) = &self.catch_up.incoming else { return };
        let known = match incoming.name.kind {
            StateKind::Committed => self.replica.committed.stamp,
            StateKind::Accepted => self.replica.accepted.stamp,
        };
        if incoming.name.stamp <= known || self.catch_up.failures >= MAX_FAILURES {
            self.catch_up.incoming = None;
            self.catch_up.failures = 0;
        }
    }

    /// The process to ask next: the sender of the last piece, a process that reported something newer, or the leader;
    /// then, alternately, any process (when many lack the same state, most others have it) and a core member.
    fn next_holder(&mut self) -> Option<NodeName> {
        let preferred = if self.catch_up.is_receiving() {
            self.catch_up.source.clone()
        } else {
            self.catch_up.holder.take().or_else(|| self.leader_hint.clone())
        };
        if preferred.is_some() && self.catch_up.failures % 2 == 1 {
            return preferred;
        }
        self.catch_up.turn += 1;
        let others = if self.catch_up.turn % 2 == 1 { self.live_others() } else { self.live_core() };
        let choice = self.random.below(others.len().max(1));
        others.get(choice).cloned()
    }

    fn live_others(&self) -> Vec<NodeName> {
        let names = self.peers.live().map(|peer| &peer.info.name);
        names.filter(|name| **name != self.name).cloned().collect()
    }

    fn ask_for_pieces(&mut self, holder: NodeName) {
        let Some(incoming) = &mut self.catch_up.incoming else { return };
        let message = ControlMessage::FetchPieces { state: incoming.name, numbers: incoming.next_window() };
        self.send(holder, message);
    }

    /// Answers a request for everything that was committed after a state: with entries if they are no larger than the
    /// complete state, otherwise with the first pieces of the state.
    pub(crate) fn fetch(&mut self, from: &NodeName, have: Stamp) {
        if have.index >= self.replica.committed.stamp.index {
            return self.send(from.clone(), ControlMessage::NothingNewer);
        }
        if let Some(entries) = self.replica.entries_after(have) {
            return self.send(from.clone(), ControlMessage::Entries { entries });
        }
        let already_kept = self.catch_up.outgoing.newest_committed(self.now);
        let is_useful = |name: &StateName| {
            name.stamp.index > have.index && self.replica.entries_after(name.stamp).is_some()
        };
        let name = already_kept.filter(is_useful).unwrap_or_else(|| {
            let newest = &self.replica.committed;
            self.catch_up.outgoing.keep(StateKind::Committed, newest, self.now)
        });
        self.send_first_pieces(from, name);
    }

    fn send_first_pieces(&mut self, to: &NodeName, name: StateName) {
        for piece in self.catch_up.outgoing.first_pieces(name, self.now) {
            self.send(to.clone(), ControlMessage::StatePiece(piece));
        }
    }

    /// Sends the first pieces of the state that was accepted here.
    pub(crate) fn send_accepted_state(&mut self, to: &NodeName) {
        let accepted = &self.replica.accepted;
        let name = self.catch_up.outgoing.keep(StateKind::Accepted, accepted, self.now);
        self.send_first_pieces(to, name);
    }

    pub(crate) fn fetch_pieces(&mut self, from: &NodeName, state: StateName, numbers: &[u32]) {
        let own = match state.kind {
            StateKind::Committed => &self.replica.committed,
            StateKind::Accepted => &self.replica.accepted,
        };
        if own.stamp == state.stamp {
            self.catch_up.outgoing.keep(state.kind, own, self.now);
        }
        match self.catch_up.outgoing.pieces(state, numbers, self.now) {
            Some(pieces) => {
                for piece in pieces {
                    self.send(from.clone(), ControlMessage::StatePiece(piece));
                }
            }
            None => self.send(from.clone(), ControlMessage::NoSuchState { state }),
        }
    }

    /// Handles the answer of a process that knows nothing newer than this one: another process is asked soon.
    ///
    /// The delay doubles with each request without a result. Without this, processes would ask without pause for an
    /// index that no answering process has.
    pub(crate) fn nothing_newer(&mut self) {
        let pause = EMPTY_ANSWER_PAUSE << self.catch_up.failures.min(MAX_DOUBLINGS);
        if let Some(at) = &mut self.catch_up.fetch_at {
            *at = (*at).min(self.now + pause);
        }
    }

    /// Handles the answer of a process that no longer has the state, or never had it: another process is asked at
    /// once.
    pub(crate) fn no_such_state(&mut self, state: StateName) {
        if self.catch_up.incoming.as_ref().is_some_and(|incoming| incoming.name == state) {
            self.catch_up.fetch_at = Some(self.now);
        }
    }

    pub(crate) fn state_piece(&mut self, from: &NodeName, piece: StatePiece) {
        let is_wanted = match piece.state.kind {
            StateKind::Committed => piece.state.stamp.index > self.replica.committed.stamp.index,
            StateKind::Accepted => self.identity.is_some() && piece.state.stamp > self.replica.accepted.stamp,
        };
        if !is_wanted {
            return;
        }
        self.begin_transfer(piece.state);
        let Some(incoming) = &mut self.catch_up.incoming else { return };
        if !incoming.add_piece(piece) {
            return;
        }
        let (is_whole, is_idle) = (incoming.is_whole(), incoming.is_idle());
        self.catch_up.source = Some(from.clone());
        self.catch_up.note_progress(self.now);
        if is_whole {
            self.finish_transfer(from);
        } else if is_idle {
            self.ask_for_pieces(from.clone());
        }
    }

    /// Begins a transfer, unless one is under way. A state that a member was asked to accept takes precedence over a
    /// committed one.
    fn begin_transfer(&mut self, name: StateName) {
        self.drop_obsolete_transfer();
        let continues = self.catch_up.incoming.as_ref().is_some_and(|incoming| {
            let is_newer_accepted =
                name.kind == StateKind::Accepted && name.stamp.epoch > incoming.name.stamp.epoch;
            incoming.name == name || incoming.name.kind == name.kind && !is_newer_accepted
        });
        let has_lower_priority = self.catch_up.incoming.is_some() && name.kind == StateKind::Committed;
        if !continues && !has_lower_priority {
            self.catch_up.incoming = IncomingState::new(name);
        }
    }

    fn finish_transfer(&mut self, from: &NodeName) {
        let Some(incoming) = self.catch_up.incoming.take() else { return };
        let kind = incoming.name.kind;
        let Some(agreed) = incoming.finish() else { return };
        match kind {
            StateKind::Committed => {
                self.learn_committed(agreed);
                self.fetch_next(from);
            }
            StateKind::Accepted => self.accepted_state(from, agreed),
        }
    }

    /// If newer states are known to exist, requests them at once from the process that just sent something.
    fn fetch_next(&mut self, from: &NodeName) {
        if self.catch_up.newest_index > self.replica.committed.stamp.index {
            self.catch_up.holder.get_or_insert_with(|| from.clone());
            self.catch_up.fetch_at = Some(self.now);
        }
    }

    pub(crate) fn entries(&mut self, from: &NodeName, entries: Vec<Entry>) {
        let before = self.replica.committed.stamp.index;
        for entry in entries {
            if entry.stamp.index > self.replica.committed.stamp.index
                && self.replica.learn(entry, &mut self.effects).is_err()
            {
                // The entries do not follow the committed state; the next fetch goes to another node.
                return;
            }
        }
        if self.replica.committed.stamp.index > before {
            self.catch_up.note_progress(self.now);
            self.fetch_next(from);
        }
    }

    fn learn_committed(&mut self, agreed: Agreed) {
        if agreed.stamp.index > self.replica.committed.stamp.index {
            self.replica.learn_state(agreed, &mut self.effects);
        }
    }
}
