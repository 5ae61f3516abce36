//! The settings object that every sender is given at its start, and the times in it. Nothing is decided here.

mod malformed;
mod parse;
pub mod time;
mod wire;

pub use malformed::Malformed;
pub use parse::{Deployment, parse};
