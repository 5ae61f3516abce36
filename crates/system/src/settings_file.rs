//! The settings file: read at the start, and again when it changes.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use pewterseam_config::settings::{PATH_VARIABLE, Settings};

use crate::error::SystemError;

/// A settings file, with what is needed to notice a change.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    seen: Option<SystemTime>,
}

impl SettingsFile {
    /// The file that the environment names.
    pub fn from_environment() -> Result<Self, SystemError> {
        let path = std::env::var_os(PATH_VARIABLE).map(PathBuf::from).ok_or(SystemError::NoSettings)?;
        Ok(SettingsFile { path, seen: None })
    }

    pub fn read(&mut self) -> Result<Settings, SystemError> {
        self.seen = modified(&self.path);
        let text = fs::read_to_string(&self.path)
            .map_err(|error| SystemError::ReadSettings { path: self.path.clone(), error })?;
        Settings::read(&text).map_err(|errors| SystemError::Settings { path: self.path.clone(), errors })
    }

    /// Reads the file again if it was written since.
    pub fn read_if_changed(&mut self) -> Option<Result<Settings, SystemError>> {
        (modified(&self.path) != self.seen).then(|| self.read())
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
