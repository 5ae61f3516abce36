//! Options, switches and places of one command.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use lexopt::{Arg, Parser};

/// Why a command line cannot be followed.
#[derive(Debug)]
pub enum ArgumentsError {
    NoCommand,
    UnknownCommand(String),
    /// An option that the command does not have, or one without its value.
    Option(lexopt::Error),
    GivenTwice {
        option: &'static str,
    },
    Missing {
        what: &'static str,
    },
    NotUsable {
        what: String,
        value: String,
        wanted: &'static str,
    },
    /// Two options that exclude each other.
    Excluded {
        option: &'static str,
        by: &'static str,
    },
}

impl fmt::Display for ArgumentsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentsError::NoCommand => f.write_str("no command is given"),
            ArgumentsError::UnknownCommand(word) => write!(f, "there is no command {word:?}"),
            ArgumentsError::Option(error) => write!(f, "{error}"),
            ArgumentsError::GivenTwice { option } => write!(f, "--{option} is given twice"),
            ArgumentsError::Missing { what } => write!(f, "{what} is missing"),
            ArgumentsError::NotUsable { what, value, wanted } => {
                write!(f, "{what} {value:?} is not {wanted}")
            }
            ArgumentsError::Excluded { option, by } => write!(f, "--{option} does not go with --{by}"),
        }
    }
}

impl std::error::Error for ArgumentsError {}

/// What a command takes.
pub struct Form {
    /// Options with a value.
    pub options: &'static [&'static str],
    /// Options without one.
    pub switches: &'static [&'static str],
    /// The most values without an option.
    pub places: usize,
}

/// What was given to a command.
#[derive(Default)]
pub struct Given {
    options: BTreeMap<&'static str, OsString>,
    switches: Vec<&'static str>,
    places: Vec<OsString>,
}

impl Form {
    /// Reads the rest of the command line. None: help is asked for.
    pub fn read(&self, parser: &mut Parser) -> Result<Option<Given>, ArgumentsError> {
        let mut given = Given::default();
        while let Some(argument) = parser.next().map_err(ArgumentsError::Option)? {
            match argument {
                Arg::Short('h') | Arg::Long("help") => return Ok(None),
                Arg::Long(name) => {
                    if let Some(option) = find(self.options, name) {
                        let value = parser.value().map_err(ArgumentsError::Option)?;
                        if given.options.insert(option, value).is_some() {
                            return Err(ArgumentsError::GivenTwice { option });
                        }
                    } else if let Some(switch) = find(self.switches, name) {
                        given.switches.push(switch);
                    } else {
                        return Err(ArgumentsError::Option(argument.unexpected()));
                    }
                }
                Arg::Value(value) if given.places.len() < self.places => given.places.push(value),
                other => return Err(ArgumentsError::Option(other.unexpected())),
            }
        }
        Ok(Some(given))
    }
}

fn find(names: &'static [&'static str], name: &str) -> Option<&'static str> {
    names.iter().copied().find(|known| *known == name)
}

impl Given {
    pub fn has(&self, switch: &str) -> bool {
        self.switches.contains(&switch)
    }

    /// The path of an option.
    pub fn path(&self, option: &str) -> Option<PathBuf> {
        self.options.get(option).map(PathBuf::from)
    }

    /// The value of an option in its type.
    pub fn option<T: FromStr>(
        &self, option: &str, wanted: &'static str,
    ) -> Result<Option<T>, ArgumentsError> {
        let Some(value) = self.options.get(option) else { return Ok(None) };
        parsed(format!("--{option}"), value, wanted).map(Some)
    }

    /// The path at a place.
    pub fn path_at(&self, place: usize, what: &'static str) -> Result<PathBuf, ArgumentsError> {
        self.places.get(place).map(PathBuf::from).ok_or(ArgumentsError::Missing { what })
    }

    /// The value at a place in its type.
    pub fn at<T: FromStr>(
        &self, place: usize, what: &'static str, wanted: &'static str,
    ) -> Result<T, ArgumentsError> {
        let value = self.places.get(place).ok_or(ArgumentsError::Missing { what })?;
        parsed(what.to_owned(), value, wanted)
    }
}

fn parsed<T: FromStr>(what: String, value: &OsString, wanted: &'static str) -> Result<T, ArgumentsError> {
    let value = value.to_string_lossy().into_owned();
    value.parse().map_err(|_| ArgumentsError::NotUsable { what, value, wanted })
}
