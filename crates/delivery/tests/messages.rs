//! What becomes of messages: retries, ends, fairness, and changes while they are held.

mod world;

use pewterseam_delivery::{Input, Outcome, ServiceConfig};
use quickcheck::QuickCheck;
use world::{Behaviour, MILLISECOND, SECOND, World, address, instance, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 50 * MILLISECOND };

fn fixed(name: &str, port: u16) -> ServiceConfig {
    ServiceConfig { static_address: Some(address(port)), ..service(name) }
}

/// Guards against an endpoint that hangs taking the slots that messages to other services need.
#[test]
fn an_endpoint_that_hangs_holds_up_no_other_service() {
    let mut world = World::new(1, 100);
    world.static_host(1, Behaviour::Hang);
    world.static_host(2, SERVE);
    world.tell_all(&Input::Services(vec![fixed("hanging", 1), fixed("fine", 2)]));
    let now = world.now;
    world.submit(0, (1..=2000).map(|key| submission(key, "hanging", now)));
    world.run(300 * MILLISECOND);
    let now = world.now;
    world.submit(0, (5001..=5100).map(|key| submission(key, "fine", now)));
    world.run(400 * MILLISECOND);
    let fine = world.relays[0].finished.keys().filter(|key| **key > 5000).count();
    assert_eq!(fine, 100);
    assert!(world.relays[0].most_out <= 100);
}

/// Guards against messages that are given up while no host is listed, or their service is not configured yet.
#[test]
fn a_message_waits_for_a_host_however_long_it_takes() {
    let mut world = World::new(1, 100);
    let now = world.now;
    world.submit(0, [submission(1, "mail", now), submission(2, "later", now)]);
    world.run(60 * SECOND);
    world.tell_all(&Input::Services(vec![service("mail")]));
    world.tell_all(&Input::Hosts(Vec::new()));
    world.run(4000 * SECOND);
    let (mail, later) = (instance("i-1", "mail", 1, 4), instance("i-2", "later", 2, 4));
    world.host(&mail, SERVE);
    world.host(&later, SERVE);
    world.tell_all(&Input::Hosts(vec![mail, later]));
    world.run(SECOND);
    assert_eq!(world.finished(), 1);
    world.tell_all(&Input::Services(vec![service("mail"), service("later")]));
    world.run(SECOND);
    assert_eq!(world.finished(), 2);
}

/// Guards against a repeat that is sent again and again while the message still runs, or that is forgotten.
#[test]
fn a_message_that_runs_elsewhere_is_asked_for_a_few_times() {
    let mut world = World::new(1, 100);
    world.static_host(1, Behaviour::RunsElsewhereUntil(5 * SECOND));
    world.tell_all(&Input::Services(vec![fixed("mail", 1)]));
    let now = world.now;
    world.submit(0, [submission(1, "mail", now)]);
    world.run(10 * SECOND);
    assert_eq!(world.finished(), 1);
    let asked = world.arrivals.len();
    assert!((4..=15).contains(&asked), "asked {asked} times");
}

/// Two services whose hashes begin with the same 28 bits, found by trying names.
const ALIKE: [&str; 2] = ["partner-12659", "partner-12714"];

/// Whether each of the two endpoints got messages of its own service alone, each of them once. Those of the second service
/// have keys above 500 in each thousand.
fn assert_own_messages(world: &World, messages: usize) {
    assert!(
        world.arrivals_at(1).all(|arrival| arrival.key % 1_000 <= 500),
        "the first got the second's messages"
    );
    assert!(
        world.arrivals_at(2).all(|arrival| arrival.key % 1_000 > 500),
        "the second got the first's messages"
    );
    assert_eq!((world.finished(), world.arrivals.len()), (messages, messages));
}

fn submit_to_both(world: &mut World, from: u64) {
    let now = world.now;
    for relay in 0..2 {
        let base = 1_000 * (from + relay as u64);
        world.submit(relay, (1..=40).map(|key| submission(base + key, ALIKE[0], now)));
        world.submit(relay, (501..=540).map(|key| submission(base + key, ALIKE[1], now)));
    }
}

/// Guards against messages of a service that another one runs, or that wait for ever, since both names lead to one number.
#[test]
fn two_services_with_names_of_one_number_get_their_own_messages() {
    let mut world = World::new(2, 100);
    world.static_host(1, SERVE);
    world.static_host(2, SERVE);
    world.tell_all(&Input::Services(vec![fixed(ALIKE[0], 1), fixed(ALIKE[1], 2)]));
    submit_to_both(&mut world, 0);
    world.run(5 * SECOND);
    assert_own_messages(&world, 160);
}

/// Guards against the same where a service comes, or goes, that has the number of another one which has messages waiting.
#[test]
fn a_service_that_takes_the_number_of_another_gets_none_of_its_messages() {
    let mut world = World::new(2, 100);
    world.static_host(1, SERVE);
    world.static_host(2, SERVE);
    let (first, second) = (fixed(ALIKE[0], 1), fixed(ALIKE[1], 2));
    for (from, services) in [
        (0, vec![second.clone()]),
        (10, vec![first.clone(), second.clone()]),
        (20, vec![first.clone()]),
        (30, vec![second.clone()]),
        (40, vec![second.clone(), first.clone()]),
    ] {
        submit_to_both(&mut world, from);
        world.tell_all(&Input::Services(services));
        world.run(20 * MILLISECOND);
        submit_to_both(&mut world, from + 5);
        world.run(30 * MILLISECOND);
    }
    world.run(20 * SECOND);
    assert_own_messages(&world, 1_600);
}

/// Guards against messages that wait for ever, as their attempt was out when the number of their service changed: the
/// decisions know them by the former number, to which no host belongs any more.
#[test]
fn messages_with_an_attempt_out_follow_the_number_of_their_service() {
    let mut world = World::new(2, 100);
    world.static_host(1, SERVE);
    world.static_host(2, Behaviour::Hang);
    let (first, second) = (fixed(ALIKE[0], 1), fixed(ALIKE[1], 2));
    world.tell_all(&Input::Services(vec![second.clone()]));
    let now = world.now;
    for relay in 0..2 {
        world.submit(relay, (501..=540).map(|key| submission(1_000 * relay as u64 + key, ALIKE[1], now)));
    }
    world.run(100 * MILLISECOND);
    assert!(world.arrivals_at(2).count() > 0, "attempts are out");
    world.tell_all(&Input::Services(vec![first, second]));
    world.run(100 * MILLISECOND);
    world.static_host(2, SERVE);
    world.run(20 * SECOND);
    assert_eq!((world.finished(), world.arrivals_at(1).count()), (80, 0));
}

/// Guards against what may have run being dropped, and against repeats without a growing pause.
#[test]
fn a_message_that_may_have_run_is_tried_again_with_growing_pauses() {
    for behaviour in [Behaviour::Break, Behaviour::Hang, Behaviour::Down] {
        let mut world = World::new(1, 100);
        world.static_host(1, behaviour);
        world.tell_all(&Input::Services(vec![fixed("mail", 1)]));
        let now = world.now;
        world.submit(0, [submission(1, "mail", now)]);
        world.run(20 * SECOND);
        let tried = world.arrivals.len();
        assert!(tried <= 40, "{tried} tries in 20 s with {behaviour:?}");
        world.static_host(1, SERVE);
        world.run(6 * SECOND);
        assert_eq!(world.finished(), 1, "{behaviour:?}");
    }
}

/// Guards against the machine taking 500 for the end, or counting what is the owner's to count.
#[test]
fn the_owner_hears_of_each_failed_attempt_and_of_a_refusal() {
    let mut world = World::new(1, 100);
    world.static_host(1, Behaviour::FailMultiplesOf(1));
    world.static_host(2, Behaviour::Refuse);
    world.tell_all(&Input::Services(vec![fixed("failing", 1), fixed("refusing", 2)]));
    let now = world.now;
    world.submit(0, [submission(1, "failing", now), submission(2, "refusing", now)]);
    world.run(SECOND);
    let outcome = |world: &World, key: u64| world.relays[0].finished.get(&key).map(|(_, end)| end.clone());
    assert_eq!(outcome(&world, 1), Some(Outcome::Failed));
    assert_eq!(outcome(&world, 2), Some(Outcome::Refused));
    assert_eq!(world.arrivals.len(), 2);
    // Handed in again, it waits a little.
    world.relays[0].finished.clear();
    let now = world.now;
    world.submit(0, [pewterseam_delivery::Submission { failures: 1, ..submission(1, "failing", now) }]);
    world.run(40 * MILLISECOND);
    assert_eq!(world.arrivals.len(), 2);
    world.run(2 * SECOND);
    assert_eq!(outcome(&world, 1), Some(Outcome::Failed));
}

/// Guards against the result of a withdrawn message being told, and against its slot being lost.
#[test]
fn a_withdrawn_message_is_told_nothing_of() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    world.tell_all(&Input::Services(vec![fixed("mail", 1)]));
    let now = world.now;
    world.submit(0, [submission(1, "mail", now), submission(2, "mail", now)]);
    world.run(20 * MILLISECOND);
    world.tell(0, Input::Withdraw { key: 1 });
    world.run(SECOND);
    assert_eq!(world.relays[0].finished.keys().copied().collect::<Vec<_>>(), [2]);
    assert_eq!(world.relays[0].dropped.len(), 1, "the log tells of the answer without effect");
    assert_eq!(world.relays[0].machine.load(), (0, 0));
}

/// Guards against attempts that begin when the process is about to end.
#[test]
fn nothing_starts_after_a_stop() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    world.tell_all(&Input::Services(vec![fixed("mail", 1)]));
    let now = world.now;
    world.submit(0, [submission(1, "mail", now)]);
    world.run(20 * MILLISECOND);
    world.tell(0, Input::Stop { by: now + 4 * SECOND });
    world.submit(0, [submission(2, "mail", now)]);
    world.run(3 * SECOND);
    assert_eq!(world.relays[0].finished.keys().copied().collect::<Vec<_>>(), [1]);
    assert_eq!(world.arrivals.len(), 1);
}

/// Guards against messages that wait for a slot starting when one is free after the stop.
#[test]
fn what_waits_at_a_stop_does_not_start_either() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    let config = ServiceConfig { max_connections: 1, ..fixed("mail", 1) };
    world.tell_all(&Input::Services(vec![config]));
    let now = world.now;
    world.submit(0, (1..=20).map(|key| submission(key, "mail", now)));
    world.run(20 * MILLISECOND);
    let started = world.arrivals.len();
    assert!((1..10).contains(&started), "{started}");
    world.tell(0, Input::Stop { by: now + 6 * SECOND });
    world.run(5 * SECOND);
    assert_eq!((world.arrivals.len(), world.finished()), (started, started));
}

/// Guards against urgent messages waiting behind others of their service.
#[test]
fn what_is_wanted_sooner_goes_first() {
    let mut world = World::new(1, 100);
    world.static_host(1, SERVE);
    let config = ServiceConfig { max_connections: 1, ..fixed("mail", 1) };
    world.tell_all(&Input::Services(vec![config]));
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

/// Guards against panics, two attempts of a message at a time, slots passed and messages lost, whatever hosts do and
/// however services and the list change.
#[test]
fn every_message_ends_once_hosts_serve_whatever_was_before() {
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
        let services = vec![service("mail"), fixed("fixed", 9)];
        world.tell_all(&Input::Services(services.clone()));
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
                10 => world.tell_all(&Input::Hosts(list[..which % 5].to_vec())),
                11 => world.tell_all(&Input::Services(services[..which % 3].to_vec())),
                12 => world.tell(which % 2, Input::Withdraw { key: key.saturating_sub(which as u64) }),
                _ => {}
            }
            world.run(u64::from(choice) * MILLISECOND);
        }
        world.tell_all(&Input::Services(services));
        world.tell_all(&Input::Hosts(list.clone()));
        list.iter().for_each(|listed| world.host(listed, SERVE));
        world.static_host(9, SERVE);
        world.run(60 * SECOND);
        world.relays.iter().all(|relay| relay.machine.load() == (0, 0) && relay.most_out <= 20)
    }
    QuickCheck::new().tests(150).quickcheck(property as fn(Vec<u8>) -> bool);
}
