//! The clock of a log: the time in which a store keeps the ages of messages, over restarts too.
//!
//! While a process runs, the log's clock runs with the steady clock, so that it is never set. Over a restart it goes on from
//! the newest reading in the log. How long the store was away is known by the time of day alone, which may have been set
//! meanwhile by up to `clock_error`; of that span only what is beyond `clock_error` is certain, and only that counts.
//!
//! So the age of a message is never told greater than it is: a message that is delayed runs late rather than early. What was
//! not counted is kept beside it, as measured by the time of day: it says when a record is over, which must not be late.

use pewterseam_wire::{Micros, WallMicros};

use crate::interface::Now;
use crate::message::Moment;

/// While entries are written, a reading of both clocks goes with them this often.
const READING_PERIOD: Micros = 1_000_000;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reading {
    pub at: Moment,
    pub wall: WallMicros,
    /// All times away so far that the log's clock has not counted.
    pub away: Moment,
}

/// The clock of a running store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogClock {
    /// The log's clock where the steady clock stood at zero.
    zero: Moment,
    /// All times away so far that were not counted, by the time of day.
    away: Moment,
    /// When a reading was last written.
    read_at: Option<Micros>,
}

impl LogClock {
    /// The clock of a log without entries; it begins with the time of day.
    pub fn new(now: Now) -> Self {
        LogClock { zero: now.wall as Moment - now.steady as Moment, away: 0, read_at: None }
    }

    /// The time by this clock.
    pub fn moment(&self, steady: Micros) -> Moment {
        self.zero + steady as Moment
    }

    /// All times away so far that this clock has not counted, by the time of day.
    pub fn away(&self) -> Moment {
        self.away
    }

    /// Goes on after a restart from what the log tells.
    pub fn resume(&mut self, recovered: &RecoveredClock, now: Now, clock_error: Micros) {
        let Some(last) = recovered.last() else { return };
        let away = (now.wall as Moment - last.wall as Moment).max(0);
        let certain = (away - clock_error as Moment).max(0);
        self.zero = last.at + certain - now.steady as Moment;
        self.away = last.away + away - certain;
    }

    /// The reading that is to be written with other entries, if it is time for one.
    pub fn reading(&mut self, now: Now) -> Option<Reading> {
        let is_due = self.read_at.is_none_or(|at| now.steady >= at + READING_PERIOD);
        is_due.then(|| {
            self.read_at = Some(now.steady);
            Reading { at: self.moment(now.steady), wall: now.wall, away: self.away }
        })
    }

    /// The steady clock's time at a moment; zero for those before its start.
    pub fn steady(&self, moment: Moment) -> Micros {
        (moment - self.zero).max(0) as Micros
    }

    /// When a reading is due.
    pub fn next_reading(&self) -> Micros {
        self.read_at.map_or(0, |at| at + READING_PERIOD)
    }

    /// The last reading is gone from the log, or is about to go: the next one is due at once.
    pub fn forget_reading(&mut self) {
        self.read_at = None;
    }
}

/// What a log that is being read tells of its clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecoveredClock {
    /// The newest time of any entry.
    newest: Option<Moment>,
    reading: Option<Reading>,
}

impl RecoveredClock {
    /// Takes the time of an entry.
    pub fn entry(&mut self, at: Moment) {
        self.newest = self.newest.max(Some(at));
    }

    /// Takes a reading of both clocks.
    pub fn reading(&mut self, reading: Reading) {
        self.entry(reading.at);
        if self.reading.is_none_or(|known| known.at <= reading.at) {
            self.reading = Some(reading);
        }
    }

    /// Both clocks at the newest entry. Logs of earlier programs have no readings; their times are those of the day.
    fn last(&self) -> Option<Reading> {
        let at = self.newest?;
        let reading = self.reading.unwrap_or(Reading { at, wall: at as WallMicros, away: 0 });
        Some(Reading { at, wall: reading.wall.saturating_add_signed(at - reading.at), ..reading })
    }
}
