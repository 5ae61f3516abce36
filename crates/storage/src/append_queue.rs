//! A queue of log writes that must be performed in order and without gaps.

use std::collections::VecDeque;

use bytes::Bytes;

/// A waiting write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingWrite {
    /// Append records.
    Append { records: Vec<Bytes>, sequence: u64 },
    /// Replace all earlier records by a snapshot.
    Snapshot { snapshot: Bytes, sequence: u64 },
}

impl PendingWrite {
    fn sequence(&self) -> u64 {
        match self {
            PendingWrite::Append { sequence, .. } | PendingWrite::Snapshot { sequence, .. } => *sequence,
        }
    }
}

/// Returns one write at a time, and repeats a failed write before any later one. A log with a gap between records cannot
/// be read back.
#[derive(Debug, Default)]
pub struct AppendQueue {
    waiting: VecDeque<PendingWrite>,
    is_running: bool,
}

impl AppendQueue {
    pub fn push(&mut self, write: PendingWrite) {
        self.waiting.push_back(write);
    }

    /// Starts the next write and returns it, unless a write is running. Consecutive waiting appends are merged into one.
    pub fn begin(&mut self) -> Option<PendingWrite> {
        if self.is_running {
            return None;
        }
        self.merge_appends();
        let write = self.waiting.front().cloned()?;
        self.is_running = true;
        Some(write)
    }

    fn merge_appends(&mut self) {
        while let [PendingWrite::Append { .. }, PendingWrite::Append { .. }, ..] =
            self.waiting.make_contiguous()
        {
            let Some(PendingWrite::Append { mut records, .. }) = self.waiting.pop_front() else { return };
            if let Some(PendingWrite::Append { records: next, .. }) = self.waiting.front_mut() {
                records.append(next);
                *next = records;
            }
        }
    }

    /// Ends the running write. If it succeeded, returns the sequence number up to which everything is durable.
    pub fn finish(&mut self, is_done: bool) -> Option<u64> {
        if !std::mem::take(&mut self.is_running) || !is_done {
            return None;
        }
        self.waiting.pop_front().map(|write| write.sequence())
    }

    /// Whether writes are waiting and none is running, as after a failed write.
    pub fn is_stalled(&self) -> bool {
        !self.is_running && !self.waiting.is_empty()
    }
}
