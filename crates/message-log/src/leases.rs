//! Leases of owners: while a relay keeps sending requests to a store, the store grants its messages to no other relay.
//!
//! Leases are kept in memory only. A store that starts does not know which leases were renewed before, so it assumes that
//! every owner renewed its lease when the store started.

use std::collections::HashMap;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::store::OWNER_LEASE;

/// Expired leases are removed once this many leases are kept.
const MAX_LEASES: usize = 256;

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

    /// Renews the lease after a request from the owner itself.
    pub fn renew(&mut self, owner: &Owner, now: Micros) {
        if let Some(renewed) = self.renewed.get_mut(owner) {
            *renewed = now;
            return;
        }
        if self.renewed.len() >= MAX_LEASES {
            self.renewed.retain(|_, renewed| *renewed + OWNER_LEASE > now);
        }
        self.renewed.insert(owner.clone(), now);
    }

    pub fn is_held(&self, owner: &Owner, now: Micros) -> bool {
        let renewed = self.renewed.get(owner).copied().unwrap_or(self.started);
        now < renewed + OWNER_LEASE
    }
}
