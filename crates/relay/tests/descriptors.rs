//! What is left for all others while idle clients fill the descriptors.

mod common;

use std::net::TcpStream;

use common::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;

// Danger: idle clients take all descriptors while discovery is down, and neither hosts nor notices nor the journal nor
// discovery, once it is back, get one.
#[test]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_down_leave_the_others_theirs() {
    const SOCKETS: u64 = 128;
    let host = StandIn::start(|_| answer(500, "", ""));
    let address = host.address;
    let platform = platform(address);
    let mut place = Place::new(platform.address);
    place.config["limits"]["sockets"] = json!(SOCKETS);
    place.config["ops"] = json!(free_address());
    let ops = place.config["ops"].as_str().expect("made so").parse().expect("an address");
    let relay = place.start();
    let limit = Rlimit { current: Some(SOCKETS), maximum: Some(SOCKETS) };
    prlimit(Pid::from_raw(relay.id() as i32), Resource::Nofile, limit).expect("set");
    // Discovery falls silent; the platform still takes notices.
    platform.behave(move |heard| if heard.line.starts_with("POST") { answer(204, "", "") } else { None });
    let mut idle = Vec::new();
    for _ in 0..3 * SOCKETS {
        idle.extend(TcpStream::connect(relay.listen));
    }
    assert!(idle.len() as u64 > SOCKETS);
    wait_for("they fill its places", || {
        relay.counter("connections_refused") + relay.counter("connections_silent") > 0
    });
    // A call to a host, its record and the notice of its end; and an operator's call.
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    wait_for("its end is told", || notices(&platform) == [("m1".to_owned(), "failed".to_owned())]);
    assert_eq!(host.ids(), ["m1"]);
    let status = b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(send_to(ops, status).status(), 200);
    let before = relay.counter("lists");
    platform.behave(move |heard| platform_answer(heard, address));
    wait_for("the list is followed again", || relay.counter("lists") > before + 1);
    drop(idle);
    host.behave(|_| answer(200, "", ""));
    assert_eq!(relay.hand_in(&message("m2", "balance", None, b"")), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    assert_eq!(relay.counter("journal_failures"), 0);
}
