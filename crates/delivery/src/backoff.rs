//! Delays before a message or a host is tried again.

use pewterseam::state::chance;
use pewterseam_wire::Micros;

/// Exponential backoff up to a maximum, with random jitter from 0.5 to 1.5 times the delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pub(crate) first: Micros,
    pub(crate) max: Micros,
}

/// After an attempt that may or may not have run. The first such retry has no delay.
pub(crate) const AFTER_UNCLEAR_RESULT: Backoff = Backoff { first: 50_000, max: 2_000_000 };
/// After a failed attempt (500).
pub(crate) const AFTER_FAILURE: Backoff = Backoff { first: 100_000, max: 2_000_000 };
/// After a rejection because of the service's rate limit.
pub(crate) const AFTER_RATE_LIMIT: Backoff = Backoff { first: 50_000, max: 1_000_000 };
/// While the message runs at another host (409).
pub(crate) const WHILE_RUNNING_ELSEWHERE: Backoff = Backoff { first: 150_000, max: 1_500_000 };
/// After the brain gave up a message.
pub(crate) const AFTER_BRAIN_GAVE_UP: Backoff = Backoff { first: 100_000, max: 500_000 };
/// For a host that rejects messages because it is full.
pub(crate) const HOST_FULL: Backoff = Backoff { first: 60_000, max: 2_000_000 };
/// Between health checks of an ejected host.
pub(crate) const PROBE: Backoff = Backoff { first: 1_000_000, max: 8_000_000 };

impl Backoff {
    /// The delay after `times` events, which is at least 1.
    pub(crate) fn delay(&self, times: u32, now: Micros, seed: u64) -> Micros {
        let doubled = self.first << times.saturating_sub(1).min(20);
        (doubled.min(self.max) as f64 * (0.5 + chance(now, seed))) as Micros
    }
}
