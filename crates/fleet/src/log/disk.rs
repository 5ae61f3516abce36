//! What the library reads of a voter's log: all of it in memory, as it is on disk.

use std::collections::VecDeque;

use raft::eraftpb as pb;
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

use super::machine::Machine;
use super::wire;

/// A log and what follows from its applied part.
#[derive(Default)]
pub struct Disk {
    pub hard: pb::HardState,
    /// Of the applied part.
    pub conf: pb::ConfState,
    pub machine: Machine,
    pub applied: u64,
    pub applied_term: u64,
    /// The entry before the first that is kept.
    before: (u64, u64),
    entries: VecDeque<pb::Entry>,
}

impl Disk {
    /// An empty one, or one that begins with a snapshot; none if its data can't be read.
    pub fn begin(snapshot: Option<&crate::interface::Snapshot>) -> Option<Self> {
        let mut disk = Disk::default();
        if let Some(snapshot) = snapshot {
            disk.restore(&wire::snapshot_in(snapshot))?;
        }
        Some(disk)
    }

    /// Takes a snapshot in place of all there is.
    pub fn restore(&mut self, snapshot: &pb::Snapshot) -> Option<()> {
        let meta = snapshot.get_metadata();
        self.machine = postcard::from_bytes(&snapshot.data).ok()?;
        self.conf = meta.get_conf_state().clone();
        self.before = (meta.index, meta.term);
        (self.applied, self.applied_term) = self.before;
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        Some(())
    }

    /// Entries in place of all from the first one's index.
    pub fn append(&mut self, entries: &[pb::Entry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.saturating_sub(self.before.0 + 1) as usize;
        debug_assert!(first.index > self.before.0 && kept <= self.entries.len(), "a gap in the log");
        self.entries.truncate(kept);
        self.entries.extend(entries.iter().cloned());
    }

    /// Entries that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops entries that were applied, but the last `keep`, with which others catch up.
    pub fn compact(&mut self, keep: usize) {
        let last = self.applied.saturating_sub(keep as u64);
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.index <= last) {
            self.before = (entry.index, entry.term);
        }
    }

    /// All that is kept, from the first entry on.
    pub fn entries_from(&self, index: u64) -> impl Iterator<Item = &pb::Entry> {
        self.entries.iter().filter(move |entry| entry.index >= index)
    }

    /// What was applied, as a snapshot.
    pub fn applied_snapshot(&self) -> pb::Snapshot {
        let data = postcard::to_stdvec(&self.machine).unwrap_or_default().into();
        let mut out = pb::Snapshot { data, ..pb::Snapshot::default() };
        let meta = out.mut_metadata();
        (meta.index, meta.term) = (self.applied, self.applied_term);
        *meta.mut_conf_state() = self.conf.clone();
        out
    }

    fn last(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }
}

impl Storage for Disk {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self, low: u64, high: u64, most: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> raft::Result<Vec<pb::Entry>> {
        if low <= self.before.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = most.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let wanted =
            self.entries.range((low - self.before.0 - 1) as usize..(high - self.before.0 - 1) as usize);
        let within = |(place, entry): &(usize, &pb::Entry)| {
            bytes += (entry.data.len() + entry.context.len()) as u64;
            *place == 0 || bytes <= most
        };
        Ok(wanted.enumerate().take_while(within).map(|(_, entry)| entry.clone()).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        if index < self.before.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.before.0 - 1) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<pb::Snapshot> {
        if self.applied < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.applied_snapshot())
    }
}
