//! Connections to hosts that accept few from all relays together.

mod world;

use pewterseam_delivery::Input;
use world::{Behaviour, MILLISECOND, World, instance, service, submission};

const RELAYS: usize = 58;
const HOSTS: u16 = 6;
const ACCEPTED: u32 = 18;

/// Guards against relays whose idle connections fill the hosts' tables, so that others are reset.
#[test]
fn idle_connections_of_all_relays_stay_below_what_hosts_accept() {
    let mut world = World::new(RELAYS, 400);
    let list: Vec<_> = (1..=HOSTS).map(|port| instance(&format!("i-{port}"), "mail", port, 2)).collect();
    for listed in &list {
        world.host(listed, Behaviour::Serve { took: 15 * MILLISECOND });
    }
    let mut mail = service("mail");
    mail.max_connections = ACCEPTED;
    world.tell_all(&Input::Services(vec![mail]));
    world.tell_all(&Input::Hosts(list));
    let mut most = 0;
    for round in 0..40u64 {
        for relay in 0..RELAYS {
            let key = round * RELAYS as u64 + relay as u64 + 1;
            let now = world.now;
            if !key.is_multiple_of(3) {
                world.submit(relay, [submission(key, "mail", now)]);
            }
            world.run(3 * MILLISECOND);
        }
        let counts = (1..=HOSTS).map(|port| world.connections_to(port));
        most = most.max(counts.max().unwrap_or(0));
    }
    assert!(most <= ACCEPTED as usize, "{most} connections to one host");
}

/// Guards against a connection that each of many relays keeps to an endpoint that accepts fewer than there are relays.
#[test]
fn an_endpoint_that_accepts_fewer_than_there_are_relays_is_left_after_each_call() {
    let mut world = World::new(RELAYS, 400);
    world.static_host(1, Behaviour::Serve { took: 45 * MILLISECOND });
    let mut partner = service("partner");
    partner.max_connections = 29;
    partner.static_address = Some(world::address(1));
    world.tell_all(&Input::Services(vec![partner]));
    for relay in 0..RELAYS {
        let now = world.now;
        world.submit(relay, [submission(relay as u64 + 1, "partner", now)]);
        world.run(20 * MILLISECOND);
    }
    world.run(500 * MILLISECOND);
    assert_eq!(world.finished(), RELAYS);
    assert_eq!(world.connections_to(1), 0);
}
