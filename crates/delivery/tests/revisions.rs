//! Messages whose submission changes while they are held: they go by the new one, and nothing that ran is forgotten.

mod world;

use pewterseam_delivery::{Input, Outcome, ServiceConfig, Submission};
use quickcheck::{Gen, QuickCheck};
use world::{Behaviour, MILLISECOND, SECOND, World, address, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 20 * MILLISECOND };
const FORMER: u16 = 1;
const PRESENT: u16 = 2;

fn fixed(name: &str, port: u16) -> ServiceConfig {
    ServiceConfig { static_address: Some(address(port)), ..service(name) }
}

fn two_services(former: Behaviour, present: Behaviour) -> World {
    let mut world = World::new(1, 100);
    world.static_host(FORMER, former);
    world.static_host(PRESENT, present);
    world.tell_all(&Input::Services(vec![fixed("former", FORMER), fixed("present", PRESENT)]));
    world
}

fn revise(world: &mut World, keys: std::ops::Range<u64>, service: &str) {
    let now = world.now;
    let inputs = keys.map(|key| Input::Revise(submission(key, service, now))).collect();
    world.tell_many(0, inputs);
}

fn is_completed(world: &World, key: u64) -> bool {
    matches!(world.relays[0].finished.get(&key), Some((_, Outcome::Completed { .. })))
}

/// Guards CONFIG: messages of a service without hosts that were submitted before a change, whether they wait in line,
/// are before the decisions or rest after attempts.
#[test]
fn messages_that_wait_for_a_host_go_to_the_new_service() {
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
        assert_eq!(world.relays[0].machine.load(), (0, 0));
    }
}

/// Guards TWICE: an attempt that is out is not forgotten.
#[test]
fn the_success_of_an_attempt_that_is_out_counts() {
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
    assert_eq!(world.relays[0].machine.load(), (0, 0));
}

/// Guards CONFIG: what follows an attempt that was out goes by the change.
#[test]
fn the_attempt_after_one_that_is_out_goes_to_the_new_service() {
    let mut world = two_services(Behaviour::Hang, SERVE);
    let now = world.now;
    world.submit(0, [submission(1, "former", now)]);
    world.run(100 * MILLISECOND);
    revise(&mut world, 1..2, "present");
    world.run(10 * SECOND);
    assert_eq!(world.arrivals_at(FORMER).count(), 1);
    assert!(is_completed(&world, 1));
    assert_eq!(world.relays[0].machine.load(), (0, 0));
}

/// Guards CONFIG: an attempt whose connection is still opening is not written.
#[test]
fn an_attempt_that_is_connecting_is_not_made() {
    let mut world = two_services(SERVE, SERVE);
    let now = world.now;
    world.submit(0, [submission(1, "former", now)]);
    world.run(MILLISECOND / 2);
    revise(&mut world, 1..2, "present");
    world.run(SECOND);
    assert_eq!(world.arrivals_at(FORMER).count(), 0);
    assert!(is_completed(&world, 1));
}

/// A change of what is held, or time that passes.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A message that was not there before.
    Submit {
        is_present: bool,
    },
    /// One of the last messages.
    Revise {
        back: u64,
        is_present: bool,
    },
    Withdraw {
        back: u64,
    },
    Former(Behaviour),
    Run {
        milliseconds: u64,
    },
}

fn step(draw: u16) -> Step {
    let (back, is_present) = (u64::from(draw / 16 % 24), (draw / 512).is_multiple_of(2));
    match draw % 16 {
        0..=4 => Step::Submit { is_present },
        5..=8 => Step::Revise { back, is_present },
        9 => Step::Withdraw { back },
        10 => Step::Former(Behaviour::Down),
        11 => Step::Former(Behaviour::Hang),
        12 => Step::Former(Behaviour::Break),
        13 => Step::Former(SERVE),
        _ => Step::Run { milliseconds: u64::from(draw / 16) % 900 },
    }
}

fn service_of(is_present: bool) -> &'static str {
    if is_present { "present" } else { "former" }
}

fn changes_lose_nothing(draws: Vec<u16>) -> bool {
    let mut world = two_services(SERVE, SERVE);
    let (mut held, mut last) = (std::collections::BTreeSet::new(), 0);
    for draw in draws {
        let now = world.now;
        match step(draw) {
            Step::Submit { is_present } => {
                last += 1;
                held.insert(last);
                world.submit(0, [submission(last, service_of(is_present), now)]);
            }
            Step::Revise { back, is_present } => {
                let key = last.saturating_sub(back);
                let changed = Submission { priority: 3, ..submission(key, service_of(is_present), now) };
                world.tell(0, Input::Revise(changed));
            }
            Step::Withdraw { back } => {
                let key = last.saturating_sub(back);
                held.remove(&key);
                world.tell(0, Input::Withdraw { key });
            }
            Step::Former(behaviour) => world.static_host(FORMER, behaviour),
            Step::Run { milliseconds } => world.run(milliseconds * MILLISECOND),
        }
        held.retain(|key| !world.relays[0].finished.contains_key(key));
    }
    world.static_host(FORMER, SERVE);
    world.run(30 * SECOND);
    held.retain(|key| !world.relays[0].finished.contains_key(key));
    held.is_empty() && world.relays[0].machine.load() == (0, 0)
}

/// Guards against messages that are lost between two services, and slots that are.
#[test]
fn changes_at_any_moment_lose_nothing() {
    let property = changes_lose_nothing as fn(Vec<u16>) -> bool;
    QuickCheck::new().rng(Gen::new(60)).tests(300).quickcheck(property);
}
