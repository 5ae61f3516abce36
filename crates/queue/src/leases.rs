//! The leases of this relay at the stores: while a lease is valid, the store grants no other relay a claim on this
//! relay's messages.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Group, StoreId};
use pewterseam_wire::store::{OWNER_LEASE, OWNER_LEASE_MARGIN};

/// The lease at one store.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// The lease has been valid without a gap since this time.
    held_since: Micros,
    valid_until: Micros,
}

/// The leases at all stores.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    by_store: BTreeMap<StoreId, Lease>,
}

impl Leases {
    /// Extends or begins the lease at a store that has answered a renewing request.
    ///
    /// The store counts the lease from the arrival of the request, which lies between sending and response. This
    /// relay therefore computes the end of the lease from the send time, and the beginning of a new lease from the
    /// response time.
    pub fn renewed(&mut self, store: &StoreId, sent_at: Micros, now: Micros) {
        let valid_until = sent_at + OWNER_LEASE - OWNER_LEASE_MARGIN;
        match self.by_store.get_mut(store) {
            Some(lease) if now < lease.valid_until => {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
            _ => drop(self.by_store.insert(store.clone(), Lease { held_since: now, valid_until })),
        }
    }

    /// The time until which a read quorum of each group grants a lease that has had no gap since `since`, or `None`
    /// if there is no such quorum.
    pub fn valid_until(&self, groups: &[Group], since: Micros) -> Option<Micros> {
        let ends = groups.iter().map(|group| self.valid_until_in(group, since));
        ends.min().flatten()
    }

    fn valid_until_in(&self, group: &Group, since: Micros) -> Option<Micros> {
        let leases = group.stores.iter().filter_map(|store| self.by_store.get(store));
        let unbroken = leases.filter(|lease| lease.held_since <= since);
        let mut ends: Vec<Micros> = unbroken.map(|lease| lease.valid_until).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(group.read_quorum().checked_sub(1)?).copied()
    }
}
