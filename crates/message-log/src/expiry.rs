//! When records expire, and how long ends of messages are remembered.
//!
//! An end is sent until a write quorum has it. A store that was down then keeps the record open; it learns the end from
//! the other stores when it receives a request or offers the record. So an end must be remembered for as long as any
//! store may hold the record open. That time is bounded, because each store expires records older than their
//! `retentionS` by itself.
//!
//! If ends were forgotten earlier, a store could offer a record to a relay while no store knows its end, and a message
//! that has succeeded would run again.

use pewterseam_wire::Micros;
use pewterseam_wire::record::{End, MessageName, Record};
use pewterseam_wire::store::RETENTION_MARGIN;

use crate::message::{HeldRecord, Message, Moment};
use crate::store::Store;

/// How often open records are checked for expiry.
const EXPIRY_PERIOD: Micros = 5_000_000;
/// The time that a relay needs to take over a record that it was offered.
const MAX_TAKEOVER_TIME: Micros = 5_000_000;
/// Once the limit of [`StoreSettings::remembered_ends`](crate::StoreSettings) is reached, ends are remembered for at most
/// this time, or for `statusTtlS` if that is longer.
const MAX_RETENTION_WHEN_FULL: Micros = 600_000_000;
/// A time span longer than any retention.
const NO_LIMIT: Moment = Moment::MAX / 4;
const MILLISECOND: Micros = 1_000;

/// Converts a time span in milliseconds to the unit of the log clock.
pub(crate) fn span_from_ms(milliseconds: u64) -> Moment {
    milliseconds.saturating_mul(MILLISECOND).min(Moment::MAX as u64 / 4) as Moment
}

/// How long ends are remembered: for `statusTtlS`, and until no store holds the record open. Such a store may
/// underestimate the age of the record by as much as the time of day may be wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndRetention {
    /// `statusTtlS`.
    pub status_ttl: Moment,
    /// How long after a record has expired by this store's clock another store may still offer it to a relay.
    takeover_margin: Moment,
    /// How long after an end was learned another store may hold the record open, if this store never had the record.
    unknown_record_span: Moment,
    /// No end is remembered for longer than this, apart from `status_ttl`.
    max_span: Moment,
}

impl EndRetention {
    /// When the end of a message may be forgotten.
    pub fn forget_at(&self, message: &Message) -> Moment {
        let noted_at = message.noted_at;
        let needed = message
            .expires_at
            .map_or(noted_at + self.unknown_record_span, |expires_at| expires_at + self.takeover_margin);
        needed.min(noted_at + self.max_span).max(noted_at + self.status_ttl)
    }
}

impl Store {
    /// When a record expires whose age leaves out this much downtime. By then its owner has given the record up, even if
    /// the owner's clock differs.
    pub(crate) fn expiry_of(&mut self, record: &Record, first_stored_at: Moment, downtime: Moment) -> Moment {
        let retention = span_from_ms(record.retention_ms);
        self.longest_retention = self.longest_retention.max(retention);
        first_stored_at - downtime + retention + (RETENTION_MARGIN + self.settings.clock_error) as Moment
    }

    /// Makes all records expire earlier by the downtime that their ages leave out.
    pub(crate) fn subtract_uncounted_downtime(&mut self) {
        let downtime = self.clock.uncounted_downtime();
        self.messages.update_all(|message| {
            if let (Some(record), Some(expires_at)) = (&message.record, &mut message.expires_at) {
                *expires_at -= downtime - record.downtime_before;
            }
        });
    }

    /// The downtime of the record's stores that its age leaves out, as measured by the time of day.
    pub(crate) fn uncounted_downtime_ms(&self, held: &HeldRecord) -> u64 {
        (self.clock.uncounted_downtime() - held.downtime_before).max(0) as u64 / MILLISECOND
    }

    /// A lower bound of the time since the first store accepted a record.
    pub(crate) fn age_ms(&self, held: &HeldRecord) -> u64 {
        (self.moment() - held.first_stored_at).max(0) as u64 / MILLISECOND
    }

    /// The current limits on how long ends are remembered.
    pub(crate) fn end_retention(&self) -> EndRetention {
        let takeover_margin = self.settings.clock_error + EXPIRY_PERIOD + MAX_TAKEOVER_TIME;
        let unknown_record_span = self.longest_retention
            + (RETENTION_MARGIN + self.settings.clock_error + takeover_margin) as Moment;
        let status_ttl = self.settings.status_ttl as Moment;
        let has_room = self.messages.remembered_count() < self.settings.remembered_ends;
        let max_span = if has_room { NO_LIMIT } else { status_ttl.max(MAX_RETENTION_WHEN_FULL as Moment) };
        EndRetention { status_ttl, takeover_margin: takeover_margin as Moment, unknown_record_span, max_span }
    }

    /// When open records are checked for expiry next.
    pub(crate) fn expiry_due(&self) -> Option<Micros> {
        (!self.messages.by_owner.is_empty()).then_some(self.last_expiry_check + EXPIRY_PERIOD)
    }

    /// Ends the records that have expired.
    pub(crate) fn expire_records(&mut self) {
        if self.expiry_due().is_none_or(|due| due > self.now.steady) {
            return;
        }
        self.last_expiry_check = self.now.steady;
        let now = self.moment();
        let is_expired = |name: &&MessageName| {
            let message = self.messages.get(name).filter(|message| message.is_open());
            message.and_then(|message| message.expires_at).is_some_and(|expires_at| expires_at <= now)
        };
        let open = self.messages.by_owner.values().flat_map(|owned| &owned.names);
        let mut expired: Vec<MessageName> = open.filter(is_expired).cloned().collect();
        expired.sort();
        for name in expired {
            self.note_end(&name, End::Expired);
        }
    }
}
