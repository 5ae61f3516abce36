//! A key step by step, for `check`.

use std::fmt;

use super::forms::Canon;
use super::parts::{Found, Reading, Seen};
use super::rewrite::parts;
use super::rule::{Absent, Part, Rule};

/// How one part came to its form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Where it was found, as `header X-Reference`.
    pub place: String,
    /// In the order of the forms, each with the value behind it; the first is what was found.
    pub values: Vec<(String, String)>,
    /// What it comes out as.
    pub gives: String,
    pub role: Role,
}

/// What a part does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Key,
    /// It keeps apart, and is in the key.
    Apart,
    /// It keeps apart where it is there, and its absence agrees with any value.
    Agrees,
    /// It is missing or there twice: the message goes by itself.
    ByItself,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            Role::Key => "key",
            Role::Apart => "keeps apart",
            Role::Agrees => "keeps apart if there",
            Role::ByItself => "so it goes by itself",
        };
        write!(f, "{}:", self.place)?;
        for (number, (form, value)) in self.values.iter().enumerate() {
            match number {
                0 => write!(f, " {value}")?,
                _ => write!(f, " -> {form} {value}")?,
            }
        }
        write!(f, " ({role})")
    }
}

/// How the key of a message comes about, part by part.
pub fn explain(rule: &Rule, seen: Seen<'_>) -> Vec<Step> {
    let reading = Reading::new(rule, seen);
    let in_key = rule.key.len();
    parts(rule).enumerate().map(|(place, part)| step(&reading, part, place < in_key)).collect()
}

fn step(reading: &Reading<'_>, part: &Part, key: bool) -> Step {
    let mut values = Vec::new();
    let found = reading.part(part, |form, value| {
        values.push((form.map_or_else(String::new, ToString::to_string), value.to_string()));
    });
    let role = match (&found, part.absent) {
        (Found::Twice, _) => Role::ByItself,
        (Found::Value(Canon::Absent), Absent::ByItself) => Role::ByItself,
        _ if key => Role::Key,
        (_, Absent::Agrees) => Role::Agrees,
        _ => Role::Apart,
    };
    let gives = match found {
        Found::Twice => "(twice)".to_owned(),
        Found::Value(value) => value.to_string(),
    };
    Step { place: part.source.to_string(), values, gives, role }
}
