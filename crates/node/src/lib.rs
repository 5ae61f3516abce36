//! A relay without sockets, files and clock: a state machine that is fed inputs and the time, and says what is to be
//! recorded and done. Drivers carry that out: `crates/relay` on sockets, `crates/lab` in simulated time.

pub mod call;
pub mod change;
pub mod client;
pub mod counters;
pub mod ended;
pub mod io;
pub mod list;
pub mod names;
pub mod notice;
pub mod operator;
pub mod pool;
pub mod reducer;
pub mod together;
