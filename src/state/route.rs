//! The holder of a limit.

use std::collections::BTreeMap;
use std::ops::Add;

use super::numbers::seconds;
use super::report::Report;
use crate::interface::{Allowance, DestinationId, HostId, Micros};

/// A limit's holder: a destination, or one host of it where routes are apart.
pub type RouteId = (DestinationId, Option<HostId>);

/// The holder of a limit.
#[derive(Debug, Default)]
pub struct Route {
    /// Calls a second by the registry's list and by the destination's own answers.
    pub listed: Option<f64>,
    pub told: Option<f64>,
    /// What an answer told in this round, as it was.
    pub read: Option<f64>,
    /// Hosts that share it.
    pub hosts: f64,
    /// This sender gathers its reports.
    pub is_home: bool,
    /// There are other senders, and none of them may tell anything.
    pub is_alone: bool,
    /// Shares bind, since calls were refused as full.
    pub bound: bool,
    /// Calls a second from all senders together, and this sender's fraction of them.
    pub pool: f64,
    pub share: f64,
    /// Calls a second of the pool that the last reports left unused.
    pub slack: f64,
    /// Permits in hand, and when they were last counted.
    pub tokens: f64,
    pub filled_at: Micros,
    /// Permits used and calls refused in this round.
    pub used: f64,
    pub refused: f64,
    /// Rounds in a row in which calls were refused and none served.
    pub barren: u32,
    /// Highest rate served lately, in calls a second.
    pub peak: f64,
    pub wait_until: Micros,
    /// When an outage of one of its destination's hosts last cast doubt on all.
    pub doubted_at: Micros,
    /// Refusals since the last call that was served.
    pub fulls: u32,
    /// Mean answer time and its mean deviation, in microseconds.
    pub answer_time: f64,
    pub deviation: f64,
    /// Last used.
    pub active_at: Micros,
    /// Last report of each peer and when it came; at the route's homes.
    pub reports: BTreeMap<u16, (Micros, Report)>,
    /// The own report of the round that closed last, until a home has told the sums to settle it with.
    pub asked: Option<Report>,
    /// What a home last told of all other senders together, and when.
    pub rest: Option<(Micros, Report)>,
}

impl Route {
    /// Whether a sender has only the outcomes of its own calls, and the limit itself, to find its fraction by.
    pub fn finds_alone(&self) -> bool {
        self.is_alone && self.told.or(self.listed).is_some()
    }

    /// Whether it is known what the other senders did: their own reports, or sums that are not too old.
    pub fn hears(&self, expiry: Micros, now: Micros) -> bool {
        (self.is_home && !self.is_alone) || self.rest.is_some_and(|(at, _)| at + expiry > now)
    }

    /// Books what the destination told of its limit, if it did; a new word has this weight in the mean. The pool
    /// is so much of the limit as before.
    pub fn tell_limit(&mut self, limit: Option<Allowance>, weight: f64) {
        if let Some(Allowance { rate, .. }) = limit {
            self.read = Some(rate);
            self.believe(rate, weight);
        }
    }

    /// Takes over a limit of which this sender or others were told.
    pub fn believe(&mut self, rate: f64, weight: f64) {
        let told = self.told.get_or_insert(rate);
        let before = std::mem::replace(told, *told + (rate - *told) * weight);
        self.pool *= if before > 0.0 { *told / before } else { 1.0 };
    }

    /// Holds all calls back until then, at the least.
    pub fn hold(&mut self, until: Micros) {
        self.wait_until = self.wait_until.max(until);
    }

    /// The same for a wait that all heed. Danger: each sender saves up a permit meanwhile, and all of them come
    /// together at its end.
    pub fn hold_paced(&mut self, until: Micros) {
        self.hold(until);
        self.filled_at = self.filled_at.max(self.wait_until);
    }

    /// Takes back the permit of a call that never came to the limit.
    pub fn give_back(&mut self) {
        (self.used, self.tokens) = ((self.used - 1.0).max(0.0), self.tokens + 1.0);
    }

    /// Begins a round; each refusal that was reported has had its effect.
    pub fn start_round(&mut self) {
        for (_, report) in self.reports.values_mut().chain(&mut self.rest) {
            report.used -= report.refused;
            report.refused = 0.0;
        }
        (self.used, self.refused, self.read) = (0.0, 0.0, None);
    }

    /// What the peers but one reported, added up. A report counts until it is `fresh` no more, and then tells
    /// of an idle sender up to its expiry.
    pub fn others(&self, but: u16, fresh: Micros, expiry: Micros, now: Micros) -> Report {
        let reports = self.reports.iter().filter(|(from, _)| **from != but).map(|(_, report)| report);
        let reports = reports.chain(&self.rest).filter(|(at, _)| *at + expiry > now);
        let aged = |(at, report): &(Micros, Report)| if *at + fresh > now { *report } else { report.idle() };
        reports.map(aged).fold(Report::default(), Report::add)
    }

    /// Books the time that an answer took; a new one has this weight in the means.
    pub fn answered(&mut self, took: Micros, weight: f64) {
        let off = took as f64 - self.answer_time;
        self.answer_time += off * weight;
        self.deviation += (off.abs() - self.deviation) * weight;
    }

    /// Counts permits up to now at `pace`; as many are saved up as it gives in `burst` seconds, one at least.
    pub fn fill(&mut self, pace: f64, burst: f64, now: Micros) {
        let gained = pace * seconds(now.saturating_sub(self.filled_at));
        self.tokens = (self.tokens + gained).min((pace * burst).max(1.0));
        self.filled_at = self.filled_at.max(now);
    }
}
