//! Distribution of messages from many relays over hosts with few slots.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_delivery::Input;
use world::{Behaviour, MILLISECOND, SECOND, World, instance, service, submission};

const PROCESSING_TIME: u64 = 200 * MILLISECOND;

/// Runs relays at a fraction of the capacity of the hosts. Each message is submitted to a random relay.
fn run_with_load(relays: usize, hosts: usize, slots: usize, load: f64) -> World {
    let mut world = World::new(relays, 400);
    let listed = |number: usize| instance(&format!("i-{number}"), "mail", number as u16 + 1, slots as u32);
    let list: Vec<_> = (0..hosts).map(listed).collect();
    list.iter().for_each(|listed| world.host(listed, Behaviour::Slots { took: PROCESSING_TIME, slots }));
    world.send_to_all(&Input::Services(vec![service("mail")]));
    world.send_to_all(&Input::Hosts(list));
    let mean_gap = PROCESSING_TIME as f64 / (load * (hosts * slots) as f64);
    let (end, mut random, mut key) = (world.now + 20 * SECOND, 12_345u64, 0);
    while world.now < end {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (relay, part) = ((random >> 33) as usize % relays, ((random >> 20) & 0xffff) as f64 / 65_536.0);
        key += 1;
        let now = world.now;
        world.submit(relay, [submission(key, "mail", now)]);
        world.run((-(1.0 - part).ln() * mean_gap) as u64);
    }
    world.run(3 * SECOND);
    assert_eq!(world.finished(), key as usize);
    world
}

/// Guards against hosts that stay busier than others, so that messages wait for a slot or are rejected while other hosts
/// have free slots.
#[test]
fn hosts_are_used_evenly_by_many_relays() {
    for (relays, hosts, slots, load) in [(30, 12, 4, 0.6), (30, 12, 4, 0.8), (60, 20, 6, 0.7), (7, 5, 9, 0.7)]
    {
        let world = run_with_load(relays, hosts, slots, load);
        let mut counts = BTreeMap::<_, usize>::new();
        world.arrivals.iter().for_each(|arrival| *counts.entry(arrival.address).or_default() += 1);
        let (min, max) = (counts.values().min().copied(), counts.values().max().copied());
        let (min, max) = (min.unwrap_or(0) as f64, max.unwrap_or(0) as f64);
        assert!(
            counts.len() == hosts && max < 1.3 * min,
            "{relays}, {hosts}x{slots}: {min} to {max} messages per host"
        );
        let mut delays = world.start_delays.clone();
        delays.sort_unstable();
        let p99_delay = delays[delays.len() * 99 / 100];
        assert!(
            p99_delay < 150 * MILLISECOND,
            "{relays}, {hosts}x{slots}, load {load}: waited {p99_delay} us for a slot"
        );
    }
}

/// Guards against relays with low demand that connect to all hosts. New connections are expensive, and idle ones close.
#[test]
fn a_relay_with_low_demand_uses_few_hosts() {
    let world = run_with_load(60, 40, 4, 0.05);
    for relay in 0..60 {
        let of_relay = world.arrivals.iter().filter(|arrival| arrival.relay == relay);
        let used: BTreeSet<_> = of_relay.map(|arrival| arrival.address).collect();
        assert!(used.len() <= 6, "relay {relay} uses {} of 40 hosts", used.len());
    }
}
