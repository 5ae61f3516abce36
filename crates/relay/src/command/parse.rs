//! From the words of the command line to a command.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser};

use super::arguments::{ArgumentsError, Form, Given};
use super::help;

const ADDRESS: &str = "an address such as 127.0.0.1:8081";
const NUMBER: &str = "a number";

/// What is to be done.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    Help(&'static str),
    Serve { config: Option<PathBuf>, state: Option<PathBuf>, operator: Option<PathBuf> },
    Check { config: Option<PathBuf>, operator: Option<PathBuf> },
    CheckSettings { file: PathBuf },
    Counters { address: SocketAddr },
    Journal { folder: PathBuf, records: bool },
    Version,
    Relay,
    Store,
    ConfigCheck { file: PathBuf },
    ConfigGet { address: SocketAddr },
    ConfigPut { address: SocketAddr, file: PathBuf, on_top: Option<u64> },
    Status { address: SocketAddr },
    Log { folder: PathBuf, names: bool },
    SnapshotSave { folder: PathBuf, file: PathBuf },
    SnapshotRestore { file: PathBuf, folder: PathBuf, name: String },
    Local(LocalOptions),
}

/// How a system on this machine is started.
#[derive(Debug, PartialEq, Eq)]
pub struct LocalOptions {
    /// It ends by itself after so long.
    pub seconds: Option<u64>,
    pub port: Option<u16>,
    pub folder: Option<PathBuf>,
}

/// Reads the words after the program's name.
pub fn parse(words: impl IntoIterator<Item = OsString>) -> Result<Command, ArgumentsError> {
    let mut parser = Parser::from_args(words);
    let Some(name) = command_name(&mut parser)? else { return Ok(Command::Help(help::OVERVIEW)) };
    match name.as_str() {
        "help" => Ok(Command::Help(help::OVERVIEW)),
        "serve" => {
            let form = Form { options: &["config", "state", "operator"], switches: &[], places: 0 };
            read(form, &mut parser, help::SERVE, |given| {
                let (config, state) = (given.path("config"), given.path("state"));
                Ok(Command::Serve { config, state, operator: given.path("operator") })
            })
        }
        "check" => {
            let form = Form { options: &["config", "operator", "settings"], switches: &[], places: 0 };
            read(form, &mut parser, help::CHECK, check)
        }
        "counters" => read(places(1), &mut parser, help::COUNTERS, |given| {
            Ok(Command::Counters { address: given.at(0, "ADDRESS", ADDRESS)? })
        }),
        "journal" => {
            let form = Form { options: &[], switches: &["records"], places: 1 };
            read(form, &mut parser, help::JOURNAL, |given| {
                Ok(Command::Journal { folder: given.path_at(0, "FOLDER")?, records: given.has("records") })
            })
        }
        "version" => read(places(0), &mut parser, help::VERSION, |_| Ok(Command::Version)),
        "relay" => read(places(0), &mut parser, help::RELAY, |_| Ok(Command::Relay)),
        "store" => read(places(0), &mut parser, help::STORE, |_| Ok(Command::Store)),
        "config" => config(&mut parser),
        "status" => read(places(1), &mut parser, help::STATUS, |given| {
            Ok(Command::Status { address: given.at(0, "ADDRESS", ADDRESS)? })
        }),
        "log" => {
            let form = Form { options: &[], switches: &["names"], places: 1 };
            read(form, &mut parser, help::LOG, |given| {
                Ok(Command::Log { folder: given.path_at(0, "FOLDER")?, names: given.has("names") })
            })
        }
        "snapshot" => snapshot(&mut parser),
        "local" => {
            let form = Form { options: &["for", "port", "folder"], switches: &[], places: 0 };
            read(form, &mut parser, help::LOCAL, local)
        }
        _ => Err(ArgumentsError::UnknownCommand(name)),
    }
}

/// The first word. None: help is asked for.
fn command_name(parser: &mut Parser) -> Result<Option<String>, ArgumentsError> {
    match parser.next().map_err(ArgumentsError::Option)? {
        None => Err(ArgumentsError::NoCommand),
        Some(Arg::Short('h') | Arg::Long("help")) => Ok(None),
        Some(Arg::Value(name)) => Ok(Some(name.to_string_lossy().into_owned())),
        Some(other) => Err(ArgumentsError::Option(other.unexpected())),
    }
}

fn places(places: usize) -> Form {
    Form { options: &[], switches: &[], places }
}

fn read(
    form: Form, parser: &mut Parser, help: &'static str,
    command: impl FnOnce(Given) -> Result<Command, ArgumentsError>,
) -> Result<Command, ArgumentsError> {
    match form.read(parser)? {
        Some(given) => command(given),
        None => Ok(Command::Help(help)),
    }
}

fn check(given: Given) -> Result<Command, ArgumentsError> {
    let (config, operator) = (given.path("config"), given.path("operator"));
    let Some(file) = given.path("settings") else { return Ok(Command::Check { config, operator }) };
    for (option, is_given) in [("config", config.is_some()), ("operator", operator.is_some())] {
        if is_given {
            return Err(ArgumentsError::Excluded { option, by: "settings" });
        }
    }
    Ok(Command::CheckSettings { file })
}

fn config(parser: &mut Parser) -> Result<Command, ArgumentsError> {
    let name = match command_name(parser) {
        Ok(name) => name,
        Err(ArgumentsError::NoCommand) => return Err(ArgumentsError::Missing { what: "check, get or put" }),
        Err(error) => return Err(error),
    };
    match name.as_deref() {
        None => Ok(Command::Help(help::CONFIG)),
        Some("check") => read(places(1), parser, help::CONFIG, |given| {
            Ok(Command::ConfigCheck { file: given.path_at(0, "FILE")? })
        }),
        Some("get") => read(places(1), parser, help::CONFIG, |given| {
            Ok(Command::ConfigGet { address: given.at(0, "ADDRESS", ADDRESS)? })
        }),
        Some("put") => {
            let form = Form { options: &["if-match"], switches: &[], places: 2 };
            read(form, parser, help::CONFIG, |given| {
                let (address, file) = (given.at(0, "ADDRESS", ADDRESS)?, given.path_at(1, "FILE")?);
                Ok(Command::ConfigPut { address, file, on_top: given.option("if-match", NUMBER)? })
            })
        }
        Some(other) => Err(ArgumentsError::UnknownCommand(format!("config {other}"))),
    }
}

fn snapshot(parser: &mut Parser) -> Result<Command, ArgumentsError> {
    let name = match command_name(parser) {
        Ok(name) => name,
        Err(ArgumentsError::NoCommand) => return Err(ArgumentsError::Missing { what: "save or restore" }),
        Err(error) => return Err(error),
    };
    match name.as_deref() {
        None => Ok(Command::Help(help::SNAPSHOT)),
        Some("save") => read(places(2), parser, help::SNAPSHOT, |given| {
            Ok(Command::SnapshotSave { folder: given.path_at(0, "FOLDER")?, file: given.path_at(1, "FILE")? })
        }),
        Some("restore") => {
            let form = Form { options: &["name"], switches: &[], places: 2 };
            read(form, parser, help::SNAPSHOT, |given| {
                let (file, folder) = (given.path_at(0, "FILE")?, given.path_at(1, "FOLDER")?);
                let name: Option<String> = given.option("name", "a name")?;
                let name = name.ok_or(ArgumentsError::Missing { what: "--name" })?;
                Ok(Command::SnapshotRestore { file, folder, name })
            })
        }
        Some(other) => Err(ArgumentsError::UnknownCommand(format!("snapshot {other}"))),
    }
}

fn local(given: Given) -> Result<Command, ArgumentsError> {
    let seconds = given.option("for", "a number of seconds")?;
    let port = given.option("port", "a port")?;
    Ok(Command::Local(LocalOptions { seconds, port, folder: given.path("folder") }))
}
