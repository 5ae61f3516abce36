//! Facts that come to the stores of an older group during a move, and what becomes of them at the new stores.

mod common;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::{Fact, Record};
use pewterseam_wire::store::{Decline, Status, StoreRequest, StoreResponse};

const OLD: &[&str] = &["s1", "s2", "s3"];
const NEW: &[&str] = &["s1", "s2", "s4"];

/// The stores that hear of an end from a relay that knows the older placement alone: `f + 1` of the older group.
const TOLD: &[&str] = &["s1", "s3"];

/// How long a store may take until it has told again what was not heard.
const TOLD_AGAIN_WITHIN: u64 = 2 * SECOND;

fn node<'a>(nodes: &'a mut [Node], name: &str) -> &'a mut Node {
    let index = nodes.iter().position(|node| node.id() == store_id(name));
    &mut nodes[index.unwrap_or_else(|| panic!("no store {name}"))]
}

fn place(nodes: &mut [Node], epoch: u64, sets: &[&[&str]]) {
    for node in nodes {
        node.input(Input::Placement(placement(epoch, sets)));
    }
}

/// Four stores, of which the fourth has copied what the others hold: one open record.
fn moving(record: &Record) -> Vec<Node> {
    let mut nodes: Vec<Node> =
        ["s1", "s2", "s3", "s4"].iter().map(|name| Node::new(settings(name))).collect();
    place(&mut nodes, 1, &[OLD]);
    for name in OLD {
        assert!(is_done(&node(&mut nodes, name).ask(append(1, record))));
    }
    place(&mut nodes, 2, &[OLD, NEW]);
    deliver(&mut nodes);
    assert_eq!(node(&mut nodes, "s4").copied, [PlacementEpoch(2)]);
    nodes
}

/// A relay tells the end of a message to `f + 1` stores of the older group.
fn tell_end(nodes: &mut [Node], record: &Record) {
    for name in TOLD {
        assert!(is_done(&node(nodes, name).ask(ended(&record.name, completed("x")))));
    }
}

/// Takes the requests that a store has made to others.
fn taken(nodes: &mut [Node], name: &str) -> Vec<(u64, StoreRequest)> {
    let requests = std::mem::take(&mut node(nodes, name).pulls);
    requests.into_iter().map(|(_, token, request)| (token, request)).collect()
}

fn advance(nodes: &mut [Node], span: u64) {
    for node in nodes.iter_mut() {
        node.advance(span);
    }
}

/// The answers of a read quorum of the newer group: the store that heard of the end, and which may be gone, is not in it.
fn knows_the_end(nodes: &mut [Node], record: &Record) -> bool {
    let end = Some(Status::Ended(completed("x")));
    ["s2", "s4"].iter().any(|name| node(nodes, name).look(&record.name) == end)
}

/// What may become of the first word to the new store.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// No answer comes.
    Silence,
    /// The connection is refused or breaks.
    NoConnection,
    /// The new store's disk takes nothing.
    Declined,
}

fn lose_first_words(nodes: &mut [Node], loss: Loss) {
    for name in TOLD {
        let words = taken(nodes, name);
        assert_eq!(words.len(), 1, "{name}");
        for (token, _) in words {
            let response = match loss {
                Loss::Silence => continue,
                Loss::NoConnection => None,
                Loss::Declined => {
                    Some(StoreResponse::Declined { store: store_id("s4"), reason: Decline::Disk })
                }
            };
            node(nodes, name).input(Input::PullAnswered { token, response });
            assert!(node(nodes, name).pulls.is_empty(), "told again without a pause");
        }
    }
}

/// Guards against an end that a relay was told is durable, and that a read quorum of the new group does not know: the
/// message would be sent again after its success. Once the word to the new store is lost it must be told again, also
/// where the placement has gone on meanwhile.
#[test]
fn a_lost_word_to_a_new_store_is_told_again() {
    for loss in [Loss::Silence, Loss::NoConnection, Loss::Declined] {
        for is_over_first in [false, true] {
            let first = record("first");
            let mut nodes = moving(&first);
            tell_end(&mut nodes, &first);
            lose_first_words(&mut nodes, loss);
            if is_over_first {
                place(&mut nodes, 3, &[NEW]);
            }
            advance(&mut nodes, TOLD_AGAIN_WITHIN);
            deliver(&mut nodes);
            place(&mut nodes, 3, &[NEW]);
            assert!(knows_the_end(&mut nodes, &first), "{loss:?}, move over first: {is_over_first}");
        }
    }
}

/// Guards against facts that are told on and on: to a store that has answered, or that is no longer in the placement.
#[test]
fn what_was_heard_or_is_of_no_use_is_not_told_again() {
    let first = record("first");
    let mut nodes = moving(&first);
    tell_end(&mut nodes, &first);
    deliver(&mut nodes);
    advance(&mut nodes, 10 * SECOND);
    assert!(TOLD.iter().all(|name| taken(&mut nodes, name).is_empty()), "heard");

    let mut nodes = moving(&first);
    tell_end(&mut nodes, &first);
    lose_first_words(&mut nodes, Loss::Silence);
    place(&mut nodes, 3, &[OLD]);
    advance(&mut nodes, 10 * SECOND);
    assert!(
        TOLD.iter().all(|name| taken(&mut nodes, name).is_empty()),
        "the new store is out of the placement"
    );
}

/// Guards against a new store that is down and costs the others more the longer it is: what it lacks goes to it about
/// once a second, in a few requests however many facts there are.
#[test]
fn telling_again_is_bounded() {
    const FACTS: usize = 1_000;
    const SECONDS: usize = 10;
    let first = record("first");
    let mut nodes = moving(&first);
    let mut requests = 0;
    for number in 0..FACTS {
        let name = record(&format!("r{number}")).name;
        assert!(is_done(&node(&mut nodes, "s1").ask(ended(&name, completed("x")))));
    }
    assert_eq!(taken(&mut nodes, "s1").len(), FACTS, "each is told at once");
    for _ in 0..SECONDS {
        advance(&mut nodes, SECOND);
        requests += taken(&mut nodes, "s1").len();
    }
    let of_all = FACTS.div_ceil(256);
    assert!(requests >= of_all, "{requests} requests");
    assert!(requests <= (of_all + 1) * SECONDS, "{requests} requests");
    advance(&mut nodes, TOLD_AGAIN_WITHIN);
    deliver(&mut nodes);
    for number in 0..FACTS {
        let name = record(&format!("r{number}")).name;
        let told = node(&mut nodes, "s4").look(&name);
        assert_eq!(told, Some(Status::Ended(completed("x"))), "r{number}");
    }
}

/// Guards against memory that grows as long as a new store does not answer.
#[test]
fn what_is_kept_to_be_told_again_is_bounded() {
    const IN_REQUEST: usize = 1_000;
    const MOST_KEPT: usize = 65_536;
    let first = record("first");
    let mut nodes = moving(&first);
    for request in 0..MOST_KEPT / IN_REQUEST + 10 {
        let names = (0..IN_REQUEST).map(|number| record(&format!("r{request}-{number}")).name);
        let facts = names.map(|name| Fact::Attempted { name, failures: 1 }).collect();
        assert!(is_done(&node(&mut nodes, "s1").ask(StoreRequest::Settle { facts })));
    }
    taken(&mut nodes, "s1");
    let mut told = 0;
    advance(&mut nodes, TOLD_AGAIN_WITHIN);
    while let Some((_, token, request)) = node(&mut nodes, "s1").pulls.pop_front() {
        let StoreRequest::Settle { facts } = request else { panic!("{request:?}") };
        told += facts.len();
        let response = Some(StoreResponse::Done { store: store_id("s4") });
        node(&mut nodes, "s1").input(Input::PullAnswered { token, response });
    }
    assert!(told <= MOST_KEPT, "{told} facts were kept");
    assert!(told > MOST_KEPT - IN_REQUEST, "only {told} facts were told again");
}

/// Guards against an end that a relay with the older placement tells after the move is over, where the store that left
/// still acknowledges it: it counts for the relay, and nobody reads from it any more.
#[test]
fn a_store_that_left_passes_on_what_comes_late() {
    for loses_first_words in [false, true] {
        let first = record("first");
        let mut nodes = moving(&first);
        place(&mut nodes, 3, &[NEW]);
        tell_end(&mut nodes, &first);
        if loses_first_words {
            taken(&mut nodes, "s3");
        }
        advance(&mut nodes, TOLD_AGAIN_WITHIN);
        deliver(&mut nodes);
        assert!(knows_the_end(&mut nodes, &first), "first words are lost: {loses_first_words}");
    }
}

/// Guards against stores that pass a fact to and fro, as each takes the other for the one that reads are from: one knows
/// the older placement, the other the newer.
#[test]
fn a_fact_is_not_passed_to_and_fro() {
    let first = record("first");
    let mut nodes = moving(&first);
    place(&mut nodes[..3], 3, &[NEW]);
    node(&mut nodes, "s4").input(Input::Placement(placement(4, &[OLD])));
    for name in ["s3", "s4"] {
        assert!(is_done(&node(&mut nodes, name).ask(ended(&first.name, completed("x")))));
    }
    let mut requests = 0;
    for _ in 0..20 {
        for name in ["s1", "s2", "s3", "s4"] {
            for (token, request) in taken(&mut nodes, name) {
                requests += 1;
                assert!(requests < 100, "passed on and on");
                let to = if name == "s3" { "s4" } else { "s3" };
                let response = node(&mut nodes, to).ask(request);
                node(&mut nodes, name).input(Input::PullAnswered { token, response });
            }
        }
        advance(&mut nodes, SECOND);
    }
    assert!(requests <= 12, "{requests} requests for one fact");
}
