//! Messages that change their owner.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, owner, with_orphan};
use pewterseam_queue::{RunResult, StatusRead, StatusResult};
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::Status;

// Danger: nobody runs the messages of a relay that died.
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

// Danger: an end on f + 1 disks is not seen, and the message runs again.
#[test]
fn an_orphan_whose_end_one_store_knows_is_not_run() {
    let (mut world, name, orphan) = with_orphan();
    let group = world.group(&name);
    let knows = group.last().expect("a group").clone();
    world.stores.get_mut(&knows).expect("a store").ends.insert(name.clone(), End::Refused);
    // Two of three answer; one of them may be the one that knows.
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

// Danger: fewer answers than a read quorum are taken for certain.
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

// Danger: a stop that hands over a message that runs, or forgets one that was just accepted.
#[test]
fn a_stop_gives_up_what_does_not_run() {
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

// Danger: a process that stood still runs what others have taken over meanwhile.
#[test]
fn after_a_standstill_what_was_claimed_by_others_is_dropped() {
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

// Danger: a caller is told 'unknown' while the stores that know were not heard.
#[test]
fn a_state_is_certain_only_with_a_read_quorum() {
    let world = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let group = world.group(&name);
    let mut read = StatusRead::new(world.placement(), Partition::of("a"));
    assert_eq!(read.answered(group[0].clone(), Status::Unknown), None);
    let end = End::Completed { signature: Arc::from("signature") };
    assert_eq!(read.answered(group[1].clone(), Status::Ended(end.clone())), Some(StatusResult::Ended(end)));
    assert_eq!(read.write_back(), None, "no store has the message without its end");
}

// Danger: a caller is told of an end, and the next one that the message is pending.
#[test]
fn an_end_that_is_told_is_written_back() {
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

// Danger: two stores with different views offer a message to two relays, and both run it.
#[test]
fn of_two_heirs_one_runs_it() {
    let (mut first, name, orphan) = with_orphan();
    offer(&mut first, &orphan);
    assert_eq!(first.submitted.len(), 1);
    // The second heir asked before the first one's claim, and claims the same number after it.
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

// Danger: an heir with one store's word alone runs it beside another that has the other stores'.
#[test]
fn one_store_alone_makes_no_owner() {
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
