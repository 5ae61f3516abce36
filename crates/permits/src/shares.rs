//! Division of permits among relays if more are requested than available: each relay has a fraction, and each round the
//! unused part passes to the relays that used all of theirs.

use std::collections::BTreeMap;

use pewterseam::brain::reallocate;
use pewterseam::state::Report;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

/// Length of a reallocation round.
const ROUND: Micros = 2_000_000;
/// A relay that has sent no request for this time loses its fraction.
const EXPIRY: Micros = 3 * ROUND;
/// Part of an even share that each relay keeps, instead of a quarter as in the brain. No capacity is
/// lost, as permits that are not requested go to other relays at once, and a relay with little to send does not wait
/// behind one with much.
const MIN_SHARE: f64 = 1.0;

/// State of a relay that requests permits.
#[derive(Debug)]
pub(crate) struct Asker {
    pub(crate) life: u64,
    /// Time of the newest request by the clock of the requesting relay. `wanted` is the part of it that is not granted yet.
    pub(crate) sent_at: Micros,
    pub(crate) wanted: u32,
    pub(crate) heard_at: Micros,
    fraction: f64,
    used: f64,
    waited: bool,
}

/// The relays that request permits of one service.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    askers: BTreeMap<NodeName, Asker>,
    round_ends_at: Micros,
}

impl Shares {
    /// Stores a request, unless a later one was received before it.
    pub(crate) fn add_request(
        &mut self, from: &NodeName, life: u64, sent_at: Micros, wanted: u32, now: Micros,
    ) {
        let even = 1.0 / (self.askers.len() + 1) as f64;
        let asker = self.askers.entry(from.clone()).or_insert(Asker {
            life,
            sent_at: 0,
            wanted: 0,
            heard_at: now,
            fraction: even,
            used: 0.0,
            waited: false,
        });
        if (life, sent_at) > (asker.life, asker.sent_at) {
            (asker.life, asker.sent_at, asker.wanted, asker.heard_at) = (life, sent_at, wanted, now);
        }
    }

    /// Drops requests that are too old to be answered.
    pub(crate) fn expire(&mut self, validity: Micros, now: Micros) {
        for asker in self.askers.values_mut().filter(|asker| asker.heard_at + validity <= now) {
            asker.wanted = 0;
        }
    }

    pub(crate) fn has_requests(&self) -> bool {
        self.askers.values().any(|asker| asker.wanted > 0)
    }

    /// The next relay to receive a permit: the one that has used the smallest part of its fraction in this round.
    pub(crate) fn next(&mut self) -> Option<(&NodeName, &mut Asker)> {
        let used_part = |asker: &Asker| asker.used / asker.fraction.max(f64::MIN_POSITIVE);
        let wanting = self.askers.iter_mut().filter(|(_, asker)| asker.wanted > 0);
        wanting.min_by(|a, b| used_part(a.1).total_cmp(&used_part(b.1)))
    }

    /// Books permits that were granted to the relay.
    pub(crate) fn record_grant(asker: &mut Asker, count: u32) {
        asker.wanted -= count.min(asker.wanted);
        asker.used += f64::from(count);
    }

    /// Marks the relays with unmet requests, which have used all of their fraction.
    pub(crate) fn mark_unmet_requests(&mut self) {
        self.askers.values_mut().filter(|asker| asker.wanted > 0).for_each(|asker| asker.waited = true);
    }

    /// Ends the round if it is due, and reallocates unused fractions.
    pub(crate) fn end_round(&mut self, rate: f64, now: Micros) {
        if now < self.round_ends_at {
            return;
        }
        self.round_ends_at = now + ROUND;
        self.askers.retain(|_, asker| asker.heard_at + EXPIRY > now);
        let permits = rate * ROUND as f64 / 1e6;
        let report = |asker: &Asker| {
            let designated = asker.fraction * permits;
            let is_full = asker.waited || asker.used + 1.0 > designated && asker.used > 0.0;
            let (full, spare) = if is_full { (designated, 0.0) } else { (0.0, designated - asker.used) };
            Report { senders: 1.0, designated, full, spare, used: asker.used, ..Report::default() }
        };
        let all = self.askers.values().map(report).fold(Report::default(), |sum, report| sum + report);
        let least = MIN_SHARE / self.askers.len().max(1) as f64;
        for asker in self.askers.values_mut() {
            asker.fraction = reallocate(&report(asker), &all).max(least);
            (asker.used, asker.waited) = (0.0, false);
        }
    }
}
