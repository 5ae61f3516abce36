//! How committed states reach processes that lack them: entry by entry, or as a whole state in pieces.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::entry::{Entry, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::transfer::{IncomingState, OutgoingStates, StateKind, StateName, StatePiece};

/// An unanswered fetch is repeated elsewhere after this, and each further one after twice as long.
const FETCH_TIMEOUT: Micros = 400_000;

/// The longest of these pauses.
const LONGEST_TIMEOUT: Micros = 3_200_000;

/// The next entry is asked for after this: it may be on its way here, and word of it travels faster than a large one.
const PUSH_TIME: Micros = 150_000;

/// Bytes of an announced entry that are given a millisecond: it passes over several links, one after the other.
const BYTES_PER_MILLISECOND: u64 = 320;

const MILLISECOND: Micros = 1_000;

/// The pause before another process is asked where one knows no more; twice as long with each that brings nothing.
const NEXT_PAUSE: Micros = 10_000;
const MOST_DOUBLINGS: u32 = 8;

/// After so many holders without the state, or silences, a transfer begins anew.
const MOST_FAILURES: u32 = 6;

/// A long entry that is on its way.
#[derive(Clone, Copy)]
struct AnnouncedEntry {
    index: u64,
    /// It is asked for after this.
    arrives_by: Micros,
}

/// What this process knows it lacks.
#[derive(Clone)]
pub(crate) struct CatchUp {
    /// The highest index that was heard of, and who has it.
    newest: u64,
    holder: Option<NodeName>,
    announced: Option<AnnouncedEntry>,
    fetch_at: Option<Micros>,
    /// When the last request went out, or something new came after it.
    silent_since: Micros,
    turn: usize,
    incoming: Option<IncomingState>,
    /// Who sent the last piece.
    source: Option<NodeName>,
    timeout: Micros,
    /// Requests in a row that brought nothing.
    failures: u32,
    pub outgoing: OutgoingStates,
}

impl Default for CatchUp {
    fn default() -> Self {
        CatchUp {
            newest: 0,
            holder: None,
            announced: None,
            fetch_at: None,
            silent_since: 0,
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

    /// Whether a whole state is on its way here.
    pub(crate) fn is_receiving(&self) -> bool {
        self.incoming.is_some()
    }

    /// Something new came.
    fn progress(&mut self, now: Micros) {
        self.timeout = FETCH_TIMEOUT;
        self.failures = 0;
        self.silent_since = now;
        self.fetch_at = Some(now + self.timeout);
    }

    /// Contact was lost and is back: what was asked for in vain is asked for at once. A request is in vain after the
    /// first timeout; until then its answer may be on its way, and a repeat would cost the link the same again.
    pub(crate) fn contact_is_back(&mut self, now: Micros) {
        self.timeout = FETCH_TIMEOUT;
        let in_vain_at = self.silent_since + FETCH_TIMEOUT;
        self.fetch_at = self.fetch_at.map(|at| at.min(in_vain_at.max(now)));
    }

    /// A request went out.
    fn requested(&mut self, now: Micros) {
        self.silent_since = now;
        self.fetch_at = Some(now + self.timeout);
        self.timeout = (self.timeout * 2).min(LONGEST_TIMEOUT);
    }
}

impl Control {
    /// A node knows a state with this index.
    pub(crate) fn heard_of_index(&mut self, index: u64, holder: NodeName) {
        if index <= self.replica.committed.stamp.index || holder == self.name {
            return;
        }
        // The last one that told of it: many that lack the same entry ask different processes.
        if index >= self.catch_up.newest || self.catch_up.holder.is_none() {
            self.catch_up.newest = self.catch_up.newest.max(index);
            self.catch_up.holder = Some(holder);
        }
        if self.catch_up.fetch_at.is_none() {
            self.catch_up.fetch_at = Some(self.arrival_of(index));
        }
    }

    /// When an entry that others know should have arrived here without being asked for.
    fn arrival_of(&self, index: u64) -> Micros {
        let known = self.replica.committed.stamp.index;
        let announced = self.catch_up.announced.filter(|announced| announced.index > known);
        let arrives = announced.map_or(self.now, |announced| announced.arrives_by);
        let is_next = index == known + 1;
        if is_next { arrives.max(self.now + PUSH_TIME) } else { arrives.max(self.now) }
    }

    /// A leader passes a long entry on: it is given time to arrive before it is asked for.
    pub(crate) fn announced(&mut self, index: u64, bytes: u64) {
        let longer = bytes / BYTES_PER_MILLISECOND * MILLISECOND;
        let arrives_by = self.now + PUSH_TIME + longer;
        self.catch_up.announced = Some(AnnouncedEntry { index, arrives_by });
    }

    pub(crate) fn run_catch_up(&mut self) {
        let Some(at) = self.catch_up.fetch_at else { return };
        self.drop_old_transfer();
        if self.catch_up.incoming.is_none() && self.catch_up.newest <= self.replica.committed.stamp.index {
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
        self.catch_up.requested(self.now);
        let Some(holder) = holder else { return };
        if self.catch_up.incoming.is_some() {
            return self.ask_for_pieces(holder);
        }
        let have = self.replica.committed.stamp;
        self.send(holder, ControlMessage::Fetch { have });
    }

    /// A transfer of what is known by now, or that nobody can go on with, ends.
    fn drop_old_transfer(&mut self) {
        let Some(incoming) = &self.catch_up.incoming else { return };
        let known = match incoming.name.kind {
            StateKind::Committed => self.replica.committed.stamp,
            StateKind::Accepted => self.replica.accepted.stamp,
        };
        if incoming.name.stamp <= known || self.catch_up.failures >= MOST_FAILURES {
            self.catch_up.incoming = None;
            self.catch_up.failures = 0;
        }
    }

    /// Whom to ask: who sent the last piece, who told of something newer, or the leader; then, in turn, any process (when
    /// many lack the same state, most others have it) and the core members.
    fn next_holder(&mut self) -> Option<NodeName> {
        let first = if self.catch_up.is_receiving() {
            self.catch_up.source.clone()
        } else {
            self.catch_up.holder.take().or_else(|| self.leader_hint.clone())
        };
        if first.is_some() && self.catch_up.failures % 2 == 1 {
            return first;
        }
        self.catch_up.turn += 1;
        let others = if self.catch_up.turn % 2 == 1 { self.live_others() } else { self.live_core() };
        let place = self.random.below(others.len().max(1));
        others.get(place).cloned()
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

    /// A process lacks what was committed after a state. It gets entries where they are no longer than the state.
    pub(crate) fn fetch(&mut self, from: &NodeName, have: Stamp) {
        if have.index >= self.replica.committed.stamp.index {
            return self.send(from.clone(), ControlMessage::NothingNewer);
        }
        if let Some(entries) = self.replica.entries_after(have) {
            return self.send(from.clone(), ControlMessage::Entries { entries });
        }
        let kept = self.catch_up.outgoing.newest_committed(self.now);
        let is_useful = |name: &StateName| {
            name.stamp.index > have.index && self.replica.entries_after(name.stamp).is_some()
        };
        let name = kept.filter(is_useful).unwrap_or_else(|| {
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

    /// Begins to hand out the state that was accepted here.
    pub(crate) fn hand_out_accepted(&mut self, to: &NodeName) {
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

    /// A process that was asked knows no more than this one: another is asked soon.
    ///
    /// Danger: where nobody that answers knows what was heard of, the questions must become fewer.
    pub(crate) fn nothing_newer(&mut self) {
        let pause = NEXT_PAUSE << self.catch_up.failures.min(MOST_DOUBLINGS);
        if let Some(at) = &mut self.catch_up.fetch_at {
            *at = (*at).min(self.now + pause);
        }
    }

    /// A holder has gone on, or never had the state: another is asked soon.
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
        if !incoming.take(piece) {
            return;
        }
        let (is_whole, is_idle) = (incoming.is_whole(), incoming.is_idle());
        self.catch_up.source = Some(from.clone());
        self.catch_up.progress(self.now);
        if is_whole {
            self.finish_transfer(from);
        } else if is_idle {
            self.ask_for_pieces(from.clone());
        }
    }

    /// Begins a transfer, unless one is under way. What a member was asked to accept goes before what it may learn.
    fn begin_transfer(&mut self, name: StateName) {
        self.drop_old_transfer();
        let goes_on = self.catch_up.incoming.as_ref().is_some_and(|incoming| {
            let is_newer_accepted =
                name.kind == StateKind::Accepted && name.stamp.epoch > incoming.name.stamp.epoch;
            incoming.name == name || incoming.name.kind == name.kind && !is_newer_accepted
        });
        let is_lesser = self.catch_up.incoming.is_some() && name.kind == StateKind::Committed;
        if !goes_on && !is_lesser {
            self.catch_up.incoming = IncomingState::new(name);
        }
    }

    fn finish_transfer(&mut self, from: &NodeName) {
        let Some(incoming) = self.catch_up.incoming.take() else { return };
        let kind = incoming.name.kind;
        let Some(agreed) = incoming.finish() else { return };
        match kind {
            StateKind::Committed => {
                self.committed(agreed);
                self.fetch_next(from);
            }
            StateKind::Accepted => self.accepted_state(from, agreed),
        }
    }

    /// More may follow: it is asked for at once where something came.
    fn fetch_next(&mut self, from: &NodeName) {
        if self.catch_up.newest > self.replica.committed.stamp.index {
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
                // They do not fit: the next fetch goes to another node.
                return;
            }
        }
        if self.replica.committed.stamp.index > before {
            self.catch_up.progress(self.now);
            self.fetch_next(from);
        }
    }

    fn committed(&mut self, agreed: Agreed) {
        if agreed.stamp.index > self.replica.committed.stamp.index {
            self.replica.learn_state(agreed, &mut self.effects);
        }
    }
}
