//! Changes of routes, and the messages that are held meanwhile.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, routes, with_orphan};
use pewterseam_queue::{RouteTable, RunResult};
use pewterseam_wire::record::End;

/// The usual routes, of which all messages go to another service.
fn moved_routes(version: u64) -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&routes(version, &["plain", "ordered"]));
    table.routes.values_mut().for_each(|policy| policy.service = Arc::from("another"));
    Arc::new(table)
}

fn set(world: &mut World, table: Arc<RouteTable>) {
    let effects = world.queue.set_routes(world.now, table);
    world.carry_out(effects);
}

// Danger: a message that waits for a host goes to the service that its route had when it was submitted.
#[test]
fn a_submitted_message_follows_its_route() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    set(&mut world, moved_routes(2));
    let (key, submission) = world.revised.pop().expect("a revision");
    assert_eq!(key, world.submitted[0]);
    assert_eq!(&*submission.service, "another");
    // The result of the attempt that is out counts.
    world.ran(key, RunResult::Completed { signature: Arc::from("signature") });
    world.run_for(20 * MILLISECOND);
    assert!(world.queue.is_empty());
}

// Danger: each change hands all messages to the runner anew.
#[test]
fn a_route_that_stays_revises_nothing() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    set(&mut world, routes(2, &["plain", "ordered", "added"]));
    assert!(world.revised.is_empty());
}

// Danger: what else the route says stays as it was.
#[test]
fn another_time_out_reaches_a_submitted_message() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let mut table = RouteTable::clone(&routes(2, &["plain", "ordered"]));
    table.routes.values_mut().for_each(|policy| policy.timeout_ms = 700);
    set(&mut world, Arc::new(table));
    assert_eq!(world.revised.pop().map(|(_, submission)| submission.timeout_ms), Some(700));
}

// Danger: a message whose route is known again stays where it is for ever.
#[test]
fn a_message_that_waits_for_its_route_starts_with_it() {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.record.config_version = 3;
    orphan.record.route = Arc::from("added");
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    assert!(!world.queue.is_empty(), "a configuration older than the message has not dropped its route");
    set(&mut world, routes(3, &["plain", "ordered", "added"]));
    assert_eq!(world.submitted.len(), 1);
}

// Danger: a message of a route that is gone is kept for ever.
#[test]
fn an_orphan_whose_route_was_dropped_ends() {
    let (mut world, name, mut orphan) = with_orphan();
    orphan.record.config_version = 1;
    orphan.record.route = Arc::from("dropped");
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    let ends = world.stores.values().filter(|store| store.ends.get(&name) == Some(&End::RouteDropped));
    assert!(ends.count() >= 2);
}

/// A message whose attempt waits for the stores' word on its owner.
fn with_unconfirmed_attempt() -> World {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.record.config_version = 1;
    offer(&mut world, &orphan);
    let key = world.submitted[0];
    let stores: Vec<_> = world.stores.keys().cloned().collect();
    world.silent.extend(stores);
    world.request_send(key);
    assert!(world.permits.is_empty() && world.refused.is_empty());
    world
}

fn answer_all(world: &mut World) {
    world.silent.clear();
    for (store, call, request) in std::mem::take(&mut world.unanswered) {
        world.deliver(store, call, request);
    }
    world.run_for(1_000 * MILLISECOND);
}

// Danger: the attempt goes to the service that the route had when it was chosen.
#[test]
fn an_attempt_without_a_permit_is_given_up_when_its_route_moves() {
    let mut world = with_unconfirmed_attempt();
    set(&mut world, moved_routes(2));
    assert_eq!(world.refused.len(), 1);
    answer_all(&mut world);
    assert!(world.permits.is_empty());
}

// Danger: a message that has ended with its route is sent once the stores have answered.
#[test]
fn an_attempt_without_a_permit_is_given_up_when_its_route_goes() {
    let mut world = with_unconfirmed_attempt();
    set(&mut world, routes(2, &["another"]));
    assert_eq!(world.refused.len(), 1);
    assert_eq!(world.withdrawn.len(), 1);
    answer_all(&mut world);
    assert!(world.permits.is_empty());
}
