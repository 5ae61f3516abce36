//! Recent grants of one home, without permits returned unused, and by how much they exceed the rate.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::VALIDITY;
use crate::rate::{permits_in, rounded_up};

/// How long each grant is kept separately. A holder reports unused permits soon after they have expired.
const RETENTION: Micros = 2 * VALIDITY;

/// By how much grants exceed the rate at a time: the maximum, over all spans ending at that time, of the permits granted
/// in the span minus those that the rate yields in it.
#[derive(Clone, Copy, Debug)]
struct Excess {
    at: Micros,
    permits: f64,
}

impl Excess {
    /// The excess at a later time, if no permits are granted until then.
    fn after(self, rate: f64, now: Micros) -> Excess {
        let gained = permits_in(rate, now.saturating_sub(self.at));
        Excess { at: self.at.max(now), permits: (self.permits - gained).max(0.0) }
    }

    fn granted(self, rate: f64, count: u32, now: Micros) -> Excess {
        let before = self.after(rate, now);
        Excess { permits: before.permits + f64::from(count), ..before }
    }
}

/// Recently granted permits that were not returned, by grant time.
#[derive(Debug)]
pub(crate) struct RecentGrants {
    rate: f64,
    grants: BTreeMap<Micros, u32>,
    /// The excess before the grants in `grants`.
    excess_before: Excess,
    /// The excess including these grants.
    excess: Excess,
}

impl RecentGrants {
    /// Starts with the excess of earlier grants.
    pub(crate) fn with_excess(rate: f64, permits: f64, at: Micros) -> Self {
        let excess = Excess { at, permits };
        RecentGrants { rate, grants: BTreeMap::new(), excess_before: excess, excess }
    }

    /// Starts with the grants of a ledger, given as times before which permits were granted, and their number. Their
    /// excess was at most `max_excess`.
    pub(crate) fn with_ledger(
        rate: f64, granted: impl IntoIterator<Item = (Micros, u32)>, max_excess: f64,
    ) -> Self {
        let mut sorted: Vec<_> = granted.into_iter().collect();
        sorted.sort_unstable();
        let first = sorted.first().map_or(0, |(at, _)| *at);
        let start = Excess { at: first, permits: 0.0 };
        let excess = sorted.into_iter().fold(start, |excess, (at, count)| excess.granted(rate, count, at));
        Self::with_excess(rate, excess.permits.min(max_excess), excess.at)
    }

    /// Books permits that are granted now.
    pub(crate) fn grant(&mut self, count: u32, now: Micros) {
        let at = rounded_up(now);
        *self.grants.entry(at).or_default() += count;
        self.excess = self.excess.granted(self.rate, count, at);
    }

    /// Returns unused permits that were granted at `granted_at`.
    pub(crate) fn return_unused(&mut self, count: u32, granted_at: Micros) {
        let Some(granted) = self.grants.get_mut(&rounded_up(granted_at)).filter(|_| count > 0) else {
            return;
        };
        *granted = granted.saturating_sub(count);
        let all = self.grants.iter();
        self.excess =
            all.fold(self.excess_before, |excess, (at, count)| excess.granted(self.rate, *count, *at));
    }

    /// Merges grants that are too old to be returned into `excess_before`.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(entry) = self.grants.first_entry().filter(|entry| entry.key() + RETENTION <= now) {
            let (at, count) = entry.remove_entry();
            self.excess_before = self.excess_before.granted(self.rate, count, at);
        }
    }

    /// Maximum by which the grants of any span that ends now exceed what the rate yields in it.
    pub(crate) fn excess(&self, now: Micros) -> f64 {
        self.excess.after(self.rate, now).permits
    }

    /// Permits granted within the last [`VALIDITY`] and not returned, which may still be used.
    pub(crate) fn outstanding(&self, now: Micros) -> u32 {
        self.grants.range(now.saturating_sub(VALIDITY)..).map(|(_, count)| count).sum()
    }
}
