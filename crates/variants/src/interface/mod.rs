//! What goes into the part's machine and what comes out of it.

mod config;
mod io;

pub use config::Config;
pub use io::{Effect, Input, Offered, Unmerged};

pub use pewterseam::interface::Micros;
