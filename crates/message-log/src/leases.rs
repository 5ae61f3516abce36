//! Leases of owners: while a store hears from a relay, it grants no other relay that relay's messages.
//!
//! Leases are kept in memory. A store that starts does not know who renewed one before, so it takes it that every owner
//! did at the moment of its start.

use std::collections::HashMap;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::store::OWNER_LEASE;

/// Lapsed leases are removed once there are more than this many.
const MOST_KEPT: usize = 256;

/// When each owner last renewed its lease.
#[derive(Debug)]
pub(crate) struct OwnerLeases {
    started: Micros,
    renewed: HashMap<Owner, Micros>,
}

impl OwnerLeases {
    pub fn new(started: Micros) -> Self {
        OwnerLeases { started, renewed: HashMap::new() }
    }

    /// A request of the owner itself has arrived.
    pub fn renew(&mut self, owner: &Owner, now: Micros) {
        if let Some(renewed) = self.renewed.get_mut(owner) {
            *renewed = now;
            return;
        }
        if self.renewed.len() >= MOST_KEPT {
            self.renewed.retain(|_, renewed| *renewed + OWNER_LEASE > now);
        }
        self.renewed.insert(owner.clone(), now);
    }

    pub fn is_held(&self, owner: &Owner, now: Micros) -> bool {
        let renewed = self.renewed.get(owner).copied().unwrap_or(self.started);
        now < renewed + OWNER_LEASE
    }
}
