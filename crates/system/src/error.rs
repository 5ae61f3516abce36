//! Why a process of the system could not start or go on.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use pewterseam_config::SchemaError;
use pewterseam_config::settings::{PATH_VARIABLE, SettingsError};
use pewterseam_control::ControlError;
use pewterseam_ingress::FrontError;
use pewterseam_message_log::RecoverError;
use pewterseam_storage::StorageError;
use pewterseam_transport::TransportError;

/// Why a process could not start or go on, and what to do.
#[derive(Debug)]
pub enum SystemError {
    NoSettings,
    ReadSettings {
        path: PathBuf,
        error: io::Error,
    },
    Settings {
        path: PathBuf,
        errors: Vec<SettingsError>,
    },
    /// The settings lack something that this role needs.
    Missing {
        what: &'static str,
    },
    Bind {
        address: SocketAddr,
        error: io::Error,
    },
    Front(FrontError),
    Transport(TransportError),
    Folder {
        path: PathBuf,
        error: io::Error,
    },
    Storage(StorageError),
    Recover(RecoverError),
    Control(ControlError),
    Schema(SchemaError),
    Signals(io::Error),
    Runtime(io::Error),
}

impl fmt::Display for SystemError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SystemError::NoSettings => {
                write!(f, "no settings file is named; set {PATH_VARIABLE} to its path")
            }
            SystemError::ReadSettings { path, error } => {
                write!(f, "the settings file {} cannot be read: {error}; check the path", path.display())
            }
            SystemError::Settings { path, errors } => {
                write!(f, "the settings file {} is not valid:", path.display())?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
            SystemError::Missing { what } => write!(f, "the settings lack {what}, which this role needs"),
            SystemError::Bind { address, error } => {
                write!(f, "cannot listen at {address}: {error}; check that no other process uses the port")
            }
            SystemError::Front(error) => write!(f, "{error}"),
            SystemError::Transport(error) => write!(f, "{error}"),
            SystemError::Folder { path, error } => {
                write!(f, "the data folder {} cannot be used: {error}; check its rights", path.display())
            }
            SystemError::Storage(error) => write!(f, "{error}"),
            SystemError::Recover(error) => write!(f, "{error}"),
            SystemError::Control(error) => write!(f, "{error}"),
            SystemError::Schema(error) => write!(f, "{error}"),
            SystemError::Signals(error) => write!(f, "signals cannot be taken: {error}"),
            SystemError::Runtime(error) => write!(f, "the event loop cannot start: {error}"),
        }
    }
}

impl std::error::Error for SystemError {}

impl From<TransportError> for SystemError {
    fn from(error: TransportError) -> Self {
        SystemError::Transport(error)
    }
}

impl From<FrontError> for SystemError {
    fn from(error: FrontError) -> Self {
        SystemError::Front(error)
    }
}

impl From<StorageError> for SystemError {
    fn from(error: StorageError) -> Self {
        SystemError::Storage(error)
    }
}

impl From<RecoverError> for SystemError {
    fn from(error: RecoverError) -> Self {
        SystemError::Recover(error)
    }
}

impl From<ControlError> for SystemError {
    fn from(error: ControlError) -> Self {
        SystemError::Control(error)
    }
}
