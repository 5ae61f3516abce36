//! The settings object that every sender is given at its start, and the times in it. Nothing is decided here.

mod parse;
pub mod time;

pub use parse::{Deployment, Malformed, parse};
