//! Which hosts messages go to: by the list, by their slots, by what they answer.

mod world;

use pewterseam_delivery::{Input, Outcome, ServiceConfig};
use world::{Behaviour, MILLISECOND, SECOND, World, address, instance, service, submission};

const SERVE: Behaviour = Behaviour::Serve { took: 50 * MILLISECOND };

/// One relay and a service with hosts at ports from 1 on.
fn with_hosts(behaviours: &[Behaviour], slots: u32) -> (World, Vec<pewterseam_delivery::Instance>) {
    let mut world = World::new(1, 400);
    let number = |index: usize| index as u16 + 1;
    let list: Vec<_> =
        (0..behaviours.len()).map(|i| instance(&format!("i-{i}"), "mail", number(i), slots)).collect();
    for (listed, behaviour) in list.iter().zip(behaviours) {
        world.host(listed, *behaviour);
    }
    world.tell_all(&Input::Services(vec![service("mail")]));
    world.tell_all(&Input::Hosts(list.clone()));
    (world, list)
}

/// Guards against messages that are lost or not told, and against more calls to a host than it has slots.
#[test]
fn messages_are_spread_over_hosts_within_their_slots() {
    let (mut world, _) = with_hosts(&[SERVE; 4], 3);
    let now = world.now;
    world.submit(0, (1..=200).map(|key| submission(key, "mail", now)));
    world.run(2 * SECOND);
    assert_eq!(world.finished(), 200);
    let signed = |key: u64| Outcome::Completed { signature: format!("signature-{key}").into() };
    assert!(world.relays[0].finished.iter().all(|(key, (_, outcome))| *outcome == signed(*key)));
    assert_eq!(world.relays[0].most_to_a_host, 3);
    for port in 1..=4 {
        let count = world.arrivals_at(port).count();
        assert!((40..=60).contains(&count), "{count} at host {port}");
    }
}

/// Guards against requests to a host after the list showed it draining or gone, also those whose connection was just
/// being opened.
#[test]
fn nothing_is_written_to_a_host_that_drains_or_is_gone() {
    for is_gone in [false, true] {
        let (mut world, mut list) = with_hosts(&[SERVE; 2], 100);
        world.opening = 300 * MILLISECOND;
        let now = world.now;
        world.submit(0, (1..=40).map(|key| submission(key, "mail", now)));
        world.run(100 * MILLISECOND);
        if is_gone {
            list.remove(0);
        } else {
            list[0].ready = false;
        }
        world.tell_all(&Input::Hosts(list));
        world.run(3 * SECOND);
        assert_eq!(world.arrivals_at(1).count(), 0, "gone: {is_gone}");
        assert!(world.withheld > 0);
        assert_eq!(world.finished(), 40);
    }
}

/// Guards against a host at the address of one that is gone being asked again and again, and against messages that wait
/// for the list to follow.
#[test]
fn a_host_that_is_another_one_is_left_and_its_message_goes_elsewhere() {
    let (mut world, _) = with_hosts(&[SERVE; 2], 100);
    world.host(&instance("i-other", "other", 1, 9), SERVE);
    let now = world.now;
    world.submit(0, (1..=20).map(|key| submission(key, "mail", now)));
    world.run(SECOND);
    world.submit(0, (21..=40).map(|key| submission(key, "mail", now)));
    world.run(SECOND);
    assert_eq!(world.finished(), 40);
    assert!(world.arrivals_at(1).all(|arrival| arrival.mistaken && arrival.key <= 20));
}

/// Guards against a message that always fails condemning the hosts that it goes to.
#[test]
fn messages_that_always_fail_leave_their_host_in_use() {
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

/// Guards against going on at a host that fails everything while another one serves.
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

/// Guards against a silent host keeping messages for longer than their time-out, and against all following it.
#[test]
fn a_silent_host_is_left_after_a_few_messages_and_used_again_when_it_answers() {
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
    let silent = world.arrivals_at(1).count();
    assert!(silent < 40, "{silent} of 500 at the silent host");
    assert_eq!(world.aborts, 0, "a host's silence gives no reason to end an attempt sooner");
    world.host(&list[0], SERVE);
    world.run(12 * SECOND);
    submit(&mut world, 1000, 200);
    let again = world.arrivals_at(1).count() - silent;
    assert!(again > 40, "{again} of 200 after it came back");
}

/// Guards against a full host being asked without a pause, or never again.
#[test]
fn a_full_host_rests_and_is_tried_again() {
    let (mut world, list) = with_hosts(&[Behaviour::Full], 10);
    let now = world.now;
    world.submit(0, [submission(1, "mail", now)]);
    world.run(10 * SECOND);
    let tried = world.arrivals_at(1).count();
    assert!((5..=25).contains(&tried), "{tried} tries in 10 s");
    world.host(&list[0], SERVE);
    world.run(4 * SECOND);
    assert_eq!(world.finished(), 1);
}

/// Guards against messages at a host that is slow since it has just started, while another one is idle.
#[test]
fn a_cold_host_is_used_only_when_others_are_busier() {
    let (mut world, mut list) = with_hosts(&[SERVE; 3], 10);
    list[0].cold_remaining_ms = 4000;
    world.tell_all(&Input::Hosts(list.clone()));
    for key in 1..=60 {
        let now = world.now;
        world.submit(0, [submission(key, "mail", now)]);
        world.run(60 * MILLISECOND);
    }
    assert_eq!(world.arrivals_at(1).count(), 0);
    list[0].cold_remaining_ms = 0;
    world.tell_all(&Input::Hosts(list));
    for key in 61..=120 {
        let now = world.now;
        world.submit(0, [submission(key, "mail", now)]);
        world.run(60 * MILLISECOND);
    }
    assert!(world.arrivals_at(1).count() > 10, "{}", world.arrivals_at(1).count());
}

/// Guards against more connections to a host than this relay's part of those that it accepts.
#[test]
fn connections_to_a_host_stay_within_this_relays_part() {
    let mut world = World::new(5, 400);
    world.static_host(9, SERVE);
    let config = ServiceConfig { static_address: Some(address(9)), max_connections: 20, ..service("mail") };
    world.tell_all(&Input::Services(vec![config]));
    let now = world.now;
    world.submit(0, (1..=100).map(|key| submission(key, "mail", now)));
    world.run(3 * SECOND);
    assert_eq!(world.finished(), 100);
    assert!(world.relays[0].most_to_a_host <= 5, "{} at once", world.relays[0].most_to_a_host);
}

/// Guards against hosts that come, are replaced and go for a long day leaving something behind, or messages being
/// stuck with one that went.
#[test]
fn a_day_of_replaced_hosts_ends_with_every_message_delivered() {
    let (mut world, mut list) = with_hosts(&[SERVE; 3], 5);
    for round in 0..600u64 {
        let place = (round % 3) as usize;
        // The old host is another one now, at the same address; the list follows half a second later.
        list[place] = instance(&format!("next-{round}"), "mail", place as u16 + 1, 5);
        world.host(&list[place].clone(), SERVE);
        let now = world.now;
        world.submit(0, (0..3).map(|number| submission(round * 3 + number, "mail", now)));
        world.run(500 * MILLISECOND);
        world.tell_all(&Input::Hosts(list.clone()));
        world.run(500 * MILLISECOND);
    }
    world.run(5 * SECOND);
    assert_eq!(world.finished(), 1800);
    assert_eq!(world.relays[0].machine.load(), (0, 0));
}
