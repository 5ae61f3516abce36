//! Changes of routes and their effect on the messages held.

mod common;

use std::sync::Arc;

use common::{MILLISECOND, World, offer, route_key, routes, with_orphan};
use pewterseam_config::CompiledConfig;
use pewterseam_queue::{NewMessage, RouteTable, RunResult};
use pewterseam_wire::record::{End, MessageName, RouteKey};

/// The usual routes, moved to another service.
fn moved_routes(version: u64) -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&routes(version, &["plain", "ordered"]));
    table.routes.values_mut().for_each(|policy| policy.service = Arc::from("another"));
    Arc::new(table)
}

fn apply_routes(world: &mut World, table: Arc<RouteTable>) {
    let effects = world.queue.set_routes(world.now, table);
    world.carry_out(effects);
}

// A message that waits for a host must not go to the service that its route had when it was submitted.
#[test]
fn a_submitted_message_follows_its_route() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    apply_routes(&mut world, moved_routes(2));
    let (key, submission) = world.revised.pop().expect("a revision");
    assert_eq!(key, world.submitted[0]);
    assert_eq!(&*submission.service, "another");
    // The result of the attempt in progress counts.
    world.ran(key, RunResult::Completed { signature: Arc::from("signature") });
    world.run_for(20 * MILLISECOND);
    assert!(world.queue.is_empty());
}

// A change of routes must not submit all messages to the runner again.
#[test]
fn an_unchanged_route_revises_nothing() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    apply_routes(&mut world, routes(2, &["plain", "ordered", "added"]));
    assert!(world.revised.is_empty());
}

// Changes of the other settings of a route must reach submitted messages too.
#[test]
fn a_changed_timeout_reaches_a_submitted_message() {
    let mut world = World::new();
    let new = world.message("a", None);
    world.accept(new);
    let mut table = RouteTable::clone(&routes(2, &["plain", "ordered"]));
    table.routes.values_mut().for_each(|policy| policy.timeout_ms = 700);
    apply_routes(&mut world, Arc::new(table));
    assert_eq!(world.revised.pop().map(|(_, submission)| submission.timeout_ms), Some(700));
}

// A message whose route is known again must not wait for ever.
#[test]
fn a_message_without_its_route_starts_when_the_route_appears() {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.record.config_version = 3;
    orphan.record.route_key = Some(route_key("added"));
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    assert!(!world.queue.is_empty(), "a configuration older than the message has not dropped its route");
    apply_routes(&mut world, routes(3, &["plain", "ordered", "added"]));
    assert_eq!(world.submitted.len(), 1);
}

// A message whose route was dropped must not be kept for ever.
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

/// A world with a message whose attempt waits for the stores to confirm its ownership.
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

fn answer_pending_requests(world: &mut World) {
    world.silent.clear();
    for (store, call, request) in std::mem::take(&mut world.unanswered) {
        world.deliver(store, call, request);
    }
    world.run_for(1_000 * MILLISECOND);
}

// The attempt must not go to the service that the route had when the host was chosen.
#[test]
fn an_attempt_without_a_permit_is_refused_when_its_route_moves() {
    let mut world = with_unconfirmed_attempt();
    apply_routes(&mut world, moved_routes(2));
    assert_eq!(world.refused.len(), 1);
    answer_pending_requests(&mut world);
    assert!(world.permits.is_empty());
}

// A message that has ended with its route must not be sent once the stores have confirmed it.
#[test]
fn an_attempt_without_a_permit_is_refused_when_its_route_is_dropped() {
    let mut world = with_unconfirmed_attempt();
    apply_routes(&mut world, routes(2, &["another"]));
    assert_eq!(world.refused.len(), 1);
    assert_eq!(world.withdrawn.len(), 1);
    answer_pending_requests(&mut world);
    assert!(world.permits.is_empty());
}

const HOST: &str = "relay.example";

/// A route of a configuration document: its name, path prefix and service.
type RouteSpec = (&'static str, &'static str, &'static str);

const INITIAL_ROUTES: [RouteSpec; 3] = [
    ("route-1", "/statements/", "statements"),
    ("route-2", "/transfers/", "transfers"),
    ("route-3", "/clearing/", "clearing"),
];

/// Without the first route. A tool that writes the whole configuration has numbered the others again.
const RENUMBERED_ROUTES: [RouteSpec; 2] =
    [("route-1", "/transfers/", "transfers"), ("route-2", "/clearing/", "clearing")];

fn configuration(version: u64, specs: &[RouteSpec]) -> CompiledConfig {
    let route = |(name, prefix, service): &RouteSpec| {
        format!(
            r#"{{"name":"{name}","hostname":"{HOST}","pathPrefix":"{prefix}","type":"async","timeoutMs":600,"maxAttempts":3,"retentionS":90,"backend":"{service}"}}"#
        )
    };
    let routes: Vec<String> = specs.iter().map(route).collect();
    let services = ["statements", "transfers", "clearing", "everything"];
    let services = services.map(|name| format!(r#"{{"name":"{name}"}}"#)).join(",");
    let text = format!(r#"{{"version":{version},"routes":[{}],"backends":[{services}]}}"#, routes.join(","));
    CompiledConfig::compile(text.as_bytes()).expect("a valid configuration")
}

fn configure(world: &mut World, version: u64, specs: &[RouteSpec]) -> CompiledConfig {
    let config = configuration(version, specs);
    apply_routes(world, Arc::new(RouteTable::from_config(&config)));
    config
}

/// Submits a message for a path.
fn submit_message(world: &mut World, config: &CompiledConfig, path: &str, delay: u64) -> MessageName {
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

/// Target and service of each submitted message.
fn submitted_targets(world: &World) -> Vec<(String, String)> {
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

/// Guards against messages that run at another service, or end without a run, because a configuration gives the
/// names of their routes to other routes.
#[test]
fn messages_keep_their_routes_when_routes_are_renamed() {
    let mut world = World::new();
    let config = configure(&mut world, 5, &INITIAL_ROUTES);
    let delay = 1_000 * MILLISECOND;
    let dropped = submit_message(&mut world, &config, "/statements/1", delay);
    submit_message(&mut world, &config, "/transfers/1", delay);
    submit_message(&mut world, &config, "/clearing/1", delay);
    configure(&mut world, 9, &RENUMBERED_ROUTES);
    world.run_for(20 * MILLISECOND);
    assert!(has_ended_with_route(&world, &dropped), "the message of the route that is gone has not ended");
    world.run_for(2 * delay);
    let mut targets = submitted_targets(&world);
    targets.sort();
    assert_eq!(targets, [pair("/clearing/1", "clearing"), pair("/transfers/1", "transfers")]);
}

/// Guards against messages that move to another service while they wait for a host.
#[test]
fn a_submitted_message_keeps_its_route_when_the_route_is_renamed() {
    let mut world = World::new();
    let config = configure(&mut world, 5, &INITIAL_ROUTES);
    for path in ["/statements/1", "/transfers/1", "/clearing/1"] {
        submit_message(&mut world, &config, path, 0);
    }
    let dropped = world.submitted[0];
    configure(&mut world, 9, &RENUMBERED_ROUTES);
    assert_eq!(world.withdrawn, [dropped]);
    assert!(world.revised.is_empty(), "{:?}", world.revised);
}

/// Guards against messages of two routes being swapped when the names of the routes are swapped.
#[test]
fn swapped_route_names_move_no_message() {
    let mut world = World::new();
    let config = configure(&mut world, 5, &INITIAL_ROUTES[..2]);
    submit_message(&mut world, &config, "/statements/1", 0);
    submit_message(&mut world, &config, "/transfers/1", 1_000 * MILLISECOND);
    configure(
        &mut world,
        9,
        &[("route-2", "/statements/", "statements"), ("route-1", "/transfers/", "transfers")],
    );
    world.run_for(2_000 * MILLISECOND);
    assert!(world.withdrawn.is_empty() && world.revised.is_empty());
    assert_eq!(
        submitted_targets(&world),
        [pair("/statements/1", "statements"), pair("/transfers/1", "transfers")]
    );
}

/// Guards against a message of a dropped route being assigned to a route with a shorter prefix.
#[test]
fn a_route_with_a_shorter_prefix_does_not_replace_a_dropped_route() {
    let mut world = World::new();
    let shorter = ("all", "/", "everything");
    let config = configure(&mut world, 5, &[INITIAL_ROUTES[0], INITIAL_ROUTES[1], shorter]);
    let dropped = submit_message(&mut world, &config, "/statements/1", 1_000 * MILLISECOND);
    configure(&mut world, 9, &[("route-1", "/", "everything"), ("route-2", "/transfers/", "transfers")]);
    world.run_for(2_000 * MILLISECOND);
    assert!(has_ended_with_route(&world, &dropped));
    assert!(world.submitted.is_empty());
}

/// Guards against a message that moves to another service when a relay adopts it whose configuration gives the name
/// of its route to another route.
#[test]
fn an_orphan_is_matched_by_its_route_key_and_not_by_the_route_name() {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.record.config_version = 5;
    orphan.record.route = Arc::from("route-2");
    orphan.record.host = Arc::from(HOST);
    orphan.record.target = Arc::from("/transfers/1");
    orphan.record.route_key =
        Some(RouteKey { hostname: Arc::from(HOST), path_prefix: Arc::from("/transfers/") });
    configure(&mut world, 9, &RENUMBERED_ROUTES);
    offer(&mut world, &orphan);
    assert_eq!(submitted_targets(&world), [pair("/transfers/1", "transfers")]);
}

/// A world with an orphan whose record was written by the previous build: it contains the name of the route but no
/// route key.
fn with_orphan_without_route_key(
    host: &str, target: &str,
) -> (World, MessageName, pewterseam_wire::store::OrphanMessage) {
    let (world, name, mut orphan) = with_orphan();
    orphan.record.config_version = 5;
    orphan.record.route = Arc::from("route-2");
    orphan.record.host = Arc::from(host);
    orphan.record.target = Arc::from(target);
    orphan.record.route_key = None;
    (world, name, orphan)
}

/// Guards against messages accepted by the previous build that run at another service or not at all.
#[test]
fn a_record_without_a_route_key_is_matched_by_host_and_path() {
    let (mut world, _, orphan) =
        with_orphan_without_route_key("Relay.Example:8080", "/transfers/1?x=/clearing/");
    configure(&mut world, 9, &RENUMBERED_ROUTES);
    offer(&mut world, &orphan);
    assert_eq!(submitted_targets(&world), [pair("/transfers/1?x=/clearing/", "transfers")]);
    // From then on the message keeps that route.
    configure(&mut world, 12, &[("route-1", "/clearing/", "clearing"), ("route-2", "/", "everything")]);
    assert_eq!(world.withdrawn, [world.submitted[0]]);
}

/// Guards against a message of the previous build that is kept although no route matches it, or that is ended by a
/// configuration older than the message.
#[test]
fn a_record_without_a_route_key_ends_when_no_route_matches() {
    let (mut world, name, orphan) = with_orphan_without_route_key(HOST, "/statements/1");
    configure(&mut world, 4, &RENUMBERED_ROUTES);
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(
        !world.queue.is_empty() && !has_ended_with_route(&world, &name),
        "an older configuration ended it"
    );
    configure(&mut world, 5, &INITIAL_ROUTES);
    assert_eq!(submitted_targets(&world), [pair("/statements/1", "statements")]);

    let (mut world, name, orphan) = with_orphan_without_route_key(HOST, "/statements/1");
    configure(&mut world, 9, &RENUMBERED_ROUTES);
    offer(&mut world, &orphan);
    world.run_for(1_000 * MILLISECOND);
    assert!(has_ended_with_route(&world, &name) && world.submitted.is_empty());
}
