//! A route: the holder of a rate limit.

use std::collections::BTreeMap;
use std::ops::Add;

use super::numbers::seconds;
use super::report::Report;
use crate::interface::{DestinationId, HostId, Micros, ReportedLimit};

/// The id of a route: a destination, or one of its hosts where each host has a limit of its own.
pub type RouteId = (DestinationId, Option<HostId>);

/// A route: the holder of a rate limit.
#[derive(Debug, Default)]
pub struct Route {
    /// Limit in calls per second, as given by the registry's list and by the destination's own answers.
    pub listed: Option<f64>,
    pub told_limit: Option<f64>,
    /// Limit that an answer gave in this round, unsmoothed.
    pub round_limit: Option<f64>,
    /// Number of hosts that share the limit.
    pub hosts: f64,
    /// Whether this sender is a home of the route: one of those that collect the senders' reports.
    pub is_home: bool,
    /// Whether there are other senders but none of them may send peer messages.
    pub is_alone: bool,
    /// Whether calls are limited to this sender's share, because some were refused as full.
    pub is_limited: bool,
    /// Calls per second from all senders together, and this sender's fraction of them.
    pub pool: f64,
    pub share: f64,
    /// Calls per second of the pool that the last reports left unused.
    pub slack: f64,
    /// Tokens at hand, and when they were last refilled.
    pub tokens: f64,
    pub refilled_at: Micros,
    /// Permits used and calls refused in this round.
    pub used: f64,
    pub refused: f64,
    /// Consecutive rounds in which calls were refused and none succeeded.
    pub refused_rounds: u32,
    /// Highest rate of successful calls lately, in calls per second.
    pub peak: f64,
    pub wait_until: Micros,
    /// When an outage of one of the destination's hosts last made all of them suspect.
    pub outage_seen_at: Micros,
    /// Refusals since the last successful call.
    pub refusals_in_row: u32,
    /// Mean answer time and its mean deviation, in microseconds.
    pub answer_time: f64,
    pub deviation: f64,
    /// When a call was last sent.
    pub active_at: Micros,
    /// Last report of each peer and when it arrived; kept at the route's homes.
    pub reports: BTreeMap<u16, (Micros, Report)>,
    /// This sender's report on the last round, until a home has sent the sums needed to update the share.
    pub pending_report: Option<Report>,
    /// What a home last reported of all other senders together, and when.
    pub others_sum: Option<(Micros, Report)>,
}

impl Route {
    /// Whether a sender can adjust its share only by the outcomes of its own calls and the limit itself.
    pub fn adapts_alone(&self) -> bool {
        self.is_alone && self.told_limit.or(self.listed).is_some()
    }

    /// Whether it is known what the other senders did: their own reports, or sums that have not expired.
    pub fn knows_others(&self, expiry: Micros, now: Micros) -> bool {
        (self.is_home && !self.is_alone) || self.others_sum.is_some_and(|(at, _)| at + expiry > now)
    }

    /// Records the limit that the destination gave, if it did, with this weight in the moving average. The
    /// pool keeps its proportion to the limit.
    pub fn record_limit(&mut self, limit: Option<ReportedLimit>, weight: f64) {
        if let Some(ReportedLimit { rate, .. }) = limit {
            self.round_limit = Some(rate);
            self.update_limit(rate, weight);
        }
    }

    /// Updates the limit with one that this sender or others received.
    pub fn update_limit(&mut self, rate: f64, weight: f64) {
        let told = self.told_limit.get_or_insert(rate);
        let before = std::mem::replace(told, *told + (rate - *told) * weight);
        self.pool *= if before > 0.0 { *told / before } else { 1.0 };
    }

    /// Holds all calls back at least until this time.
    pub fn hold(&mut self, until: Micros) {
        self.wait_until = self.wait_until.max(until);
    }

    /// Holds calls back for a wait that all senders obey. Without the pause in refilling, each sender saves
    /// up a permit meanwhile, and all send at once when the wait ends.
    pub fn hold_paced(&mut self, until: Micros) {
        self.hold(until);
        self.refilled_at = self.refilled_at.max(self.wait_until);
    }

    /// Returns the permit of a call that never reached the limit.
    pub fn return_token(&mut self) {
        (self.used, self.tokens) = ((self.used - 1.0).max(0.0), self.tokens + 1.0);
    }

    /// Starts a round; refusals that were reported have been accounted for.
    pub fn start_round(&mut self) {
        for (_, report) in self.reports.values_mut().chain(&mut self.others_sum) {
            report.used -= report.refused;
            report.refused = 0.0;
        }
        (self.used, self.refused, self.round_limit) = (0.0, 0.0, None);
    }

    /// Sum of the reports of all peers except one. A report counts until it is no longer `fresh`, and from
    /// then until its expiry it stands for an idle sender.
    pub fn others(&self, but: u16, fresh: Micros, expiry: Micros, now: Micros) -> Report {
        let reports = self.reports.iter().filter(|(from, _)| **from != but).map(|(_, report)| report);
        let reports = reports.chain(&self.others_sum).filter(|(at, _)| *at + expiry > now);
        let aged = |(at, report): &(Micros, Report)| if *at + fresh > now { *report } else { report.idle() };
        reports.map(aged).fold(Report::default(), Report::add)
    }

    /// Records an answer time, with this weight in the moving averages.
    pub fn answered(&mut self, took: Micros, weight: f64) {
        let off = took as f64 - self.answer_time;
        self.answer_time += off * weight;
        self.deviation += (off.abs() - self.deviation) * weight;
    }

    /// Refills the tokens up to now at `rate` calls per second; at most `burst` seconds' worth is saved up,
    /// but at least one.
    pub fn refill(&mut self, rate: f64, burst: f64, now: Micros) {
        let gained = rate * seconds(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + gained).min((rate * burst).max(1.0));
        self.refilled_at = self.refilled_at.max(now);
    }
}
