//! Why bytes are no message.

use std::fmt;
use std::io;

/// Why bytes are no message.
#[derive(Debug)]
pub enum Fault {
    Io(io::Error),
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    Unsupported(&'static str),
    /// Part of it came, and the rest did not in time.
    TooSlow,
}

impl Fault {
    /// The status that tells a client of it.
    pub fn status(&self) -> u16 {
        match self {
            Fault::Io(_) | Fault::Malformed(_) => 400,
            Fault::TooSlow => 408,
            Fault::BodyTooLong => 413,
            Fault::HeadTooLong => 431,
            Fault::Unsupported(_) => 501,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Io(error) => error.fmt(f),
            Fault::Malformed(text) | Fault::Unsupported(text) => f.write_str(text),
            Fault::HeadTooLong => f.write_str("the headers are too long"),
            Fault::BodyTooLong => f.write_str("the body is too long"),
            Fault::TooSlow => f.write_str("the request did not come in time"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Fault::Io(error)
    }
}
