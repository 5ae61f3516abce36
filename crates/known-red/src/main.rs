//! `known-red check|skips|seeds FILE`: plays the entries of the list, or tells what the run of all tests leaves out.

use std::fmt;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use pewterseam_known_red::{
    Entry, ListError, PlayError, Seed, Verdict, passed_over_seeds, play, read, skipped_tests,
};

const USAGE: &str = "known-red check|skips|seeds FILE";

enum Action {
    Check,
    Skips,
    Seeds,
}

enum Failure {
    Usage(lexopt::Error),
    Read {
        file: PathBuf,
        error: io::Error,
    },
    List {
        file: PathBuf,
        error: ListError,
    },
    Play(PlayError),
    /// Entries that are not true, each told before.
    Untrue(usize),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Usage(error) => write!(f, "{error}; {USAGE}"),
            Failure::Read { file, error } => write!(f, "cannot read {}: {error}", file.display()),
            Failure::List { file, error } => write!(f, "{}: {error}", file.display()),
            Failure::Play(error) => error.fmt(f),
            Failure::Untrue(count) => write!(f, "{count} entries are not true any more"),
        }
    }
}

fn arguments() -> Result<(Action, PathBuf), lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut action, mut file) = (None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Value(value) if action.is_none() => {
                action = Some(match value.string()?.as_str() {
                    "check" => Action::Check,
                    "skips" => Action::Skips,
                    "seeds" => Action::Seeds,
                    _ => return Err("the first word is check, skips or seeds".into()),
                });
            }
            Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    action.zip(file).ok_or_else(|| "two words are needed".into())
}

/// Plays one entry and tells what came of it. False where it is not true.
fn check(entry: &Entry) -> Result<bool, PlayError> {
    let Entry { line, test, seed, plays, seen, issue, .. } = entry;
    let seed = match seed {
        Seed::Of(seed) => format!(" at seed {seed}"),
        Seed::Any => String::new(),
    };
    let verdict = play(entry)?;
    match verdict {
        Verdict::Red { failed } => {
            println!("known red: {test}{seed}: {failed} of {plays} plays failed; {seen} (issue {issue})")
        }
        Verdict::Green => {
            println!("NOT RED: line {line}: {test}{seed} failed in none of {plays} plays; its entry must go")
        }
        Verdict::NotThere => {
            println!("NOT THERE: line {line}: `{}` plays no test {test}, or it does not build", entry.command)
        }
    }
    Ok(matches!(verdict, Verdict::Red { .. }))
}

fn run() -> Result<(), Failure> {
    let (action, file) = arguments().map_err(Failure::Usage)?;
    let text = match fs::read_to_string(&file) {
        Ok(text) => text,
        // A project without known faults has no list.
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        Err(error) => return Err(Failure::Read { file, error }),
    };
    let entries = read(&text).map_err(|error| Failure::List { file, error })?;
    match action {
        Action::Skips => skipped_tests(&entries).for_each(|test| println!("{test}")),
        Action::Seeds => println!("{}", passed_over_seeds(&entries)),
        Action::Check => {
            let mut untrue = 0;
            for entry in &entries {
                untrue += usize::from(!check(entry).map_err(Failure::Play)?);
            }
            if untrue > 0 {
                return Err(Failure::Untrue(untrue));
            }
            println!("{} known faults", entries.len());
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("known-red: {failure}");
            ExitCode::FAILURE
        }
    }
}
