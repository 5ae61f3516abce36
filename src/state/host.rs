//! One endpoint of a destination.

use std::collections::BTreeMap;

use super::numbers::seconds;
use super::route::RouteId;
use crate::interface::{Lifecycle, Micros};

/// State of a host's circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Closed,
    /// No calls except one trial call at a time.
    Open,
    /// The host answers again, but may be cold.
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
    /// The host answered after an outage and may not have its full capacity yet, even if its breaker opened
    /// again since.
    pub cold: bool,
    /// Sum of weighted failures, halved by each success.
    pub failure_score: f64,
    /// When the present series of failures began, and when the last failure was seen.
    pub failing_since: Micros,
    pub last_failure_at: Micros,
    /// Senders that recently reported this host as failing, and when; kept at the homes of its route, the
    /// senders that collect its reports.
    pub failure_reports: BTreeMap<u16, Micros>,
    /// When the homes last declared the host down; 0 if it is not.
    pub declared_down_at: Micros,
    /// When the homes last announced the host's health, up or down.
    pub last_verdict_at: Micros,
    /// A call visibly failed in the present series of failures, not just took long.
    pub failed: bool,
    /// When the host last showed a sign of life, and when a call last succeeded.
    pub heard_at: Micros,
    pub ok_at: Micros,
    /// Failed connection attempts since the last successful call, and the time before which no new connection
    /// is tried for that reason.
    pub failed_connects: u32,
    pub connect_retry_at: Micros,
    /// Moving average of the share of calls that failed.
    pub failure_rate: f64,
    /// A trial call is in flight.
    pub trial: bool,
    /// Calls in flight.
    pub calls: usize,
    /// When a call was last lost on a connection that had been idle, and the idle time allowed from then on
    /// if the idle time was the cause.
    pub lost: Option<(Micros, f64)>,
    /// Since when each known idle connection has been idle.
    pub idle: Vec<Micros>,
    /// Tokens of a host whose breaker is open or that is cold, and when they were last refilled.
    pub cold_tokens: f64,
    pub refilled_at: Micros,
}

impl Host {
    pub fn is_open(&self) -> bool {
        self.health == Health::Open
    }

    /// Records the sender that reported the host as failing, if one did; reports count until they expire.
    pub fn add_failure_report(&mut self, by: Option<u16>, expiry: Micros, now: Micros) {
        self.failure_reports.retain(|_, at| *at + expiry > now);
        self.failure_reports.extend(by.map(|by| (by, now)));
    }

    /// Refills the tokens up to now at `rate` calls per second, while the host is open or cold; at most one
    /// is saved up.
    pub fn refill(&mut self, rate: f64, now: Micros) {
        self.cold_tokens = (self.cold_tokens + rate * seconds(now - self.refilled_at)).min(1.0);
        self.refilled_at = now;
    }

    /// Records the homes' decision on the host's health.
    pub fn set_verdict(&mut self, up: bool, now: Micros) {
        (self.declared_down_at, self.last_verdict_at) = (if up { 0 } else { now }, now);
        if up {
            self.failure_reports.clear();
        }
    }

    /// Records failures that began at `since`. Series of failures less than `min_gap` apart count as one, and
    /// so do all failures until the breaker closes.
    pub fn record_failure(&mut self, weight: f64, since: Micros, now: Micros, min_gap: Micros) {
        self.failure_score += weight;
        if self.health == Health::Closed && since > self.last_failure_at + min_gap {
            (self.failing_since, self.failed) = (since, false);
        }
        self.last_failure_at = now;
    }
}
