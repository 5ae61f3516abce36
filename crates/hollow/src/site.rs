//! The site that the members believe to be in: names, addresses, zones, the platform's list, the configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_discovery::{ListedInstance, Page};
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Role};

/// Members with a disk, in different regions; the others join by them.
pub const CORE: usize = 5;
/// Regions of the operators' target, and zones in all of them.
const REGIONS: usize = 5;
const ZONES: usize = 19;
const PEER_PORT: u16 = 7240;
const NAME_PREFIX: &str = "relay-";
/// Of a thousand hosts so many are not ready.
const DOWN_PER_THOUSAND: usize = 22;

/// How large the configuration and the list are.
#[derive(Clone, Copy, Debug)]
pub struct SiteSize {
    pub routes: usize,
    pub services: usize,
    /// Services with a limited rate among them.
    pub limited: usize,
    pub instances: usize,
}

/// The zone of a member.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

pub fn name(index: usize) -> NodeName {
    NodeName::new(&format!("{NAME_PREFIX}{index:05}"))
}

/// The member with a name that [`name`] gave.
pub fn index_of_name(name: &NodeName) -> Option<usize> {
    name.0.strip_prefix(NAME_PREFIX)?.parse().ok()
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], PEER_PORT))
}

/// The member with an address that [`address`] gave.
pub fn index_of_address(address: SocketAddr) -> Option<usize> {
    let std::net::IpAddr::V4(ip) = address.ip() else { return None };
    let [_, high, middle, low] = ip.octets();
    Some(usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low))
}

/// What a member tells of itself in its life with this number.
pub fn info(index: usize, life: u64) -> NodeInfo {
    NodeInfo {
        name: name(index),
        life: Life(life),
        role: Role::Relay,
        peer_address: address(index),
        zone: Arc::from(format!("zone-{}", zone_of(index))),
        region: Arc::from(format!("region-{}", zone_of(index) % REGIONS)),
        disk: (index < CORE).then(|| DiskId(index as u64 + 1)),
        counts_for_quorum: true,
        ready: true,
    }
}

fn route(number: usize, timeout: usize, services: usize) -> String {
    format!(
        r#"{{"name":"route-{number}","hostname":"host{}.example","pathPrefix":"/p{number}/","type":"async","timeoutMs":{timeout},"targetLatencyMs":80,"priority":2,"backend":"service-{}","maxAttempts":6,"fifo":false,"retentionS":90.0,"callbackUrl":false,"scheduleTargetMs":600}}"#,
        number % 20,
        number % services
    )
}

/// A configuration of this size.
pub fn configuration(version: u64, size: SiteSize) -> Bytes {
    let routes: Vec<String> = (0..size.routes).map(|number| route(number, 600, size.services)).collect();
    let service = |number: usize| {
        let rate = if number < size.limited { 39.0 } else { 0.0 };
        format!(r#"{{"name":"service-{number}","ratePerS":{rate}}}"#)
    };
    let services: Vec<String> = (0..size.services).map(service).collect();
    let (routes, services) = (routes.join(","), services.join(","));
    Bytes::from(format!(r#"{{"version":{version},"routes":[{routes}],"backends":[{services}]}}"#))
}

/// A change of one route.
pub fn change(version: u64, size: SiteSize) -> Bytes {
    let route = route(version as usize % size.routes, 600 + version as usize, size.services);
    Bytes::from(format!(r#"{{"version":{version},"upsert":{{"routes":[{route}]}}}}"#))
}

/// The platform's list, on one page.
pub fn page(size: SiteSize) -> Page {
    let instance = |number: usize| ListedInstance {
        id: Arc::from(format!("instance-{number}")),
        service: Arc::from(format!("service-{}", number % size.services)),
        address: SocketAddr::from(([10, 255, (number >> 8) as u8, number as u8], 80)),
        zone: Arc::from(format!("zone-{}", zone_of(number))),
        slots: 8,
        ready: number % 1_000 >= DOWN_PER_THOUSAND,
        cold_remaining_ms: 0,
    };
    Page { instances: (0..size.instances).map(instance).collect(), next_token: None }
}
