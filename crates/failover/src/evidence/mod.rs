//! What calls and probes tell of zones: what a relay sees itself, what it tells the destination's homes, and
//! what they make of it.

mod homes;
mod seeing;
mod sight;
mod sums;
mod tally;
mod verdict;
mod wire;

pub use homes::{HOMES, homes};
pub use seeing::{Seeing, Watch};
pub use sight::{Sight, sight, wilson};
pub use sums::{Pair, Sums};
pub use tally::{ROUND, SLOT, SLOTS_A_ROUND, Tally, Windows, slot};
pub use verdict::{Verdict, verdict};
pub use wire::{Calls, Record, Said, Word, pack};
