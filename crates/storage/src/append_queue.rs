//! Writes to a log that must keep their order and may not be skipped.

use std::collections::VecDeque;

use bytes::Bytes;

/// A write that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingWrite {
    /// Append records.
    Append { records: Vec<Bytes>, sequence: u64 },
    /// Replace all before it by a snapshot.
    Snapshot { snapshot: Bytes, sequence: u64 },
}

impl PendingWrite {
    fn sequence(&self) -> u64 {
        match self {
            PendingWrite::Append { sequence, .. } | PendingWrite::Snapshot { sequence, .. } => *sequence,
        }
    }
}

/// Hands out one write at a time, and a failed one again before any later one. A log in which a record follows a gap
/// cannot be read back.
#[derive(Debug, Default)]
pub struct AppendQueue {
    waiting: VecDeque<PendingWrite>,
    is_running: bool,
}

impl AppendQueue {
    pub fn push(&mut self, write: PendingWrite) {
        self.waiting.push_back(write);
    }

    /// The write to begin now, if there is one and none is under way. Appends that wait in a row are one.
    pub fn begin(&mut self) -> Option<PendingWrite> {
        if self.is_running {
            return None;
        }
        self.join_appends();
        let write = self.waiting.front().cloned()?;
        self.is_running = true;
        Some(write)
    }

    fn join_appends(&mut self) {
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

    /// The write under way has ended. Returns the sequence up to which everything is durable, where it has not failed.
    pub fn finish(&mut self, is_done: bool) -> Option<u64> {
        if !std::mem::take(&mut self.is_running) || !is_done {
            return None;
        }
        self.waiting.pop_front().map(|write| write.sequence())
    }

    /// A failed write waits to be begun again.
    pub fn is_stalled(&self) -> bool {
        !self.is_running && !self.waiting.is_empty()
    }
}
