//! Changes of routes, and the messages that are held meanwhile.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, route_key, routes, with_orphan};
use pewterseam_config::CompiledConfig;
use pewterseam_queue::{NewMessage, RouteTable, RunResult};
use pewterseam_wire::record::{End, MessageName, RouteKey};

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
    orphan.record.route_key = Some(route_key("added"));
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
    orphan.record.route_key = Some(route_key("dropped"));
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

const HOST: &str = "relay.example";

/// A route of a document: its name, its prefix and its service.
type Line = (&'static str, &'static str, &'static str);

const FIRST: [Line; 3] = [
    ("route-1", "/statements/", "statements"),
    ("route-2", "/transfers/", "transfers"),
    ("route-3", "/clearing/", "clearing"),
];

/// Without the first route. A tool that writes the whole configuration has numbered the others anew.
const NUMBERED_ANEW: [Line; 2] =
    [("route-1", "/transfers/", "transfers"), ("route-2", "/clearing/", "clearing")];

fn configuration(version: u64, lines: &[Line]) -> CompiledConfig {
    let route = |(name, prefix, service): &Line| {
        format!(
            r#"{{"name":"{name}","hostname":"{HOST}","pathPrefix":"{prefix}","type":"async","timeoutMs":600,"maxAttempts":3,"retentionS":90,"backend":"{service}"}}"#
        )
    };
    let routes: Vec<String> = lines.iter().map(route).collect();
    let services = ["statements", "transfers", "clearing", "everything"];
    let services = services.map(|name| format!(r#"{{"name":"{name}"}}"#)).join(",");
    let text = format!(r#"{{"version":{version},"routes":[{}],"backends":[{services}]}}"#, routes.join(","));
    CompiledConfig::compile(text.as_bytes()).expect("a valid configuration")
}

fn configure(world: &mut World, version: u64, lines: &[Line]) -> CompiledConfig {
    let config = configuration(version, lines);
    set(world, Arc::new(RouteTable::of(&config)));
    config
}

/// A client hands in a message for a path.
fn hand_in(world: &mut World, config: &CompiledConfig, path: &str, delay: u64) -> MessageName {
    let route = config.route(HOST, path).expect("a route");
    let id = path.replace('/', "");
    let usual = world.message(&id, None);
    let (host, target) = (Arc::from(HOST), Arc::from(path));
    let (name, key) = (route.name.clone(), route.key());
    let delay_ms = delay / MILLISECOND;
    let new = NewMessage { route: name, route_key: key, host, target, delay_ms, ..usual };
    world.accept(new);
    let names = world.stores.values().flat_map(|store| store.records.keys());
    names.into_iter().find(|name| name.request_id() == id).expect("a record").clone()
}

/// What was handed to each service: the targets of the messages.
fn handed_over(world: &World) -> Vec<(String, String)> {
    let submitted = world.submitted.iter().zip(&world.services);
    let target = |key| world.queue.record(key).map_or("none".to_owned(), |record| record.target.to_string());
    submitted.map(|(key, service)| (target(*key), service.to_string())).collect()
}

fn has_ended_with_route(world: &World, name: &MessageName) -> bool {
    world.stores.values().filter(|store| store.ends.get(name) == Some(&End::RouteDropped)).count() >= 2
}

fn pair(target: &str, service: &str) -> (String, String) {
    (target.to_owned(), service.to_owned())
}

/// Guards against messages that another service runs, or that end unrun, since a configuration gives the names of routes
/// to other routes.
#[test]
fn messages_stay_with_their_routes_when_these_are_named_anew() {
    let mut world = World::new();
    let config = configure(&mut world, 5, &FIRST);
    let delay = 1_000 * MILLISECOND;
    let dropped = hand_in(&mut world, &config, "/statements/1", delay);
    hand_in(&mut world, &config, "/transfers/1", delay);
    hand_in(&mut world, &config, "/clearing/1", delay);
    configure(&mut world, 9, &NUMBERED_ANEW);
    world.run_for(20 * MILLISECOND);
    assert!(has_ended_with_route(&world, &dropped), "the message of the route that is gone has not ended");
    world.run_for(2 * delay);
    let mut handed = handed_over(&world);
    handed.sort();
    assert_eq!(handed, [pair("/clearing/1", "clearing"), pair("/transfers/1", "transfers")]);
}

/// Guards against messages that are handed to another service while they wait for a host of theirs.
#[test]
fn a_submitted_message_stays_with_its_route_when_that_is_named_anew() {
    let mut world = World::new();
    let config = configure(&mut world, 5, &FIRST);
    for path in ["/statements/1", "/transfers/1", "/clearing/1"] {
        hand_in(&mut world, &config, path, 0);
    }
    let dropped = world.submitted[0];
    configure(&mut world, 9, &NUMBERED_ANEW);
    assert_eq!(world.withdrawn, [dropped]);
    assert!(world.revised.is_empty(), "{:?}", world.revised);
}

/// Guards against messages of two routes that change places with the names of these.
#[test]
fn names_that_change_places_move_no_message() {
    let mut world = World::new();
    let config = configure(&mut world, 5, &FIRST[..2]);
    hand_in(&mut world, &config, "/statements/1", 0);
    hand_in(&mut world, &config, "/transfers/1", 1_000 * MILLISECOND);
    configure(
        &mut world,
        9,
        &[("route-2", "/statements/", "statements"), ("route-1", "/transfers/", "transfers")],
    );
    world.run_for(2_000 * MILLISECOND);
    assert!(world.withdrawn.is_empty() && world.revised.is_empty());
    assert_eq!(handed_over(&world), [pair("/statements/1", "statements"), pair("/transfers/1", "transfers")]);
}

/// Guards against a message of a route that is gone which another one with a shorter prefix takes over.
#[test]
fn a_route_with_a_shorter_prefix_does_not_stand_in_for_one_that_is_gone() {
    let mut world = World::new();
    let shorter = ("all", "/", "everything");
    let config = configure(&mut world, 5, &[FIRST[0], FIRST[1], shorter]);
    let dropped = hand_in(&mut world, &config, "/statements/1", 1_000 * MILLISECOND);
    configure(&mut world, 9, &[("route-1", "/", "everything"), ("route-2", "/transfers/", "transfers")]);
    world.run_for(2_000 * MILLISECOND);
    assert!(has_ended_with_route(&world, &dropped));
    assert!(world.submitted.is_empty());
}

/// Guards against a message that goes to another service with the relay that takes it over, whose configuration has given
/// the name of its route to another one.
#[test]
fn an_orphan_goes_by_its_route_and_not_by_the_name() {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.record.config_version = 5;
    orphan.record.route = Arc::from("route-2");
    orphan.record.host = Arc::from(HOST);
    orphan.record.target = Arc::from("/transfers/1");
    orphan.record.route_key =
        Some(RouteKey { hostname: Arc::from(HOST), path_prefix: Arc::from("/transfers/") });
    configure(&mut world, 9, &NUMBERED_ANEW);
    offer(&mut world, &orphan);
    assert_eq!(handed_over(&world), [pair("/transfers/1", "transfers")]);
}

/// An orphan whose record is one of the build before: it tells the name of its route alone.
fn with_old_orphan(host: &str, target: &str) -> (World, MessageName, pewterseam_wire::store::OrphanMessage) {
    let (world, name, mut orphan) = with_orphan();
    orphan.record.config_version = 5;
    orphan.record.route = Arc::from("route-2");
    orphan.record.host = Arc::from(host);
    orphan.record.target = Arc::from(target);
    orphan.record.route_key = None;
    (world, name, orphan)
}

/// Guards against messages that were taken by the build before and are run by another service, or not at all.
#[test]
fn a_record_of_the_build_before_goes_by_its_host_and_path() {
    let (mut world, _, orphan) = with_old_orphan("Relay.Example:8080", "/transfers/1?x=/clearing/");
    configure(&mut world, 9, &NUMBERED_ANEW);
    offer(&mut world, &orphan);
    assert_eq!(handed_over(&world), [pair("/transfers/1?x=/clearing/", "transfers")]);
    // From then on it stays with that route.
    configure(&mut world, 12, &[("route-1", "/clearing/", "clearing"), ("route-2", "/", "everything")]);
    assert_eq!(world.withdrawn, [world.submitted[0]]);
}

/// Guards against a message of the build before that is kept although no route takes it, or that a configuration ends which
/// is older than the message.
#[test]
fn a_record_of_the_build_before_ends_where_no_route_takes_it() {
    let (mut world, name, orphan) = with_old_orphan(HOST, "/statements/1");
    configure(&mut world, 4, &NUMBERED_ANEW);
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(
        !world.queue.is_empty() && !has_ended_with_route(&world, &name),
        "an older configuration ended it"
    );
    configure(&mut world, 5, &FIRST);
    assert_eq!(handed_over(&world), [pair("/statements/1", "statements")]);

    let (mut world, name, orphan) = with_old_orphan(HOST, "/statements/1");
    configure(&mut world, 9, &NUMBERED_ANEW);
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(has_ended_with_route(&world, &name) && world.submitted.is_empty());
}
