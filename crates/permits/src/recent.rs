//! What one home has granted lately, less what came back unused, and by how much that exceeds the rate.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::VALIDITY;
use crate::rate::{permits_in, rounded_up};

/// How long a grant is kept by itself. A holder tells of unused permits soon after they have expired.
const KEPT: Micros = 2 * VALIDITY;

/// By how much grants exceed the rate at a time: of all spans that end then, the most by which the permits that were granted
/// in one exceed what the rate gives in it.
#[derive(Clone, Copy, Debug)]
struct Excess {
    at: Micros,
    permits: f64,
}

impl Excess {
    /// The excess at a later time, if nothing is granted until then.
    fn after(self, rate: f64, now: Micros) -> Excess {
        let gained = permits_in(rate, now.saturating_sub(self.at));
        Excess { at: self.at.max(now), permits: (self.permits - gained).max(0.0) }
    }

    fn granted(self, rate: f64, count: u32, now: Micros) -> Excess {
        let before = self.after(rate, now);
        Excess { permits: before.permits + f64::from(count), ..before }
    }
}

/// Permits that were granted lately and did not come back, by when they were granted.
#[derive(Debug)]
pub(crate) struct RecentGrants {
    rate: f64,
    grants: BTreeMap<Micros, u32>,
    /// Before the grants that are kept.
    excess_before: Excess,
    /// With them.
    excess: Excess,
}

impl RecentGrants {
    /// Grants that follow others with this excess.
    pub(crate) fn following(rate: f64, permits: f64, at: Micros) -> Self {
        let excess = Excess { at, permits };
        RecentGrants { rate, grants: BTreeMap::new(), excess_before: excess, excess }
    }

    /// Grants that follow those of a ledger, given as times before which permits were granted, and how many. Their
    /// excess was `most` at most.
    pub(crate) fn following_all(
        rate: f64, granted: impl IntoIterator<Item = (Micros, u32)>, most: f64,
    ) -> Self {
        let mut sorted: Vec<_> = granted.into_iter().collect();
        sorted.sort_unstable();
        let first = sorted.first().map_or(0, |(at, _)| *at);
        let start = Excess { at: first, permits: 0.0 };
        let excess = sorted.into_iter().fold(start, |excess, (at, count)| excess.granted(rate, count, at));
        Self::following(rate, excess.permits.min(most), excess.at)
    }

    /// Books permits that are granted now.
    pub(crate) fn grant(&mut self, count: u32, now: Micros) {
        let at = rounded_up(now);
        *self.grants.entry(at).or_default() += count;
        self.excess = self.excess.granted(self.rate, count, at);
    }

    /// Books permits that were granted at a time and never used.
    pub(crate) fn give_back(&mut self, count: u32, granted_at: Micros) {
        let Some(granted) = self.grants.get_mut(&rounded_up(granted_at)).filter(|_| count > 0) else {
            return;
        };
        *granted = granted.saturating_sub(count);
        let all = self.grants.iter();
        self.excess =
            all.fold(self.excess_before, |excess, (at, count)| excess.granted(self.rate, *count, *at));
    }

    /// Forgets the times of grants that are too old to come back.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(entry) = self.grants.first_entry().filter(|entry| entry.key() + KEPT <= now) {
            let (at, count) = entry.remove_entry();
            self.excess_before = self.excess_before.granted(self.rate, count, at);
        }
    }

    /// By how much the grants of any span that ends now exceed what the rate gives in it.
    pub(crate) fn excess(&self, now: Micros) -> f64 {
        self.excess.after(self.rate, now).permits
    }

    /// Permits that may have been used within [`VALIDITY`], or may still be.
    pub(crate) fn out(&self, now: Micros) -> u32 {
        self.grants.range(now.saturating_sub(VALIDITY)..).map(|(_, count)| count).sum()
    }
}
