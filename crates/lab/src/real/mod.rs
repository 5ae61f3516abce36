//! Days on real processes: relays as they are built, stand-ins for all that they speak to, every link through
//! the rig. What is drawn follows from the plan's seed; what the machine's own timing adds does not, so that
//! two plays of a day agree in their verdict and not in their bytes.

mod book;
mod clients;
mod clock;
mod day;
mod discovery;
mod draws;
mod error;
mod faults;
mod fleet;
mod hosts;
mod links;
mod members;
mod noted;
mod places;
mod processes;
mod record;
mod settings;
mod summary;
mod timeline;
mod traffic;

pub use day::{Options, Played, play};
pub use error::Unplayable;
pub use links::Struck;
pub use processes::beside;
pub use record::write_story;
pub use settings::{DRAIN_GRACE_S, ORDER_REST_S, OVERLOAD_FACTOR, OVERLOAD_S};
pub use summary::Summary;

/// Each relay has a loopback address of its own; so many fit beside each other.
pub const MOST_RELAYS: u16 = 120;
