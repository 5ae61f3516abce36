//! Permits to send: granted only while no other relay can own the message.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, owner, with_orphan};
use pewterseam_queue::{MessageKey, RunResult};
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::{OWNER_LEASE, StoreRequest};

/// A world with one running message.
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

/// Guards against a round trip to the stores before each message's first run, and against a permit that outlives the
/// leases.
#[test]
fn a_message_that_was_just_accepted_is_sent_at_once() {
    let (mut world, _, key) = with_running();
    let (accepted_at, asked) = (world.now, world.asked);
    world.request_send(key);
    assert_eq!(world.asked, asked, "no request goes to a store");
    let permit = world.permits.pop().expect("a permit");
    assert_eq!(permit.key(), key);
    assert!(permit.expires_at() < accepted_at + OWNER_LEASE);
}

/// Guards against a relay that was partitioned or paused and runs a message that another relay has run meanwhile.
#[test]
fn after_lease_expiry_a_message_of_another_owner_is_not_sent() {
    let (mut world, name, key) = with_running();
    world.queue.set_live_relays([owner("relay-1"), owner("other")].into());
    for store in world.holders_of(&name) {
        world.stores.get_mut(&store).expect("a store").owners.insert(name.clone(), (owner("other"), 1));
    }
    // The timers have not fired yet: the request is the first event after the pause.
    world.now += OWNER_LEASE;
    let attempt = world.request_send(key);
    assert!(world.permits.is_empty());
    assert_eq!(world.refused, [attempt]);
    assert_eq!(world.withdrawn, [key]);
    assert!(world.queue.is_empty(), "the other relay owns the message");
}

/// Guards against a message that ended at another relay and runs again here.
#[test]
fn after_lease_expiry_a_message_that_has_ended_is_not_sent() {
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

/// Guards against a message that is refused although this relay still owns it.
#[test]
fn after_lease_expiry_an_owned_message_is_confirmed_and_sent() {
    let (mut world, _, key) = with_running();
    world.now += OWNER_LEASE;
    let asked_at = world.now;
    world.request_send(key);
    let permit = world.permits.pop().expect("a permit");
    assert!(permit.expires_at() < asked_at + OWNER_LEASE);
    // The responses have renewed the lease.
    let asked = world.asked;
    world.request_send(key);
    assert_eq!((world.permits.len(), world.asked), (1, asked));
}

/// Guards against a lease that was renewed after a gap and is taken to cover messages from before the gap.
#[test]
fn a_lease_renewed_after_a_gap_covers_no_earlier_message() {
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

/// Guards against a run without the confirmation of a quorum, and against an attempt that waits for the confirmation
/// for ever.
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
    assert!(world.withdrawn.is_empty(), "the message is retried");
    // Responses after the timeout belong to no attempt.
    for (store, call, request) in std::mem::take(&mut world.unanswered) {
        world.deliver(store, call, request);
    }
    assert!(world.permits.is_empty());
}

/// Guards against a run by a new owner at the same time as a run of the former owner that ends late.
#[test]
fn an_adopted_message_is_confirmed_before_each_attempt() {
    let (mut world, name, orphan) = with_orphan();
    offer(&mut world, &orphan);
    let key = world.submitted[0];
    world.request_send(key);
    assert_eq!(world.permits.len(), 1);
    world.ran(key, RunResult::NotRun);
    world.run_for(200 * MILLISECOND);
    // The former owner had a run in progress, which has ended now.
    let knows = world.group(&name)[0].clone();
    let end = End::Completed { signature: Arc::from("late") };
    world.stores.get_mut(&knows).expect("a store").ends.insert(name.clone(), end);
    world.request_send(key);
    assert_eq!(world.permits.len(), 1, "no second permit");
    assert_eq!(world.withdrawn, [key]);
}

/// Guards against a permit for a message that has ended or was returned by the runner.
#[test]
fn a_message_that_is_not_running_gets_no_permit() {
    let (mut world, _, key) = with_running();
    world.ran(key, completed());
    let attempt = world.request_send(key);
    assert!(world.permits.is_empty());
    assert_eq!(world.refused, [attempt]);
}

/// Guards against an end that only one store knows for long: the other stores are sent the end as soon as one store
/// fails.
#[test]
fn an_end_goes_to_further_stores_when_one_fails() {
    let (mut world, name, key) = with_running();
    let holders = world.holders_of(&name);
    world.silent.insert(holders[0].clone());
    world.ran(key, completed());
    world.run_for(20 * MILLISECOND);
    assert_eq!(world.ends(&name), 1, "the other store is silent");
    let lost = world.unanswered.pop().expect("the end to the silent store");
    assert!(matches!(lost.2, StoreRequest::Settle { .. }));
    let effects = world.queue.store_failed(world.now, lost.1);
    world.carry_out(effects);
    world.run_for(20 * MILLISECOND);
    assert_eq!(world.ends(&name), 2);
}

/// As above, for a store that does not respond at all.
#[test]
fn an_end_goes_to_further_stores_when_one_is_silent() {
    let (mut world, name, key) = with_running();
    let holders = world.holders_of(&name);
    world.silent.insert(holders[0].clone());
    world.ran(key, completed());
    world.run_for(130 * MILLISECOND);
    assert_eq!(world.ends(&name), 2);
}

/// Guards against a store that never learns that a claim was released, and takes this relay for the owner for ever.
#[test]
fn a_release_is_resent_until_it_is_acknowledged() {
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

/// Guards against a new owner that gives a message up because one store still names the former owner.
#[test]
fn a_store_that_missed_the_claim_does_not_prevent_sending() {
    let (mut world, name, orphan) = with_orphan();
    offer(&mut world, &orphan);
    let holders = world.holders_of(&name);
    world.stores.get_mut(&holders[0]).expect("a store").owners.insert(name.clone(), (owner("gone"), 0));
    world.request_send(world.submitted[0]);
    assert_eq!(world.permits.len(), 1);
}

/// Guards against an owner that was partitioned while it wrote a record, and runs a message that another relay has
/// run meanwhile.
#[test]
fn a_message_claimed_by_another_relay_during_its_write_is_not_run() {
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
    assert!(world.queue.is_empty(), "the other relay owns the message");
}

/// Guards against ends that are sent more and more often while no store answers: the memory of a partitioned relay
/// grew threefold with each retry round.
#[test]
fn ends_are_resent_at_a_constant_rate_while_no_store_answers() {
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
