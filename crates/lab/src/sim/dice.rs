//! All that is left to chance, by the plan's seed. Each purpose draws from a stream of its own, so that a day
//! with one fault less has the same load and the same other faults.

use pewterseam::interface::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// What is drawn for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    Messages,
    Retries,
    Hosts,
    Links,
    /// A relay's own seed.
    Relay(u16),
    /// A day of the hunt.
    Draw,
    /// Whom a fault picks, by its place.
    Picks(usize),
}

impl Purpose {
    fn stream(self) -> u128 {
        match self {
            Purpose::Messages => 1,
            Purpose::Retries => 2,
            Purpose::Hosts => 3,
            Purpose::Links => 4,
            Purpose::Draw => 5,
            Purpose::Relay(number) => (1 << 32) | u128::from(number),
            Purpose::Picks(place) => (1 << 64) | place as u128,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Dice(Pcg64);

impl Dice {
    pub(crate) fn new(seed: u64, purpose: Purpose) -> Self {
        // The stream is an increment; the state alone would give related sequences.
        let mut mixed = Pcg64::seed_from_u64(seed);
        Dice(Pcg64::new(mixed.random(), purpose.stream()))
    }

    /// From 0 up to, but not, 1.
    pub(crate) fn part(&mut self) -> f64 {
        self.0.random()
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.0.random()
    }

    pub(crate) fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.part() < part
    }

    /// One of `count`, which is above 0.
    pub(crate) fn one_of(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// Between two spans in milliseconds.
    pub(crate) fn between_ms(&mut self, [least, most]: [f64; 2]) -> Micros {
        let ms = least + (most - least).max(0.0) * self.part();
        (ms.max(0.0) * 1e3) as Micros
    }

    /// Until the next of what comes so often a second, independently of one another.
    pub(crate) fn gap(&mut self, a_second: f64) -> Micros {
        let mean = 1e6 / a_second.max(1e-6);
        (-(1.0 - self.part()).ln() * mean).min(1e12) as Micros
    }

    /// The place of the weight that is drawn.
    pub(crate) fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let sum: f64 = weights.clone().sum();
        let mut left = self.part() * sum;
        let mut last = 0;
        for (place, weight) in weights.enumerate() {
            if left < weight {
                return place;
            }
            left -= weight;
            last = place;
        }
        last
    }

    /// So many of the numbers below `count`, in order.
    pub(crate) fn some(&mut self, count: usize, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        for place in 0..count.min(of) {
            let other = place + self.one_of(of - place);
            all.swap(place, other);
        }
        all.truncate(count);
        all.sort_unstable();
        all
    }
}
