//! Messages whose submission is revised while they are held. They follow the new one, and results of earlier attempts count.

mod world;

use pewterseam_delivery::{Input, Outcome, ServiceConfig, Submission};
use quickcheck::{Gen, QuickCheck};
use world::{Behaviour, MILLISECOND, SECOND, World, address, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 20 * MILLISECOND };
const FORMER: u16 = 1;
const CURRENT: u16 = 2;

fn static_service(name: &str, port: u16) -> ServiceConfig {
    ServiceConfig { static_address: Some(address(port)), ..service(name) }
}

fn two_services(former: Behaviour, current: Behaviour) -> World {
    let mut world = World::new(1, 100);
    world.static_host(FORMER, former);
    world.static_host(CURRENT, current);
    world.send_to_all(&Input::Services(vec![
        static_service("former", FORMER),
        static_service("present", CURRENT),
    ]));
    world
}

fn revise(world: &mut World, keys: std::ops::Range<u64>, service: &str) {
    let now = world.now;
    let inputs = keys.map(|key| Input::Update(submission(key, service, now))).collect();
    world.send_inputs(0, inputs);
}

fn is_completed(world: &World, key: u64) -> bool {
    matches!(world.relays[0].finished.get(&key), Some((_, Outcome::Completed { .. })))
}

/// Guards against messages that stay with the former service after a revision while its host is down, whether they are
/// queued, offered to the brain or delayed after attempts.
#[test]
fn waiting_messages_go_to_the_new_service() {
    for down_for in [0, 30 * MILLISECOND, 3 * SECOND] {
        let mut world = two_services(Behaviour::Down, SERVE);
        let now = world.now;
        world.submit(0, (1..61).map(|key| submission(key, "former", now)));
        world.run(down_for);
        revise(&mut world, 1..61, "present");
        world.run(50 * MILLISECOND);
        let before = world.arrivals_at(FORMER).count();
        world.static_host(FORMER, SERVE);
        world.run(5 * SECOND);
        assert_eq!(world.arrivals_at(FORMER).count(), before, "after {down_for}");
        assert!((1..61).all(|key| is_completed(&world, key)), "after {down_for}");
        assert_eq!(world.relays[0].machine.message_counts(), (0, 0));
    }
}

/// Guards against a message that runs twice (rule TWICE) because a revision drops the result of its attempt in flight.
#[test]
fn the_success_of_an_attempt_in_flight_counts() {
    let slow = Behaviour::Serve { took: 200 * MILLISECOND };
    let mut world = two_services(slow, SERVE);
    let now = world.now;
    world.submit(0, [submission(1, "former", now)]);
    world.run(100 * MILLISECOND);
    assert_eq!(world.arrivals_at(FORMER).count(), 1);
    revise(&mut world, 1..2, "present");
    world.run(5 * SECOND);
    assert!(is_completed(&world, 1));
    assert_eq!(world.arrivals.len(), 1);
    assert_eq!(world.relays[0].machine.message_counts(), (0, 0));
}

/// Guards against a retry at the former service after an attempt that was in flight during the revision.
#[test]
fn the_retry_after_an_attempt_in_flight_goes_to_the_new_service() {
    let mut world = two_services(Behaviour::Hang, SERVE);
    let now = world.now;
    world.submit(0, [submission(1, "former", now)]);
    world.run(100 * MILLISECOND);
    revise(&mut world, 1..2, "present");
    world.run(10 * SECOND);
    assert_eq!(world.arrivals_at(FORMER).count(), 1);
    assert!(is_completed(&world, 1));
    assert_eq!(world.relays[0].machine.message_counts(), (0, 0));
}

/// Guards against a request to the former service whose connection was still opening during the revision.
#[test]
fn an_attempt_whose_connection_is_opening_is_withheld() {
    let mut world = two_services(SERVE, SERVE);
    let now = world.now;
    world.submit(0, [submission(1, "former", now)]);
    world.run(MILLISECOND / 2);
    revise(&mut world, 1..2, "present");
    world.run(SECOND);
    assert_eq!(world.arrivals_at(FORMER).count(), 0);
    assert!(is_completed(&world, 1));
}

/// A change of the held messages or of the former host, or a time span.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Submits a new message.
    Submit {
        is_current: bool,
    },
    /// Revises one of the latest messages.
    Revise {
        back: u64,
        is_current: bool,
    },
    Withdraw {
        back: u64,
    },
    SetFormerHost(Behaviour),
    Run {
        milliseconds: u64,
    },
}

fn step(draw: u16) -> Step {
    let (back, is_current) = (u64::from(draw / 16 % 24), (draw / 512).is_multiple_of(2));
    match draw % 16 {
        0..=4 => Step::Submit { is_current },
        5..=8 => Step::Revise { back, is_current },
        9 => Step::Withdraw { back },
        10 => Step::SetFormerHost(Behaviour::Down),
        11 => Step::SetFormerHost(Behaviour::Hang),
        12 => Step::SetFormerHost(Behaviour::Break),
        13 => Step::SetFormerHost(SERVE),
        _ => Step::Run { milliseconds: u64::from(draw / 16) % 900 },
    }
}

fn service_of(is_current: bool) -> &'static str {
    if is_current { "present" } else { "former" }
}

fn revisions_lose_nothing(draws: Vec<u16>) -> bool {
    let mut world = two_services(SERVE, SERVE);
    let (mut held, mut last) = (std::collections::BTreeSet::new(), 0);
    for draw in draws {
        let now = world.now;
        match step(draw) {
            Step::Submit { is_current } => {
                last += 1;
                held.insert(last);
                world.submit(0, [submission(last, service_of(is_current), now)]);
            }
            Step::Revise { back, is_current } => {
                let key = last.saturating_sub(back);
                let changed = Submission { priority: 3, ..submission(key, service_of(is_current), now) };
                world.send_input(0, Input::Update(changed));
            }
            Step::Withdraw { back } => {
                let key = last.saturating_sub(back);
                held.remove(&key);
                world.send_input(0, Input::Withdraw { key });
            }
            Step::SetFormerHost(behaviour) => world.static_host(FORMER, behaviour),
            Step::Run { milliseconds } => world.run(milliseconds * MILLISECOND),
        }
        held.retain(|key| !world.relays[0].finished.contains_key(key));
    }
    world.static_host(FORMER, SERVE);
    world.run(30 * SECOND);
    held.retain(|key| !world.relays[0].finished.contains_key(key));
    held.is_empty() && world.relays[0].machine.message_counts() == (0, 0)
}

/// Guards against messages and slots that are lost when messages move between services.
#[test]
fn revisions_at_any_time_lose_nothing() {
    let property = revisions_lose_nothing as fn(Vec<u16>) -> bool;
    QuickCheck::new().rng(Gen::new(60)).tests(300).quickcheck(property);
}
