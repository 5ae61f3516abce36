//! Slow subscribers in lanes of their own, so that the rest of a broadcast is not held up.
//!
//! Who is in a lane is decided in common, slice by slice. Which relays are a subscriber's gateways follows
//! from that and from who lives, by rendezvous hashing, and needs no decision.

mod gateways;
mod home;
mod matter;
mod planner;
mod slots;
mod table;

pub use gateways::{gateway, gateways};
pub use home::Home;
pub use matter::{Lanes, Returned, Slow};
pub use planner::{Plan, Planner, Rules};
pub use slots::{Lane, Slots};
pub use table::{Change, Ignored, Table};

#[cfg(test)]
mod tests;
