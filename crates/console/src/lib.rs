//! What the command line does with a system: configurations and settings are checked, operators' calls made, a relay's
//! status and a data folder printed, and a small system started on one machine.

pub mod client;
pub mod configuration;
pub mod error;
pub mod local;
pub mod log;
pub mod settings;
pub mod snapshot;
pub mod status;
