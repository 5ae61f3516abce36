//! Plays the command of an entry, and judges what came of it.

use std::fmt;
use std::io;
use std::process::{Command, Stdio};

use crate::entry::Entry;

/// What became of the test in one play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Failed,
    Passed,
    /// The test runner told nothing of it: there is no such test, or it does not build.
    NotThere,
}

/// What follows from all plays of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It failed in so many of the plays.
    Red { failed: usize },
    /// It failed in none: the entry must go.
    Green,
    /// In some play it was not there.
    NotThere,
}

/// The shell could not be started.
#[derive(Debug)]
pub struct PlayError {
    pub command: String,
    pub error: io::Error,
}

impl fmt::Display for PlayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot play `{}`: {}", self.command, self.error)
    }
}

impl std::error::Error for PlayError {}

/// What the output of a test runner tells of a test.
pub fn outcome_of(test: &str, output: &str) -> Outcome {
    let told =
        output.lines().find_map(|line| line.strip_prefix("test ")?.strip_prefix(test)?.strip_prefix(" ... "));
    match told {
        Some(told) if told.ends_with("FAILED") => Outcome::Failed,
        Some(told) if told.ends_with("ok") => Outcome::Passed,
        _ => outcome_behind_output(test, output),
    }
}

/// A test that prints while it runs has its outcome further on; the list of failures names it.
fn outcome_behind_output(test: &str, output: &str) -> Outcome {
    let has_begun = output.lines().any(|line| line.starts_with(&format!("test {test} ... ")));
    let is_listed = output.contains("test result: FAILED.") && output.lines().any(|line| line.trim() == test);
    match (has_begun, is_listed) {
        (_, true) => Outcome::Failed,
        (true, false) if output.contains("test result: ok.") => Outcome::Passed,
        _ => Outcome::NotThere,
    }
}

/// What follows from the outcomes of all plays.
pub fn verdict(outcomes: &[Outcome]) -> Verdict {
    if outcomes.contains(&Outcome::NotThere) || outcomes.is_empty() {
        return Verdict::NotThere;
    }
    match outcomes.iter().filter(|outcome| **outcome == Outcome::Failed).count() {
        0 => Verdict::Green,
        failed => Verdict::Red { failed },
    }
}

/// Plays an entry's command so often as the entry says, from the present folder.
///
/// # Errors
///
/// Where no shell can be started.
pub fn play(entry: &Entry) -> Result<Verdict, PlayError> {
    let play_once = |_| {
        let output = Command::new("sh").args(["-c", &entry.command]).stdin(Stdio::null()).output();
        let output = output.map_err(|error| PlayError { command: entry.command.clone(), error })?;
        let text = String::from_utf8_lossy(&output.stdout);
        Ok(outcome_of(&entry.test, &text))
    };
    let outcomes = (0..entry.plays.get()).map(play_once).collect::<Result<Vec<Outcome>, PlayError>>()?;
    Ok(verdict(&outcomes))
}
