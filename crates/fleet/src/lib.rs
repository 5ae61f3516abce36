//! What the relays of a fleet know of each other: who is there, what was decided in common, and calls
//! between them. State machines without I/O: events and the time come in, effects go out. Sockets, files,
//! the clock and the seed are the driver's.
//!
//! Arrows go one way: `interface` < `identity`, `keys`, `window`, `envelope`, `calls` < `members`, `log`,
//! `learn`, `operator` < `fleet`.

mod calls;
pub mod counters;
mod envelope;
mod fleet;
mod identity;
pub mod interface;
mod keys;
mod learn;
mod log;
mod members;
mod window;

pub mod operator;

pub use envelope::is_fleet_datagram;
pub use fleet::{Fleet, Seen, Status, VERSION, VoterStatus};
