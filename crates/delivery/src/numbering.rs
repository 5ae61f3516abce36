//! Numbers that all relays give to the same services and hosts, as the decisions' messages to peers name them so.

use pewterseam::interface::{DestinationId, HostId};
use pewterseam_wire::placement::hash;

use crate::interface::{Instance, ServiceConfig};

/// Bits of a service's number, as many as a message to a peer carries.
const DESTINATION_BITS: u32 = 28;
const HOST_SEED: u64 = 0x686f_7374;
const STATIC_SEED: u64 = 0x7374_6174;

/// The number of a service.
pub(crate) fn destination(service: &str) -> DestinationId {
    (hash(service.as_bytes(), 0) >> (u64::BITS - DESTINATION_BITS)) as DestinationId
}

/// The number of a listed host, by its incarnation.
pub(crate) fn listed_host(instance: &Instance) -> HostId {
    HostId(hash(instance.id.as_bytes(), HOST_SEED))
}

/// The number of the only endpoint of a service.
pub(crate) fn static_host(service: &ServiceConfig) -> Option<HostId> {
    let address = service.static_address?.to_string();
    Some(HostId(hash(address.as_bytes(), hash(service.name.as_bytes(), STATIC_SEED))))
}
