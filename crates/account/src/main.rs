//! Prints where a day's worth went.

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use pewterseam_account::{Account, AccountError, Bound, Report, Site, show};

const USAGE: &str = "usage: pewterseam-account REPORT SITE [DAY]

  REPORT  the report of a played day, as JSON
  SITE    the site file, as TOML
  DAY     the day's name in the site file; with it, what no policy could have had is told";

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match account(&arguments) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("pewterseam-account: {error}");
            ExitCode::FAILURE
        }
    }
}

struct Arguments {
    report: PathBuf,
    site: PathBuf,
    day: Option<String>,
}

fn arguments() -> Result<Arguments, lexopt::Error> {
    let mut values: Vec<OsString> = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(value) if values.len() < 3 => values.push(value),
            _ => return Err(argument.unexpected()),
        }
    }
    let mut values = values.into_iter();
    let mut path = |name: &str| {
        values.next().map(PathBuf::from).ok_or(lexopt::Error::MissingValue { option: Some(name.to_owned()) })
    };
    let (report, site) = (path("REPORT")?, path("SITE")?);
    let day = values.next().map(|value| value.string()).transpose()?;
    Ok(Arguments { report, site, day })
}

fn account(arguments: &Arguments) -> Result<String, AccountError> {
    let report = Report::read(&read(&arguments.report)?)?;
    let site = Site::read(&read(&arguments.site)?)?;
    let day = arguments.day.as_deref().map(|name| site.day(name)).transpose()?;
    let bound = day.map(|day| Bound::new(&report, &site, day));
    Ok(show(&report, &Account::new(&report, &site), bound.as_ref()))
}

fn read(path: &PathBuf) -> Result<String, AccountError> {
    fs::read_to_string(path).map_err(|error| AccountError::Read { path: path.clone(), error })
}
