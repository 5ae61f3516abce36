//! This relay's part of the connections that hosts accept from all relays together.
//!
//! A host resets what is over its limit, also where most of its connections idle. So each relay keeps only as many open
//! to the hosts of a service as all relays alike may, and closes the one that was not used for longest.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Part of a host's connections that is shared out; the rest is for what begins while an earlier one is closing.
const SHARED_PART: f64 = 0.8;

/// How many connections to one host a relay may use at a time; 0 at the host means that it does not tell.
pub(crate) fn to_one_host(accepted: u32, relays: usize) -> usize {
    if accepted == 0 {
        return usize::MAX;
    }
    ((f64::from(accepted) * SHARED_PART) as usize / relays.max(1)).max(1)
}

/// How many connections to all hosts of a service a relay may keep open.
pub(crate) fn to_service(accepted: u32, hosts: usize, relays: usize) -> usize {
    if accepted == 0 {
        return usize::MAX;
    }
    (f64::from(accepted) * SHARED_PART * hosts as f64 / relays.max(1) as f64) as usize
}

/// Hosts with idle connections, by service; the one used last at the end.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_service: BTreeMap<Arc<str>, VecDeque<SocketAddr>>,
}

impl IdleConnections {
    /// Notes that a connection idles. Returns the hosts whose idle connections are to be closed.
    pub(crate) fn kept(&mut self, service: &Arc<str>, address: SocketAddr, most: usize) -> Vec<SocketAddr> {
        let idle = self.by_service.entry(service.clone()).or_default();
        idle.retain(|known| *known != address);
        idle.push_back(address);
        let over = idle.len().saturating_sub(most);
        idle.drain(..over).collect()
    }

    /// Forgets services that are gone.
    pub(crate) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| exists(service));
    }
}
