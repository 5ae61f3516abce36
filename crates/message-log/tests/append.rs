//! Appending records and listing open messages.

mod common;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::placement::{Partition, PlacementEpoch};
use pewterseam_wire::record::End;
use pewterseam_wire::store::{Decline, Status, StoreRequest, StoreResponse};

fn decline_of(response: Option<StoreResponse>) -> Option<Decline> {
    match response {
        Some(StoreResponse::Declined { reason, .. }) => Some(reason),
        _ => None,
    }
}

/// Guards against a 202 response for a record that a power loss can still erase.
#[test]
fn append_is_acknowledged_only_after_sync() {
    let mut node = Node::in_first_placement("s1");
    node.syncs_at_once = false;
    let first = record("first");
    let token = node.send(append(1, &first));
    // A second request for the same record must not be acknowledged before the sync either.
    let again = node.send(append(1, &first));
    assert!(node.answers.is_empty());
    node.sync();
    assert!(is_done(&node.answers.remove(&token)));
    assert!(is_done(&node.answers.remove(&again)));
    assert!(is_done(&node.ask(append(1, &first))), "known and synced: acknowledged at once");
    assert!(node.unsynced.is_empty(), "and not written again");
}

/// Guards against a message that starts before its predecessor, because the list of open messages left out a record whose
/// write was not synced yet.
#[test]
fn open_list_includes_unsynced_records() {
    let mut node = Node::in_first_placement("s1");
    node.syncs_at_once = false;
    let first = keyed("first", "key", &[]);
    let second = keyed("second", "key", &[&first.name]);
    let other = keyed("other", "another key", &[]);
    for record in [&first, &second, &other] {
        node.send(append(1, record));
    }
    assert_eq!(node.open_names(1, "key"), [first.name.clone(), second.name.clone()]);
    node.sync();
    node.syncs_at_once = true;
    assert!(is_done(&node.ask(ended(&first.name, completed("x")))));
    assert_eq!(node.open_names(1, "key"), [second.name]);
    assert_eq!(node.open_names(1, "no such key"), []);
}

/// Guards against a write that counts under an old placement, and against a write that is lost between two placements.
#[test]
fn appends_with_older_epochs_are_declined() {
    let mut node = Node::in_first_placement("s1");
    node.input(Input::Placement(placement(3, &[&["s1", "s2", "s3"]])));
    let first = keyed("first", "key", &[]);
    assert_eq!(decline_of(node.ask(append(2, &first))), Some(Decline::StalePlacement));
    assert_eq!(decline_of(node.ask(list_open(1, "key"))), Some(Decline::StalePlacement));
    assert!(is_done(&node.ask(append(4, &first))), "newer, and in the group by both");
    node.input(Input::Placement(placement(2, &[&["s1"]])));
    assert!(is_done(&node.ask(append(3, &first))), "an older placement changes nothing");
}

/// Guards against a store that answers for partitions that it does not hold.
#[test]
fn store_outside_the_group_declines_requests() {
    let mut node = Node::new(settings("s9"));
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    assert_eq!(decline_of(node.ask(append(1, &record("first")))), Some(Decline::NotInGroup));
    assert_eq!(decline_of(node.ask(list_open(1, "key"))), Some(Decline::NotInGroup));
    assert_eq!(node.look(&record("first").name), None);
}

/// Guards against requests that are lost, or wait forever, when they arrive before the placement that they refer to.
#[test]
fn early_requests_are_held_until_their_placement() {
    let mut node = Node::new(settings("s1"));
    let early = node.send(append(1, &record("early")));
    assert!(node.answers.is_empty());
    node.advance(100 * MILLISECOND);
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    assert!(is_done(&node.answers.remove(&early)));
    let pull = StoreRequest::Pull { epoch: PlacementEpoch(9), partitions: vec![Partition(1)], after: None };
    let never = node.send(pull);
    node.advance(990 * MILLISECOND);
    assert!(node.answers.is_empty());
    node.advance(100 * MILLISECOND);
    assert_eq!(decline_of(node.answers.remove(&never)), Some(Decline::NotInGroup));
}

/// Guards against a message name whose partition differs from the record's: no store would find such a message.
#[test]
fn append_with_mismatched_partition_is_declined() {
    let mut node = Node::in_first_placement("s1");
    let mut wrong = record("first");
    wrong.partition = Partition((wrong.partition.0 + 1) % 4096);
    assert_eq!(decline_of(node.ask(append(1, &wrong))), Some(Decline::NotInGroup));
}

/// Guards against a full disk that stops the store, is reported as success, or still causes errors after space is free
/// again.
#[test]
fn full_disk_declines_writes_and_recovers() {
    let mut node = Node::in_first_placement("s1");
    let kept = record("kept");
    assert!(is_done(&node.ask(append(1, &kept))));
    node.files.set_capacity(Some(node.files.bytes()));
    let lost = keyed("lost", "key", &[]);
    assert_eq!(decline_of(node.ask(append(1, &lost))), Some(Decline::Disk));
    assert_eq!(decline_of(node.ask(append(1, &record("another")))), Some(Decline::Disk));
    assert_eq!(decline_of(node.ask(ended(&kept.name, End::Refused))), Some(Decline::Disk));
    assert_eq!(node.look(&lost.name), Some(Status::Unknown));
    assert!(node.open_names(1, "key").is_empty());
    assert_eq!(node.fetch(&kept.name), Some(kept.clone()), "reads still work");
    node.files.set_capacity(None);
    node.advance(3 * SECOND);
    assert!(is_done(&node.ask(append(1, &lost))), "the disk has space again");
    node.files.lose_power(1);
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    assert_eq!(node.fetch(&lost.name), Some(lost));
    assert_eq!(node.look(&kept.name), Some(Status::Ended(End::Refused)), "the end was written later");
}

/// Guards against acknowledging a repeated request without a write after a failed sync.
#[test]
fn failed_sync_is_not_acknowledged_on_repeat() {
    let mut node = Node::in_first_placement("s1");
    node.ask(append(1, &record("before")));
    node.syncs_at_once = false;
    let first = record("first");
    let token = node.send(append(1, &first));
    let again = node.send(append(1, &first));
    node.files.fail_syncs(1);
    node.sync();
    for token in [token, again] {
        assert_eq!(decline_of(node.answers.remove(&token)), Some(Decline::Disk));
    }
    node.syncs_at_once = true;
    node.advance(2 * SECOND);
    assert!(is_done(&node.ask(append(1, &first))));
    node.files.lose_power(0);
    node.restart();
    assert_eq!(node.fetch(&first.name), Some(first));
}

/// Guards against memory that grows without bound while a sync is stalled.
#[test]
fn appends_are_busy_while_sync_is_stalled() {
    let mut node = Node::in_first_placement("s1");
    node.settings.waiting_bytes = 64 * 1024;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    node.syncs_at_once = false;
    let answers: Vec<Option<Decline>> = (0..100)
        .map(|number| {
            let mut record = record(&format!("r{number}"));
            record.body = vec![1; 4096].into();
            decline_of(node.ask(append(1, &record)))
        })
        .collect();
    let accepted = answers.iter().filter(|answer| answer.is_none()).count();
    assert!((10..20).contains(&accepted), "{accepted}");
    assert_eq!(answers.iter().filter(|answer| **answer == Some(Decline::Busy)).count(), 100 - accepted);
    node.sync();
    assert_eq!(node.answers.len(), accepted);
    assert!(node.answers.values().all(|answer| matches!(answer, StoreResponse::Done { .. })));
}

/// Guards against appends that fill the disk completely, so that ends cannot be written and cleaning has no space.
#[test]
fn appends_leave_reserved_disk_space() {
    let mut node = Node::in_first_placement("s1");
    node.settings.disk_bytes = 256 * 1024;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    let mut last = None;
    for number in 0..100 {
        let mut record = record(&format!("r{number}"));
        record.body = vec![1; 4096].into();
        last = decline_of(node.ask(append(1, &record)));
    }
    assert_eq!(last, Some(Decline::Disk));
    assert!(node.log_bytes() < 240 * 1024);
    assert!(is_done(&node.ask(ended(&record("r1").name, completed("x")))));
}
