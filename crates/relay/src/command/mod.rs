//! The command line: what was asked for, and the words of the help.

mod arguments;
mod help;
mod parse;

pub use arguments::ArgumentsError;
pub use parse::{Command, LocalOptions, parse};
