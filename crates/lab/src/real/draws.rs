//! Random numbers of a day: one seed, and a stream of its own for each that draws, so that one more draw here
//! changes none there.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random numbers.
pub type Draws = Pcg64Mcg;

/// Who draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Stream {
    /// What comes when, and what it is.
    Load = 1,
    /// What clients decide later: which relay, how long they wait.
    Clients,
    /// Seeds of relays.
    Relays,
    Hosts,
    Streams,
    Datagrams,
    /// Whom a fault takes.
    Picks,
}

/// Odd, so that two numbers of a stream never share a seed.
const APART: u64 = 0x9E37_79B9_7F4A_7C15;

/// The stream of one that draws, by its number among its like.
pub fn draws(seed: u64, stream: Stream, number: u64) -> Draws {
    let stream = (stream as u64).rotate_left(56);
    Pcg64Mcg::seed_from_u64(seed ^ stream ^ number.wrapping_add(1).wrapping_mul(APART))
}

/// Whether something of that probability happens; what is none is brought into its bounds.
pub fn happens(draws: &mut Draws, part: f64) -> bool {
    part > 0.0 && draws.random::<f64>() < part
}

/// Evenly from `least` to `most`.
pub fn between(draws: &mut Draws, least: f64, most: f64) -> f64 {
    least + (most - least) * draws.random::<f64>()
}

/// Until the next of what comes so many times a second at random, in seconds.
pub fn gap(draws: &mut Draws, a_second: f64) -> f64 {
    -(1.0 - draws.random::<f64>()).ln() / a_second
}
