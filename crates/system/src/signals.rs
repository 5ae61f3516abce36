//! Signals of the platform.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::SystemError;

/// What the platform signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// SIGTERM or SIGINT: end within the grace period.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// The signals that a process of the system heeds.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    pub fn new() -> Result<Self, SystemError> {
        let take = |kind| signal(kind).map_err(SystemError::Signals);
        Ok(Signals {
            terminate: take(SignalKind::terminate())?,
            interrupt: take(SignalKind::interrupt())?,
            hang_up: take(SignalKind::hangup())?,
        })
    }

    pub async fn next(&mut self) -> Notice {
        tokio::select! {
            _ = self.terminate.recv() => Notice::Stop,
            _ = self.interrupt.recv() => Notice::Stop,
            _ = self.hang_up.recv() => Notice::Reload,
        }
    }
}
