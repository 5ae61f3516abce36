//! The durable state of a core member, and the committed state of any process.

use std::collections::VecDeque;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::effect::{ControlError, Effect};
use crate::entry::{Entry, Stamp};
use crate::message::ControlMessage;
use crate::storage::{Promised, Record, Recovered, Snapshot, encode};
use crate::transfer::PIECE_BYTES;

/// Committed entries are kept for processes that are behind, up to this many bytes or the size of the configuration,
/// whichever is larger: beyond that, sending the complete state costs less.
const MAX_HISTORY_BYTES: usize = 256 * 1024;

/// A snapshot is written when the log is larger than this and larger than twice the configuration text.
const MIN_COMPACTION_LOG_BYTES: usize = 512 * 1024;

/// The epoch that this process has promised, and the states that it has accepted and knows to be committed.
#[derive(Clone)]
pub(crate) struct Replica {
    pub promised: Promised,
    /// Never older than `committed`.
    pub accepted: Agreed,
    pub committed: Agreed,
    /// The entries from the committed state to the accepted one; empty if they are not all known.
    uncommitted: Vec<Entry>,
    history: VecDeque<Entry>,
    history_bytes: usize,
    has_disk: bool,
    /// The stamp of the state that a replay of the log would recover.
    logged: Stamp,
    log_bytes: usize,
    sequence: u64,
    synced: u64,
    /// Since when a sync has been outstanding without any progress of the disk.
    unsynced_since: Option<Micros>,
    /// Messages that may be sent once the records up to a sequence are synced.
    awaiting_sync: VecDeque<(u64, NodeName, ControlMessage)>,
}

impl Replica {
    pub(crate) fn new(has_disk: bool, recovered: Recovered) -> Self {
        Replica {
            promised: recovered.promised,
            logged: recovered.accepted.stamp,
            accepted: recovered.accepted,
            committed: recovered.committed,
            uncommitted: Vec::new(),
            history: VecDeque::new(),
            history_bytes: 0,
            has_disk,
            log_bytes: recovered.log_bytes,
            sequence: 0,
            synced: 0,
            unsynced_since: None,
            awaiting_sync: VecDeque::new(),
        }
    }

    fn persist(&mut self, record: &Record, effects: &mut Vec<Effect>) {
        let bytes = encode(record);
        self.log_bytes += bytes.len();
        self.sequence += 1;
        effects.push(Effect::Persist { records: vec![bytes], sequence: self.sequence });
    }

    /// Promises an epoch. The answer must wait until the record is synced.
    pub(crate) fn promise(&mut self, epoch: u64, candidate: NodeName, effects: &mut Vec<Effect>) {
        self.promised = Promised { epoch, candidate: Some(candidate) };
        self.persist(&Record::Promised(self.promised.clone()), effects);
    }

    /// Whether this epoch may be promised. Each epoch is promised only once, to one process: after a restart a
    /// candidate has the same name, and its earlier process may have led the epoch.
    pub(crate) fn can_promise(&self, epoch: u64) -> bool {
        epoch > self.promised.epoch
    }

    /// Accepts the state that results from an entry.
    pub(crate) fn accept(
        &mut self, entry: Entry, leader: &NodeName, effects: &mut Vec<Effect>,
    ) -> Result<(), ControlError> {
        let next = self.accepted.apply(&entry)?;
        self.raise_promise(entry.stamp.epoch, Some(leader));
        if self.has_disk {
            if self.logged == entry.previous {
                self.persist(&Record::Entry(entry.clone()), effects);
            } else {
                self.persist(&Record::State(next.clone()), effects);
            }
            self.logged = next.stamp;
        }
        if self.uncommitted.is_empty() && entry.previous != self.committed.stamp {
            // The entries from the committed state to this one are not known.
        } else {
            self.uncommitted.push(entry);
        }
        self.accepted = next;
        Ok(())
    }

    /// Accepts a complete state from the leader of `epoch`. A state that is accepted already is made durable.
    pub(crate) fn install(
        &mut self, agreed: Agreed, epoch: u64, leader: &NodeName, effects: &mut Vec<Effect>,
    ) {
        self.raise_promise(epoch, Some(leader));
        self.set_accepted(agreed, effects);
    }

    /// Accepts a greater state that another process has accepted or knows to be committed, whoever leads.
    pub(crate) fn adopt(&mut self, agreed: Agreed, effects: &mut Vec<Effect>) {
        self.raise_promise(agreed.stamp.epoch, None);
        self.set_accepted(agreed, effects);
    }

    fn set_accepted(&mut self, agreed: Agreed, effects: &mut Vec<Effect>) {
        if self.has_disk && self.logged != agreed.stamp {
            self.persist(&Record::State(agreed.clone()), effects);
            self.logged = agreed.stamp;
        }
        if self.accepted.stamp != agreed.stamp {
            self.uncommitted.clear();
            self.accepted = agreed;
        }
    }

    /// Raises the promised epoch: accepting a state of an epoch implies the promise of that epoch.
    fn raise_promise(&mut self, epoch: u64, leader: Option<&NodeName>) {
        if epoch > self.promised.epoch {
            self.promised = Promised { epoch, candidate: leader.cloned() };
        }
    }

    /// Commits the accepted state if it has this stamp. Returns whether this process now knows the state of that index
    /// to be committed.
    pub(crate) fn commit(&mut self, stamp: Stamp, effects: &mut Vec<Effect>) -> bool {
        if stamp.index <= self.committed.stamp.index {
            return true;
        }
        if self.accepted.stamp != stamp {
            return false;
        }
        self.committed = self.accepted.clone();
        let uncommitted = std::mem::take(&mut self.uncommitted);
        self.append_history(uncommitted);
        self.record_committed(effects);
        true
    }

    /// Applies a committed entry that follows the committed state.
    pub(crate) fn learn(&mut self, entry: Entry, effects: &mut Vec<Effect>) -> Result<(), ControlError> {
        let next = self.committed.apply(&entry)?;
        self.committed = next;
        let record = Record::Entry(entry.clone());
        self.append_history(vec![entry]);
        self.advance_accepted(record, effects);
        Ok(())
    }

    /// Replaces the committed state by a later one.
    pub(crate) fn learn_state(&mut self, agreed: Agreed, effects: &mut Vec<Effect>) {
        self.committed = agreed;
        self.history.clear();
        self.history_bytes = 0;
        let record = Record::State(self.committed.clone());
        self.advance_accepted(record, effects);
    }

    /// Takes the committed state as accepted if it is greater. This does not count towards a majority. The state is
    /// written to the log like every accepted state, so that a promise, which waits for the disk, refers only to
    /// synced states.
    fn advance_accepted(&mut self, record: Record, effects: &mut Vec<Effect>) {
        if self.committed.stamp >= self.accepted.stamp {
            self.accepted = self.committed.clone();
            self.uncommitted.clear();
            self.raise_promise(self.accepted.stamp.epoch, None);
        }
        if self.has_disk && self.logged < self.accepted.stamp {
            let follows = matches!(&record, Record::Entry(entry) if entry.previous == self.logged);
            let whole = Record::State(self.accepted.clone());
            self.persist(if follows { &record } else { &whole }, effects);
            self.logged = self.accepted.stamp;
        }
        self.record_committed(effects);
    }

    fn record_committed(&mut self, effects: &mut Vec<Effect>) {
        if self.has_disk && self.logged == self.committed.stamp {
            self.persist(&Record::Committed(self.committed.stamp), effects);
        }
        if self.has_disk
            && self.log_bytes > MIN_COMPACTION_LOG_BYTES.max(2 * self.committed.state.config.text.len())
        {
            self.snapshot(effects);
        }
    }

    fn snapshot(&mut self, effects: &mut Vec<Effect>) {
        let accepted = (self.accepted.stamp != self.committed.stamp).then(|| self.accepted.clone());
        let snapshot =
            Snapshot { promised: self.promised.clone(), committed: self.committed.clone(), accepted };
        self.sequence += 1;
        self.log_bytes = 0;
        self.logged = self.accepted.stamp;
        effects.push(Effect::Snapshot { snapshot: encode(&snapshot), sequence: self.sequence });
    }

    /// Keeps committed entries for processes that are behind. After a gap the older entries are useless and are
    /// dropped.
    fn append_history(&mut self, entries: Vec<Entry>) {
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
        let max_bytes = MAX_HISTORY_BYTES.max(self.committed.state.config.text.len());
        while self.history_bytes > max_bytes && self.history.len() > 1 {
            if let Some(entry) = self.history.pop_front() {
                self.history_bytes -= entry.size();
            }
        }
    }

    /// The committed entries that follow a state, at most one piece of them. None if they are not all known, if they
    /// are larger than the configuration together, or if the next one is larger than a piece: the complete state is
    /// then sent in pieces.
    pub(crate) fn entries_after(&self, have: Stamp) -> Option<Vec<Entry>> {
        if have == self.committed.stamp {
            return Some(Vec::new());
        }
        let behind = self.committed.stamp.index.checked_sub(have.index)?;
        let first = self.history.len().checked_sub(usize::try_from(behind).ok()?)?;
        let next = self.history.get(first).filter(|entry| entry.previous == have)?;
        let total_bytes: usize = self.history.iter().skip(first).map(Entry::size).sum();
        if next.size() > PIECE_BYTES || total_bytes > PIECE_BYTES.max(self.committed.state.config.text.len())
        {
            return None;
        }
        let mut bytes = 0;
        let is_in_piece = |entry: &&Entry| {
            bytes += entry.size();
            bytes <= PIECE_BYTES
        };
        Some(self.history.iter().skip(first).take_while(is_in_piece).cloned().collect())
    }

    /// Sends a message once all records given to the disk so far are synced.
    pub(crate) fn send_after_sync(&mut self, to: NodeName, message: ControlMessage) {
        self.awaiting_sync.push_back((self.sequence, to, message));
    }

    pub(crate) fn persisted(&mut self, sequence: u64) {
        if sequence > self.synced {
            self.synced = sequence;
            self.unsynced_since = None;
        }
    }

    /// Notes since when a sync has been outstanding.
    pub(crate) fn track_outstanding_sync(&mut self, now: Micros) {
        if self.synced >= self.sequence {
            self.unsynced_since = None;
        } else {
            self.unsynced_since.get_or_insert(now);
        }
    }

    /// Whether an outstanding sync has made no progress for this long.
    pub(crate) fn is_disk_stalled(&self, now: Micros, timeout: Micros) -> bool {
        self.unsynced_since.is_some_and(|since| now >= since + timeout)
    }

    /// The next message whose records are synced; removes it from the queue.
    pub(crate) fn next_synced(&mut self) -> Option<(NodeName, ControlMessage)> {
        let (sequence, _, _) = self.awaiting_sync.front()?;
        if *sequence > self.synced {
            return None;
        }
        self.awaiting_sync.pop_front().map(|(_, to, message)| (to, message))
    }
}
