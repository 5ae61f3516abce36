//! The command line of the relay.

mod command;
mod failure;
mod system;

use std::env;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use command::Command;
use failure::Failure;
use pewterseam_errors::ErrorLine;
use pewterseam_fleet::interface::Config as Member;
use pewterseam_http1::Request;
use pewterseam_relay::agent::Agent;
use pewterseam_relay::config::Config;
use pewterseam_relay::forming::Forming;
use pewterseam_relay::journal;
use pewterseam_relay::serve::{self, Fault};
use slog::{Drain, Logger, o};
use tokio::sync::watch;

type Done = Result<(), Failure>;

fn main() -> ExitCode {
    let done = command::parse(env::args_os().skip(1)).map_err(Failure::Arguments).and_then(run);
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewterseam: {}", ErrorLine(&error));
            for detail in error.details() {
                eprintln!("  {detail}");
            }
            ExitCode::FAILURE
        }
    }
}

/// A reader that has seen enough is no failure.
fn print(text: &str) -> Done {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Output(error)),
        _ => Ok(()),
    }
}

fn run(command: Command) -> Done {
    match command {
        Command::Help(text) => print(text),
        Command::Serve { config, state, operator } => serve(config.as_deref(), state, operator),
        Command::Check { config, operator } => check(config.as_deref(), operator),
        Command::Counters { address } => counters(address),
        Command::Journal { folder, records } => print_journal(&folder, records),
        Command::Version => print(&format!("pewterseam {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Relay => Ok(pewterseam_system::run_relay()?),
        Command::Store => Ok(pewterseam_system::run_store()?),
        Command::CheckSettings { file } => system::check_settings(&file),
        Command::ConfigCheck { file } => system::check_configuration(&file),
        Command::ConfigGet { address } => system::get_configuration(address),
        Command::ConfigPut { address, file, on_top } => system::put_configuration(address, &file, on_top),
        Command::Status { address } => system::status(address),
        Command::Log { folder, names } => system::log(&folder, names),
        Command::SnapshotSave { folder, file } => system::save_snapshot(&folder, &file),
        Command::SnapshotRestore { file, folder, name } => system::restore_snapshot(&file, &folder, &name),
        Command::Local(options) => system::local(options),
    }
}

fn configuration(file: Option<&Path>) -> Result<Config, Failure> {
    let variable = |name: &str| env::var(name).ok();
    let named = variable("NODE_CONFIG").map(PathBuf::from);
    let file = file.map(Path::to_owned).or(named);
    let file = file.ok_or(Failure::NoConfiguration)?;
    Ok(Config::read(&file, variable)?)
}

/// The operator's file, if one is named.
fn forming(file: Option<PathBuf>) -> Result<Option<Forming>, Failure> {
    let file = file.or(env::var_os("PEWTERSEAM_OPERATOR").map(PathBuf::from));
    Ok(file.map(|file| Forming::read(&file)).transpose().map_err(Fault::from)?)
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::Runtime)
}

fn serve(file: Option<&Path>, state: Option<PathBuf>, operator: Option<PathBuf>) -> Done {
    let config = configuration(file)?;
    let forming = forming(operator)?;
    let state = state.or(env::var_os("NODE_STATE").map(PathBuf::from));
    let state = state.ok_or(Failure::NoFolder)?;
    let decorator = slog_term::PlainDecorator::new(io::stderr());
    // Lines that can't be written are dropped.
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
    let log = Logger::root(slog_async::Async::new(drain).build().ignore_res(), o!());
    Ok(runtime()?.block_on(serve::run(config, forming, &state, log))?)
}

/// This relay as a member of a fleet, if an operator's file forms one; all of the file is looked at.
fn member(config: &Config, file: Option<PathBuf>) -> Result<Option<Member>, Failure> {
    let Some(forming) = forming(file)? else { return Ok(None) };
    let member = forming.member(config).map_err(Fault::from)?;
    forming.failover(config, &member).map_err(Fault::from)?;
    Ok(Some(member))
}

fn check(file: Option<&Path>, operator: Option<PathBuf>) -> Done {
    let config = configuration(file)?;
    serve::check(&config)?;
    let member = member(&config, operator)?;
    let settings = &config.deployment.settings;
    let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
    let fleet = member.map_or(String::new(), |member| {
        let (place, voters) = (member.me.0, member.voters.len());
        format!(", member {place} in zone {} of {}, {voters} voters at first", member.zone, member.region)
    });
    let name = &config.name;
    print(&format!("{name}: {classes} classes, {tenants} tenants, {} slots{fleet}\n", settings.slots))
}

fn counters(address: SocketAddr) -> Done {
    let mut agent = Agent::new(watch::channel(address).1);
    let asked = async { agent.ask(Request::get("/_counters"), Duration::MAX).await };
    let response = runtime()?.block_on(asked).map_err(|_| Failure::Silent(address))?;
    if response.status != 200 {
        return Err(Failure::Answered { address, status: response.status });
    }
    print(&String::from_utf8_lossy(&response.body))
}

fn print_journal(folder: &Path, records: bool) -> Done {
    let mut text = String::new();
    let history = journal::read(folder, |read| match read {
        Ok(record) if records => text += &format!("{record}\n"),
        Ok(_) => {}
        Err(damage) => text += &format!("{}\n", ErrorLine(damage)),
    });
    let history = history.map_err(|error| Failure::Journal { folder: folder.to_owned(), error })?;
    for restored in history.messages.iter().filter(|_| !records) {
        text += &format!("{restored}\n");
    }
    if history.dropped > 0 {
        text += &format!("{} bytes could not be read\n", history.dropped);
    }
    print(&text)
}
