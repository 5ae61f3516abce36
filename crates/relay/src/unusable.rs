//! What is wrong with a relay's configuration, and what an operator can do about it.

use std::io;
use std::path::PathBuf;

use pewterseam_errors::Advice;
use pewterseam_settings::Malformed;
use thiserror::Error;

/// Why a configuration does not do for a start.
#[derive(Debug, Error)]
pub enum Unusable {
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: io::Error },
    /// No JSON, or not the object that is expected; in the parser's own words.
    #[error("{}: {error}", path.display())]
    Form { path: PathBuf, error: serde_json::Error },
    #[error("{}: settings: {error}", path.display())]
    Settings { path: PathBuf, error: Malformed },
    #[error("{}: seed {seed:?} is no number in hex", path.display())]
    Seed { path: PathBuf, seed: String },
    #[error("{}: limits.disk_mb must be above 0", path.display())]
    Disk { path: PathBuf },
    #[error("{}: relay {me} is not among its peers", path.display())]
    NoPeer { path: PathBuf, me: usize, peers: usize },
    /// In the environment.
    #[error("{name}: {text:?} is no address")]
    Address { name: &'static str, text: String },
}

impl Advice for Unusable {
    fn code(&self) -> &'static str {
        match self {
            Unusable::Unreadable { .. } => "config-unreadable",
            Unusable::Form { .. } => "config-form",
            Unusable::Settings { error, .. } => error.code(),
            Unusable::Seed { .. } => "config-seed",
            Unusable::Disk { .. } => "config-disk",
            Unusable::NoPeer { .. } => "config-peer",
            Unusable::Address { .. } => "config-address",
        }
    }

    fn help(&self) -> String {
        match self {
            Unusable::Unreadable { .. } => "name a file that this user may read".to_owned(),
            Unusable::Form { .. } => "correct the file at that place".to_owned(),
            Unusable::Settings { error, .. } => error.help(),
            Unusable::Seed { .. } => "set seed to up to 16 hexadecimal digits".to_owned(),
            Unusable::Disk { .. } => "set limits.disk_mb to what the folder may hold".to_owned(),
            Unusable::NoPeer { peers, .. } => {
                format!("set settings.me to less than {peers}, or list the address of every relay in peers")
            }
            Unusable::Address { name, .. } => format!("set {name} to an address and port, or leave it out"),
        }
    }
}
