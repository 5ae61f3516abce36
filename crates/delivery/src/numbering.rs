//! Numbers that all relays give to the same services and hosts, as the decisions' messages to peers name them so.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam::interface::{DestinationId, HostId};
use pewterseam_wire::placement::hash;

use crate::interface::{Instance, ServiceConfig};

/// Bits of a service's number, as many as a message to a peer carries.
const DESTINATION_BITS: u32 = 28;
const HOST_SEED: u64 = 0x686f_7374;
const STATIC_SEED: u64 = 0x7374_6174;

/// The number of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceNumber {
    pub(crate) destination: DestinationId,
    /// How many numbers of its name other services have.
    draw: u64,
}

impl ServiceNumber {
    /// The first number of a service that none of the others has.
    pub(crate) fn of(service: &str, others: &BTreeMap<DestinationId, Arc<str>>) -> Self {
        let mut draw = 0;
        loop {
            let destination =
                (hash(service.as_bytes(), draw) >> (u64::BITS - DESTINATION_BITS)) as DestinationId;
            if !others.contains_key(&destination) {
                return ServiceNumber { destination, draw };
            }
            draw += 1;
        }
    }

    /// The number of a listed host of the service, by its incarnation. It is another one with another number of the service.
    pub(crate) fn listed_host(self, instance: &Instance) -> HostId {
        HostId(hash(instance.id.as_bytes(), HOST_SEED.wrapping_add(self.draw)))
    }

    /// The number of the only endpoint of the service.
    pub(crate) fn static_host(self, service: &ServiceConfig) -> Option<HostId> {
        let address = service.static_address?.to_string();
        let seed = hash(service.name.as_bytes(), STATIC_SEED.wrapping_add(self.draw));
        Some(HostId(hash(address.as_bytes(), seed)))
    }
}
