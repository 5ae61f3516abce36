//! The platform: the list of hosts, as each relay's own agent tells it, and the notices of ends.

mod list;
mod registry;
mod serve;
#[cfg(test)]
mod tests;

pub use registry::{Mood, Registry};
pub use serve::serve;
