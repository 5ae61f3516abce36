//! The life of a message: accepted when durable, run in order, ended on enough stores.

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

// Danger: 202 before the second sync loses the message with the first disk.
#[test]
fn it_is_accepted_only_when_two_stores_have_it() {
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

// Danger: one frozen store holds up every message of its partitions.
#[test]
fn a_silent_store_is_passed_over() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let first = world.group(&name)[0].clone();
    world.silent.insert(first);
    let new = world.message("a", None);
    let token = world.accept(new);
    world.run_for(60 * MILLISECOND);
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted { name }));
}

// Danger: 503 promises that it never runs, while a store may hold it.
#[test]
fn no_promise_is_given_while_a_store_may_hold_it() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    world.silent.extend(world.group(&name));
    let new = world.message("a", None);
    let token = world.accept(new);
    world.run_for(500 * MILLISECOND);
    assert_eq!(world.answers.get(&token), Some(&Answer::Unknown));
}

// Danger: a client that could go elsewhere waits in vain.
#[test]
fn it_is_declined_at_once_when_too_few_stores_live() {
    let mut world = World::new();
    world.queue.set_live_stores(Default::default());
    let new = world.message("a", None);
    let token = world.accept(new);
    assert!(matches!(world.answers.get(&token), Some(Answer::Declined { .. })));
    assert!(world.queue.is_empty());
}

// Danger: nothing was written when the question about the key went unanswered, and the client is not told.
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

// Danger: the second message of a key starts before the first has ended.
#[test]
fn a_key_runs_one_after_the_other() {
    let mut world = World::new();
    let first = world.message("a", Some("key"));
    world.accept(first);
    let second = world.message("b", Some("key"));
    world.accept(second);
    assert_eq!(world.submitted.len(), 1);
    let running = world.submitted[0];
    world.ran(running, RunResult::Failed);
    world.run_for(100 * MILLISECOND);
    assert_eq!(world.submitted.len(), 2, "the first runs again, the second still waits");
    assert_eq!(world.submitted[1], running);
    world.ran(running, completed());
    assert_eq!(world.submitted.len(), 3);
}

// Danger: a predecessor of another relay is overtaken, or waited for after its end.
#[test]
fn a_predecessor_elsewhere_holds_it_until_a_store_knows_its_end() {
    let mut world = World::new();
    let partition = Partition::of("key");
    let earlier = MessageName::new("earlier", partition);
    let new = world.message("earlier", Some("key"));
    world.accept(new);
    // The record stays at the stores while this relay forgets it, as if another relay owned it.
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

// Danger: a message that was never accepted, and whose only copy is lost, blocks its key for ever.
#[test]
fn a_predecessor_that_a_read_quorum_does_not_know_is_none() {
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

// Danger: an end that one store alone knows is lost with it, and the message runs again.
#[test]
fn an_end_is_told_until_a_write_quorum_has_it() {
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
    assert_eq!(world.queue.len(), 1, "it is kept until the end is safe");
    world.silent.clear();
    world.run_for(5_000 * MILLISECOND);
    assert_eq!(world.ends(&name), 2);
    assert!(world.queue.is_empty());
}

/// A relay that is killed right after it has read a success cannot keep the message from running again; the shorter the time
/// until a store has been told, the fewer do. Seen: successes read at most 10 ms before a kill ran again once an outage of their
/// hosts was over, as ends waited 10 ms for others to travel with.
#[test]
fn an_end_is_told_at_once() {
    let mut world = World::new();
    let names = ["a", "b", "c"];
    for name in names {
        let new = world.message(name, None);
        world.accept(new);
    }
    let told = |world: &World, name: &str| world.ends(&MessageName::new(name, Partition::of(name)));
    world.ran(world.submitted[0], completed());
    world.run_for(MILLISECOND);
    assert_eq!(told(&world, "a"), 2);
    let asked = world.asked;
    for key in [1, 2] {
        world.ran(world.submitted[key], completed());
        world.run_for(MILLISECOND);
    }
    assert_eq!((told(&world, "b"), told(&world, "c")), (0, 0), "those that follow travel together");
    world.run_for(10 * MILLISECOND);
    assert_eq!((told(&world, "b"), told(&world, "c")), (2, 2));
    assert!(world.asked <= asked + 3, "one request a store");
}

/// Seen: a message that failed each time was tried eight times at a limited service while one that had waited since before its first
/// failure got no permit for 6 s; each retry looked as if it had just come.
#[test]
fn a_retry_is_as_old_as_its_first_run() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    world.run_for(100 * MILLISECOND);
    world.ran(world.submitted[0], RunResult::Failed);
    world.run_for(100 * MILLISECOND);
    assert_eq!(world.due.len(), 2);
    assert_eq!(world.due[0], world.due[1]);
}

// Danger: a success is dropped without a word, and nobody finds out why the message ran again.
#[test]
fn a_result_without_effect_is_told() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let key = world.submitted[0];
    world.ran(key, completed());
    assert_eq!(world.dropped_results, []);
    world.ran(key, completed());
    assert_eq!(world.dropped_results, [key]);
}

// Danger: 'dead_letter' is told of a message that may still run.
#[test]
fn failed_attempts_end_it_only_when_all_are_used() {
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

/// Guards against a route without a limit of attempts, or without the field, whose messages end at their first failure.
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

// Danger: a delayed message runs early.
#[test]
fn a_delay_is_waited_for() {
    let mut world = World::new();
    let mut new = world.message("a", None);
    new.delay_ms = 1_500;
    world.accept(new);
    world.run_for(1_499 * MILLISECOND);
    assert!(world.submitted.is_empty());
    world.run_for(2 * MILLISECOND);
    assert_eq!(world.submitted.len(), 1);
}

// Danger: a message of a dropped route runs on under an older configuration.
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

// Danger: a relay that is cut off from the stores, while others see them live, holds each client for its whole patience.
#[test]
fn a_relay_that_no_store_answers_declines_at_once_until_they_answer_again() {
    let mut world = World::new();
    world.silent.extend(world.stores.keys().cloned().collect::<Vec<_>>());
    for id in ["a", "b", "c", "d"] {
        let new = world.message(id, None);
        world.accept(new);
    }
    world.run_for(1_100 * MILLISECOND);
    assert!(!world.queue.has_stores());
    let new = world.message("e", None);
    let token = world.accept(new);
    assert!(matches!(world.answers.get(&token), Some(Answer::Declined { .. })));
    world.silent.clear();
    world.run_for(1_500 * MILLISECOND);
    assert!(world.queue.has_stores());
    let new = world.message("f", None);
    let token = world.accept(new);
    assert!(matches!(world.answers.get(&token), Some(Answer::Accepted { .. })));
}

// Danger: a record that one store has, and that nobody writes again, holds up its key for ever.
#[test]
fn a_record_whose_answers_were_lost_is_written_once_stores_are_back() {
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
    assert!(world.holders(&name) >= 2, "it is written again");
    assert_eq!(world.submitted.len(), 1, "and runs");
}

// Danger: an heir counts one attempt too few, as it begins before it knows of the last one.
#[test]
fn a_failed_attempt_is_told_before_the_release() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let name = MessageName::new("a", Partition::of("a"));
    let effects = world.queue.stop(world.now);
    world.carry_out(effects);
    let key = world.submitted[0];
    world.ran(key, RunResult::Failed);
    let stores = world.stores.values().filter(|store| store.released.contains(&name));
    let told: Vec<u32> = stores.filter_map(|store| store.failures.get(&name).copied()).collect();
    assert!(told.len() >= 2, "every holder that was told of the release knows of the attempt: {told:?}");
}

// Danger: a message of which nothing is written is held for the client's whole patience, and no other relay can take it.
#[test]
fn a_key_that_no_store_tells_of_is_refused_while_the_client_has_time_left() {
    let mut world = World::new();
    world.silent.extend(world.stores.keys().cloned().collect::<Vec<_>>());
    let new = world.message("a", Some("key"));
    let half = new.patience_ms * MILLISECOND / 2;
    let token = world.accept(new);
    world.run_for(half);
    assert_eq!(world.answers.get(&token), Some(&Answer::Declined { retry_after_ms: 0 }));
    world.silent.clear();
    world.run_for(2_000 * MILLISECOND);
    assert!(world.submitted.is_empty(), "it never runs");
}

// Danger: a message without a key is refused although other stores than those of its id could keep it.
#[test]
fn a_message_without_a_key_goes_to_stores_that_are_there() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let gone = world.group(&name);
    let live = world.stores.keys().filter(|store| !gone[..2].contains(store)).cloned();
    let live = live.collect();
    world.queue.set_live_stores(live);
    let new = world.message("a", None);
    let token = world.accept(new);
    world.run_for(100 * MILLISECOND);
    assert!(matches!(world.answers.get(&token), Some(Answer::Accepted { .. })), "{:?}", world.answers);
}

/// A disk that has come to the address of a store answers a call to it.
fn answer_of_another_disk(world: &mut World, store: StoreId, call: CallId) {
    let other_disk = StoreId { disk: DiskId(store.disk.0 + 1_000), ..store };
    let effects = world.queue.store_answered(world.now, call, StoreResponse::Done { store: other_disk });
    world.carry_out(effects);
}

/// Guards against a message that is accepted, or whose end is forgotten, on the word of an empty disk that has come to the
/// address of a store: that disk is in no set, and nobody reads it.
#[test]
fn an_answer_of_another_disk_counts_for_nothing() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let group = world.group(&name);
    world.silent.extend(group[1..].iter().cloned());
    let mut new = world.message("a", None);
    new.patience_ms = 10_000;
    let token = world.accept(new);
    let (store, call, _) = world.unanswered.remove(0);
    answer_of_another_disk(&mut world, store, call);
    assert_eq!(world.answers.get(&token), None, "one store has it, and an empty disk says so too");
    world.silent.clear();
    world.run_for(3_000 * MILLISECOND);
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted { name: name.clone() }));

    world.silent.extend(group);
    world.ran(world.submitted[0], completed());
    world.run_for(20 * MILLISECOND);
    for (store, call, _) in std::mem::take(&mut world.unanswered) {
        answer_of_another_disk(&mut world, store, call);
    }
    assert!(!world.queue.is_empty(), "no store of the message knows its end");
    world.silent.clear();
    world.run_for(3_000 * MILLISECOND);
    assert!(world.queue.is_empty() && world.ends(&name) >= 2);
}
