//! What can go wrong with the files that an account is made of.

use std::fmt;
use std::path::PathBuf;

/// Why no account can be made.
#[derive(Debug)]
pub enum AccountError {
    Read { path: PathBuf, error: std::io::Error },
    Report(serde_json::Error),
    Site(toml::de::Error),
    NoDay { name: String },
}

impl fmt::Display for AccountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AccountError::Read { path, error } => write!(f, "{} cannot be read: {error}", path.display()),
            AccountError::Report(error) => write!(f, "the report is no report of a day: {error}"),
            AccountError::Site(error) => write!(f, "the site cannot be read: {error}"),
            AccountError::NoDay { name } => write!(f, "the site has no day named {name}"),
        }
    }
}

impl std::error::Error for AccountError {}
