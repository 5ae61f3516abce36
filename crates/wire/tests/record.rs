//! Records of the build before are read, and are written as they were.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::WallMicros;
use pewterseam_wire::frame;
use pewterseam_wire::identity::{Life, NodeName, Owner};
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{Headers, MessageName, Record, RouteKey};
use serde::{Deserialize, Serialize};

/// A record as builds before this one write it: without its route's key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OldRecord {
    name: MessageName,
    partition: Partition,
    ordering_key: Option<Arc<str>>,
    predecessors: Vec<MessageName>,
    owner: Owner,
    accepted_at: WallMicros,
    delay_ms: u64,
    retention_ms: u64,
    config_version: u64,
    route: Arc<str>,
    host: Arc<str>,
    method: Arc<str>,
    target: Arc<str>,
    headers: Headers,
    body: Bytes,
}

fn record(route_key: Option<RouteKey>) -> Record {
    let partition = Partition::of("a");
    Record {
        name: MessageName::new("a", partition),
        partition,
        ordering_key: Some(Arc::from("key")),
        predecessors: vec![MessageName::new("b", partition)],
        owner: Owner { name: NodeName::new("relay-1"), life: Life(7) },
        accepted_at: 8,
        delay_ms: 9,
        retention_ms: 90_000,
        config_version: 5,
        route: Arc::from("route-2"),
        host: Arc::from("relay.example"),
        method: Arc::from("POST"),
        target: Arc::from("/transfers/1"),
        headers: vec![(Arc::from("x-request-id"), Arc::from("a"))],
        body: Bytes::from_static(b"body"),
        route_key,
    }
}

/// Guards against records of the build before, from a disk or from a peer, that cannot be read, and against their copies
/// that the build before could not read.
#[test]
fn a_record_of_the_build_before_is_read_and_written_as_it_was() {
    let known = record(None);
    let old: OldRecord =
        frame::decode(&frame::encode(&known).expect("encodes")).expect("the build before reads it");
    let bytes = frame::encode(&old).expect("encodes");
    let read: Record = frame::decode(&bytes).expect("decodes");
    assert_eq!(read, known);
    assert_eq!(frame::encode(&read).expect("encodes"), bytes);
}

/// Guards against a route's key that is lost on the way.
#[test]
fn a_record_is_read_as_it_was_written() {
    let key = RouteKey { hostname: Arc::from("relay.example"), path_prefix: Arc::from("/transfers/") };
    let record = record(Some(key));
    let bytes = frame::encode(&record).expect("encodes");
    assert_eq!(frame::decode::<Record>(&bytes).expect("decodes"), record);
}

/// Guards against a `Host` header whose case or port hides the route.
#[test]
fn a_route_matches_by_host_and_prefix() {
    let key = RouteKey { hostname: Arc::from("relay.example"), path_prefix: Arc::from("/transfers/") };
    for (host, target, matches) in [
        ("relay.example", "/transfers/1", true),
        ("Relay.Example:8080", "/transfers/?a=b", true),
        ("relay.example", "/transfers", false),
        ("relay.example", "/clearing/?/transfers/", false),
        ("other.example", "/transfers/1", false),
    ] {
        assert_eq!(key.matches(host, target), matches, "{host}{target}");
    }
}
