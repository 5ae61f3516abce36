//! When records are over, and how long ends are remembered.
//!
//! An end is told until a write quorum has it. A store that was away then keeps the record open; it learns the end from
//! the others when it is asked or offers the record. So an end must be remembered for as long as any store may hold the
//! record open, and no longer than that a record may be open: each store ends by itself what is older than its `retentionS`.
//!
//! Danger: where ends are forgotten first, the record is offered to a relay of which no store knows an end, and a message
//! that has succeeded runs again.

use pewterseam_wire::Micros;
use pewterseam_wire::record::{End, MessageName, Record};
use pewterseam_wire::store::RETENTION_MARGIN;

use crate::message::{HeldRecord, Message, Moment};
use crate::store::Store;

/// How often open records are looked through.
const EXPIRY_PERIOD: Micros = 5_000_000;
/// A relay that was offered a record needs this time to take it over.
const TAKE_OVER_TIME: Micros = 5_000_000;
/// Where memory is short ([`StoreSettings::remembered_ends`](crate::StoreSettings)), ends are not remembered for longer, or
/// for `statusTtlS` if that is more.
const LONGEST_MEMORY: Micros = 600_000_000;
/// Longer than any record is kept.
const NO_LIMIT: Moment = Moment::MAX / 4;
const MILLISECOND: Micros = 1_000;

/// A span that was told in milliseconds.
pub(crate) fn age(milliseconds: u64) -> Moment {
    milliseconds.saturating_mul(MILLISECOND).min(Moment::MAX as u64 / 4) as Moment
}

/// How long ends are remembered: for `statusTtlS`, and until no store holds the record open. One that does may take the
/// record for younger than it is, by as much as the time of day may be wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Memory {
    /// `statusTtlS`.
    pub status_ttl: Moment,
    /// How long after a record is over by this store's clock another one may have a relay take it over.
    slack: Moment,
    /// How long after an end was noted a record may be open that was never here.
    unknown: Moment,
    /// No end is remembered for longer.
    longest: Moment,
}

impl Memory {
    /// When the end of a message is forgotten.
    pub fn ends_of(&self, message: &Message) -> Moment {
        let noted_at = message.noted_at;
        let needed = message.expires_at.map_or(noted_at + self.unknown, |expires_at| expires_at + self.slack);
        needed.min(noted_at + self.longest).max(noted_at + self.status_ttl)
    }
}

impl Store {
    /// From when on a record is over, of whose age this much time away is not counted. By then its owner, whose clock may
    /// differ, has given it up.
    pub(crate) fn expiry_of(&mut self, record: &Record, taken_at: Moment, away: Moment) -> Moment {
        let retention = age(record.retention_ms);
        self.longest_retention = self.longest_retention.max(retention);
        taken_at - away + retention + (RETENTION_MARGIN + self.settings.clock_error) as Moment
    }

    /// Brings the ends of all records forward by the times away that are not counted in their ages.
    pub(crate) fn expire_by_times_away(&mut self) {
        let away = self.clock.away();
        self.messages.update_all(|message| {
            if let (Some(record), Some(expires_at)) = (&message.record, &mut message.expires_at) {
                *expires_at -= away - record.away_before;
            }
        });
    }

    /// How long the stores of a record were away that its age does not count, by the time of day.
    pub(crate) fn away_ms(&self, held: &HeldRecord) -> u64 {
        (self.clock.away() - held.away_before).max(0) as u64 / MILLISECOND
    }

    /// How long ago the first store took a record, at the least.
    pub(crate) fn age_ms(&self, held: &HeldRecord) -> u64 {
        (self.moment() - held.taken_at).max(0) as u64 / MILLISECOND
    }

    /// How long ends are remembered.
    pub(crate) fn memory(&self) -> Memory {
        let slack = self.settings.clock_error + EXPIRY_PERIOD + TAKE_OVER_TIME;
        let unknown =
            self.longest_retention + (RETENTION_MARGIN + self.settings.clock_error + slack) as Moment;
        let status_ttl = self.settings.status_ttl as Moment;
        let has_room = self.messages.remembered_count() < self.settings.remembered_ends;
        let longest = if has_room { NO_LIMIT } else { status_ttl.max(LONGEST_MEMORY as Moment) };
        Memory { status_ttl, slack: slack as Moment, unknown, longest }
    }

    /// When open records are looked through next.
    pub(crate) fn expiry_due(&self) -> Option<Micros> {
        (!self.messages.by_owner.is_empty()).then_some(self.expired_at + EXPIRY_PERIOD)
    }

    /// Ends the records that are over.
    pub(crate) fn expire_records(&mut self) {
        if self.expiry_due().is_none_or(|due| due > self.now.steady) {
            return;
        }
        self.expired_at = self.now.steady;
        let now = self.moment();
        let is_over = |name: &&MessageName| {
            let message = self.messages.get(name).filter(|message| message.is_open());
            message.and_then(|message| message.expires_at).is_some_and(|expires_at| expires_at <= now)
        };
        let open = self.messages.by_owner.values().flat_map(|owned| &owned.names);
        let mut over: Vec<MessageName> = open.filter(is_over).cloned().collect();
        over.sort();
        for name in over {
            self.note_end(&name, End::Expired);
        }
    }
}
