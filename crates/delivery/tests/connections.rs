//! Connections to hosts that accept few connections from all relays together.

mod world;

use pewterseam_delivery::Input;
use world::{Behaviour, MILLISECOND, World, instance, service, submission};

const RELAYS: usize = 58;
const HOSTS: u16 = 6;
const ACCEPTED: u32 = 18;

/// Guards against idle connections of relays that reach the connection limit of hosts, so that other connections are reset.
#[test]
fn idle_connections_of_all_relays_stay_within_the_limit_of_hosts() {
    let mut world = World::new(RELAYS, 400);
    let list: Vec<_> = (1..=HOSTS).map(|port| instance(&format!("i-{port}"), "mail", port, 2)).collect();
    for listed in &list {
        world.host(listed, Behaviour::Serve { took: 15 * MILLISECOND });
    }
    let mut mail = service("mail");
    mail.max_connections = ACCEPTED;
    world.send_to_all(&Input::Services(vec![mail]));
    world.send_to_all(&Input::Hosts(list));
    let mut max_connections_to_one = 0;
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
        max_connections_to_one = max_connections_to_one.max(counts.max().unwrap_or(0));
    }
    assert!(max_connections_to_one <= ACCEPTED as usize, "{max_connections_to_one} connections to one host");
}

/// Guards against an idle connection from each relay to an endpoint that accepts fewer connections than there are relays.
#[test]
fn no_idle_connections_to_an_endpoint_that_accepts_fewer_than_relays() {
    let mut world = World::new(RELAYS, 400);
    world.static_host(1, Behaviour::Serve { took: 45 * MILLISECOND });
    let mut partner = service("partner");
    partner.max_connections = 29;
    partner.static_address = Some(world::address(1));
    world.send_to_all(&Input::Services(vec![partner]));
    for relay in 0..RELAYS {
        let now = world.now;
        world.submit(relay, [submission(relay as u64 + 1, "partner", now)]);
        world.run(20 * MILLISECOND);
    }
    world.run(500 * MILLISECOND);
    assert_eq!(world.finished(), RELAYS);
    assert_eq!(world.connections_to(1), 0);
}
