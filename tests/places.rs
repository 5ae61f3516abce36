//! Tests of placement: which zones a destination's messages prefer or must avoid.

mod common;

use std::collections::BTreeMap;

use common::*;
use pewterseam::interface::*;

/// Destination 1 with two hosts in zone 0, two in zone 1 and one in zone 2.
fn sender() -> Sender {
    let at = |host, zone| ListedHost { zone, ..listed(host, 1, 400.0) };
    let settings = Settings { slots: 400, max_held: 1000, ..settings() };
    Sender::new(settings, &[at(1, 0), at(2, 0), at(3, 1), at(4, 1), at(5, 2)])
}

fn place(zone: u16, rank: u8, part: f64) -> Placement {
    Placement { destination: 1, zone, rank, part }
}

/// Submits messages one after the other, each answered before the next; counts them by host.
fn count_by_host(sender: &mut Sender, count: usize) -> BTreeMap<u64, usize> {
    let mut hosts = BTreeMap::new();
    for _ in 0..count {
        let (_, actions) = sender.submit(FREE, 1);
        let sent = sends(&actions)[0];
        *hosts.entry(sent.host.0).or_default() += 1;
        sender.outcome(&sent, Outcome::Ok);
    }
    hosts
}

#[test]
fn the_nearest_zone_is_used_first_and_others_when_it_is_out() {
    let mut sender = sender();
    sender.step(vec![Event::PlacementsChanged(vec![place(0, 0, 1.0), place(1, 1, 1.0), place(2, 2, 1.0)])]);
    assert!(count_by_host(&mut sender, 20).keys().all(|host| *host <= 2), "messages left the nearest zone");
    let gone = |host| ListedHost { zone: 0, lifecycle: Lifecycle::Draining, ..listed(host, 1, 400.0) };
    sender.step(vec![Event::Registry(RegistryUpdate::Changes(vec![gone(1), gone(2)]))]);
    assert!(
        count_by_host(&mut sender, 20).keys().all(|host| [3, 4].contains(host)),
        "messages did not go to the next zone"
    );
}

#[test]
fn a_zone_gets_the_part_that_it_was_given_and_a_message_keeps_to_its_zones() {
    let mut sender = sender();
    sender.step(vec![Event::PlacementsChanged(vec![place(0, 0, 0.3), place(1, 1, 1.0), place(2, 2, 0.0)])]);
    let near: usize =
        count_by_host(&mut sender, 400).iter().filter(|(host, _)| **host <= 2).map(|(_, n)| n).sum();
    assert!((80..160).contains(&near), "{near} of 400 went to the zone that takes 0.3");
    assert!(!count_by_host(&mut sender, 100).contains_key(&5), "zone 2 received a message");
    sender.step(vec![Event::PlacementsChanged(vec![place(0, 0, 0.0), place(1, 0, 0.0)])]);
    assert!(
        count_by_host(&mut sender, 20).keys().all(|host| *host == 5),
        "a zone without a placement takes all messages"
    );
}

// Without the fallback, an outdated placement closes the only zone left, and messages wait for their
// deadline.
#[test]
fn messages_go_to_a_closed_zone_where_no_other_has_a_ready_host() {
    let mut sender = sender();
    sender.step(vec![Event::PlacementsChanged(vec![place(0, 0, 0.0), place(2, 2, 0.0)])]);
    assert!(count_by_host(&mut sender, 20).keys().all(|host| [3, 4].contains(host)));
    let gone = |host| ListedHost { zone: 1, lifecycle: Lifecycle::Gone, ..listed(host, 1, 400.0) };
    sender.step(vec![Event::Registry(RegistryUpdate::Changes(vec![gone(3), gone(4)]))]);
    let hosts = count_by_host(&mut sender, 20);
    assert!(!hosts.is_empty() && hosts.keys().all(|host| [1, 2, 5].contains(host)), "{hosts:?}");
}

// Without this, a message that may have run goes to another zone, where its repeat is not dropped.
#[test]
fn a_message_that_ran_in_a_zone_that_closed_since_is_sent_nowhere_else() {
    let at = |host, zone| ListedHost { zone, ..listed(host, 1, 400.0) };
    let mut sender = Sender::new(zoned(), &[at(1, 0), at(3, 1)]);
    sender.step(vec![Event::PlacementsChanged(vec![place(0, 0, 1.0), place(1, 1, 1.0)])]);
    let (id, actions) = sender.submit(GUARDED, 1);
    let sent = sends(&actions)[0];
    assert_eq!(sent.host, HostId(1));
    let mut actions = sender.step(vec![Event::PlacementsChanged(vec![place(0, 0, 0.0)])]);
    actions.extend(sender.outcome(&sent, Outcome::Timeout));
    actions.extend(sender.advance(6 * SECOND));
    assert_eq!(sends(&actions), [], "the message was sent again");
    assert_eq!(failed(&actions), [id], "the message fails once its window is over");
}
