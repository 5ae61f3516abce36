//! How the relay that took a message claims it: what it asks the owners, what it makes of their words, and
//! what is to be done with the message.
//!
//! Arrows go one way: `plan` and `round` < `message`; `calls` batches what all messages ask.

mod calls;
mod message;
mod plan;
mod round;

pub use calls::{Calls, Due};
pub use message::{Act, Message};
pub use plan::{Plan, Use};
pub use round::{Round, Verdict};
