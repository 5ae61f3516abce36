//! Selection of hosts by the list, their slots and their answers.

mod world;

use pewterseam_delivery::{Input, Outcome, ServiceConfig};
use world::{Behaviour, MILLISECOND, SECOND, World, address, instance, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 50 * MILLISECOND };

/// One relay, and a service with hosts at ports from 1.
fn with_hosts(behaviours: &[Behaviour], slots: u32) -> (World, Vec<pewterseam_delivery::Instance>) {
    let mut world = World::new(1, 400);
    let number = |index: usize| index as u16 + 1;
    let list: Vec<_> =
        (0..behaviours.len()).map(|i| instance(&format!("i-{i}"), "mail", number(i), slots)).collect();
    for (listed, behaviour) in list.iter().zip(behaviours) {
        world.host(listed, *behaviour);
    }
    world.send_to_all(&Input::Services(vec![service("mail")]));
    world.send_to_all(&Input::Hosts(list.clone()));
    (world, list)
}

/// Guards against lost messages or outcomes, and against more calls to a host than it has slots.
#[test]
fn messages_are_spread_over_hosts_within_their_slots() {
    let (mut world, _) = with_hosts(&[SERVE; 4], 3);
    let now = world.now;
    world.submit(0, (1..=200).map(|key| submission(key, "mail", now)));
    world.run(2 * SECOND);
    assert_eq!(world.finished(), 200);
    let signed = |key: u64| Outcome::Completed { signature: format!("signature-{key}").into() };
    assert!(world.relays[0].finished.iter().all(|(key, (_, outcome))| *outcome == signed(*key)));
    assert_eq!(world.relays[0].max_to_one_host, 3);
    for port in 1..=4 {
        let count = world.arrivals_at(port).count();
        assert!((40..=60).contains(&count), "{count} at host {port}");
    }
}

/// Guards against requests to a host after the list showed it as draining or removed, including requests whose connection
/// was just opening.
#[test]
fn no_request_is_written_to_a_draining_or_removed_host() {
    for is_removed in [false, true] {
        let (mut world, mut list) = with_hosts(&[SERVE; 2], 100);
        world.opening = 300 * MILLISECOND;
        let now = world.now;
        world.submit(0, (1..=40).map(|key| submission(key, "mail", now)));
        world.run(100 * MILLISECOND);
        if is_removed {
            list.remove(0);
        } else {
            list[0].ready = false;
        }
        world.send_to_all(&Input::Hosts(list));
        world.run(3 * SECOND);
        assert_eq!(world.arrivals_at(1).count(), 0, "removed: {is_removed}");
        assert!(world.withheld > 0);
        assert_eq!(world.finished(), 40);
    }
}

/// Guards against repeated requests to a new instance at the address of a removed host, and against messages that wait
/// until the list is updated.
#[test]
fn a_message_rejected_by_another_instance_goes_to_another_host() {
    let (mut world, _) = with_hosts(&[SERVE; 2], 100);
    world.host(&instance("i-other", "other", 1, 9), SERVE);
    let now = world.now;
    world.submit(0, (1..=20).map(|key| submission(key, "mail", now)));
    world.run(SECOND);
    world.submit(0, (21..=40).map(|key| submission(key, "mail", now)));
    world.run(SECOND);
    assert_eq!(world.finished(), 40);
    assert!(world.arrivals_at(1).all(|arrival| arrival.is_wrong_instance && arrival.key <= 20));
}

/// Guards against ejecting hosts because of a message that always fails.
#[test]
fn messages_that_always_fail_do_not_eject_their_host() {
    let (mut world, _) = with_hosts(&[Behaviour::FailMultiplesOf(3)], 2);
    for round in 0..100 {
        let now = world.now;
        world.submit(0, (1..=3).map(|key| submission(round * 3 + key, "mail", now)));
        world.run(100 * MILLISECOND);
    }
    world.run(SECOND);
    let relay = &world.relays[0];
    assert_eq!(relay.finished.len(), 300);
    assert!(
        relay
            .finished
            .iter()
            .all(|(key, (_, outcome))| (*outcome == Outcome::Failed) == key.is_multiple_of(3))
    );
    let last = relay.finished.values().map(|(at, _)| *at).max().unwrap_or(0);
    assert!(last < SECOND + 100 * 100 * MILLISECOND + 200 * MILLISECOND, "the last one ended at {last}");
}

/// Guards against continued requests to a host that fails all messages while another host serves.
#[test]
fn a_host_that_fails_most_messages_gets_few_of_them() {
    let (mut world, _) = with_hosts(&[Behaviour::FailMultiplesOf(1), SERVE], 10);
    for round in 0..200 {
        let now = world.now;
        world.submit(0, [submission(round + 1, "mail", now)]);
        world.run(20 * MILLISECOND);
    }
    world.run(SECOND);
    assert_eq!(world.finished(), 200);
    let failed = world.arrivals_at(1).count();
    assert!(failed < 40, "{failed} of 200 at the failing host");
}

/// Guards against an unresponsive host that delays messages beyond their timeout, and against sending it further messages.
#[test]
fn an_unresponsive_host_is_ejected_and_used_again_when_it_answers() {
    let (mut world, list) = with_hosts(&[Behaviour::Hang, SERVE], 10);
    let submit = |world: &mut World, from: u64, count: u64| {
        for key in from..from + count {
            let now = world.now;
            world.submit(0, [submission(key, "mail", now)]);
            world.run(20 * MILLISECOND);
        }
    };
    submit(&mut world, 1, 500);
    world.run(2 * SECOND);
    assert_eq!(world.finished(), 500);
    let unresponsive = world.arrivals_at(1).count();
    assert!(unresponsive < 40, "{unresponsive} of 500 at the unresponsive host");
    assert_eq!(world.aborts, 0, "attempts at an unresponsive host are not aborted before their timeout");
    world.host(&list[0], SERVE);
    world.run(12 * SECOND);
    submit(&mut world, 1000, 200);
    let again = world.arrivals_at(1).count() - unresponsive;
    assert!(again > 40, "{again} of 200 after it recovered");
}

/// Guards against retries at a full host without backoff, and against never using it again.
#[test]
fn a_full_host_is_retried_with_backoff() {
    let (mut world, list) = with_hosts(&[Behaviour::Full], 10);
    let now = world.now;
    world.submit(0, [submission(1, "mail", now)]);
    world.run(10 * SECOND);
    let attempts = world.arrivals_at(1).count();
    assert!((5..=25).contains(&attempts), "{attempts} attempts in 10 s");
    world.host(&list[0], SERVE);
    world.run(4 * SECOND);
    assert_eq!(world.finished(), 1);
}

/// Guards against messages to a host that is slow after its start while another host is idle.
#[test]
fn a_cold_host_is_used_only_when_others_are_busier() {
    let (mut world, mut list) = with_hosts(&[SERVE; 3], 10);
    list[0].cold_remaining_ms = 4000;
    world.send_to_all(&Input::Hosts(list.clone()));
    for key in 1..=60 {
        let now = world.now;
        world.submit(0, [submission(key, "mail", now)]);
        world.run(60 * MILLISECOND);
    }
    assert_eq!(world.arrivals_at(1).count(), 0);
    list[0].cold_remaining_ms = 0;
    world.send_to_all(&Input::Hosts(list));
    for key in 61..=120 {
        let now = world.now;
        world.submit(0, [submission(key, "mail", now)]);
        world.run(60 * MILLISECOND);
    }
    assert!(world.arrivals_at(1).count() > 10, "{}", world.arrivals_at(1).count());
}

/// Guards against more connections to a host than this relay's share of its limit.
#[test]
fn connections_to_a_host_stay_within_the_share_of_this_relay() {
    let mut world = World::new(5, 400);
    world.static_host(9, SERVE);
    let config = ServiceConfig { static_address: Some(address(9)), max_connections: 20, ..service("mail") };
    world.send_to_all(&Input::Services(vec![config]));
    let now = world.now;
    world.submit(0, (1..=100).map(|key| submission(key, "mail", now)));
    world.run(3 * SECOND);
    assert_eq!(world.finished(), 100);
    assert!(world.relays[0].max_to_one_host <= 5, "{} at once", world.relays[0].max_to_one_host);
}

/// Guards against leaks and stuck messages when hosts are replaced many times.
#[test]
fn every_message_is_delivered_while_hosts_are_replaced() {
    let (mut world, mut list) = with_hosts(&[SERVE; 3], 5);
    for round in 0..600u64 {
        let place = (round % 3) as usize;
        // A new instance replaces the host at the same address. The list is updated half a second later.
        list[place] = instance(&format!("next-{round}"), "mail", place as u16 + 1, 5);
        world.host(&list[place].clone(), SERVE);
        let now = world.now;
        world.submit(0, (0..3).map(|number| submission(round * 3 + number, "mail", now)));
        world.run(500 * MILLISECOND);
        world.send_to_all(&Input::Hosts(list.clone()));
        world.run(500 * MILLISECOND);
    }
    world.run(5 * SECOND);
    assert_eq!(world.finished(), 1800);
    assert_eq!(world.relays[0].machine.message_counts(), (0, 0));
}
