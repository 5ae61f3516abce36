//! Signals of the platform.

use nix::errno::Errno;
use nix::sys::signal::{SigSet, SigmaskHow, Signal as Number};
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
    /// Takes the signals from now on. Call it before there are other threads.
    ///
    /// Danger: a handler stands for a moment before it knows what to do, and a signal that comes in between is lost. So the
    /// signals are held back meanwhile, and come afterwards.
    pub fn new() -> Result<Self, SystemError> {
        let failed = |error: Errno| SystemError::Signals(error.into());
        let heeded: SigSet = [Number::SIGTERM, Number::SIGINT, Number::SIGHUP].into_iter().collect();
        let before = heeded.thread_swap_mask(SigmaskHow::SIG_BLOCK).map_err(failed)?;
        let signals = Signals::take();
        before.thread_set_mask().map_err(failed)?;
        signals
    }

    fn take() -> Result<Self, SystemError> {
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
