//! What a store keeps of one message in memory.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_storage::Position;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};

/// A point in time of the log's clock ([`crate::log_clock`]), in microseconds.
pub(crate) type Moment = i64;

/// The number of a segment that no message needs yet.
pub(crate) const NO_SEGMENT: u64 = u64::MAX;

/// The ticket of what is not written.
pub(crate) const NOT_WRITTEN: u64 = 0;

/// Roughly what a message without a record takes in the log.
pub(crate) const FACT_BYTES: u64 = 160;

/// All that is known of a message.
#[derive(Debug)]
pub(crate) struct Message {
    /// None where only facts are known, and after success.
    pub record: Option<Box<HeldRecord>>,
    pub end: Option<End>,
    pub failures: u32,
    /// From when on the record is over; none where it was never here.
    pub expires_at: Option<Moment>,
    /// When the end was learnt; without one, when the first fact was.
    pub noted_at: Moment,
    /// The write that holds the end; [`NOT_WRITTEN`] after it failed.
    pub end_ticket: u64,
    /// The oldest segment that still holds something of this message that no later one does.
    pub needed_from: u64,
}

/// A record, without what is only needed with its body.
#[derive(Debug)]
pub(crate) struct HeldRecord {
    /// The log entry that holds the record; none where it is to be read back.
    pub payload: Option<Bytes>,
    /// Where the entry lies, once it is synced.
    pub position: Option<Position>,
    /// The write that holds the record; 0 for one that was recovered.
    pub ticket: u64,
    pub partition: Partition,
    pub ordering_key: Option<Arc<str>>,
    pub predecessors: Box<[MessageName]>,
    pub owner: Owner,
    pub claim: u32,
    pub is_released: bool,
    /// When the first store took the record.
    pub taken_at: Moment,
    /// Where the clock's count of times away stood then.
    pub away_before: Moment,
    /// It waits to be offered to an heir.
    pub is_queued: bool,
}

impl Message {
    pub fn new(noted_at: Moment) -> Self {
        Message {
            record: None,
            end: None,
            failures: 0,
            expires_at: None,
            noted_at,
            end_ticket: NOT_WRITTEN,
            needed_from: NO_SEGMENT,
        }
    }

    pub fn is_open(&self) -> bool {
        self.end.is_none() && self.record.is_some()
    }

    /// The record of an open message.
    pub fn open_record(&self) -> Option<&HeldRecord> {
        if self.end.is_some() { None } else { self.record.as_deref() }
    }

    /// Whether this end is to replace what is known.
    pub fn is_better_end(&self, end: &End) -> bool {
        self.end.as_ref().is_none_or(|known| end.rank() < known.rank())
    }

    /// Bytes that copying this message in the log takes.
    pub fn log_bytes(&self) -> u64 {
        FACT_BYTES + self.record.as_ref().map_or(0, |record| record.bytes())
    }
}

impl HeldRecord {
    /// Bytes of the entry.
    pub fn bytes(&self) -> u64 {
        match (&self.payload, &self.position) {
            (Some(payload), _) => payload.len() as u64,
            (None, Some(position)) => u64::from(position.length),
            (None, None) => 0,
        }
    }
}
