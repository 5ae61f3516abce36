//! The relays as processes: started, stopped, stalled, killed by their ids, and ended with the day.

mod binary;
mod folder;
mod health;
mod process;
mod relay;

pub use binary::beside;
pub use folder::Folder;
pub use health::is_ready;
pub use relay::{Config, Keeps, Relay, Wanted};
