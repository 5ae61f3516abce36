//! Ends and failed attempts of messages, and how long they are kept.

mod common;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::record::{End, Fact, Record};
use pewterseam_wire::store::{Status, StoreRequest};
use quickcheck::quickcheck;

fn attempted(name: &pewterseam_wire::record::MessageName, failures: u32) -> StoreRequest {
    StoreRequest::Settle { facts: vec![Fact::Attempted { name: name.clone(), failures }] }
}

fn end(number: u8) -> End {
    match number % 5 {
        0 => completed("sig"),
        1 => End::Refused,
        2 => End::AttemptsUsed,
        3 => End::Expired,
        _ => End::RouteDropped,
    }
}

/// Guards against an end that is acknowledged before it is synced, including repeated requests.
#[test]
fn ends_are_acknowledged_only_after_sync() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    node.syncs_at_once = false;
    let token = node.send(ended(&first.name, completed("x")));
    let again = node.send(ended(&first.name, completed("x")));
    let lower_precedence = node.send(ended(&first.name, End::Expired));
    assert!(node.answers.is_empty());
    assert_eq!(
        node.look(&first.name),
        Some(Status::Ended(completed("x"))),
        "the end is visible before the sync"
    );
    node.sync();
    for token in [token, again, lower_precedence] {
        assert!(is_done(&node.answers.remove(&token)));
    }
}

/// Guards against attempt counts that wait for the disk, decrease, or are lost across a restart.
#[test]
fn attempt_counts_are_kept_without_waiting_for_sync() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    node.syncs_at_once = false;
    assert!(is_done(&node.ask(attempted(&first.name, 3))));
    assert!(is_done(&node.ask(attempted(&first.name, 2))));
    let open = Status::Open { owner: owner("a", 1), claim: 0, failures: 3, released: false };
    assert_eq!(node.look(&first.name), Some(open.clone()));
    assert!(node.unsynced.is_empty(), "no request waits, so the count alone causes no sync");
    node.advance(2 * SECOND);
    node.sync();
    node.files.lose_power(0);
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    assert_eq!(node.look(&first.name), Some(open));
}

/// Guards against facts that are lost because they arrive before the record.
#[test]
fn facts_before_their_record_are_kept() {
    let mut node = Node::in_first_placement("s1");
    let (first, second) = (keyed("first", "key", &[]), keyed("second", "key", &[]));
    node.ask(ended(&first.name, completed("x")));
    node.ask(attempted(&second.name, 2));
    node.ask(append(1, &first));
    node.ask(append(1, &second));
    let status = Status::Open { owner: owner("a", 1), claim: 0, failures: 2, released: false };
    for _ in 0..2 {
        assert_eq!(node.look(&first.name), Some(Status::Ended(completed("x"))));
        assert_eq!(node.look(&second.name), Some(status.clone()));
        assert_eq!(node.open_names(1, "key"), std::slice::from_ref(&second.name));
        node.advance(2 * SECOND);
        node.files.lose_power(0);
        node.restart();
        node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    }
}

/// Guards against bodies that are kept after a success, and against bodies of dead letters that are dropped too soon or
/// read back changed.
#[test]
fn bodies_are_kept_only_for_dead_letters() {
    let mut node = Node::in_first_placement("s1");
    for number in 0..5 {
        let record = record(&format!("r{number}"));
        node.ask(append(1, &record));
        node.ask(ended(&record.name, end(number)));
        let kept = (number != 0).then(|| record.clone());
        assert_eq!(node.fetch(&record.name), kept, "{:?}", end(number));
        node.restart();
        node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
        assert_eq!(node.fetch(&record.name), kept, "{:?} after a restart", end(number));
    }
}

/// Guards against losing the body of a dead letter whose record arrives after its end.
#[test]
fn dead_letter_record_after_its_end_is_kept() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(ended(&first.name, End::AttemptsUsed));
    assert_eq!(status_in_response(&node.ask(append(1, &first))), Some(Status::Ended(End::AttemptsUsed)));
    assert_eq!(node.fetch(&first.name), Some(first.clone()));
    assert_eq!(node.look(&first.name), Some(Status::Ended(End::AttemptsUsed)));
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    assert_eq!(node.fetch(&first.name), Some(first.clone()));
    assert_eq!(node.look(&first.name), Some(Status::Ended(End::AttemptsUsed)));
}

/// Guards against ends that are forgotten before `statusTtlS`, or never, including across a restart.
#[test]
fn ends_are_forgotten_after_status_ttl() {
    let mut node = Node::in_first_placement("s1");
    let short_lived = |id: &str| Record { retention_ms: SHORT_RETENTION_MS, ..record(id) };
    let (done, dead) = (short_lived("done"), short_lived("dead"));
    let open = Record { retention_ms: 3_600_000, ..record("open") };
    for record in [&done, &dead, &open] {
        node.ask(append(1, record));
    }
    node.ask(ended(&done.name, completed("x")));
    node.ask(ended(&dead.name, End::Refused));
    node.advance(STATUS_TTL / 2);
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    node.advance(STATUS_TTL / 2 - SECOND);
    assert_eq!(node.look(&done.name), Some(Status::Ended(completed("x"))));
    assert_eq!(node.fetch(&dead.name), Some(dead.clone()));
    node.advance(3 * SECOND);
    assert_eq!(node.look(&done.name), Some(Status::Unknown));
    assert_eq!(node.look(&dead.name), Some(Status::Unknown));
    assert_eq!(node.fetch(&dead.name), None);
    assert_eq!(node.fetch(&open.name), Some(open), "an open message is not forgotten before it expires");
}

/// Guards against wrong ages after a reboot, which resets the steady clock, and after the time of day was set back; then
/// an end may be kept longer, but not shorter.
#[test]
fn end_retention_survives_clock_changes_at_restart() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(ended(&first.name, completed("x")));
    node.advance(STATUS_TTL / 2);
    node.wall_start += node.now;
    node.now = 0;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    node.advance(STATUS_TTL / 2 - SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(completed("x"))));
    node.wall_start -= 600 * SECOND;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    node.advance(STATUS_TTL - SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Ended(completed("x"))));
    node.advance(3 * SECOND);
    assert_eq!(node.look(&first.name), Some(Status::Unknown));
}

/// Guards against bodies that are kept in memory beyond the limit, or that are read back changed from the log.
#[test]
fn bodies_beyond_the_memory_limit_are_read_back() {
    let mut node = Node::in_first_placement("s1");
    node.settings.memory_bytes = 10_000;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    let records: Vec<_> = (0..40)
        .map(|number| {
            let mut record = record(&format!("r{number}"));
            record.body = vec![number; 1_000].into();
            record
        })
        .collect();
    for record in &records {
        assert!(is_done(&node.ask(append(1, record))));
    }
    for record in &records {
        assert_eq!(node.fetch(&record.name).as_ref(), Some(record));
    }
}

quickcheck! {
    /// Guards against stores that report different ends after they received the same ends in a different order or more
    /// than once.
    fn ends_are_independent_of_order_and_repetition(first: Vec<u8>, seed: u64) -> bool {
        let message = record("message");
        let mut second = first.clone();
        let length = second.len();
        for index in 0..length {
            second.swap(index, (seed as usize).wrapping_mul(index + 1) % length);
        }
        second.extend(first.first());
        let mut statuses = Vec::new();
        for ends in [&first, &second] {
            let mut node = Node::in_first_placement("s1");
            for (index, number) in ends.iter().enumerate() {
                if index == ends.len() / 2 {
                    node.ask(append(1, &message));
                }
                node.ask(ended(&message.name, end(*number)));
            }
            let before = node.look(&message.name);
            node.files.lose_power(seed);
            node.restart();
            node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
            if node.look(&message.name) != before {
                return false;
            }
            statuses.push(before);
        }
        statuses[0] == statuses[1]
    }
}
