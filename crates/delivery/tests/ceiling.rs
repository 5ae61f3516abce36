//! A limited service over several relays.

mod world;

use pewterseam_delivery::{Input, ServiceConfig};
use world::{Behaviour, MILLISECOND, SECOND, World, address, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 50 * MILLISECOND };

fn limited(rate: f64) -> (World, usize) {
    let mut world = World::new(12, 200);
    world.static_host(1, SERVE);
    world.static_host(2, SERVE);
    let slow = ServiceConfig { static_address: Some(address(1)), rate_per_s: rate, ..service("slow") };
    let free = ServiceConfig { static_address: Some(address(2)), ..service("free") };
    world.tell_all(&Input::Services(vec![slow, free]));
    world.run(2 * SECOND);
    (world, 12)
}

/// Guards against all relays together passing a service's rate, against most of it lying idle, and against other
/// services being held up by what waits for permits.
#[test]
fn all_relays_together_keep_a_rate_and_use_it() {
    let (mut world, count) = limited(30.0);
    let mut key = 0;
    for _ in 0..200 {
        let now = world.now;
        for relay in 0..count {
            key += 2;
            world.submit(relay, [submission(key, "slow", now), submission(key + 1, "free", now)]);
        }
        world.run(100 * MILLISECOND);
    }
    let slow: Vec<_> = world.arrivals_at(1).map(|arrival| arrival.at).collect();
    let window = 5 * SECOND;
    let most =
        slow.iter().enumerate().map(|(i, at)| slow[i..].iter().take_while(|t| **t <= at + window).count());
    let most = most.max().unwrap_or(0);
    assert!(most <= 170, "{most} in a window");
    assert!(slow.len() > 500, "{} in 20 s", slow.len());
    assert!(world.arrivals_at(2).count() >= 200 * count - count);
}

/// Guards against messages that wait although the rate is not used up.
#[test]
fn with_room_in_the_rate_a_message_goes_at_once() {
    let (mut world, count) = limited(30.0);
    for key in 0..200 {
        let now = world.now;
        world.submit(key as usize % count, [submission(key, "slow", now)]);
        world.run(50 * MILLISECOND);
    }
    world.run(SECOND);
    assert_eq!(world.finished(), 200);
    let late = world
        .arrivals
        .iter()
        .filter(|arrival| arrival.at > 3 * SECOND + arrival.key * 50 * MILLISECOND + 100 * MILLISECOND);
    let late = late.count();
    assert!(late < 10, "{late} of 200 went later than 100 ms");
}
