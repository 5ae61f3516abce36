//! Pseudo-random numbers and time conversion.

use crate::interface::Micros;

/// Odd multiplier that spreads numbers evenly (2^64 over the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A hash that orders ids differently for each sender.
pub fn scattered(id: u64, seed: u64) -> u64 {
    (id ^ seed).wrapping_mul(HASH_MULTIPLIER)
}

/// A pseudo-random fraction below one that differs between senders and times.
pub fn chance(now: Micros, seed: u64) -> f64 {
    (scattered(now, seed) >> 32) as f64 / f64::from(u32::MAX)
}

pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}
