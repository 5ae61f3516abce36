//! This relay's share of the connections that hosts accept from all relays together.
//!
//! A host resets connections beyond its limit, even if most of its connections are idle. Each relay therefore keeps only
//! an even share of connections to the hosts of a service open, and closes the least recently used one first.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Fraction of a host's connections that is divided among relays. The rest is for connections that open while earlier
/// ones are closing.
const SHARED_FRACTION: f64 = 0.8;

/// Maximum number of connections that a relay may use to one host. `accepted` is 0 if the limit of the host is unknown.
pub(crate) fn max_connections_to_host(accepted: u32, relays: usize) -> usize {
    if accepted == 0 {
        return usize::MAX;
    }
    ((f64::from(accepted) * SHARED_FRACTION) as usize / relays.max(1)).max(1)
}

/// Maximum number of connections that a relay may keep open to all hosts of a service.
pub(crate) fn max_connections_to_service(accepted: u32, hosts: usize, relays: usize) -> usize {
    if accepted == 0 {
        return usize::MAX;
    }
    (f64::from(accepted) * SHARED_FRACTION * hosts as f64 / relays.max(1) as f64) as usize
}

/// Hosts with idle connections by service, the most recently used host last.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_service: BTreeMap<Arc<str>, VecDeque<SocketAddr>>,
}

impl IdleConnections {
    /// Records an idle connection. Returns the hosts whose idle connections must be closed.
    pub(crate) fn record_idle(
        &mut self, service: &Arc<str>, address: SocketAddr, max_connections: usize,
    ) -> Vec<SocketAddr> {
        let idle = self.by_service.entry(service.clone()).or_default();
        idle.retain(|known| *known != address);
        idle.push_back(address);
        let excess = idle.len().saturating_sub(max_connections);
        idle.drain(..excess).collect()
    }

    /// Removes services that no longer exist.
    pub(crate) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| exists(service));
    }
}
