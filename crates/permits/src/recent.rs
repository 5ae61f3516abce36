//! What one home has granted lately, less what came back unused.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::VALIDITY;

/// Times of grants are rounded up to this.
const STEP: Micros = 10_000;
/// How long a grant is kept by itself. A holder tells of unused permits soon after they have expired.
const KEPT: Micros = 2 * VALIDITY;

/// Permits that were granted lately and did not come back, by when they were granted.
#[derive(Debug, Default)]
pub(crate) struct RecentGrants {
    grants: BTreeMap<Micros, u32>,
}

impl RecentGrants {
    /// Books permits that are granted now.
    pub(crate) fn grant(&mut self, count: u32, now: Micros) {
        *self.grants.entry(rounded(now)).or_default() += count;
    }

    /// Books permits that were granted at a time and never used.
    pub(crate) fn give_back(&mut self, count: u32, granted_at: Micros) {
        if let Some(granted) = self.grants.get_mut(&rounded(granted_at)) {
            *granted = granted.saturating_sub(count);
        }
    }

    /// Forgets what is too old to come back.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(entry) = self.grants.first_entry().filter(|entry| entry.key() + KEPT <= now) {
            entry.remove();
        }
    }

    /// Permits that may have been used within [`VALIDITY`], or may still be.
    pub(crate) fn out(&self, now: Micros) -> u32 {
        self.grants.range(now.saturating_sub(VALIDITY)..).map(|(_, count)| count).sum()
    }
}

fn rounded(at: Micros) -> Micros {
    at.div_ceil(STEP) * STEP
}
