//! Configurations of the operator, and the settings file of a process.
//!
//! - [`Checker`] decides whether a configuration, or a change to one, is valid, and lists all that is wrong with it.
//! - [`CompiledConfig`] is the form in which a valid configuration is in force: routes by host and path, services by
//!   name.
//! - [`LiveConfig`] is a configuration to which changes are applied.
//! - [`apply_patch`] makes the next document out of a document and a change; items keep their order and their bytes.
//! - [`settings::Settings`] is the settings file.

mod check;
mod compiled;
mod document;
mod error;
mod live;
mod patched;
pub mod settings;

pub use check::{Checker, SchemaError};
pub use compiled::{CompiledConfig, Limits, Route, Service};
pub use document::{apply_patch, patch_version};
pub use error::ConfigError;
pub use live::LiveConfig;
