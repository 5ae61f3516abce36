//! Whether this relay takes new connections and messages.

use std::sync::atomic::Ordering;

use super::process::RelayProcess;

impl RelayProcess {
    /// Tells the platform and the other processes when this has changed.
    pub(super) fn update_readiness(&mut self) {
        let ready = self.stopping.is_none() && self.can_serve();
        if self.is_ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
            self.node.set_ready(ready);
        }
    }

    /// A configuration is in force that was proven the newest, and enough stores live to keep messages.
    fn can_serve(&self) -> bool {
        self.config.load().version > 0 && self.node.is_current() && self.planes.queue.has_stores()
    }
}
