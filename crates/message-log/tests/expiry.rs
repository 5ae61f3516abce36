//! The expiry of records after `retentionS`, and how long ends are remembered.

mod common;

use common::*;
use pewterseam_message_log::{Input, StoreSettings};
use pewterseam_wire::record::{End, Record};
use pewterseam_wire::store::{Status, StoreResponse};

/// The `retention_ms` of [`record`]. `LONG_AFTER` is longer than all margins that are added for clock errors.
const RETENTION: u64 = 90 * SECOND;
const LONG_AFTER: u64 = 60 * SECOND;
/// The sum of `retention_ms`, twice the clock error, the margin of owners, an expiry check and a takeover.
const REMEMBERED: u64 = RETENTION + (2 * 20 + 5 + 5 + 5) * SECOND;

/// Guards against a message that runs twice: a store that was down when a message ended keeps the record open. If it
/// offered the record after the other stores have forgotten the end, the message would run again.
#[test]
fn expired_record_is_not_offered() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.ask(append(1, &first));
    node.advance(RETENTION + LONG_AFTER);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(5 * SECOND);
    assert!(node.take_offers().is_empty());
}

/// Guards against a message that runs twice, as above, if the store has restarted in between.
#[test]
fn record_expired_before_restart_is_not_offered() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    node.advance(RETENTION);
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    node.advance(LONG_AFTER);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(5 * SECOND);
    assert!(node.take_offers().is_empty());
}

/// Guards against a lost message: a record must be offered until it has expired by every relay's clock.
#[test]
fn record_is_offered_until_it_expires() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.ask(append(1, &first));
    node.advance(RETENTION);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(SECOND / 2);
    assert_eq!(node.take_offers().len(), 1);
}

/// Guards against an ordering key that stays blocked by a record whose end no store remembers.
#[test]
fn expired_record_does_not_block_its_key() {
    let mut node = Node::in_first_placement("s1");
    let first = keyed("first", "key", &[]);
    node.ask(append(1, &first));
    node.advance(RETENTION + LONG_AFTER);
    let Some(StoreResponse::OpenMessages { names, .. }) = node.ask(list_open(1, "key")) else {
        panic!("unexpected response");
    };
    assert_eq!(names, []);
}

/// Guards against a message that runs twice: an end must be remembered for as long as any store may hold the record open,
/// even if that is longer than `statusTtlS`.
#[test]
fn end_is_remembered_beyond_status_ttl_until_its_record_expires() {
    let mut node = Node::in_first_placement("s1");
    let first = Record { retention_ms: 300_000, ..record("first") };
    node.ask(append(1, &first));
    node.ask(ended(&first.name, completed("signature")));
    node.advance(300 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(completed("signature"))));
}

/// Guards against ends that use disk and memory for too long: an end must be forgotten as soon as no store can hold its
/// record open, even if the ends of other records are still needed.
#[test]
fn end_is_forgotten_once_no_record_can_be_open() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    let long_lived = Record { retention_ms: 3_600_000, ..record("long-lived") };
    for record in [&first, &long_lived] {
        node.ask(append(1, record));
        node.ask(ended(&record.name, End::Refused));
    }
    node.advance(REMEMBERED - 2 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(End::Refused)));
    node.advance(4 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Unknown));
    assert_eq!(node.look(&long_lived.name), Some(Status::Ended(End::Refused)));
}

/// Guards against a message that runs twice: an end whose record never reached this store must be remembered as long as
/// the ends of the other records.
#[test]
fn end_without_record_is_remembered_as_long_as_others() {
    let mut node = Node::in_first_placement("s1");
    node.ask(append(1, &Record { retention_ms: 300_000, ..record("other") }));
    let elsewhere = record("elsewhere");
    node.ask(ended(&elsewhere.name, completed("signature")));
    node.advance(300 * SECOND);
    assert_eq!(node.look(&elsewhere.name), Some(Status::Ended(completed("signature"))));
}

/// Guards against a message that runs twice: if ends were forgotten after 600 s, a store that had missed an end could
/// keep its record open for longer, up to `retentionS`.
#[test]
fn end_is_remembered_for_one_hour_retention() {
    let mut node = Node::in_first_placement("s1");
    let first = Record { retention_ms: 3_600_000, ..record("first") };
    node.ask(append(1, &first));
    node.ask(ended(&first.name, completed("signature")));
    node.advance(3_600 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(completed("signature"))));
    node.advance(LONG_AFTER);
    assert_eq!(node.look(&first.name), Some(Status::Unknown));
}

/// Guards against unbounded memory: once the limit of remembered ends is reached, later ends are remembered for at most
/// 600 s.
#[test]
fn number_of_long_remembered_ends_is_bounded() {
    const REMEMBERED: usize = 50;
    const MAX_RETENTION_WHEN_FULL: u64 = 600 * SECOND;
    let mut node = Node::new(StoreSettings { remembered_ends: REMEMBERED, ..settings("s1") });
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    let long_lived = |id: &str| Record { retention_ms: 3_600_000, ..record(id) };
    for number in 0..REMEMBERED {
        let early = long_lived(&format!("early-{number}"));
        node.ask(append(1, &early));
        node.ask(ended(&early.name, End::Refused));
    }
    node.advance(STATUS_TTL + SECOND);
    let late = long_lived("late");
    node.ask(append(1, &late));
    node.ask(ended(&late.name, End::Refused));
    node.advance(MAX_RETENTION_WHEN_FULL - 2 * SECOND);
    assert_eq!(node.look(&late.name), Some(Status::Ended(End::Refused)));
    node.advance(4 * SECOND);
    assert_eq!(node.look(&late.name), Some(Status::Unknown));
    assert_eq!(node.look(&long_lived("early-7").name), Some(Status::Ended(End::Refused)));
}
