//! The durable part of a core member, and the committed state of any process.

use std::collections::VecDeque;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::effect::{ControlError, Effect};
use crate::entry::{Entry, Stamp};
use crate::message::ControlMessage;
use crate::storage::{Promised, Record, Recovered, Snapshot, encode};
use crate::transfer::PIECE_BYTES;

/// Committed entries are kept for processes that are behind, up to so many bytes, or as many as the configuration has:
/// with more, the whole state is the shorter way.
const HISTORY_BYTES: usize = 256 * 1024;

/// A snapshot is written when the log is larger than this and than twice the state.
const LOG_BYTES: usize = 512 * 1024;

/// What this process has promised, accepted and knows as committed.
#[derive(Clone)]
pub(crate) struct Replica {
    pub promised: Promised,
    /// Not before `committed`.
    pub accepted: Agreed,
    pub committed: Agreed,
    /// Entries from the committed state to the accepted one; empty where they are not all known.
    tail: Vec<Entry>,
    history: VecDeque<Entry>,
    history_bytes: usize,
    has_disk: bool,
    /// The state that a replay of the log would lead to.
    on_disk: Stamp,
    log_bytes: usize,
    sequence: u64,
    synced: u64,
    /// Since when the disk has owed a sync without any progress.
    unsynced_since: Option<Micros>,
    /// Messages that may go out once a sequence is synced.
    waiting: VecDeque<(u64, NodeName, ControlMessage)>,
}

impl Replica {
    pub(crate) fn new(has_disk: bool, recovered: Recovered) -> Self {
        Replica {
            promised: recovered.promised,
            on_disk: recovered.accepted.stamp,
            accepted: recovered.accepted,
            committed: recovered.committed,
            tail: Vec::new(),
            history: VecDeque::new(),
            history_bytes: 0,
            has_disk,
            log_bytes: recovered.log_bytes,
            sequence: 0,
            synced: 0,
            unsynced_since: None,
            waiting: VecDeque::new(),
        }
    }

    fn persist(&mut self, record: &Record, effects: &mut Vec<Effect>) {
        let bytes = encode(record);
        self.log_bytes += bytes.len();
        self.sequence += 1;
        effects.push(Effect::Persist { records: vec![bytes], sequence: self.sequence });
    }

    /// Promises an epoch. The answer waits for the disk.
    pub(crate) fn promise(&mut self, epoch: u64, candidate: NodeName, effects: &mut Vec<Effect>) {
        self.promised = Promised { epoch, candidate: Some(candidate) };
        self.persist(&Record::Promised(self.promised.clone()), effects);
    }

    /// Whether this epoch may be promised: each is promised once, to one life of one candidate. A name alone does not
    /// tell two lives of a candidate apart, and the earlier one may have led the epoch.
    pub(crate) fn may_promise(&self, epoch: u64) -> bool {
        epoch > self.promised.epoch
    }

    /// Accepts the state after an entry.
    pub(crate) fn accept(
        &mut self, entry: Entry, leader: &NodeName, effects: &mut Vec<Effect>,
    ) -> Result<(), ControlError> {
        let next = self.accepted.apply(&entry)?;
        self.raise(entry.stamp.epoch, Some(leader));
        if self.has_disk {
            if self.on_disk == entry.previous {
                self.persist(&Record::Entry(entry.clone()), effects);
            } else {
                self.persist(&Record::State(next.clone()), effects);
            }
            self.on_disk = next.stamp;
        }
        if self.tail.is_empty() && entry.previous != self.committed.stamp {
            // The way from the committed state is not known.
        } else {
            self.tail.push(entry);
        }
        self.accepted = next;
        Ok(())
    }

    /// Accepts a whole state. `epoch` is the leader's; one that is accepted already is made durable.
    pub(crate) fn install(
        &mut self, agreed: Agreed, epoch: u64, leader: &NodeName, effects: &mut Vec<Effect>,
    ) {
        self.raise(epoch, Some(leader));
        self.hold(agreed, effects);
    }

    /// Holds a greater state that another process has accepted or knows to be committed, whoever leads.
    pub(crate) fn adopt(&mut self, agreed: Agreed, effects: &mut Vec<Effect>) {
        self.raise(agreed.stamp.epoch, None);
        self.hold(agreed, effects);
    }

    fn hold(&mut self, agreed: Agreed, effects: &mut Vec<Effect>) {
        if self.has_disk && self.on_disk != agreed.stamp {
            self.persist(&Record::State(agreed.clone()), effects);
            self.on_disk = agreed.stamp;
        }
        if self.accepted.stamp != agreed.stamp {
            self.tail.clear();
            self.accepted = agreed;
        }
    }

    /// What is held of an epoch counts as its promise.
    fn raise(&mut self, epoch: u64, leader: Option<&NodeName>) {
        if epoch > self.promised.epoch {
            self.promised = Promised { epoch, candidate: leader.cloned() };
        }
    }

    /// The state with this stamp is committed. Returns whether that is known here now.
    pub(crate) fn commit(&mut self, stamp: Stamp, effects: &mut Vec<Effect>) -> bool {
        if stamp.index <= self.committed.stamp.index {
            return true;
        }
        if self.accepted.stamp != stamp {
            return false;
        }
        self.committed = self.accepted.clone();
        let tail = std::mem::take(&mut self.tail);
        self.remember(tail);
        self.note_committed(effects);
        true
    }

    /// Learns a committed entry that follows the committed state.
    pub(crate) fn learn(&mut self, entry: Entry, effects: &mut Vec<Effect>) -> Result<(), ControlError> {
        let next = self.committed.apply(&entry)?;
        self.committed = next;
        let record = Record::Entry(entry.clone());
        self.remember(vec![entry]);
        self.follow_committed(record, effects);
        Ok(())
    }

    /// Learns a later committed state.
    pub(crate) fn learn_state(&mut self, agreed: Agreed, effects: &mut Vec<Effect>) {
        self.committed = agreed;
        self.history.clear();
        self.history_bytes = 0;
        let record = Record::State(self.committed.clone());
        self.follow_committed(record, effects);
    }

    /// What is committed may be taken as accepted where it is greater; it counts for nobody's majority. It is written
    /// like all that is accepted, so that a promise, which waits for the disk, tells only of what is synced.
    fn follow_committed(&mut self, record: Record, effects: &mut Vec<Effect>) {
        if self.committed.stamp >= self.accepted.stamp {
            self.accepted = self.committed.clone();
            self.tail.clear();
            self.raise(self.accepted.stamp.epoch, None);
        }
        if self.has_disk && self.on_disk < self.accepted.stamp {
            let follows = matches!(&record, Record::Entry(entry) if entry.previous == self.on_disk);
            let whole = Record::State(self.accepted.clone());
            self.persist(if follows { &record } else { &whole }, effects);
            self.on_disk = self.accepted.stamp;
        }
        self.note_committed(effects);
    }

    fn note_committed(&mut self, effects: &mut Vec<Effect>) {
        if self.has_disk && self.on_disk == self.committed.stamp {
            self.persist(&Record::Committed(self.committed.stamp), effects);
        }
        if self.has_disk && self.log_bytes > LOG_BYTES.max(2 * self.committed.state.config.text.len()) {
            self.snapshot(effects);
        }
    }

    fn snapshot(&mut self, effects: &mut Vec<Effect>) {
        let accepted = (self.accepted.stamp != self.committed.stamp).then(|| self.accepted.clone());
        let snapshot =
            Snapshot { promised: self.promised.clone(), committed: self.committed.clone(), accepted };
        self.sequence += 1;
        self.log_bytes = 0;
        self.on_disk = self.accepted.stamp;
        effects.push(Effect::Snapshot { snapshot: encode(&snapshot), sequence: self.sequence });
    }

    /// Remembers committed entries; where some are missing in between, the older ones are of no use.
    fn remember(&mut self, entries: Vec<Entry>) {
        let follows = match (self.history.back(), entries.first()) {
            (Some(last), Some(first)) => last.stamp == first.previous,
            (_, None) => false,
            (None, Some(_)) => true,
        };
        if !follows {
            self.history.clear();
            self.history_bytes = 0;
        }
        for entry in entries {
            self.history_bytes += entry.size();
            self.history.push_back(entry);
        }
        let most_bytes = HISTORY_BYTES.max(self.committed.state.config.text.len());
        while self.history_bytes > most_bytes && self.history.len() > 1 {
            if let Some(entry) = self.history.pop_front() {
                self.history_bytes -= entry.size();
            }
        }
    }

    /// The first piece of the committed entries after a state. None where they are not all known, or where they are
    /// longer than the configuration or the next one is longer than a piece: the whole state then comes in pieces.
    pub(crate) fn entries_after(&self, have: Stamp) -> Option<Vec<Entry>> {
        if have == self.committed.stamp {
            return Some(Vec::new());
        }
        let behind = self.committed.stamp.index.checked_sub(have.index)?;
        let first = self.history.len().checked_sub(usize::try_from(behind).ok()?)?;
        let next = self.history.get(first).filter(|entry| entry.previous == have)?;
        let in_all: usize = self.history.iter().skip(first).map(Entry::size).sum();
        if next.size() > PIECE_BYTES || in_all > PIECE_BYTES.max(self.committed.state.config.text.len()) {
            return None;
        }
        let mut bytes = 0;
        let is_in_piece = |entry: &&Entry| {
            bytes += entry.size();
            bytes <= PIECE_BYTES
        };
        Some(self.history.iter().skip(first).take_while(is_in_piece).cloned().collect())
    }

    /// Sends a message once all that was given to the disk so far is synced.
    pub(crate) fn send_after_sync(&mut self, to: NodeName, message: ControlMessage) {
        self.waiting.push_back((self.sequence, to, message));
    }

    pub(crate) fn persisted(&mut self, sequence: u64) {
        if sequence > self.synced {
            self.synced = sequence;
            self.unsynced_since = None;
        }
    }

    /// Notes since when the disk has owed a sync.
    pub(crate) fn watch_disk(&mut self, now: Micros) {
        if self.synced >= self.sequence {
            self.unsynced_since = None;
        } else {
            self.unsynced_since.get_or_insert(now);
        }
    }

    /// Whether the disk has synced nothing of what it owes for so long.
    pub(crate) fn is_disk_stalled(&self, now: Micros, within: Micros) -> bool {
        self.unsynced_since.is_some_and(|since| now >= since + within)
    }

    /// The next message whose records are synced.
    pub(crate) fn next_synced(&mut self) -> Option<(NodeName, ControlMessage)> {
        let (sequence, _, _) = self.waiting.front()?;
        if *sequence > self.synced {
            return None;
        }
        self.waiting.pop_front().map(|(_, to, message)| (to, message))
    }
}
