//! Which subscribers are slow, from what the relays share of them.
//!
//! A group is cut into slices by a hash of the destinations, so that each slice is a sample of the group and
//! its median and deviation stand for the group's. Each relay tells a slice's homes, once a round, what it
//! saw of the slice's subscribers; each home judges its slices by itself, and all homes of a slice judge
//! alike.

mod book;
mod judge;
mod report;
mod slices;
mod spread;
mod tally;

pub use book::{Book, Heard, Seen};
pub use judge::{CommonCause, Judge, Judgement, Limits, Verdict};
pub use report::{Entry, Report, Told, read, written};
pub use slices::{GroupId, SLICE, Slice, SliceId, slice_of, slices};
pub use spread::Spread;
pub use tally::{Tally, Waiting};

#[cfg(test)]
mod tests;
