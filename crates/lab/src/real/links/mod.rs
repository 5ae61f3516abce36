//! Every link between two parties goes through here, so that faults can be put on it.

mod answers;
mod connection;
mod datagrams;
mod dial;
mod doors;
mod pump;
mod state;
#[cfg(test)]
mod tests;

#[cfg(test)]
pub use connection::pair;
pub use connection::{Link, reset};
pub use datagrams::{PeerAddresses, relay_datagrams};
pub use dial::dial;
pub use doors::Doors;
pub use state::{Struck, Weather};
