//! Variants of one message, handed in by programs of several kinds at different relays, delivered once. State
//! machines without I/O: events and the time come in, effects go out.
//!
//! Arrows go one way: `rules` < `claims` < `interface` < `claimant`, `learning` < `machine`.

pub mod claimant;
pub mod claims;
pub mod counters;
pub mod interface;
pub mod learning;
pub mod machine;
pub mod rules;

pub use machine::Machine;
