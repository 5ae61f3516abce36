//! Checks of a process's settings file.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use pewterseam_config::settings::Settings;

use crate::error::ConsoleError;

/// Reads a settings file and tells in a line what it sets up, or all that is wrong with it.
pub fn check(path: &Path) -> Result<String, ConsoleError> {
    let text = fs::read_to_string(path).map_err(|error| ConsoleError::read(path, error))?;
    let settings =
        Settings::read(&text).map_err(|errors| ConsoleError::Settings { path: path.to_owned(), errors })?;
    Ok(summary(&settings))
}

fn summary(settings: &Settings) -> String {
    let mut line = format!("{}: zone {}, {} seeds", settings.node_name, settings.zone, settings.seeds.len());
    if let Some(folder) = &settings.data_dir {
        // Danger: none. Writing to a text does not fail.
        let _ = write!(line, ", data in {}", folder.display());
    }
    let _ = writeln!(line, ", {} machines may be lost at one time", settings.fault_tolerance.machines);
    line
}
