//! Permits to send: only while no other relay can own the message.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, owner, with_orphan};
use pewterseam_queue::{MessageKey, RunResult};
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::{OWNER_LEASE, StoreRequest};

/// A world with one message that runs.
fn with_running() -> (World, MessageName, MessageKey) {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let key = world.submitted[0];
    (world, MessageName::new("a", Partition::of("a")), key)
}

fn completed() -> RunResult {
    RunResult::Completed { signature: Arc::from("signature") }
}

/// Guards against a round trip before each message's first run, and against a permit that outlives the stores' leases.
#[test]
fn a_message_that_was_just_accepted_is_sent_at_once() {
    let (mut world, _, key) = with_running();
    let (accepted_at, asked) = (world.now, world.asked);
    world.request_send(key);
    assert_eq!(world.asked, asked, "no store is asked");
    let permit = world.permits.pop().expect("a permit");
    assert_eq!(permit.key(), key);
    assert!(permit.expires_at() < accepted_at + OWNER_LEASE);
}

/// Guards against a relay that was cut off, or stood still, and runs what another relay has run meanwhile.
#[test]
fn after_the_lease_a_message_of_another_owner_is_not_sent() {
    let (mut world, name, key) = with_running();
    world.queue.set_live_relays([owner("relay-1"), owner("other")].into());
    for store in world.holders_of(&name) {
        world.stores.get_mut(&store).expect("a store").owners.insert(name.clone(), (owner("other"), 1));
    }
    // The timers have not run yet: it is asked first thing after a freeze.
    world.now += OWNER_LEASE;
    let attempt = world.request_send(key);
    assert!(world.permits.is_empty());
    assert_eq!(world.refused, [attempt]);
    assert_eq!(world.withdrawn, [key]);
    assert!(world.queue.is_empty(), "the other relay has it");
}

/// Guards against a message that ended at another relay and runs here again.
#[test]
fn after_the_lease_a_message_that_has_ended_is_not_sent() {
    let (mut world, name, key) = with_running();
    let group = world.group(&name);
    for store in &group[1..] {
        world.stores.get_mut(store).expect("a store").ends.insert(name.clone(), End::Refused);
    }
    world.now += OWNER_LEASE;
    world.request_send(key);
    assert!(world.permits.is_empty());
    world.run_for(20 * MILLISECOND);
    assert_eq!(world.ends(&name), 3, "the end is written back to the store that lacked it");
    assert!(world.queue.is_empty());
}

/// Guards against a message that is held up although it is still owned here.
#[test]
fn after_the_lease_an_own_message_is_confirmed_and_sent() {
    let (mut world, _, key) = with_running();
    world.now += OWNER_LEASE;
    let asked_at = world.now;
    world.request_send(key);
    let permit = world.permits.pop().expect("a permit");
    assert!(permit.expires_at() < asked_at + OWNER_LEASE);
    // The answers have renewed the lease.
    let asked = world.asked;
    world.request_send(key);
    assert_eq!((world.permits.len(), world.asked), (1, asked));
}

/// Guards against a lease that was renewed after a lapse and covers messages from before it.
#[test]
fn a_lease_that_lapsed_covers_no_earlier_message() {
    let (mut world, name, key) = with_running();
    world.run_for(OWNER_LEASE);
    for number in 0..40 {
        let new = world.message(&format!("later-{number}"), None);
        world.accept(new);
    }
    let asked = world.asked;
    world.request_send(key);
    assert!(world.asked > asked, "the stores of {name:?} are asked");
}

/// Guards against a run without a quorum's word, and against an attempt that waits for it for ever.
#[test]
fn without_a_read_quorum_nothing_is_sent() {
    let (mut world, name, key) = with_running();
    let group = world.group(&name);
    world.silent.extend(group[1..].iter().cloned());
    world.now += OWNER_LEASE;
    let attempt = world.request_send(key);
    world.run_for(600 * MILLISECOND);
    assert!(world.permits.is_empty());
    assert_eq!(world.refused, [attempt]);
    assert!(world.withdrawn.is_empty(), "it is tried again");
    // Answers that come after the time-out are to no attempt.
    for (store, call, request) in std::mem::take(&mut world.unanswered) {
        world.deliver(store, call, request);
    }
    assert!(world.permits.is_empty());
}

/// Guards against the run of an heir beside one of the former owner that ends late.
#[test]
fn a_message_that_was_taken_over_is_confirmed_each_time() {
    let (mut world, name, orphan) = with_orphan();
    offer(&mut world, &orphan);
    let key = world.submitted[0];
    world.request_send(key);
    assert_eq!(world.permits.len(), 1);
    world.ran(key, RunResult::NotRun);
    world.run_for(200 * MILLISECOND);
    // The former owner had a run out, which has ended now.
    let knows = world.group(&name)[0].clone();
    let end = End::Completed { signature: Arc::from("late") };
    world.stores.get_mut(&knows).expect("a store").ends.insert(name.clone(), end);
    world.request_send(key);
    assert_eq!(world.permits.len(), 1, "no second permit");
    assert_eq!(world.withdrawn, [key]);
}

/// Guards against a permit for a message that is over, or that was given back.
#[test]
fn what_does_not_run_gets_no_permit() {
    let (mut world, _, key) = with_running();
    world.ran(key, completed());
    let attempt = world.request_send(key);
    assert!(world.permits.is_empty());
    assert_eq!(world.refused, [attempt]);
}

/// Guards against an end that one store alone knows for long: the others are told as soon as one fails.
#[test]
fn an_end_goes_to_further_stores_when_one_fails() {
    let (mut world, name, key) = with_running();
    let holders = world.holders_of(&name);
    world.silent.insert(holders[0].clone());
    world.ran(key, completed());
    world.run_for(20 * MILLISECOND);
    assert_eq!(world.ends(&name), 1, "the other is silent");
    let lost = world.unanswered.pop().expect("the end to the silent store");
    assert!(matches!(lost.2, StoreRequest::Settle { .. }));
    let effects = world.queue.store_failed(world.now, lost.1);
    world.carry_out(effects);
    world.run_for(20 * MILLISECOND);
    assert_eq!(world.ends(&name), 2);
}

/// The same where the store says nothing at all.
#[test]
fn an_end_goes_to_further_stores_when_one_is_silent() {
    let (mut world, name, key) = with_running();
    let holders = world.holders_of(&name);
    world.silent.insert(holders[0].clone());
    world.ran(key, completed());
    world.run_for(130 * MILLISECOND);
    assert_eq!(world.ends(&name), 2);
}

/// Guards against a store that never hears that a claim was given up, and takes this relay for the owner for ever.
#[test]
fn a_release_is_told_until_it_is_heard() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let mut new = world.message("a", None);
    new.delay_ms = 5_000;
    world.accept(new);
    world.silent.extend(world.group(&name));
    let effects = world.queue.stop(world.now);
    world.carry_out(effects);
    world.run_for(3_000 * MILLISECOND);
    let released =
        |world: &World| world.stores.values().filter(|store| store.released.contains(&name)).count();
    assert_eq!(released(&world), 0);
    world.silent.clear();
    world.run_for(1_000 * MILLISECOND);
    assert_eq!(released(&world), 3);
}

/// Guards against an heir that gives a message up because one store still names the former owner.
#[test]
fn a_store_that_missed_the_claim_takes_nothing_away() {
    let (mut world, name, orphan) = with_orphan();
    offer(&mut world, &orphan);
    let holders = world.holders_of(&name);
    world.stores.get_mut(&holders[0]).expect("a store").owners.insert(name.clone(), (owner("gone"), 0));
    world.request_send(world.submitted[0]);
    assert_eq!(world.permits.len(), 1);
}

/// Guards against an owner that was cut off while it wrote a record, and runs what another relay has run meanwhile.
#[test]
fn a_record_that_has_moved_on_is_not_run() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    world.silent.extend(world.group(&name));
    let new = world.message("a", None);
    let token = world.accept(new);
    world.queue.set_live_relays([owner("relay-1"), owner("other")].into());
    world.run_for(700 * MILLISECOND);
    world.silent.clear();
    for (store, call, request) in std::mem::take(&mut world.unanswered) {
        world.process(&store, request.clone());
        world.stores.get_mut(&store).expect("a store").owners.insert(name.clone(), (owner("other"), 1));
        world.deliver(store, call, request);
    }
    assert!(world.answers.contains_key(&token));
    assert!(world.submitted.is_empty());
    assert!(world.queue.is_empty(), "the other relay has it");
}

/// Guards against ends that are told ever more often while no store answers: the memory of a relay that is cut off grew
/// threefold with each round.
#[test]
fn ends_are_told_at_a_steady_pace_while_no_store_answers() {
    let (mut world, name, key) = with_running();
    world.silent.extend(world.group(&name));
    world.ran(key, completed());
    let mut asked = Vec::new();
    for _ in 0..10 {
        let before = world.asked;
        for _ in 0..24 {
            world.run_for(50 * MILLISECOND);
            for (_, call, _) in std::mem::take(&mut world.unanswered) {
                let effects = world.queue.store_failed(world.now, call);
                world.carry_out(effects);
            }
        }
        asked.push(world.asked - before);
    }
    assert!(asked.iter().all(|asked| *asked <= 24), "requests in each 1.2 s: {asked:?}");
}
