//! The pace of calls that keeps all relays together within the platform's limit.

use pewterseam_wire::Micros;

/// Part of the platform's limit that all relays together may use for reads of their own, as they do not know of each
/// other's.
const USED_PART: f64 = 0.4;
/// The least time between two reads of one relay.
const LEAST_APART: Micros = 700_000;
/// First and longest pause after a failure; doubled with each.
const AFTER_FAILURE: (Micros, Micros) = (200_000, 2_000_000);
/// The same after a refusal, in units of the time in which each relay has had its turn.
const AFTER_REFUSAL: (u64, u64) = (1, 8);

/// The pace of one relay's own reads.
#[derive(Debug)]
pub(crate) struct Pace {
    rate_per_s: f64,
    relays: usize,
    /// Calls of one read.
    pages: usize,
    failures: u32,
    random: u64,
}

impl Pace {
    pub(crate) fn new(rate_per_s: f64, seed: u64) -> Self {
        Pace { rate_per_s, relays: 1, pages: 1, failures: 0, random: seed | 1 }
    }

    pub(crate) fn set_relays(&mut self, relays: usize) {
        self.relays = relays.max(1);
    }

    /// A read was complete, with so many calls.
    pub(crate) fn succeeded(&mut self, pages: usize) {
        (self.pages, self.failures) = (pages.max(1), 0);
    }

    /// A number from 0 to 1 (xorshift).
    pub(crate) fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The time in which each relay has one turn at reading for itself.
    pub(crate) fn turn(&self) -> Micros {
        let calls = (self.relays * self.pages) as f64;
        let turn = calls / (self.rate_per_s * USED_PART).max(1e-3) * 1e6;
        (turn as Micros).max(LEAST_APART)
    }

    /// The pause after a failed call.
    pub(crate) fn failed(&mut self, refused: bool) -> Micros {
        self.failures += 1;
        let doubled = 1 << (self.failures - 1).min(6);
        let pause = if refused {
            self.turn() * doubled.clamp(AFTER_REFUSAL.0, AFTER_REFUSAL.1)
        } else {
            (AFTER_FAILURE.0 * doubled).min(AFTER_FAILURE.1)
        };
        (pause as f64 * (0.5 + self.chance())) as Micros
    }
}
