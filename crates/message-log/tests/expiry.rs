//! Records whose `retentionS` is over, and how long ends are remembered.

mod common;

use common::*;
use pewterseam_message_log::{Input, StoreSettings};
use pewterseam_wire::record::{End, Record};
use pewterseam_wire::store::{Status, StoreResponse};

/// By then every record of `retention_ms` is over, whatever was added for clocks.
const RETENTION: u64 = 90 * SECOND;
const LONG_AFTER: u64 = 60 * SECOND;
/// For `retention_ms`, twice the error of the time of day, the margin of owners, a look through all records and a take-over.
const REMEMBERED: u64 = RETENTION + (2 * 20 + 5 + 5 + 5) * SECOND;

/// Guards TWICE: a store that was away when a message ended keeps the record open. Offered once the other stores have
/// forgotten the end, the message would run again.
#[test]
fn a_record_whose_time_is_over_is_not_offered() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.ask(append(1, &first));
    node.advance(RETENTION + LONG_AFTER);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(5 * SECOND);
    assert!(node.take_offers().is_empty());
}

/// Guards TWICE: the same where the store has started again in between.
#[test]
fn a_record_whose_time_is_over_at_a_start_is_not_offered() {
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

/// Guards LOST: a record is offered for as long as its time lasts, by any relay's clock.
#[test]
fn a_record_is_offered_until_its_time_is_over() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.input(Input::Members(members(&[relay("a", 1), relay("b", 1)], &[])));
    node.ask(append(1, &first));
    node.advance(RETENTION);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(SECOND / 2);
    assert_eq!(node.take_offers().len(), 1);
}

/// Guards against a key that a record blocks whose end nobody remembers.
#[test]
fn a_record_whose_time_is_over_holds_no_key() {
    let mut node = Node::in_first_placement("s1");
    let first = keyed("first", "key", &[]);
    node.ask(append(1, &first));
    node.advance(RETENTION + LONG_AFTER);
    let Some(StoreResponse::OpenMessages { names, .. }) = node.ask(list_open(1, "key")) else {
        panic!("another answer");
    };
    assert_eq!(names, []);
}

/// Guards TWICE: an end must be remembered for as long as any store may hold the record open, also where that is longer
/// than `statusTtlS`.
#[test]
fn an_end_outlasts_the_time_of_its_record() {
    let mut node = Node::in_first_placement("s1");
    let first = Record { retention_ms: 300_000, ..record("first") };
    node.ask(append(1, &first));
    node.ask(ended(&first.name, completed("signature")));
    node.advance(300 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(completed("signature"))));
}

/// Guards the disk and the memory: ends are forgotten as soon as no record can be open, whatever others need.
#[test]
fn an_end_is_forgotten_when_no_record_can_be_open() {
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

/// Guards TWICE: an end whose record never came here is remembered as long as those of the other records.
#[test]
fn an_end_without_its_record_outlasts_the_time_of_others() {
    let mut node = Node::in_first_placement("s1");
    node.ask(append(1, &Record { retention_ms: 300_000, ..record("other") }));
    let elsewhere = record("elsewhere");
    node.ask(ended(&elsewhere.name, completed("signature")));
    node.advance(300 * SECOND);
    assert_eq!(node.look(&elsewhere.name), Some(Status::Ended(completed("signature"))));
}

/// Guards TWICE: ends used to be forgotten after 600 s at the most, while a store that had missed one kept its record open for
/// a `retentionS` that was longer.
#[test]
fn an_end_outlasts_a_record_that_is_kept_for_an_hour() {
    let mut node = Node::in_first_placement("s1");
    let first = Record { retention_ms: 3_600_000, ..record("first") };
    node.ask(append(1, &first));
    node.ask(ended(&first.name, completed("signature")));
    node.advance(3_600 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(completed("signature"))));
    node.advance(LONG_AFTER);
    assert_eq!(node.look(&first.name), Some(Status::Unknown));
}

/// Guards the memory: of very many ends the later ones are remembered for no longer than 600 s.
#[test]
fn the_memory_of_long_kept_records_is_bounded() {
    const REMEMBERED: usize = 50;
    const LONGEST_MEMORY: u64 = 600 * SECOND;
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
    node.advance(LONGEST_MEMORY - 2 * SECOND);
    assert_eq!(node.look(&late.name), Some(Status::Ended(End::Refused)));
    node.advance(4 * SECOND);
    assert_eq!(node.look(&late.name), Some(Status::Unknown));
    assert_eq!(node.look(&long_lived("early-7").name), Some(Status::Ended(End::Refused)));
}
