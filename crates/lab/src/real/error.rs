//! Why a day can't be played on real processes.

use std::io;
use std::path::PathBuf;

use super::MOST_RELAYS;

/// Each says what the one who wanted the day can do.
#[derive(Debug, thiserror::Error)]
pub enum Unplayable {
    #[error("fault {place}: no zone or region is named '{name}'; fleet.zones names them")]
    NoSuchZone { place: usize, name: String },
    #[error("fault {place}: there is no {what} {number}; correct the fault's `who`")]
    NoSuchNumber { place: usize, what: &'static str, number: u32 },
    #[error(
        "fault {place}: a link ends at relays, hosts, discovery or clients that don't speak to each other"
    )]
    NoSuchLink { place: usize },
    #[error("{0} relays are too many for one machine's loopback addresses; {MOST_RELAYS} at most")]
    TooMany(u16),
    #[error(
        "no relay at {}; `cargo build -p pewterseam-relay --bin pewterseam` builds one, --relay names another",
        .0.display()
    )]
    NoRelay(PathBuf),
    #[error("{}: {error}; is the folder there, and may it be written?", path.display())]
    Folder { path: PathBuf, error: io::Error },
    #[error("{what}: {error}; does the machine have ports and descriptors left (ulimit -n)?")]
    Sockets { what: &'static str, error: io::Error },
    #[error("relay {relay} could not be started: {error}; is {} a program for this machine?", path.display())]
    NotStarted { relay: u16, path: PathBuf, error: io::Error },
    #[error("relay {relay} was not ready within {within_s} s; its log is {}", log.display())]
    NotReady { relay: u16, within_s: u64, log: PathBuf },
    #[error("stopped by a signal; every relay was ended")]
    Interrupted,
}
