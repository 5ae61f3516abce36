//! The lease of this relay at each store: while it lasts, the store grants no other relay this relay's messages.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Group, StoreId};
use pewterseam_wire::store::{OWNER_LEASE, OWNER_LEASE_MARGIN};

/// The lease at one store.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// It has not lapsed since then.
    held_since: Micros,
    valid_until: Micros,
}

/// The leases at all stores.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    by_store: BTreeMap<StoreId, Lease>,
}

impl Leases {
    /// A store has answered a request that renews the lease.
    ///
    /// The store counts from when the request arrived, which is after it was sent and before it was answered. So the
    /// lease ends by the first of these, and a new one begins with the second.
    pub fn renewed(&mut self, store: &StoreId, sent_at: Micros, now: Micros) {
        let valid_until = sent_at + OWNER_LEASE - OWNER_LEASE_MARGIN;
        match self.by_store.get_mut(store) {
            Some(lease) if now < lease.valid_until => {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
            _ => drop(self.by_store.insert(store.clone(), Lease { held_since: now, valid_until })),
        }
    }

    /// Until when a read quorum of each group has held its lease without a lapse since `since`; none where no quorum
    /// has.
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
