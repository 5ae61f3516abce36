//! Pauses before a message or a host is tried again.

use pewterseam::state::chance;
use pewterseam_wire::Micros;

/// A pause that doubles with each time, up to a longest, by chance half to one and a half as long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pub(crate) first: Micros,
    pub(crate) longest: Micros,
}

/// After an attempt that may or may not have run; the first such repeat goes at once.
pub(crate) const AFTER_SILENCE: Backoff = Backoff { first: 50_000, longest: 2_000_000 };
/// After a failed attempt (500).
pub(crate) const AFTER_FAILURE: Backoff = Backoff { first: 100_000, longest: 2_000_000 };
/// After a refusal for the service's rate.
pub(crate) const AFTER_LIMIT: Backoff = Backoff { first: 50_000, longest: 1_000_000 };
/// While the message runs elsewhere (409).
pub(crate) const WHILE_RUNNING: Backoff = Backoff { first: 150_000, longest: 1_500_000 };
/// Where the decisions gave a message up.
pub(crate) const AFTER_GIVING_UP: Backoff = Backoff { first: 100_000, longest: 500_000 };
/// A host that turns messages away as full.
pub(crate) const HOST_FULL: Backoff = Backoff { first: 60_000, longest: 2_000_000 };
/// Health checks of a host that was found out of order.
pub(crate) const PROBE: Backoff = Backoff { first: 1_000_000, longest: 8_000_000 };

impl Backoff {
    /// The pause after so many times, which is 1 or more.
    pub(crate) fn pause(&self, times: u32, now: Micros, seed: u64) -> Micros {
        let doubled = self.first << times.saturating_sub(1).min(20);
        (doubled.min(self.longest) as f64 * (0.5 + chance(now, seed))) as Micros
    }
}
