//! The processes of the system, assembled from its planes: sockets, clocks, signals and threads, and nothing that
//! decides.

pub mod clock;
pub mod error;
pub mod logging;
pub mod operator;
