//! Stand-ins for other firms' systems.

mod capacity;
mod destination;
mod host;
mod limit;
mod memory;
mod serve;
#[cfg(test)]
mod tests;
mod trouble;

pub use destination::Destination;
pub use host::Host;
pub use serve::{boxed, serve};
pub use trouble::Condition;
