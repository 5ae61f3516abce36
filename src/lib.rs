//! Delivery decisions for outbound messages: when, where and whether to call another firm's system.
//!
//! [`interface`] holds the types that go in and out, [`brain`] every decision.

pub mod brain;
pub mod interface;
pub mod memo;
pub mod state;
pub mod timeouts;

pub use brain::Brain;
