//! Ownership of messages: claims, releases, offers to other relays, and notices about ended predecessors.

mod common;

use std::collections::BTreeSet;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::identity::{NodeName, Owner};
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::{End, MessageName, Record};
use pewterseam_wire::store::{Decline, OWNER_LEASE, Status, StoreNotice, StoreRequest, StoreResponse};

fn claim(name: &MessageName, owner: &Owner, claim: u32) -> StoreRequest {
    StoreRequest::Claim { names: vec![name.clone()], owner: owner.clone(), claim }
}

fn offered(node: &mut Node) -> Vec<(NodeName, MessageName)> {
    let offers = node.take_offers().into_iter();
    offers.flat_map(|(to, messages)| messages.into_iter().map(move |m| (to.clone(), m.record.name))).collect()
}

/// Guards against messages that are offered to a second relay while their owner is alive, and against messages of a dead
/// owner that are offered to no relay.
#[test]
fn messages_are_offered_only_after_their_owner_is_dead() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.ask(append(1, &first));
    node.advance(30 * SECOND);
    assert!(node.take_offers().is_empty(), "the owner is alive");
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(SECOND / 2);
    let offers = node.take_offers();
    assert_eq!(offers.len(), 1);
    let (to, messages) = &offers[0];
    assert_eq!(*to, NodeName::new("b"));
    assert_eq!(messages[0].record, first);
    assert!((30_000..31_000).contains(&messages[0].age_ms));
    node.advance(5 * SECOND);
    assert!((4..=6).contains(&offered(&mut node).len()), "about once a second until it is claimed");
    node.ask(claim(&first.name, &owner("b", 1), 1));
    node.advance(10 * SECOND);
    assert!(node.take_offers().is_empty(), "claimed");
    assert_eq!(
        node.look(&first.name),
        Some(Status::Open { owner: owner("b", 1), claim: 1, failures: 0, released: false })
    );
    node.input(Input::Members(members(&[relay("c", 1)], &[owner("b", 1)])));
    node.advance(SECOND / 2);
    assert_eq!(offered(&mut node), [(NodeName::new("c"), first.name.clone())], "the new owner died as well");
    node.ask(ended(&first.name, End::Expired));
    node.advance(5 * SECOND);
    assert!(node.take_offers().is_empty(), "ended");
}

/// Guards against messages that stay with an earlier life of a relay, which has restarted and no longer knows them.
#[test]
fn messages_of_an_earlier_life_are_offered() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    node.input(Input::Members(members(&[relay("a", 2)], &[])));
    node.advance(SECOND / 2);
    assert_eq!(offered(&mut node), [(NodeName::new("a"), first.name)]);
}

/// Guards against treating a relay as dead that membership does not know yet, and against never detecting that a relay is
/// gone.
#[test]
fn unknown_owners_get_a_grace_period() {
    let mut node = Node::in_first_placement("s1");
    let (first, second) = (record("first"), record("second"));
    node.ask(append(1, &first));
    node.advance(60 * SECOND);
    assert!(node.take_offers().is_empty(), "membership is not known");
    node.input(Input::Members(members(&[relay("b", 1)], &[])));
    node.advance(1_900 * MILLISECOND);
    assert!(node.take_offers().is_empty(), "known for less than two seconds");
    node.advance(1_100 * MILLISECOND);
    assert_eq!(offered(&mut node), [(NodeName::new("b"), first.name.clone())]);
    let new_owner = Owner { name: NodeName::new("new"), ..owner("a", 1) };
    node.ask(append(1, &pewterseam_wire::record::Record { owner: new_owner, ..second.clone() }));
    node.ask(claim(&first.name, &owner("b", 1), 1));
    node.advance(1_900 * MILLISECOND);
    assert!(node.take_offers().is_empty(), "first seen less than two seconds ago");
    node.input(Input::Members(members(&[relay("b", 1), relay("new", 1)], &[])));
    node.advance(10 * SECOND);
    assert!(node.take_offers().is_empty());
}

/// Guards against offering only the newest message of an owner that is found dead when that message arrives: its other
/// messages must be offered as well.
#[test]
fn all_messages_of_a_dead_owner_are_offered() {
    let mut node = Node::in_first_placement("s1");
    node.input(Input::Members(members(&[relay("b", 1)], &[])));
    node.ask(append(1, &record("first")));
    node.now += 10 * SECOND;
    node.ask(append(1, &record("second")));
    node.advance(SECOND / 2);
    let names: BTreeSet<_> = offered(&mut node).into_iter().map(|(_, name)| name).collect();
    assert_eq!(names, BTreeSet::from([record("first").name, record("second").name]));
}

/// Guards against stores that offer one message to several relays: all stores must choose the same relay, regardless of
/// the order of their members, and distribute messages over all relays.
#[test]
fn all_stores_offer_a_message_to_the_same_relay() {
    let relays: Vec<_> = ["b", "c", "d", "e"].iter().map(|name| relay(name, 1)).collect();
    let mut offers_by_store = Vec::new();
    for (name, is_reversed) in [("s1", false), ("s2", true)] {
        let mut node = Node::in_first_placement(name);
        let mut relays = relays.clone();
        let mut stopping = relay("f", 1);
        stopping.ready = false;
        relays.push(stopping);
        if is_reversed {
            relays.reverse();
        }
        for number in 0..40 {
            node.ask(append(1, &record(&format!("r{number}"))));
        }
        node.input(Input::Members(members(&relays, &[owner("a", 1)])));
        node.advance(900 * MILLISECOND);
        offers_by_store.push(offered(&mut node).into_iter().collect::<BTreeSet<_>>());
    }
    assert_eq!(offers_by_store[0].len(), 40);
    assert_eq!(offers_by_store[0], offers_by_store[1]);
    let used: BTreeSet<_> = offers_by_store[0].iter().map(|(to, _)| to.clone()).collect();
    assert_eq!(used.len(), 4, "all ready relays, and only those");
}

/// Guards against messages of a stopping relay that are offered only after it is dead, or are offered to it again.
#[test]
fn released_messages_are_offered_immediately() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1), store_node("s1")], &[])));
    node.ask(append(1, &first));
    let release = |owner| StoreRequest::Release { names: vec![first.name.clone()], owner };
    assert!(is_done(&node.ask(release(owner("b", 1)))));
    assert!(node.take_offers().is_empty(), "b does not own it");
    assert!(is_done(&node.ask(release(owner("a", 1)))));
    assert_eq!(offered(&mut node), [(NodeName::new("b"), first.name.clone())]);
    node.advance(2 * SECOND);
    node.files.lose_power(0);
    node.restart();
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.advance(SECOND / 2);
    assert_eq!(offered(&mut node), [(NodeName::new("b"), first.name.clone())], "remembered");
    node.ask(claim(&first.name, &owner("b", 1), 1));
    node.advance(5 * SECOND);
    assert!(node.take_offers().is_empty());
}

/// Guards against a released message that is never offered because no other relay was live at the time of the release.
#[test]
fn offers_wait_for_a_live_relay() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1)], &[])));
    node.ask(append(1, &first));
    node.ask(StoreRequest::Release { names: vec![first.name.clone()], owner: owner("a", 1) });
    node.advance(5 * SECOND);
    assert!(node.take_offers().is_empty());
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.advance(2 * SECOND);
    assert_eq!(offered(&mut node).first(), Some(&(NodeName::new("b"), first.name)));
}

/// Guards against claims that return a message to an earlier owner, and against two owners that are granted the same claim
/// number, including after a power loss right after the grant.
#[test]
fn first_of_equal_claims_is_granted() {
    let (b, c) = (owner("b", 1), owner("c", 1));
    let cases = [
        ([0, 1, 2, 3], [true, true, false, false], &c, 2),
        ([3, 2, 1, 0], [true, true, false, false], &b, 2),
        ([2, 0, 3, 1], [true, false, false, false], &b, 2),
        ([0, 3, 0, 1], [true, false, true, true], &c, 2),
    ];
    for (order, granted, last, number) in cases {
        let mut node = Node::in_first_placement("s1");
        let first = record("first");
        node.ask(append(1, &first));
        node.advance(OWNER_LEASE);
        let claims = [
            claim(&first.name, &b, 1),
            claim(&first.name, &c, 2),
            claim(&first.name, &b, 2),
            claim(&first.name, &c, 1),
        ];
        for (index, is_granted) in order.into_iter().zip(granted) {
            assert_eq!(is_done(&node.ask(claims[index].clone())), is_granted, "claim {index} of {order:?}");
        }
        let expected =
            Some(Status::Open { owner: last.clone(), claim: number, failures: 0, released: false });
        assert_eq!(node.look(&first.name), expected);
        node.files.lose_power(0);
        node.restart();
        node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
        assert_eq!(node.look(&first.name), expected, "after a restart");
    }
}

fn is_lease_held(response: &Option<StoreResponse>) -> bool {
    matches!(response, Some(StoreResponse::Declined { reason: Decline::OwnerHoldsLease, .. }))
}

/// Guards against two relays that may both send a message: a relay that others consider dead may continue during its
/// lease.
#[test]
fn claim_is_declined_while_the_owner_holds_its_lease() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    assert!(is_lease_held(&node.ask(claim(&first.name, &owner("b", 1), 1))), "just accepted");
    node.advance(OWNER_LEASE - 1_000);
    let names = vec![first.name.clone()];
    let confirmed = node.ask(StoreRequest::Confirm { owner: owner("a", 1), names });
    assert!(matches!(confirmed, Some(StoreResponse::Statuses { .. })));
    node.advance(OWNER_LEASE - 1_000);
    assert!(is_lease_held(&node.ask(claim(&first.name, &owner("b", 1), 1))), "renewed");
    node.advance(1_000);
    assert!(is_done(&node.ask(claim(&first.name, &owner("b", 1), 1))), "expired");
}

/// Guards against waiting for a lease needlessly, when the owner has restarted or has released the message.
#[test]
fn lease_ends_with_restart_or_release_of_the_owner() {
    let mut node = Node::in_first_placement("s1");
    let (first, second) = (record("first"), record("second"));
    node.ask(append(1, &first));
    node.ask(append(1, &second));
    node.ask(StoreRequest::Release { names: vec![second.name.clone()], owner: owner("a", 1) });
    assert!(is_done(&node.ask(claim(&second.name, &owner("b", 1), 1))), "released");
    assert!(is_lease_held(&node.ask(claim(&first.name, &owner("b", 1), 1))));
    node.input(Input::Members(members(&[relay("a", 2), relay("b", 1)], &[])));
    assert!(is_done(&node.ask(claim(&first.name, &owner("b", 1), 1))), "restarted");
}

/// Guards against a restarted store that no longer knows the leases and grants a claim too early.
#[test]
fn restarted_store_assumes_leases_are_held() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    assert!(is_lease_held(&node.ask(claim(&first.name, &owner("b", 1), 1))));
    node.advance(OWNER_LEASE);
    assert!(is_done(&node.ask(claim(&first.name, &owner("b", 1), 1))));
}

/// Guards against an owner that was cut off, writes its record again, and assumes that it still owns the message.
#[test]
fn append_of_a_claimed_or_ended_message_returns_its_status() {
    let mut node = Node::in_first_placement("s1");
    let (first, second) = (record("first"), record("second"));
    node.ask(append(1, &first));
    node.ask(append(1, &second));
    node.advance(OWNER_LEASE);
    assert!(is_done(&node.ask(append(1, &first))));
    node.advance(OWNER_LEASE);
    node.ask(claim(&first.name, &owner("b", 1), 1));
    let claimed = Status::Open { owner: owner("b", 1), claim: 1, failures: 0, released: false };
    assert_eq!(status_in_response(&node.ask(append(1, &first))), Some(claimed));
    node.ask(ended(&second.name, completed("x")));
    assert_eq!(status_in_response(&node.ask(append(1, &second))), Some(Status::Ended(completed("x"))));
    let dead = record("dead");
    node.ask(ended(&dead.name, End::Refused));
    node.ask(append(1, &dead));
    assert_eq!(
        status_in_response(&node.ask(append(1, &dead))),
        Some(Status::Ended(End::Refused)),
        "the end was known before the record"
    );
}

/// Guards against a new owner whose copies of a record renew the lease of the dead owner named in the record.
#[test]
fn append_of_a_copy_does_not_renew_the_lease() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.advance(OWNER_LEASE);
    node.ask(StoreRequest::Append { epoch: PlacementEpoch(1), record: first.clone(), renews_lease: false });
    assert!(is_done(&node.ask(claim(&first.name, &owner("b", 1), 1))));
}

/// Guards against a store that puts all messages of a dead relay into one notice, and against all stores of a group
/// offering at the same time.
#[test]
fn offers_are_paced_and_staggered_between_stores() {
    let live = [relay("b", 1), store_node("s1"), store_node("s2"), store_node("s3")];
    let mut first_times = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let mut node = Node::in_first_placement(name);
        for number in 0..2_000 {
            node.ask(append(1, &keyed(&format!("r{number}"), "one key", &[])));
        }
        node.input(Input::Members(members(&live, &[owner("a", 1)])));
        let mut names = BTreeSet::new();
        let mut first = None;
        for time in 0..200 {
            let offers = node.take_offers();
            assert!(offers.len() <= 4, "{}", offers.len());
            for (_, messages) in offers {
                assert!(messages.len() <= 64);
                first.get_or_insert(time * 10);
                names.extend(messages.into_iter().map(|message| message.record.name));
            }
            node.advance(10 * MILLISECOND);
        }
        assert_eq!(names.len(), 2_000, "{name}");
        first_times.push(first.unwrap_or(u64::MAX));
    }
    first_times.sort_unstable();
    assert_eq!(first_times, [0, 150, 300]);
}

/// Guards against notices that exceed the size limit when bodies are read back from the log.
#[test]
fn offer_notices_are_limited_in_size() {
    let mut node = Node::in_first_placement("s1");
    node.settings.memory_bytes = 0;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    for number in 0..8 {
        let mut record = record(&format!("r{number}"));
        record.body = vec![number; 100_000].into();
        node.ask(append(1, &record));
    }
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(900 * MILLISECOND);
    let offers = node.take_offers();
    assert!(offers.iter().all(|(_, messages)| messages.len() <= 3), "256 KB in one notice");
    assert_eq!(offers.iter().map(|(_, messages)| messages.len()).sum::<usize>(), 8);
    assert!(
        offers.iter().flat_map(|(_, messages)| messages).all(|message| message.record.body.len() == 100_000)
    );
}

/// Guards against a message that waits forever because its owner is not notified that the predecessor has ended.
#[test]
fn owners_are_notified_of_ended_predecessors() {
    let mut node = Node::in_first_placement("s1");
    let first = keyed("first", "key", &[]);
    let mut second = keyed("second", "key", &[&first.name]);
    second.owner = owner("b", 1);
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.ask(append(1, &first));
    node.ask(append(1, &second));
    assert!(node.notices.is_empty());
    node.ask(ended(&first.name, completed("x")));
    let notice = (NodeName::new("b"), StoreNotice::PredecessorEnded { name: first.name.clone() });
    assert_eq!(node.notices, std::slice::from_ref(&notice));
    node.advance(3_500 * MILLISECOND);
    assert_eq!(node.notices.len(), 4, "repeated each second while the message is open");
    node.advance(60 * SECOND);
    assert_eq!(node.notices.len(), 5, "and at most five times");
    let mut third = keyed("third", "key", &[&first.name]);
    third.owner = owner("b", 1);
    node.ask(append(1, &third));
    assert_eq!(node.notices.len(), 6, "also sent if the predecessor had ended before");
    node.ask(ended(&third.name, completed("x")));
    node.advance(10 * SECOND);
    assert_eq!(node.notices.len(), 6, "ended messages wait for nothing");
    node.restart();
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.advance(SECOND / 2);
    assert_eq!(node.notices, [notice], "also after a restart");
}

/// Guards against a lost message after all processes lose power and a relay's time of day is set back, so that its next
/// life number is lower than before (seed 8504 of the cluster simulation). Only the record in the store still names the
/// life that owned the message.
#[test]
fn owner_whose_node_restarted_with_a_lower_life_is_ended() {
    let mut node = Node::in_first_placement("s1");
    let first = Record { owner: owner("a", 9), ..record("first") };
    node.ask(append(1, &first));
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    node.input(Input::Members(members(&[relay("a", 5), relay("b", 5)], &[])));
    node.advance(SECOND);
    assert!(node.take_offers().is_empty(), "membership may not know the owner's life yet");
    node.advance(3 * SECOND);
    assert!(offered(&mut node).iter().any(|(_, name)| *name == first.name));
}

/// Guards against treating an owner as ended although membership lists its life as live: its messages must not be offered.
#[test]
fn owner_with_a_live_life_is_not_ended() {
    let mut node = Node::in_first_placement("s1");
    let first = Record { owner: owner("a", 9), ..record("first") };
    node.ask(append(1, &first));
    node.input(Input::Members(members(&[relay("a", 9), relay("b", 5)], &[])));
    node.advance(10 * SECOND);
    assert!(node.take_offers().is_empty());
}
