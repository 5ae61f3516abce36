//! Whether this relay takes new connections and messages.

use std::sync::atomic::Ordering;

use pewterseam_wire::identity::Role;

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
        self.config.load().version > 0 && self.node.is_current() && self.has_stores()
    }

    fn has_stores(&self) -> bool {
        let state = self.node.state();
        let Some(set) = state.placement.sets.last() else { return false };
        let is_live = |name, disk| {
            self.node
                .live()
                .any(|info| info.role == Role::Store && info.name == name && info.disk == Some(disk))
        };
        let live = set.iter().filter(|entry| is_live(entry.id.name.clone(), entry.id.disk)).count();
        live > usize::from(state.placement.tolerated).min(set.len().saturating_sub(1))
    }
}
