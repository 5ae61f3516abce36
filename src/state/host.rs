//! One endpoint of a destination.

use std::collections::BTreeMap;

use super::numbers::seconds;
use super::route::RouteId;
use crate::interface::{Lifecycle, Micros};

/// Whether calls to a host are let through.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Closed,
    /// No calls but one trial at a time.
    Open,
    /// Answers again, but may be cold.
    SlowStart { since: Micros },
}

/// One endpoint of a destination.
#[derive(Debug, Default)]
pub struct Host {
    pub route: RouteId,
    pub kind: usize,
    pub zone: u16,
    pub lifecycle: Lifecycle,
    pub health: Health,
    /// It answered again and may not be warm yet, whatever opened it since.
    pub cold: bool,
    /// Failures, halved by each success.
    pub trouble: f64,
    /// When the present trouble began and when it last showed.
    pub bad_since: Micros,
    pub bad_at: Micros,
    /// Senders that lately told of its trouble, and when; at the homes of its route.
    pub accusers: BTreeMap<u16, Micros>,
    /// When the homes last found it out of order.
    pub verdict_at: Micros,
    /// When they last told of it either way.
    pub worded_at: Micros,
    /// A call was seen to fail in that trouble, not just to take long.
    pub failed: bool,
    /// Last sign of life, and last call that was served.
    pub heard_at: Micros,
    pub ok_at: Micros,
    /// Connects that failed since the last served call, and until when none is tried for that.
    pub unmet: u32,
    pub shut_until: Micros,
    /// Mean share of calls that failed at once.
    pub failing: f64,
    /// A trial is out.
    pub trial: bool,
    /// Calls out.
    pub calls: usize,
    /// When a call was last lost on a connection that had been idle, and how long others are to idle if that was
    /// why.
    pub lost: Option<(Micros, f64)>,
    /// Since when each known connection has been idle.
    pub idle: Vec<Micros>,
    /// Permits of a host that is open or cold, and when they were last counted.
    pub cold_tokens: f64,
    pub cold_at: Micros,
}

impl Host {
    pub fn is_open(&self) -> bool {
        self.health == Health::Open
    }

    /// Books a sender that told of its trouble, if one did; words count until they expire.
    pub fn accuse(&mut self, by: Option<u16>, expiry: Micros, now: Micros) {
        self.accusers.retain(|_, at| *at + expiry > now);
        self.accusers.extend(by.map(|by| (by, now)));
    }

    /// Counts permits up to now at `pace`, while it is open or cold; one can be saved up.
    pub fn fill(&mut self, pace: f64, now: Micros) {
        self.cold_tokens = (self.cold_tokens + pace * seconds(now - self.cold_at)).min(1.0);
        self.cold_at = now;
    }

    /// Books the homes' word of it.
    pub fn word(&mut self, up: bool, now: Micros) {
        (self.verdict_at, self.worded_at) = (if up { 0 } else { now }, now);
        if up {
            self.accusers.clear();
        }
    }

    /// Books trouble that began at `since`. Spells less than `apart` apart are one, and so is all until closed.
    pub fn ail(&mut self, weight: f64, since: Micros, now: Micros, apart: Micros) {
        self.trouble += weight;
        if self.health == Health::Closed && since > self.bad_at + apart {
            (self.bad_since, self.failed) = (since, false);
        }
        self.bad_at = now;
    }
}
