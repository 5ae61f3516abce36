//! The log clock, which measures the ages of messages across restarts.
//!
//! While a process runs, the log clock advances with the steady (monotonic) clock, so it is never adjusted. After a restart
//! it continues from the newest reading in the log. Only the time of day shows how long the store was down, and it may have
//! been adjusted by up to `clock_error` meanwhile. So only the downtime beyond `clock_error` is certain, and only that
//! part is added to the clock.
//!
//! The age of a message is therefore never overestimated: a delayed message runs late rather than early. The uncounted
//! downtime, as measured by the time of day, is kept separately. It makes records expire in time, which must not be late.

use pewterseam_wire::{Micros, WallMicros};

use crate::interface::CurrentTime;
use crate::message::Moment;

/// While entries are written, a reading of both clocks is written with them at this interval.
const READING_PERIOD: Micros = 1_000_000;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reading {
    pub at: Moment,
    pub wall: WallMicros,
    /// The total downtime so far that the log clock has not counted.
    pub away: Moment,
}

/// The clock of a running store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogClock {
    /// The log clock's value when the steady clock was zero.
    zero: Moment,
    /// The total downtime so far that was not counted, as measured by the time of day.
    uncounted_downtime: Moment,
    /// When the last reading was written.
    last_reading_at: Option<Micros>,
}

impl LogClock {
    /// The clock of a log without entries; it starts at the time of day.
    pub fn new(now: CurrentTime) -> Self {
        LogClock {
            zero: now.wall as Moment - now.steady as Moment,
            uncounted_downtime: 0,
            last_reading_at: None,
        }
    }

    /// Converts a steady time to this clock.
    pub fn moment(&self, steady: Micros) -> Moment {
        self.zero + steady as Moment
    }

    /// The total downtime so far that this clock has not counted, as measured by the time of day.
    pub fn uncounted_downtime(&self) -> Moment {
        self.uncounted_downtime
    }

    /// Continues after a restart from the newest reading in the log.
    pub fn resume(&mut self, recovered: &RecoveredClock, now: CurrentTime, clock_error: Micros) {
        let Some(last) = recovered.last() else { return };
        let downtime = (now.wall as Moment - last.wall as Moment).max(0);
        let certain = (downtime - clock_error as Moment).max(0);
        self.zero = last.at + certain - now.steady as Moment;
        self.uncounted_downtime = last.away + downtime - certain;
    }

    /// Returns a reading to be written with other entries, if one is due.
    pub fn reading(&mut self, now: CurrentTime) -> Option<Reading> {
        let is_due = self.last_reading_at.is_none_or(|at| now.steady >= at + READING_PERIOD);
        is_due.then(|| {
            self.last_reading_at = Some(now.steady);
            Reading { at: self.moment(now.steady), wall: now.wall, away: self.uncounted_downtime }
        })
    }

    /// Converts a moment to the steady clock; zero for moments before its start.
    pub fn steady_at(&self, moment: Moment) -> Micros {
        (moment - self.zero).max(0) as Micros
    }

    /// When the next reading is due.
    pub fn next_reading(&self) -> Micros {
        self.last_reading_at.map_or(0, |at| at + READING_PERIOD)
    }

    /// Makes the next reading due at once, because the last one is missing from the log or is about to be removed.
    pub fn forget_reading(&mut self) {
        self.last_reading_at = None;
    }
}

/// The clock state collected while a log is read during recovery.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecoveredClock {
    /// The newest time of any entry.
    newest: Option<Moment>,
    reading: Option<Reading>,
}

impl RecoveredClock {
    /// Adds the time of an entry.
    pub fn entry(&mut self, at: Moment) {
        self.newest = self.newest.max(Some(at));
    }

    /// Adds a reading of both clocks.
    pub fn reading(&mut self, reading: Reading) {
        self.entry(reading.at);
        if self.reading.is_none_or(|known| known.at <= reading.at) {
            self.reading = Some(reading);
        }
    }

    /// Both clocks at the newest entry. Logs written by earlier versions have no readings; their entries use the time of
    /// day.
    fn last(&self) -> Option<Reading> {
        let at = self.newest?;
        let reading = self.reading.unwrap_or(Reading { at, wall: at as WallMicros, away: 0 });
        Some(Reading { at, wall: reading.wall.saturating_add_signed(at - reading.at), ..reading })
    }
}
