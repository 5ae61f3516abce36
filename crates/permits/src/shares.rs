//! Whose turn it is where more permits are wanted than there are: each relay has a fraction, and what underusers leave
//! passes each round to those that used all of theirs.

use std::collections::BTreeMap;

use pewterseam::brain::reallocate;
use pewterseam::state::Report;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

/// A round of the reallocation.
const ROUND: Micros = 2_000_000;
/// A relay that has asked for nothing for so long has no fraction any more.
const EXPIRY: Micros = 3 * ROUND;
/// Part of an even share that each keeps. Departure from the decisions' quarter: nothing is lost by it, as permits that
/// are not asked for go to others at once, and one with little to send does not wait behind one with much.
const LEAST_SHARE: f64 = 1.0;

/// What the home knows of a relay that asks.
#[derive(Debug)]
pub(crate) struct Asker {
    pub(crate) life: u64,
    /// The newest request, by the asker's clock, and what is still wanted of it.
    pub(crate) sent_at: Micros,
    pub(crate) wanted: u32,
    pub(crate) heard_at: Micros,
    fraction: f64,
    used: f64,
    waited: bool,
}

/// The relays that ask for one service's permits.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    askers: BTreeMap<NodeName, Asker>,
    round_ends_at: Micros,
}

impl Shares {
    /// Books a request unless a later one has come before it.
    pub(crate) fn ask(&mut self, from: &NodeName, life: u64, sent_at: Micros, wanted: u32, now: Micros) {
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

    /// Requests that are too old to be answered want nothing any more.
    pub(crate) fn expire(&mut self, validity: Micros, now: Micros) {
        for asker in self.askers.values_mut().filter(|asker| asker.heard_at + validity <= now) {
            asker.wanted = 0;
        }
    }

    pub(crate) fn wants(&self) -> bool {
        self.askers.values().any(|asker| asker.wanted > 0)
    }

    /// The relay whose turn it is: the one that has had the least of its fraction in this round.
    pub(crate) fn next(&mut self) -> Option<(&NodeName, &mut Asker)> {
        let had = |asker: &Asker| asker.used / asker.fraction.max(f64::MIN_POSITIVE);
        let wanting = self.askers.iter_mut().filter(|(_, asker)| asker.wanted > 0);
        wanting.min_by(|a, b| had(a.1).total_cmp(&had(b.1)))
    }

    /// Books that the relay got some of what it wanted.
    pub(crate) fn give(asker: &mut Asker, count: u32) {
        asker.wanted -= count.min(asker.wanted);
        asker.used += f64::from(count);
    }

    /// Books that requests are left over: who still wants has used all of its fraction.
    pub(crate) fn leave_waiting(&mut self) {
        self.askers.values_mut().filter(|asker| asker.wanted > 0).for_each(|asker| asker.waited = true);
    }

    /// Ends a round when it is due: the surplus passes on.
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
        let least = LEAST_SHARE / self.askers.len().max(1) as f64;
        for asker in self.askers.values_mut() {
            asker.fraction = reallocate(&report(asker), &all).max(least);
            (asker.used, asker.waited) = (0.0, false);
        }
    }
}
