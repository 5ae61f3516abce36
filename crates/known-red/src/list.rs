//! Reads the list, and refuses what is not in its form.

use std::fmt;
use std::num::NonZeroU32;

use crate::entry::{Entry, Seed};

/// So often a command is played at the most.
const MOST_PLAYS: u32 = 20;
/// The value of `seed` where any play may fail.
const ANY_SEED: &str = "none";

/// Why a list cannot be read. Lines count from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListError {
    /// A line is not `name: value`.
    NoField { line: usize, text: String },
    /// No entry has a field of this name.
    UnknownField { line: usize, name: String },
    /// An entry has a field twice.
    Twice { line: usize, name: &'static str },
    /// An entry lacks a field.
    Missing { line: usize, name: &'static str },
    /// A value is not of the form that its field has.
    Value { line: usize, name: &'static str, value: String, wanted: &'static str },
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::NoField { line, text } => write!(f, "line {line}: not `name: value`: {text}"),
            ListError::UnknownField { line, name } => write!(f, "line {line}: no field is called {name}"),
            ListError::Twice { line, name } => write!(f, "line {line}: the entry has {name} already"),
            ListError::Missing { line, name } => {
                write!(f, "line {line}: the entry that begins here has no {name}")
            }
            ListError::Value { line, name, value, wanted } => {
                write!(f, "line {line}: {name} is {value:?}, and should be {wanted}")
            }
        }
    }
}

impl std::error::Error for ListError {}

/// The names of all fields.
const FIELDS: [&str; 6] = ["test", "command", "seed", "plays", "seen", "issue"];

/// An entry that is being read: the value of each field with its line.
struct Draft<'a> {
    line: usize,
    values: [Option<(usize, &'a str)>; FIELDS.len()],
}

impl<'a> Draft<'a> {
    fn take(&mut self, line: usize, text: &'a str) -> Result<(), ListError> {
        let Some((name, value)) = text.split_once(':') else {
            return Err(ListError::NoField { line, text: text.to_owned() });
        };
        let Some(field) = FIELDS.iter().position(|known| *known == name) else {
            return Err(ListError::UnknownField { line, name: name.to_owned() });
        };
        if self.values[field].is_some() {
            return Err(ListError::Twice { line, name: FIELDS[field] });
        }
        self.values[field] = Some((line, value.trim()));
        Ok(())
    }

    fn finish(self) -> Result<Entry, ListError> {
        let mut values = [(0, ""); FIELDS.len()];
        for ((value, found), name) in values.iter_mut().zip(self.values).zip(FIELDS) {
            *value = found.ok_or(ListError::Missing { line: self.line, name })?;
        }
        let [test, command, seed, plays, seen, issue] = values;
        let wrong = |name, (line, value): (usize, &str), wanted| ListError::Value {
            line,
            name,
            value: value.to_owned(),
            wanted,
        };
        let is_path = |text: &str| {
            !text.is_empty() && text.chars().all(|letter| letter.is_alphanumeric() || "_:".contains(letter))
        };
        if !is_path(test.1) {
            return Err(wrong("test", test, "the path of a test"));
        }
        if !command.1.contains(test.1) {
            return Err(wrong("command", command, "a command that names the test"));
        }
        let seed_read = match seed.1 {
            ANY_SEED => Seed::Any,
            text => Seed::Of(text.parse().map_err(|_| wrong("seed", seed, "a number or `none`"))?),
        };
        if matches!(seed_read, Seed::Of(_)) && !command.1.contains(seed.1) {
            return Err(wrong("command", command, "a command that names the seed"));
        }
        let plays_read = plays.1.parse().ok().filter(|plays: &NonZeroU32| plays.get() <= MOST_PLAYS);
        if seen.1.is_empty() {
            return Err(wrong("seen", seen, "what was seen"));
        }
        Ok(Entry {
            line: self.line,
            test: test.1.to_owned(),
            command: command.1.to_owned(),
            seed: seed_read,
            plays: plays_read.ok_or_else(|| wrong("plays", plays, "a number from 1 to 20"))?,
            seen: seen.1.to_owned(),
            issue: issue.1.parse().map_err(|_| wrong("issue", issue, "the number of an issue"))?,
        })
    }
}

/// Reads a list.
///
/// # Errors
///
/// Tells the first line that is not in the list's form.
pub fn read(text: &str) -> Result<Vec<Entry>, ListError> {
    let mut entries = Vec::new();
    let mut draft: Option<Draft<'_>> = None;
    for (index, text) in text.lines().map(str::trim).enumerate() {
        let line = index + 1;
        if text.starts_with('#') {
            continue;
        }
        if text.is_empty() {
            entries.extend(draft.take().map(Draft::finish).transpose()?);
            continue;
        }
        draft.get_or_insert(Draft { line, values: [None; FIELDS.len()] }).take(line, text)?;
    }
    entries.extend(draft.map(Draft::finish).transpose()?);
    Ok(entries)
}

/// The tests that are left out of the run of all tests.
pub fn skipped_tests(entries: &[Entry]) -> impl Iterator<Item = &str> {
    entries.iter().filter(|entry| entry.seed == Seed::Any).map(|entry| entry.test.as_str())
}

/// The variable by which CI tells tests that play by seeds what to leave out.
const SEEDS_VARIABLE: &str = "KNOWN_RED_SEEDS";

/// Whether this seed of one of these tests is to be left out, as CI has told in `KNOWN_RED_SEEDS`.
pub fn is_passed_over(tests: &[&str], seed: u64) -> bool {
    let listed = std::env::var(SEEDS_VARIABLE).unwrap_or_default();
    listed.split(' ').any(|entry| tests.iter().any(|test| entry == format!("{test}={seed}")))
}

/// What tests that play by seeds leave out, as the variable `KNOWN_RED_SEEDS` tells them: `test=seed`, apart by spaces.
pub fn passed_over_seeds(entries: &[Entry]) -> String {
    let one = |entry: &Entry| match entry.seed {
        Seed::Of(seed) => Some(format!("{}={seed}", entry.test)),
        Seed::Any => None,
    };
    entries.iter().filter_map(one).collect::<Vec<_>>().join(" ")
}
