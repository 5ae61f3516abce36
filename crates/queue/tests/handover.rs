//! Changes of ownership of messages.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, owner, with_orphan};
use pewterseam_queue::{RunResult, StatusRead, StatusResult};
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::Status;

// Without adoption, nobody runs the messages of a relay that died.
#[test]
fn an_orphan_is_claimed_and_run() {
    let (mut world, name, orphan) = with_orphan();
    offer(&mut world, &orphan);
    assert_eq!(world.submitted.len(), 1);
    let claimed =
        world.stores.values().filter(|store| store.owners.get(&name) == Some(&(owner("relay-1"), 1)));
    assert!(claimed.count() >= 2);
    offer(&mut world, &orphan);
    assert_eq!(world.submitted.len(), 1, "an offer that is repeated starts nothing");
}

// If the facts read did not reach every end on f + 1 disks, the message would run again.
#[test]
fn an_orphan_whose_end_one_store_knows_is_not_run() {
    let (mut world, name, orphan) = with_orphan();
    let group = world.group(&name);
    let knows = group.last().expect("a group").clone();
    world.stores.get_mut(&knows).expect("a store").ends.insert(name.clone(), End::Refused);
    // Two of the three stores answer; the silent one may be the one that knows the end.
    for silent in &group {
        let (mut world, name, _) = with_orphan();
        world.stores.get_mut(&knows).expect("a store").ends.insert(name.clone(), End::Refused);
        let other = group.iter().find(|store| *store != silent && **store != knows).expect("another").clone();
        world.stores.get_mut(&other).expect("a store").ends.insert(name.clone(), End::Refused);
        world.silent.insert(silent.clone());
        offer(&mut world, &orphan);
        world.run_for(2_000 * MILLISECOND);
        assert!(world.submitted.is_empty());
    }
    offer(&mut world, &orphan);
    assert!(world.submitted.is_empty());
}

// Fewer responses than a read quorum must not count as certain.
#[test]
fn an_orphan_waits_for_a_read_quorum() {
    let (mut world, name, orphan) = with_orphan();
    let group = world.group(&name);
    world.silent.extend(group[..2].iter().cloned());
    offer(&mut world, &orphan);
    world.run_for(2_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    world.silent.clear();
    world.run_for(1_000 * MILLISECOND);
    assert_eq!(world.submitted.len(), 1);
}

// A stopping relay must not hand over a running message, and must not forget a message that it has just accepted.
#[test]
fn a_stopping_relay_releases_messages_that_are_not_running() {
    let mut world = World::new();
    let running = world.message("running", None);
    world.accept(running);
    let mut waiting = world.message("waiting", None);
    waiting.delay_ms = 5_000;
    world.accept(waiting);
    let effects = world.queue.stop(world.now);
    world.carry_out(effects);
    assert_eq!(world.queue.running(), 1);
    let late = world.message("late", None);
    world.accept(late);
    let released = |world: &World, id: &str| {
        let name = MessageName::new(id, Partition::of(id));
        world.stores.values().filter(|store| store.released.contains(&name)).count()
    };
    assert!(released(&world, "waiting") >= 2);
    assert!(released(&world, "late") >= 2, "accepted while stopping, then handed over");
    assert_eq!(released(&world, "running"), 0);
    assert!(!world.queue.is_drained());
    world.ran(world.submitted[0], RunResult::Completed { signature: Arc::from("signature") });
    world.run_for(20 * MILLISECOND);
    assert!(world.queue.is_drained());
}

// A process that was paused must not run messages that other relays have adopted meanwhile.
#[test]
fn after_a_process_pause_messages_claimed_by_others_are_dropped() {
    let mut world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let mut new = world.message("a", None);
    new.delay_ms = 1_000;
    world.accept(new);
    world.queue.set_live_relays([owner("relay-1"), owner("other")].into());
    for store in world.stores.values_mut() {
        if store.owners.contains_key(&name) {
            store.owners.insert(name.clone(), (owner("other"), 1));
        }
    }
    world.now += 10_000 * MILLISECOND;
    let effects = world.queue.tick(world.now);
    world.carry_out(effects);
    assert!(world.submitted.is_empty());
    assert!(world.queue.is_empty());
}

// A caller must not get the status "unknown" before the stores that may know the message have answered.
#[test]
fn a_status_is_returned_only_after_a_read_quorum() {
    let world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let group = world.group(&name);
    let mut read = StatusRead::new(world.placement(), Partition::of("a"));
    assert_eq!(read.answered(group[0].clone(), Status::Unknown), None);
    let end = End::Completed { signature: Arc::from("signature") };
    assert_eq!(read.answered(group[1].clone(), Status::Ended(end.clone())), Some(StatusResult::Ended(end)));
    assert_eq!(read.write_back(), None, "no store has the message without its end");
}

// Without the write-back, one caller reads an end and the next one reads the message as pending.
#[test]
fn a_reported_end_is_written_back() {
    let world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let group = world.group(&name);
    let mut read = StatusRead::new(world.placement(), Partition::of("a"));
    let open = Status::Open { owner: owner("relay-1"), claim: 0, failures: 0, released: false };
    assert_eq!(read.answered(group[0].clone(), open), None);
    let end = End::Completed { signature: Arc::from("signature") };
    let result = read.answered(group[1].clone(), Status::Ended(end.clone()));
    assert_eq!(result, Some(StatusResult::Ended(end.clone())));
    assert_eq!(read.write_back(), Some((&end, &[group[0].clone()].into())));
}

// Two stores with different views may offer a message to two relays; both must not run it.
#[test]
fn only_one_of_two_claimants_runs_an_orphan() {
    let (mut first, name, orphan) = with_orphan();
    offer(&mut first, &orphan);
    assert_eq!(first.submitted.len(), 1);
    // The second relay asked before the claim of the first one, and makes the same claim after it.
    let mut second = World::new();
    second.stores = with_orphan().0.stores;
    let claiming: Vec<_> = second.stores.keys().cloned().collect();
    second.queue.set_live_relays([owner("relay-1")].into());
    second.hold_claims = true;
    offer(&mut second, &orphan);
    assert!(second.submitted.is_empty());
    second.stores = first.stores;
    second.answer_claims();
    second.run_for(3_000 * MILLISECOND);
    assert!(second.submitted.is_empty(), "{claiming:?} {name:?}");
}

// Otherwise a relay with the grant of a single store runs the message at the same time as a relay that has the
// grants of the other stores.
#[test]
fn a_claim_granted_by_one_store_makes_no_owner() {
    let (mut world, name, orphan) = with_orphan();
    let holders: Vec<_> = world.holders_of(&name);
    for store in &holders[1..] {
        world.stores.get_mut(store).expect("a store").owners.insert(name.clone(), (owner("other"), 1));
    }
    world.hold_claims = true;
    offer(&mut world, &orphan);
    world.answer_claims();
    assert!(world.submitted.is_empty());
}
