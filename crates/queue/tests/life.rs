//! Lifecycle of a message: accepted when durable, run in order, ended on enough stores.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, routes};
use pewterseam_queue::{Answer, CallId, RouteTable, RunResult};
use pewterseam_wire::identity::DiskId;
use pewterseam_wire::placement::{Partition, StoreId};
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::StoreResponse;

fn completed() -> RunResult {
    RunResult::Completed { signature: Arc::from("signature") }
}

// A 202 response before the second sync would lose the message with the first disk.
#[test]
fn a_message_is_accepted_only_when_two_stores_have_it() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let group = world.group(&name);
    world.silent.extend(group[1..].iter().cloned());
    let new = world.message("a", None);
    let token = world.accept(new);
    assert_eq!(world.answers.get(&token), None);
    let (store, call, request) = world.unanswered.remove(0);
    world.deliver(store, call, request);
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted { name: name.clone() }));
    assert_eq!(world.holders(&name), 2);
    assert_eq!(world.submitted.len(), 1);
}

// Without hedging, one frozen store blocks every message of its partitions.
#[test]
fn a_silent_store_does_not_delay_acceptance() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let first = world.group(&name)[0].clone();
    world.silent.insert(first);
    let new = world.message("a", None);
    let token = world.accept(new);
    world.run_for(60 * MILLISECOND);
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted { name }));
}

// A 503 response promises that the message never runs, so it must not be sent while a store may hold the message.
#[test]
fn a_message_is_not_declined_while_a_store_may_hold_it() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    world.silent.extend(world.group(&name));
    let new = world.message("a", None);
    let token = world.accept(new);
    world.run_for(500 * MILLISECOND);
    assert_eq!(world.answers.get(&token), Some(&Answer::Unknown));
}

// Otherwise a client that could try another relay waits in vain.
#[test]
fn a_message_is_declined_at_once_when_too_few_stores_are_live() {
    let mut world = World::new();
    world.queue.set_live_stores(Default::default());
    let new = world.message("a", None);
    let token = world.accept(new);
    assert!(matches!(world.answers.get(&token), Some(Answer::Declined { .. })));
    assert!(world.queue.is_empty());
}

// Nothing was written when the listing went unanswered, so the client must learn that the message will not run.
#[test]
fn an_ordered_message_that_was_not_written_is_declined() {
    let mut world = World::new();
    world.silent.extend(world.stores.keys().cloned().collect::<Vec<_>>());
    let new = world.message("a", Some("key"));
    let token = world.accept(new);
    world.run_for(500 * MILLISECOND);
    assert!(matches!(world.answers.get(&token), Some(Answer::Declined { .. })));
    assert!(world.queue.is_empty());
}

// The second message of a key must not start before the first has ended.
#[test]
fn messages_of_a_key_run_one_after_the_other() {
    let mut world = World::new();
    let first = world.message("a", Some("key"));
    world.accept(first);
    let second = world.message("b", Some("key"));
    world.accept(second);
    assert_eq!(world.submitted.len(), 1);
    let running = world.submitted[0];
    world.ran(running, RunResult::Failed);
    world.run_for(100 * MILLISECOND);
    assert_eq!(world.submitted.len(), 2, "the first message runs again, the second still waits");
    assert_eq!(world.submitted[1], running);
    world.ran(running, completed());
    assert_eq!(world.submitted.len(), 3);
}

// A message must not overtake a predecessor at another relay, and must not wait for it after its end.
#[test]
fn a_message_waits_for_a_predecessor_at_another_relay_until_a_store_knows_its_end() {
    let mut world = World::new();
    let partition = Partition::of("key");
    let earlier = MessageName::new("earlier", partition);
    let new = world.message("earlier", Some("key"));
    world.accept(new);
    // This relay releases the message while the stores keep the record, as if another relay owned it.
    let effects = world.queue.stop(world.now);
    world.carry_out(effects);
    let running = world.submitted[0];
    world.ran(running, RunResult::NotRun);
    assert!(world.queue.is_empty());
    let mut other = World::new();
    other.stores = world.stores;
    let new = other.message("later", Some("key"));
    other.accept(new);
    other.run_for(3_000 * MILLISECOND);
    assert!(other.submitted.is_empty());
    for store in other.stores.values_mut() {
        store.ends.insert(earlier.clone(), End::Refused);
    }
    other.run_for(1_000 * MILLISECOND);
    assert_eq!(other.submitted.len(), 1);
}

// A message that was never accepted, and whose only copy is lost, must not block its key for ever.
#[test]
fn a_predecessor_unknown_to_a_read_quorum_does_not_block() {
    let mut world = World::new();
    let new = world.message("lost", Some("key"));
    world.accept(new);
    let mut other = World::new();
    other.stores = std::mem::take(&mut world.stores);
    let new = other.message("later", Some("key"));
    other.accept(new);
    assert!(other.submitted.is_empty());
    for store in other.stores.values_mut() {
        store.records.retain(|name, _| name.request_id() != "lost");
        store.owners.retain(|name, _| name.request_id() != "lost");
    }
    other.run_for(1_500 * MILLISECOND);
    assert_eq!(other.submitted.len(), 1);
}

// An end that only one store knows is lost with that store, and the message runs again.
#[test]
fn an_end_is_resent_until_a_write_quorum_has_it() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let new = world.message("a", None);
    world.accept(new);
    let holders: Vec<_> = world
        .stores
        .iter()
        .filter(|(_, store)| store.records.contains_key(&name))
        .map(|(id, _)| id.clone())
        .collect();
    world.silent.insert(holders[0].clone());
    world.ran(world.submitted[0], completed());
    world.run_for(20 * MILLISECOND);
    assert_eq!(world.ends(&name), 1);
    assert_eq!(world.queue.len(), 1, "the message is kept until a write quorum has its end");
    world.silent.clear();
    world.run_for(5_000 * MILLISECOND);
    assert_eq!(world.ends(&name), 2);
    assert!(world.queue.is_empty());
}

/// A relay that is killed just after it has read a success cannot prevent another run of the message; the sooner a
/// store knows the end, the fewer messages run again. Successes read at most 10 ms before a kill ran again after an
/// outage of their hosts, because ends waited 10 ms to be batched.
#[test]
fn an_end_is_sent_at_once() {
    let mut world = World::new();
    let names = ["a", "b", "c"];
    for name in names {
        let new = world.message(name, None);
        world.accept(new);
    }
    let end_copies = |world: &World, name: &str| world.ends(&MessageName::new(name, Partition::of(name)));
    world.ran(world.submitted[0], completed());
    world.run_for(MILLISECOND);
    assert_eq!(end_copies(&world, "a"), 2);
    let asked = world.asked;
    for key in [1, 2] {
        world.ran(world.submitted[key], completed());
        world.run_for(MILLISECOND);
    }
    assert_eq!((end_copies(&world, "b"), end_copies(&world, "c")), (0, 0), "the following ends are batched");
    world.run_for(10 * MILLISECOND);
    assert_eq!((end_copies(&world, "b"), end_copies(&world, "c")), (2, 2));
    assert!(world.asked <= asked + 3, "one request per store");
}

/// A message that failed each time was tried eight times at a limited service, while a message that had waited since
/// before its first failure got no permit for 6 s, because each retry looked newly arrived.
#[test]
fn a_retry_keeps_the_due_time_of_the_first_run() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    world.run_for(100 * MILLISECOND);
    world.ran(world.submitted[0], RunResult::Failed);
    world.run_for(100 * MILLISECOND);
    assert_eq!(world.due.len(), 2);
    assert_eq!(world.due[0], world.due[1]);
}

// If the result is dropped without a report, nobody can find out why the message ran again.
#[test]
fn a_result_without_effect_is_reported() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let key = world.submitted[0];
    world.ran(key, completed());
    assert_eq!(world.dropped_results, []);
    world.ran(key, completed());
    assert_eq!(world.dropped_results, [key]);
}

// The status `dead_letter` must not be reported for a message that may still run.
#[test]
fn a_message_ends_as_failed_only_when_all_attempts_are_used() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let new = world.message("a", None);
    world.accept(new);
    let key = world.submitted[0];
    world.ran(key, RunResult::Failed);
    world.run_for(100 * MILLISECOND);
    assert_eq!(world.ends(&name), 0);
    world.ran(key, RunResult::Failed);
    world.run_for(100 * MILLISECOND);
    let ends: Vec<_> = world.stores.values().filter_map(|store| store.ends.get(&name)).collect();
    assert_eq!(ends, [&End::AttemptsUsed, &End::AttemptsUsed]);
}

/// Guards against a route whose attempts are unlimited, or whose limit is not set, ending its messages at their
/// first failure.
#[test]
fn without_a_limit_of_attempts_no_failure_ends_a_message() {
    let mut world = World::new();
    let mut table = RouteTable::clone(&routes(1, &["plain"]));
    table.routes.values_mut().for_each(|policy| policy.max_attempts = 0);
    let effects = world.queue.set_routes(world.now, Arc::new(table));
    world.carry_out(effects);
    let name = MessageName::new("a", Partition::of("a"));
    let new = world.message("a", None);
    world.accept(new);
    for attempts in 1..=8 {
        assert_eq!(world.submitted.len(), attempts);
        world.ran(world.submitted[attempts - 1], RunResult::Failed);
        world.run_for(6_000 * MILLISECOND);
    }
    assert_eq!(world.ends(&name), 0);
}

// A delayed message must not run before its delay has passed.
#[test]
fn a_delayed_message_does_not_run_early() {
    let mut world = World::new();
    let mut new = world.message("a", None);
    new.delay_ms = 1_500;
    world.accept(new);
    world.run_for(1_499 * MILLISECOND);
    assert!(world.submitted.is_empty());
    world.run_for(2 * MILLISECOND);
    assert_eq!(world.submitted.len(), 1);
}

// A message of a dropped route must not run under an older configuration.
#[test]
fn a_dropped_route_ends_its_messages() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let mut new = world.message("a", None);
    new.delay_ms = 1_500;
    world.accept(new);
    let effects = world.queue.set_routes(world.now, routes(2, &["ordered"]));
    world.carry_out(effects);
    world.run_for(3_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    assert_eq!(world.ends(&name), 2);
}

// A relay that cannot reach the stores, while membership sees them as live, must not hold each client for its whole
// timeout.
#[test]
fn a_relay_without_reachable_stores_declines_at_once_until_they_answer_again() {
    let mut world = World::new();
    world.silent.extend(world.stores.keys().cloned().collect::<Vec<_>>());
    for id in ["a", "b", "c", "d"] {
        let new = world.message(id, None);
        world.accept(new);
    }
    world.run_for(1_100 * MILLISECOND);
    assert!(!world.queue.has_enough_stores());
    let new = world.message("e", None);
    let token = world.accept(new);
    assert!(matches!(world.answers.get(&token), Some(Answer::Declined { .. })));
    world.silent.clear();
    world.run_for(1_500 * MILLISECOND);
    assert!(world.queue.has_enough_stores());
    let new = world.message("f", None);
    let token = world.accept(new);
    assert!(matches!(world.answers.get(&token), Some(Answer::Accepted { .. })));
}

// A record that only one store has, and that is not written again, blocks its key for ever.
#[test]
fn a_record_whose_responses_were_lost_is_written_again_when_the_stores_return() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("key"));
    let group = world.group(&name);
    let new = world.message("a", Some("key"));
    world.silent_to_records.extend(group[1..].iter().cloned());
    world.accept(new);
    world.run_for(600 * MILLISECOND);
    for (_, call, _) in std::mem::take(&mut world.unanswered) {
        let effects = world.queue.store_failed(world.now, call);
        world.carry_out(effects);
    }
    assert_eq!(world.holders(&name), 1);
    world.silent_to_records.clear();
    world.run_for(4_000 * MILLISECOND);
    assert!(world.holders(&name) >= 2, "the record is written again");
    assert_eq!(world.submitted.len(), 1, "and the message runs");
}

// A new owner that starts before it knows of the last attempt counts one attempt too few.
#[test]
fn a_failed_attempt_is_reported_before_the_release() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let name = MessageName::new("a", Partition::of("a"));
    let effects = world.queue.stop(world.now);
    world.carry_out(effects);
    let key = world.submitted[0];
    world.ran(key, RunResult::Failed);
    let stores = world.stores.values().filter(|store| store.released.contains(&name));
    let failure_counts: Vec<u32> = stores.filter_map(|store| store.failures.get(&name).copied()).collect();
    assert!(
        failure_counts.len() >= 2,
        "every store that has the release knows of the attempt: {failure_counts:?}"
    );
}

// A message of which nothing is written must not be held for the whole client timeout, because no other relay can
// accept it then.
#[test]
fn an_ordered_message_is_declined_early_when_no_store_lists_its_key() {
    let mut world = World::new();
    world.silent.extend(world.stores.keys().cloned().collect::<Vec<_>>());
    let new = world.message("a", Some("key"));
    let half = new.client_timeout_ms * MILLISECOND / 2;
    let token = world.accept(new);
    world.run_for(half);
    assert_eq!(world.answers.get(&token), Some(&Answer::Declined { retry_after_ms: 0 }));
    world.silent.clear();
    world.run_for(2_000 * MILLISECOND);
    assert!(world.submitted.is_empty(), "the message never runs");
}

// A message without a key must not be declined while stores of another partition can hold it.
#[test]
fn a_message_without_a_key_goes_to_live_stores() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let partition_stores = world.group(&name);
    let live = world.stores.keys().filter(|store| !partition_stores[..2].contains(store)).cloned();
    let live = live.collect();
    world.queue.set_live_stores(live);
    let new = world.message("a", None);
    let token = world.accept(new);
    world.run_for(100 * MILLISECOND);
    assert!(matches!(world.answers.get(&token), Some(Answer::Accepted { .. })), "{:?}", world.answers);
}

/// Answers a request from a disk that now has the address of the store that was asked.
fn respond_from_another_disk(world: &mut World, store: StoreId, call: CallId) {
    let other_disk = StoreId { disk: DiskId(store.disk.0 + 1_000), ..store };
    let effects = world.queue.store_answered(world.now, call, StoreResponse::Done { store: other_disk });
    world.carry_out(effects);
}

/// Guards against a message that is accepted, or whose end is forgotten, because of a response of an empty disk that
/// took over the address of a store: that disk is in no set, and nobody reads it.
#[test]
fn a_response_of_another_disk_is_ignored() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let group = world.group(&name);
    world.silent.extend(group[1..].iter().cloned());
    let mut new = world.message("a", None);
    new.client_timeout_ms = 10_000;
    let token = world.accept(new);
    let (store, call, _) = world.unanswered.remove(0);
    respond_from_another_disk(&mut world, store, call);
    assert_eq!(
        world.answers.get(&token),
        None,
        "only one store of the group has the record; the other response came from an empty disk"
    );
    world.silent.clear();
    world.run_for(3_000 * MILLISECOND);
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted { name: name.clone() }));

    world.silent.extend(group);
    world.ran(world.submitted[0], completed());
    world.run_for(20 * MILLISECOND);
    for (store, call, _) in std::mem::take(&mut world.unanswered) {
        respond_from_another_disk(&mut world, store, call);
    }
    assert!(!world.queue.is_empty(), "no store of the message knows its end");
    world.silent.clear();
    world.run_for(3_000 * MILLISECOND);
    assert!(world.queue.is_empty() && world.ends(&name) >= 2);
}
