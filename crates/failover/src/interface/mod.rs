//! What goes into a failover machine and what comes out of it.

mod config;
mod io;
mod zones;

pub use config::Config;
pub use io::{Effect, Input, Seen, TurnedAway, ZoneHosts};
pub use zones::{Distance, MOST_ZONES, ZoneId, ZoneKey, Zones};

pub use pewterseam::interface::{DestinationId, Micros, Outcome, Placement};
pub use pewterseam_fleet::interface::{MemberId, Members, Severity, Ticket};

/// One second.
pub const SECOND: Micros = 1_000_000;
