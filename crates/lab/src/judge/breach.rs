//! A rule that was broken, and what has to be known to understand how.

use std::fmt;

use pewterseam::interface::Micros;
use serde::Serialize;

use super::world::Occasion;
use crate::story::{HostNumber, RelayNumber, Told};

/// Whom a breach is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct About {
    pub occasion: Option<Occasion>,
    pub relay: Option<RelayNumber>,
    pub host: Option<HostNumber>,
    pub destination: Option<u32>,
}

/// One rule broken once.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    pub rule: &'static str,
    pub at: Micros,
    pub about: About,
    /// What happened, in a sentence.
    pub text: String,
    /// What was told of the message, of the destination, and of decisions at the time; empty until it is
    /// asked for.
    pub story: Vec<Told>,
}

impl Breach {
    pub fn new(rule: &'static str, at: Micros, about: About, text: String) -> Self {
        Breach { rule, at, about, text, story: Vec::new() }
    }
}

pub(super) fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.6} s: {}", self.rule, seconds(self.at), self.text)?;
        for told in &self.story {
            write!(f, "\n  {:>12.6} s  {:?}", seconds(told.at), told.what)?;
        }
        Ok(())
    }
}
