//! A timer that is moved as deadlines change.

use std::pin::Pin;

use pewterseam_wire::Micros;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::clock::SteadyClock;

/// One timer for all deadlines of a process.
pub struct Wake {
    clock: SteadyClock,
    at: Micros,
    sleep: Pin<Box<Sleep>>,
}

impl Wake {
    pub fn new(clock: SteadyClock) -> Self {
        let now = clock.now();
        let sleep = Box::pin(sleep_until(Instant::from_std(clock.instant(now))));
        Wake { clock, at: now, sleep }
    }

    /// Waits until this time.
    pub async fn until(&mut self, at: Micros) {
        if at != self.at {
            self.at = at;
            self.sleep.as_mut().reset(Instant::from_std(self.clock.instant(at)));
        }
        self.sleep.as_mut().await;
    }
}
