//! Whether this relay takes new connections and messages.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use pewterseam_wire::Micros;

use super::process::RelayProcess;
use crate::clock::SteadyClock;

/// Readiness as the platform's check reads it. It lapses by itself: a relay that stood still is not ready before it has
/// looked around.
#[derive(Clone)]
pub struct Readiness {
    clock: SteadyClock,
    until: Arc<AtomicU64>,
}

impl Readiness {
    pub fn new(clock: SteadyClock) -> Self {
        Readiness { clock, until: Arc::new(AtomicU64::new(0)) }
    }

    pub fn is_ready(&self) -> bool {
        self.clock.now() < self.until.load(Ordering::Relaxed)
    }

    fn set(&self, until: Micros) {
        self.until.store(until, Ordering::Relaxed);
    }
}

impl RelayProcess {
    /// Tells the platform and the other processes when this has changed.
    pub(super) fn update_readiness(&mut self) {
        let until = self.serves_until().filter(|_| self.stopping.is_none());
        self.readiness.set(until.unwrap_or(0));
        let ready = until.is_some();
        self.has_been_ready |= ready;
        if std::mem::replace(&mut self.was_ready, ready) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
            self.node.set_ready(ready);
        }
    }

    /// Until when this relay serves, if nothing changes. It needs a configuration, contact with the core as
    /// [`pewterseam_control::Serving`] has it, and enough live stores to keep messages.
    fn serves_until(&mut self) -> Option<Micros> {
        let others = self.node.live().count() - 1;
        let span = self.settings.bounds.contact().as_micros() as Micros;
        let until = self.serving.until(self.node.now(), self.node.contact(), others, span);
        let has_what_it_needs =
            self.node.has_joined() && self.config.load().version > 0 && self.planes.queue.has_enough_stores();
        until.filter(|_| has_what_it_needs)
    }
}
