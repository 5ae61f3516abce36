//! The commands for the whole system.

use std::env;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use pewterseam_console::error::ConsoleError;
use pewterseam_console::local::{self as local_system, Options};
use pewterseam_console::status::Lines;
use pewterseam_console::{configuration, log, settings, snapshot, status as relay_status};

use crate::command::LocalOptions;
use crate::{Done, print, runtime};

pub fn check_settings(file: &Path) -> Done {
    print(&settings::check(file)?)
}

pub fn check_configuration(file: &Path) -> Done {
    print(&configuration::check(file)?)
}

pub fn get_configuration(address: SocketAddr) -> Done {
    let text = runtime()?.block_on(configuration::get(address))?;
    print(&String::from_utf8_lossy(&text))
}

pub fn put_configuration(address: SocketAddr, file: &Path, on_top: Option<u64>) -> Done {
    let version = runtime()?.block_on(configuration::put(address, file, on_top))?;
    print(&format!("version {version} is in place\n"))
}

pub fn status(address: SocketAddr) -> Done {
    let status = runtime()?.block_on(relay_status::read(address))?;
    print(&Lines(&status).to_string())
}

pub fn log(folder: &Path, names: bool) -> Done {
    print(&log::describe(folder, names)?)
}

pub fn save_snapshot(folder: &Path, file: &Path) -> Done {
    print(&snapshot::save(folder, file)?.to_string())
}

pub fn restore_snapshot(file: &Path, folder: &Path, name: &str) -> Done {
    print(&snapshot::restore(file, folder, name)?.to_string())
}

pub fn local(options: LocalOptions) -> Done {
    let program = env::current_exe().map_err(|error| ConsoleError::read("this program", error))?;
    let end_after = options.seconds.map(Duration::from_secs);
    let options = Options { program, end_after, port: options.port, folder: options.folder };
    Ok(runtime()?.block_on(local_system::run(options))?)
}
