//! A relay's folder, in memory: the bytes of its records as they would stand on disk, what was learnt, and a
//! disk that may take nothing.

use pewterseam::interface::Learnt;
use pewterseam_durable::record::Record;
use pewterseam_durable::replay::{History, Replay};

/// Bytes that the folder may hold.
const LIMIT: u64 = 3_000_000;
/// Parts of it, and the least, as the relay's own journal has them: on hand, and written before it is written
/// anew.
const MOST_LIVE: f64 = 0.25;
const MOST_WRITTEN: f64 = 0.4;
const LEAST_WRITTEN: u64 = 64 * 1024;

/// The disk takes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

#[derive(Clone, Debug, Default)]
pub(super) struct Folder {
    written: Vec<u8>,
    /// Bytes on hand when it was last written anew, and from how many a failed writing is tried again.
    live: u64,
    retry_from: u64,
    pub(super) learnt: Option<Learnt>,
    pub(super) is_full: bool,
}

/// Bytes that messages on hand may take.
pub(super) fn room() -> u64 {
    (LIMIT as f64 * MOST_LIVE) as u64
}

impl Folder {
    /// What a start reads.
    pub(super) fn read(&self) -> History {
        let (mut replay, mut rest) = (Replay::default(), self.written.as_slice());
        while let Ok(record) = Record::read(&mut rest) {
            replay.apply(record);
        }
        replay.finish(rest.len() as u64)
    }

    /// Appends records, or none of them.
    pub(super) fn append(&mut self, records: &[Record]) -> Result<(), Full> {
        if records.is_empty() {
            return Ok(());
        }
        let before = self.written.len();
        let done = !self.is_full && records.iter().all(|record| record.write(&mut self.written).is_ok());
        if done && self.written.len() as u64 <= LIMIT {
            return Ok(());
        }
        self.written.truncate(before);
        Err(Full)
    }

    pub(super) fn is_due(&self) -> bool {
        let most = (LIMIT as f64 * MOST_WRITTEN) as u64;
        self.written.len() as u64 > most.min(LEAST_WRITTEN.max(4 * self.live)).max(self.retry_from)
    }

    /// Replaces all by these records, which tell of all messages on hand.
    pub(super) fn write_anew(&mut self, next: u64, records: &[Record]) -> Result<(), Full> {
        let mut bytes = Vec::new();
        let all = std::iter::once(&Record::Anew { next }).chain(records).all(|r| r.write(&mut bytes).is_ok());
        if self.is_full || !all || (self.written.len() + bytes.len()) as u64 > LIMIT {
            self.retry_from = self.written.len() as u64 + LEAST_WRITTEN;
            return Err(Full);
        }
        (self.live, self.retry_from) = (bytes.len() as u64, 0);
        self.written = bytes;
        Ok(())
    }
}
