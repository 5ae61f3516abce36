//! The in-memory state of one message.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_storage::Position;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};

/// A point in time of the log clock ([`crate::log_clock`]), in microseconds.
pub(crate) type Moment = i64;

/// A placeholder segment number: no segment holds anything of the message yet.
pub(crate) const NO_SEGMENT: u64 = u64::MAX;

/// The ticket of data that is not written.
pub(crate) const NOT_WRITTEN: u64 = 0;

/// The approximate size of a message without a record in the log.
pub(crate) const FACT_BYTES: u64 = 160;

/// Everything that this store knows of a message.
#[derive(Debug)]
pub(crate) struct Message {
    /// `None` if only facts are known, and after success.
    pub record: Option<Box<HeldRecord>>,
    pub end: Option<End>,
    pub failures: u32,
    /// When the record expires; `None` if this store never had the record.
    pub expires_at: Option<Moment>,
    /// When this store learned of the end, or of the first fact if there is no end.
    pub noted_at: Moment,
    /// The ticket of the write of the end; [`NOT_WRITTEN`] after that write failed.
    pub end_ticket: u64,
    /// The oldest segment that holds data of this message that no later segment holds.
    pub oldest_needed_segment: u64,
}

/// A record, without the fields that are only needed together with its body.
#[derive(Debug)]
pub(crate) struct HeldRecord {
    /// The log entry that holds the record; `None` if it has to be read back from the log.
    pub payload: Option<Bytes>,
    /// The position of the entry in the log, once it is synced.
    pub position: Option<Position>,
    /// The ticket of the write of the record; `RECOVERED_TICKET` for a recovered record.
    pub ticket: u64,
    pub partition: Partition,
    pub ordering_key: Option<Arc<str>>,
    pub predecessors: Box<[MessageName]>,
    pub owner: Owner,
    pub claim: u32,
    pub is_released: bool,
    /// When the first store accepted the record.
    pub first_stored_at: Moment,
    /// The log clock's uncounted downtime at that time.
    pub downtime_before: Moment,
    /// Whether the message is queued to be offered to another relay.
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
            oldest_needed_segment: NO_SEGMENT,
        }
    }

    pub fn is_open(&self) -> bool {
        self.end.is_none() && self.record.is_some()
    }

    /// The record of an open message.
    pub fn open_record(&self) -> Option<&HeldRecord> {
        if self.end.is_some() { None } else { self.record.as_deref() }
    }

    /// Whether an end takes precedence over the known one.
    pub fn is_better_end(&self, end: &End) -> bool {
        self.end.as_ref().is_none_or(|known| end.rank() < known.rank())
    }

    /// The size of a copy of this message in the log.
    pub fn log_bytes(&self) -> u64 {
        FACT_BYTES + self.record.as_ref().map_or(0, |record| record.bytes())
    }
}

impl HeldRecord {
    /// The size of the log entry.
    pub fn bytes(&self) -> u64 {
        match (&self.payload, &self.position) {
            (Some(payload), _) => payload.len() as u64,
            (None, Some(position)) => u64::from(position.length),
            (None, None) => 0,
        }
    }
}
