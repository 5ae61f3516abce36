//! Selects the hosts of a service that the brain may use, so that the load of all relays is even with few connections.
//!
//! The hosts of a service form a ring, and the relays start at evenly spaced positions on it. A relay rotates among the
//! nearest hosts to which it has the fewest calls in flight. Each host is therefore used by about the same number of
//! relays, connections are used often enough to stay open, and a relay with high demand reaches all hosts.

use std::collections::BTreeSet;

use pewterseam::interface::HostId;

/// Minimum number of hosts that a relay selects, and of relays that select a host.
const MIN_HOSTS: usize = 3;
const MIN_RELAYS: usize = 6;

/// State of a host for the selection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) id: HostId,
    /// Whether the host can accept another message now.
    pub(crate) is_available: bool,
    /// Whether the brain ejected the host.
    pub(crate) is_ejected: bool,
    pub(crate) calls: usize,
}

/// The hosts of one service.
#[derive(Debug, Default)]
pub(crate) struct HostSelection {
    /// Hosts that were called in the current rotation.
    used: BTreeSet<HostId>,
}

impl HostSelection {
    pub(crate) fn record_use(&mut self, id: HostId) {
        self.used.insert(id);
    }

    /// The hosts that the brain may use now, at most `max_hosts`. `ring` contains all hosts of the service in the order that
    /// all relays use.
    pub(crate) fn choose(
        &mut self, ring: &[Candidate], position: RelayPosition, max_hosts: usize,
    ) -> BTreeSet<HostId> {
        let first = ring.len() * position.rank / position.relays.max(1);
        let from_position =
            || ring.iter().cycle().skip(first).take(ring.len()).filter(|host| host.is_available);
        let has_healthy = from_position().any(|host| !host.is_ejected);
        let preferred = || from_position().filter(|host| host.is_ejected != has_healthy);
        let Some(fewest) = preferred().map(|host| host.calls).min() else { return BTreeSet::new() };
        let count = (MIN_RELAYS * ring.len()).div_ceil(position.relays.max(1)).max(MIN_HOSTS).min(max_hosts);
        let near: BTreeSet<_> =
            preferred().filter(|host| host.calls == fewest).take(count).map(|host| host.id).collect();
        if near.is_subset(&self.used) {
            self.used.clear();
            return near;
        }
        near.difference(&self.used).copied().collect()
    }
}

/// Position of this relay among all relays.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelayPosition {
    pub(crate) rank: usize,
    pub(crate) relays: usize,
}
