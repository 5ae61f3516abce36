//! Forwarding of facts that reach the stores of an older group during a placement change to the new stores.

mod common;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::{Fact, Record};
use pewterseam_wire::store::{Decline, Status, StoreRequest, StoreResponse};

const OLD: &[&str] = &["s1", "s2", "s3"];
const NEW: &[&str] = &["s1", "s2", "s4"];

/// The stores that receive an end from a relay that knows only the older placement: `f + 1` of the older group.
const RECIPIENTS: &[&str] = &["s1", "s3"];

/// The maximum time until a store sends unacknowledged facts again.
const RESENT_WITHIN: u64 = 2 * SECOND;

fn node<'a>(nodes: &'a mut [Node], name: &str) -> &'a mut Node {
    let index = nodes.iter().position(|node| node.id() == store_id(name));
    &mut nodes[index.unwrap_or_else(|| panic!("no store {name}"))]
}

fn set_placement(nodes: &mut [Node], epoch: u64, sets: &[&[&str]]) {
    for node in nodes {
        node.input(Input::Placement(placement(epoch, sets)));
    }
}

/// Creates four stores in the middle of a move. The first three hold one open record, and the fourth has copied it.
fn stores_during_move(record: &Record) -> Vec<Node> {
    let mut nodes: Vec<Node> =
        ["s1", "s2", "s3", "s4"].iter().map(|name| Node::new(settings(name))).collect();
    set_placement(&mut nodes, 1, &[OLD]);
    for name in OLD {
        assert!(is_done(&node(&mut nodes, name).ask(append(1, record))));
    }
    set_placement(&mut nodes, 2, &[OLD, NEW]);
    deliver(&mut nodes);
    assert_eq!(node(&mut nodes, "s4").copied, [PlacementEpoch(2)]);
    nodes
}

/// Sends the end of a message to `f + 1` stores of the older group, as a relay does.
fn send_end(nodes: &mut [Node], record: &Record) {
    for name in RECIPIENTS {
        assert!(is_done(&node(nodes, name).ask(ended(&record.name, completed("x")))));
    }
}

/// Removes and returns the requests that a store has sent to other stores.
fn take_requests(nodes: &mut [Node], name: &str) -> Vec<(u64, StoreRequest)> {
    let requests = std::mem::take(&mut node(nodes, name).pulls);
    requests.into_iter().map(|(_, token, request)| (token, request)).collect()
}

fn advance(nodes: &mut [Node], span: u64) {
    for node in nodes.iter_mut() {
        node.advance(span);
    }
}

/// Whether a read quorum of the newer group knows the end. `s1`, which received the end and may have failed, is left out.
fn knows_the_end(nodes: &mut [Node], record: &Record) -> bool {
    let end = Some(Status::Ended(completed("x")));
    ["s2", "s4"].iter().any(|name| node(nodes, name).look(&record.name) == end)
}

/// How the first request to the new store may fail.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// No response comes.
    NoResponse,
    /// The connection is refused or lost.
    NoConnection,
    /// The new store declines because its disk accepts no writes.
    Declined,
}

fn lose_first_requests(nodes: &mut [Node], loss: Loss) {
    for name in RECIPIENTS {
        let requests = take_requests(nodes, name);
        assert_eq!(requests.len(), 1, "{name}");
        for (token, _) in requests {
            let response = match loss {
                Loss::NoResponse => continue,
                Loss::NoConnection => None,
                Loss::Declined => {
                    Some(StoreResponse::Declined { store: store_id("s4"), reason: Decline::Disk })
                }
            };
            node(nodes, name).input(Input::StoreResponded { token, response });
            assert!(node(nodes, name).pulls.is_empty(), "sent again without a delay");
        }
    }
}

/// Guards against an end that was acknowledged to a relay as durable but that a read quorum of the new group does not
/// know: the message would be sent again after its success. A lost request to the new store must be sent again, even if
/// the placement has advanced meanwhile.
#[test]
fn lost_request_to_a_new_store_is_sent_again() {
    for loss in [Loss::NoResponse, Loss::NoConnection, Loss::Declined] {
        for is_move_finished_first in [false, true] {
            let first = record("first");
            let mut nodes = stores_during_move(&first);
            send_end(&mut nodes, &first);
            lose_first_requests(&mut nodes, loss);
            if is_move_finished_first {
                set_placement(&mut nodes, 3, &[NEW]);
            }
            advance(&mut nodes, RESENT_WITHIN);
            deliver(&mut nodes);
            set_placement(&mut nodes, 3, &[NEW]);
            assert!(knows_the_end(&mut nodes, &first), "{loss:?}, move over first: {is_move_finished_first}");
        }
    }
}

/// Guards against facts that are sent forever to a store that has acknowledged them or has left the placement.
#[test]
fn acknowledged_or_useless_facts_are_not_sent_again() {
    let first = record("first");
    let mut nodes = stores_during_move(&first);
    send_end(&mut nodes, &first);
    deliver(&mut nodes);
    advance(&mut nodes, 10 * SECOND);
    assert!(RECIPIENTS.iter().all(|name| take_requests(&mut nodes, name).is_empty()), "acknowledged");

    let mut nodes = stores_during_move(&first);
    send_end(&mut nodes, &first);
    lose_first_requests(&mut nodes, Loss::NoResponse);
    set_placement(&mut nodes, 3, &[OLD]);
    advance(&mut nodes, 10 * SECOND);
    assert!(
        RECIPIENTS.iter().all(|name| take_requests(&mut nodes, name).is_empty()),
        "the new store has left the placement"
    );
}

/// Guards against retries to a new store that grow with its downtime: the facts that it lacks must be sent about once a
/// second, in a few requests regardless of the number of facts.
#[test]
fn retry_rate_is_bounded() {
    const FACTS: usize = 1_000;
    const SECONDS: usize = 10;
    let first = record("first");
    let mut nodes = stores_during_move(&first);
    let mut requests = 0;
    for number in 0..FACTS {
        let name = record(&format!("r{number}")).name;
        assert!(is_done(&node(&mut nodes, "s1").ask(ended(&name, completed("x")))));
    }
    assert_eq!(take_requests(&mut nodes, "s1").len(), FACTS, "each fact is sent immediately");
    for _ in 0..SECONDS {
        advance(&mut nodes, SECOND);
        requests += take_requests(&mut nodes, "s1").len();
    }
    let requests_per_round = FACTS.div_ceil(256);
    assert!(requests >= requests_per_round, "{requests} requests");
    assert!(requests <= (requests_per_round + 1) * SECONDS, "{requests} requests");
    advance(&mut nodes, RESENT_WITHIN);
    deliver(&mut nodes);
    for number in 0..FACTS {
        let name = record(&format!("r{number}")).name;
        let status = node(&mut nodes, "s4").look(&name);
        assert_eq!(status, Some(Status::Ended(completed("x"))), "r{number}");
    }
}

/// Guards against memory use that grows for as long as a new store does not respond.
#[test]
fn retry_buffer_is_bounded() {
    const IN_REQUEST: usize = 1_000;
    const MAX_BUFFERED_FACTS: usize = 65_536;
    let first = record("first");
    let mut nodes = stores_during_move(&first);
    for request in 0..MAX_BUFFERED_FACTS / IN_REQUEST + 10 {
        let names = (0..IN_REQUEST).map(|number| record(&format!("r{request}-{number}")).name);
        let facts = names.map(|name| Fact::Attempted { name, failures: 1 }).collect();
        assert!(is_done(&node(&mut nodes, "s1").ask(StoreRequest::Settle { facts })));
    }
    take_requests(&mut nodes, "s1");
    let mut resent = 0;
    advance(&mut nodes, RESENT_WITHIN);
    while let Some((_, token, request)) = node(&mut nodes, "s1").pulls.pop_front() {
        let StoreRequest::Settle { facts } = request else { panic!("{request:?}") };
        resent += facts.len();
        let response = Some(StoreResponse::Done { store: store_id("s4") });
        node(&mut nodes, "s1").input(Input::StoreResponded { token, response });
    }
    assert!(resent <= MAX_BUFFERED_FACTS, "{resent} facts were buffered");
    assert!(resent > MAX_BUFFERED_FACTS - IN_REQUEST, "only {resent} facts were sent again");
}

/// Guards against an end that a relay with the older placement sends after the move has finished, and that the store that
/// left still acknowledges: the acknowledgement counts for the relay, but no reads go to that store any more.
#[test]
fn store_that_left_forwards_late_ends() {
    for loses_first_requests in [false, true] {
        let first = record("first");
        let mut nodes = stores_during_move(&first);
        set_placement(&mut nodes, 3, &[NEW]);
        send_end(&mut nodes, &first);
        if loses_first_requests {
            take_requests(&mut nodes, "s3");
        }
        advance(&mut nodes, RESENT_WITHIN);
        deliver(&mut nodes);
        assert!(knows_the_end(&mut nodes, &first), "first requests are lost: {loses_first_requests}");
    }
}

/// Guards against two stores that forward a fact to each other forever, because their placements differ and each one
/// considers the other a member of the group.
#[test]
fn fact_is_not_forwarded_in_a_loop() {
    let first = record("first");
    let mut nodes = stores_during_move(&first);
    set_placement(&mut nodes[..3], 3, &[NEW]);
    node(&mut nodes, "s4").input(Input::Placement(placement(4, &[OLD])));
    for name in ["s3", "s4"] {
        assert!(is_done(&node(&mut nodes, name).ask(ended(&first.name, completed("x")))));
    }
    let mut requests = 0;
    for _ in 0..20 {
        for name in ["s1", "s2", "s3", "s4"] {
            for (token, request) in take_requests(&mut nodes, name) {
                requests += 1;
                assert!(requests < 100, "the fact is forwarded again and again");
                let to = if name == "s3" { "s4" } else { "s3" };
                let response = node(&mut nodes, to).ask(request);
                node(&mut nodes, name).input(Input::StoreResponded { token, response });
            }
        }
        advance(&mut nodes, SECOND);
    }
    assert!(requests <= 12, "{requests} requests for one fact");
}
