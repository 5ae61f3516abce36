//! What can be wrong with a configuration.

use std::fmt;

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// It is no JSON, or not of a configuration's form.
    Unreadable { reason: String },
    /// A field is missing, or its value is not allowed.
    Field { item: String, reason: String },
    /// The version is not above the one in place.
    VersionNotAbove { version: u64, current: u64 },
    /// Two items of one list have the same name.
    DuplicateName { list: &'static str, name: String },
    /// A route names a service that is not there.
    UnknownService { route: String, service: String },
    /// Two routes have the same host and prefix.
    SharedPrefix { route: String, other: String },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable { reason } => write!(f, "the configuration cannot be read: {reason}"),
            ConfigError::Field { item, reason } => write!(f, "{item}: {reason}"),
            ConfigError::VersionNotAbove { version, current } => {
                write!(f, "version {version} is not above the current version {current}")
            }
            ConfigError::DuplicateName { list, name } => write!(f, "{list} has the name {name} twice"),
            ConfigError::UnknownService { route, service } => {
                write!(f, "route {route} names the unknown service {service}")
            }
            ConfigError::SharedPrefix { route, other } => {
                write!(f, "route {route} has the same host and prefix as route {other}")
            }
        }
    }
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    pub(crate) fn unreadable(error: &serde_json::Error) -> Self {
        ConfigError::Unreadable { reason: error.to_string() }
    }
}
