//! Retries, outcomes, order and withdrawal of messages.

mod world;

use pewterseam_delivery::{Input, Outcome, ServiceConfig};
use quickcheck::QuickCheck;
use world::{Behaviour, MILLISECOND, SECOND, World, address, instance, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 50 * MILLISECOND };

fn static_service(name: &str, port: u16) -> ServiceConfig {
    ServiceConfig { static_address: Some(address(port)), ..service(name) }
}

/// Guards against a hanging endpoint that takes the slots needed for messages to other services.
#[test]
fn a_hanging_endpoint_does_not_block_other_services() {
    let mut world = World::new(1, 100);
    world.static_host(1, Behaviour::Hang);
    world.static_host(2, SERVE);
    world.send_to_all(&Input::Services(vec![static_service("hanging", 1), static_service("fine", 2)]));
    let now = world.now;
    world.submit(0, (1..=2000).map(|key| submission(key, "hanging", now)));
    world.run(300 * MILLISECOND);
    let now = world.now;
    world.submit(0, (5001..=5100).map(|key| submission(key, "fine", now)));
    world.run(400 * MILLISECOND);
    let fine = world.relays[0].finished.keys().filter(|key| **key > 5000).count();
    assert_eq!(fine, 100);
    assert!(world.relays[0].max_in_flight <= 100);
}

/// Guards against messages that are dropped while no host is listed or their service is not configured yet.
#[test]
fn a_message_waits_for_a_host_without_limit() {
    let mut world = World::new(1, 100);
    let now = world.now;
    world.submit(0, [submission(1, "mail", now), submission(2, "later", now)]);
    world.run(60 * SECOND);
    world.send_to_all(&Input::Services(vec![service("mail")]));
    world.send_to_all(&Input::Hosts(Vec::new()));
    world.run(4000 * SECOND);
    let (mail, later) = (instance("i-1", "mail", 1, 4), instance("i-2", "later", 2, 4));
    world.host(&mail, SERVE);
    world.host(&later, SERVE);
    world.send_to_all(&Input::Hosts(vec![mail, later]));
    world.run(SECOND);
    assert_eq!(world.finished(), 1);
    world.send_to_all(&Input::Services(vec![service("mail"), service("later")]));
    world.run(SECOND);
    assert_eq!(world.finished(), 2);
}

/// Guards against retries without backoff while the message runs elsewhere, and against a missing retry afterwards.
#[test]
fn a_message_that_runs_elsewhere_is_retried_with_backoff() {
    let mut world = World::new(1, 100);
    world.static_host(1, Behaviour::RunsElsewhereUntil(5 * SECOND));
    world.send_to_all(&Input::Services(vec![static_service("mail", 1)]));
    let now = world.now;
    world.submit(0, [submission(1, "mail", now)]);
    world.run(10 * SECOND);
    assert_eq!(world.finished(), 1);
    let requests = world.arrivals.len();
    assert!((4..=15).contains(&requests), "{requests} requests");
}

/// Two service names whose hashes begin with the same 28 bits, found by search.
const COLLIDING: [&str; 2] = ["partner-12659", "partner-12714"];

/// Asserts that each of the two endpoints received only messages of its own service, each of them once. Messages of the
/// second service have keys above 500 in each thousand.
fn assert_own_messages(world: &World, messages: usize) {
    assert!(
        world.arrivals_at(1).all(|arrival| arrival.key % 1_000 <= 500),
        "the first endpoint received messages of the second service"
    );
    assert!(
        world.arrivals_at(2).all(|arrival| arrival.key % 1_000 > 500),
        "the second endpoint received messages of the first service"
    );
    assert_eq!((world.finished(), world.arrivals.len()), (messages, messages));
}

fn submit_to_both(world: &mut World, from: u64) {
    let now = world.now;
    for relay in 0..2 {
        let base = 1_000 * (from + relay as u64);
        world.submit(relay, (1..=40).map(|key| submission(base + key, COLLIDING[0], now)));
        world.submit(relay, (501..=540).map(|key| submission(base + key, COLLIDING[1], now)));
    }
}

/// Guards against messages that run at another service or wait forever, because the names of both services hash to the
/// same number.
#[test]
fn services_with_colliding_numbers_get_their_own_messages() {
    let mut world = World::new(2, 100);
    world.static_host(1, SERVE);
    world.static_host(2, SERVE);
    world.send_to_all(&Input::Services(vec![
        static_service(COLLIDING[0], 1),
        static_service(COLLIDING[1], 2),
    ]));
    submit_to_both(&mut world, 0);
    world.run(5 * SECOND);
    assert_own_messages(&world, 160);
}

/// Guards against the same when a service is added or removed whose hash equals that of a service with waiting messages.
#[test]
fn a_service_that_takes_over_a_number_gets_no_foreign_messages() {
    let mut world = World::new(2, 100);
    world.static_host(1, SERVE);
    world.static_host(2, SERVE);
    let (first, second) = (static_service(COLLIDING[0], 1), static_service(COLLIDING[1], 2));
    for (from, services) in [
        (0, vec![second.clone()]),
        (10, vec![first.clone(), second.clone()]),
        (20, vec![first.clone()]),
        (30, vec![second.clone()]),
        (40, vec![second.clone(), first.clone()]),
    ] {
        submit_to_both(&mut world, from);
        world.send_to_all(&Input::Services(services));
        world.run(20 * MILLISECOND);
        submit_to_both(&mut world, from + 5);
        world.run(30 * MILLISECOND);
    }
    world.run(20 * SECOND);
    assert_own_messages(&world, 1_600);
}

/// Guards against messages that wait forever because an attempt was in flight when the number of their service changed.
/// The brain knows them by the former number, which no host has any more.
#[test]
fn messages_in_flight_follow_a_changed_service_number() {
    let mut world = World::new(2, 100);
    world.static_host(1, SERVE);
    world.static_host(2, Behaviour::Hang);
    let (first, second) = (static_service(COLLIDING[0], 1), static_service(COLLIDING[1], 2));
    world.send_to_all(&Input::Services(vec![second.clone()]));
    let now = world.now;
    for relay in 0..2 {
        world.submit(relay, (501..=540).map(|key| submission(1_000 * relay as u64 + key, COLLIDING[1], now)));
    }
    world.run(100 * MILLISECOND);
    assert!(world.arrivals_at(2).count() > 0, "attempts are in flight");
    world.send_to_all(&Input::Services(vec![first, second]));
    world.run(100 * MILLISECOND);
    world.static_host(2, SERVE);
    world.run(20 * SECOND);
    assert_eq!((world.finished(), world.arrivals_at(1).count()), (80, 0));
}

/// Guards against dropping messages that may have run, and against retries without exponential backoff.
#[test]
fn a_message_that_may_have_run_is_retried_with_backoff() {
    for behaviour in [Behaviour::Break, Behaviour::Hang, Behaviour::Down] {
        let mut world = World::new(1, 100);
        world.static_host(1, behaviour);
        world.send_to_all(&Input::Services(vec![static_service("mail", 1)]));
        let now = world.now;
        world.submit(0, [submission(1, "mail", now)]);
        world.run(20 * SECOND);
        let attempts = world.arrivals.len();
        assert!(attempts <= 40, "{attempts} attempts in 20 s with {behaviour:?}");
        world.static_host(1, SERVE);
        world.run(6 * SECOND);
        assert_eq!(world.finished(), 1, "{behaviour:?}");
    }
}

/// Guards against retries of a failed message (500) within the state machine, as the owner decides on retries.
#[test]
fn failures_and_rejections_are_reported_to_the_owner() {
    let mut world = World::new(1, 100);
    world.static_host(1, Behaviour::FailMultiplesOf(1));
    world.static_host(2, Behaviour::Refuse);
    world.send_to_all(&Input::Services(vec![static_service("failing", 1), static_service("refusing", 2)]));
    let now = world.now;
    world.submit(0, [submission(1, "failing", now), submission(2, "refusing", now)]);
    world.run(SECOND);
    let outcome = |world: &World, key: u64| world.relays[0].finished.get(&key).map(|(_, end)| end.clone());
    assert_eq!(outcome(&world, 1), Some(Outcome::Failed));
    assert_eq!(outcome(&world, 2), Some(Outcome::Refused));
    assert_eq!(world.arrivals.len(), 2);
    // A message that is submitted again after a failure is delayed.
    world.relays[0].finished.clear();
    let now = world.now;
    world.submit(0, [pewterseam_delivery::Submission { failures: 1, ..submission(1, "failing", now) }]);
    world.run(40 * MILLISECOND);
    assert_eq!(world.arrivals.len(), 2);
    world.run(2 * SECOND);
    assert_eq!(outcome(&world, 1), Some(Outcome::Failed));
}

/// Guards against reporting the result of a withdrawn message, and against losing its slot.
#[test]
fn the_result_of_a_withdrawn_message_is_not_reported() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    world.send_to_all(&Input::Services(vec![static_service("mail", 1)]));
    let now = world.now;
    world.submit(0, [submission(1, "mail", now), submission(2, "mail", now)]);
    world.run(20 * MILLISECOND);
    world.send_input(0, Input::Withdraw { key: 1 });
    world.run(SECOND);
    assert_eq!(world.relays[0].finished.keys().copied().collect::<Vec<_>>(), [2]);
    assert_eq!(world.relays[0].dropped.len(), 1, "the dropped answer is reported");
    assert_eq!(world.relays[0].machine.message_counts(), (0, 0));
}

/// Guards against attempts that start while the process is stopping.
#[test]
fn nothing_starts_after_a_stop() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    world.send_to_all(&Input::Services(vec![static_service("mail", 1)]));
    let now = world.now;
    world.submit(0, [submission(1, "mail", now)]);
    world.run(20 * MILLISECOND);
    world.send_input(0, Input::Stop { by: now + 4 * SECOND });
    world.submit(0, [submission(2, "mail", now)]);
    world.run(3 * SECOND);
    assert_eq!(world.relays[0].finished.keys().copied().collect::<Vec<_>>(), [1]);
    assert_eq!(world.arrivals.len(), 1);
}

/// Guards against waiting messages that start when a slot becomes free after the stop.
#[test]
fn waiting_messages_do_not_start_after_a_stop() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    let config = ServiceConfig { max_connections: 1, ..static_service("mail", 1) };
    world.send_to_all(&Input::Services(vec![config]));
    let now = world.now;
    world.submit(0, (1..=20).map(|key| submission(key, "mail", now)));
    world.run(20 * MILLISECOND);
    let started = world.arrivals.len();
    assert!((1..10).contains(&started), "{started}");
    world.send_input(0, Input::Stop { by: now + 6 * SECOND });
    world.run(5 * SECOND);
    assert_eq!((world.arrivals.len(), world.finished()), (started, started));
}

/// Guards against urgent messages that wait behind others of their service.
#[test]
fn messages_with_an_earlier_target_go_first() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    let config = ServiceConfig { max_connections: 1, ..static_service("mail", 1) };
    world.send_to_all(&Input::Services(vec![config]));
    let now = world.now;
    world.submit(
        0,
        (1..=100).map(|key| pewterseam_delivery::Submission {
            schedule_target: 60 * SECOND,
            ..submission(key, "mail", now)
        }),
    );
    world.run(100 * MILLISECOND);
    let now = world.now;
    world.submit(0, [submission(500, "mail", now)]);
    world.run(300 * MILLISECOND);
    assert!(world.relays[0].finished.contains_key(&500));
}

/// Guards against panics, concurrent attempts of one message, exceeded slots and lost messages, under random host
/// behaviour and random changes of the services and the list.
#[test]
fn every_message_ends_once_hosts_serve() {
    fn property(choices: Vec<u8>) -> bool {
        let mut world = World::new(2, 20);
        let behaviours = [
            SERVE,
            Behaviour::Hang,
            Behaviour::Full,
            Behaviour::Break,
            Behaviour::Down,
            Behaviour::Serve { took: 900 * MILLISECOND },
        ];
        let list: Vec<_> =
            (1..=4).map(|port| instance(&format!("i-{port}"), "mail", port, u32::from(port))).collect();
        let services = vec![service("mail"), static_service("fixed", 9)];
        world.send_to_all(&Input::Services(services.clone()));
        let mut key = 0;
        for choice in choices {
            let (what, which) = (choice >> 4, usize::from(choice & 15));
            let now = world.now;
            match what {
                0..=5 => {
                    let name = if which % 3 == 0 { "fixed" } else { "mail" };
                    let from = key;
                    key += which as u64 + 1;
                    world.submit(which % 2, (from..key).map(|key| submission(key, name, now)));
                }
                6..=8 => {
                    let listed = &list[which % 4];
                    world.host(listed, behaviours[which % behaviours.len()]);
                }
                9 => world.static_host(9, behaviours[which % behaviours.len()]),
                10 => world.send_to_all(&Input::Hosts(list[..which % 5].to_vec())),
                11 => world.send_to_all(&Input::Services(services[..which % 3].to_vec())),
                12 => world.send_input(which % 2, Input::Withdraw { key: key.saturating_sub(which as u64) }),
                _ => {}
            }
            world.run(u64::from(choice) * MILLISECOND);
        }
        world.send_to_all(&Input::Services(services));
        world.send_to_all(&Input::Hosts(list.clone()));
        list.iter().for_each(|listed| world.host(listed, SERVE));
        world.static_host(9, SERVE);
        world.run(60 * SECOND);
        world.relays.iter().all(|relay| relay.machine.message_counts() == (0, 0) && relay.max_in_flight <= 20)
    }
    QuickCheck::new().tests(150).quickcheck(property as fn(Vec<u8>) -> bool);
}
