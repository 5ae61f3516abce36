//! A complete cluster of control state machines in one process, on a simulated clock, network, membership and disks.
//! Each run is determined by one seed.

pub mod checks;
pub mod cluster;
pub mod disk;
pub mod faults;
pub mod history;
mod machines;
mod network;
pub mod operators;
mod repeats;
pub mod routes;
pub mod view;
