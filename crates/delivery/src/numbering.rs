//! Numbers of services and hosts that are equal at all relays, as the brain's memos to peers refer to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam::interface::{DestinationId, HostId};
use pewterseam_wire::placement::hash;

use crate::interface::{Instance, ServiceConfig};

/// Bits of a service's number, as many as a memo to a peer has.
const DESTINATION_BITS: u32 = 28;
const HOST_SEED: u64 = 0x686f_7374;
const STATIC_SEED: u64 = 0x7374_6174;

/// The number of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceNumber {
    pub(crate) destination: DestinationId,
    /// Number of earlier hash attempts that collided with other services.
    collisions: u64,
}

impl ServiceNumber {
    /// The first hash of the service name that no other service uses.
    pub(crate) fn of(service: &str, others: &BTreeMap<DestinationId, Arc<str>>) -> Self {
        let mut collisions = 0;
        loop {
            let destination =
                (hash(service.as_bytes(), collisions) >> (u64::BITS - DESTINATION_BITS)) as DestinationId;
            if !others.contains_key(&destination) {
                return ServiceNumber { destination, collisions };
            }
            collisions += 1;
        }
    }

    /// The number of a listed host of the service, by its instance ID. It changes with the number of the service.
    pub(crate) fn listed_host(self, instance: &Instance) -> HostId {
        HostId(hash(instance.id.as_bytes(), HOST_SEED.wrapping_add(self.collisions)))
    }

    /// The number of the service's static endpoint.
    pub(crate) fn static_host(self, service: &ServiceConfig) -> Option<HostId> {
        let address = service.static_address?.to_string();
        let seed = hash(service.name.as_bytes(), STATIC_SEED.wrapping_add(self.collisions));
        Some(HostId(hash(address.as_bytes(), seed)))
    }
}
