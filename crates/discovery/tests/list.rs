//! The platform's list at the relays of a region.

mod region;

use std::collections::BTreeSet;
use std::sync::Arc;

use quickcheck::QuickCheck;
use region::{MILLISECOND, Region, SECOND, listed};

/// Guards against more calls than one reader makes, and against relays without the list.
#[test]
fn in_calm_times_one_relay_reads_for_all() {
    let mut region = Region::new(60, 1, 30, 50);
    region.run(5 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(30)]));
    region.platform.calls.clear();
    region.told_bytes = 0;
    region.run(70 * SECOND);
    let calls = region.platform.calls.len();
    assert!((90..=101).contains(&calls), "{calls} calls in 70 s");
    assert!(region.told_bytes < 70 * 60 * 200, "{} bytes", region.told_bytes);
    assert!(region.relays.iter().all(|relay| relay.changes == 1));
}

/// Guards against requests to a host long after the platform shows it draining (3 s are allowed), and against a
/// draining host that counts as ready again.
#[test]
fn a_draining_host_is_known_to_all_in_time_though_words_are_lost() {
    let mut region = Region::new(60, 2, 30, 50);
    region.run(5 * SECOND);
    for (number, lost, within) in
        (0..20).map(|number| if number < 5 { (number, 0, 800) } else { (number, 5, 2400) })
    {
        region.lost = lost;
        region.platform.instances[number].ready = false;
        let (since, id): (_, Arc<str>) = (region.now, Arc::from(format!("i-{number}")));
        region.run(within * MILLISECOND);
        let knows = |relay: &region::Relay| relay.seen.contains_key(&(id.clone(), false));
        let late = region.relays.iter().filter(|relay| !knows(relay)).count();
        assert_eq!(late, 0, "{late} of 60 relays, {within} ms after {since}, {lost} % lost");
    }
    region.platform.instances[0].ready = true;
    region.run(5 * SECOND);
    let still =
        |relay: &region::Relay| relay.machine.list().is_some_and(|l| l.get("i-0").is_some_and(|i| !i.ready));
    assert!(region.relays.iter().all(still));
}

/// Guards against all relays being without the list when their reader dies, before its death is known and after.
#[test]
fn another_relay_reads_when_the_reader_is_gone() {
    let mut region = Region::new(60, 3, 30, 50);
    region.run(5 * SECOND);
    let reader = region.reader();
    region.relays[reader].is_up = false;
    region.platform.instances[7].ready = false;
    let since = region.now;
    region.run(3 * SECOND);
    let seen = |relay: &region::Relay| relay.seen.get(&(Arc::from("i-7"), false)).copied();
    let last = region.relays.iter().filter(|relay| relay.is_up).map(seen).max().flatten();
    assert!(region.relays.iter().filter(|relay| relay.is_up).all(|relay| seen(relay).is_some()));
    assert!(last.is_some_and(|at| at < since + 2500 * MILLISECOND), "{last:?} after {since}");
    region.tell_relays();
    region.run(5 * SECOND);
    region.platform.calls.clear();
    region.run(70 * SECOND);
    let calls = region.platform.calls.len();
    assert!((90..=101).contains(&calls), "{calls} calls in 70 s");
}

/// Guards against more calls than the platform takes, even when no relay hears of another and all read for themselves;
/// and against a relay that then waits long for its turn.
#[test]
fn sixty_relays_on_their_own_stay_within_the_platforms_rate() {
    for seed in 0..40 {
        let mut region = Region::new(60, seed, 30, 50);
        region.run(5 * SECOND);
        region.relays.iter_mut().for_each(|relay| relay.is_cut = true);
        region.run(60 * SECOND);
        let (most, refused) = (region.most_calls(), region.platform.refused);
        assert!(most <= 47 && refused == 0, "seed {seed}: {most} calls in a second, {refused} refused");
        let oldest = region.relays.iter().filter_map(|relay| relay.machine.age(region.now)).max();
        assert!(oldest.is_some_and(|age| age < 6 * SECOND), "seed {seed}: {oldest:?}");
    }
}

/// Guards against a start of all relays at once, each alone as far as it knows, that keeps the platform overloaded.
#[test]
fn all_relays_that_start_alone_get_the_list() {
    let mut region = Region::new(60, 5, 30, 50);
    for relay in 0..60 {
        let alone = vec![region.relays[relay].name.clone()];
        let effects =
            region.relays[relay].machine.step(region.now, pewterseam_discovery::Input::Relays(alone));
        drop(effects);
    }
    region.run(2 * SECOND);
    region.tell_relays();
    region.run(5 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(30)]));
}

/// Guards against calls that go on at one pace while the platform turns them away.
#[test]
fn calls_that_are_turned_away_become_rarer() {
    let mut region = Region::new(20, 6, 30, 50);
    region.run(5 * SECOND);
    region.platform.rate_per_s = 0;
    region.platform.calls.clear();
    region.run(60 * SECOND);
    let calls = region.platform.calls.len();
    assert!(calls < 20 * 30, "{calls} calls in a minute");
    assert_eq!(region.sizes(), BTreeSet::from([Some(30)]), "a refused call leaves the list as it was");
    region.platform.rate_per_s = 47;
    region.platform.instances.pop();
    region.run(15 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(29)]));
}

/// Guards against conclusions from half a list: pages that change between two calls, and a platform that is silent.
#[test]
fn pages_that_change_between_calls_take_no_host_off_the_list() {
    let mut region = Region::new(5, 7, 120, 50);
    region.run(5 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(120)]));
    region.platform.changes_between_pages = true;
    for _ in 0..50 {
        region.run(200 * MILLISECOND);
        assert_eq!(region.sizes(), BTreeSet::from([Some(120)]));
    }
    region.platform.changes_between_pages = false;
    region.platform.is_down = true;
    region.run(20 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(120)]));
    region.platform.is_down = false;
    region.platform.instances.truncate(60);
    region.run(6 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(60)]));
}

/// Guards against an empty list being taken for a failure.
#[test]
fn an_empty_list_that_came_without_error_is_true() {
    let mut region = Region::new(3, 8, 30, 50);
    region.run(5 * SECOND);
    region.platform.instances.clear();
    region.run(5 * SECOND);
    assert_eq!(region.sizes(), BTreeSet::from([Some(0)]));
}

/// Guards against relays that keep different lists for good, whatever was lost, and whoever read.
#[test]
fn all_relays_come_to_the_same_list_whatever_is_lost() {
    fn property(seed: u64, choices: Vec<u8>) -> bool {
        let count = 2 + (seed % 30) as usize;
        let mut region = Region::new(count, seed, 40, 15);
        for (step, choice) in choices.iter().enumerate() {
            let which = usize::from(*choice) % count;
            match choice >> 5 {
                0 => region.platform.instances.push(listed(100 + step, true)),
                1 => drop(region.platform.instances.pop()),
                2 => region.platform.instances.iter_mut().skip(which).take(1).for_each(|i| i.ready = false),
                3 => region.relays[which].is_cut = !region.relays[which].is_cut,
                4 => region.relays[which].is_up = !region.relays[which].is_up,
                5 => region.lost = u64::from(*choice) % 60,
                6 => region.platform.is_down = !region.platform.is_down,
                _ => region.tell_relays(),
            }
            region.run(u64::from(*choice) * 5 * MILLISECOND);
        }
        region.relays.iter_mut().for_each(|relay| (relay.is_cut, relay.is_up) = (false, true));
        (region.lost, region.platform.is_down) = (0, false);
        region.tell_relays();
        region.run(20 * SECOND);
        let want: BTreeSet<_> = region.platform.instances.iter().map(|i| (i.id.clone(), i.ready)).collect();
        region.relays.iter().all(|relay| {
            let list = relay.machine.list();
            let has: Option<BTreeSet<_>> =
                list.map(|l| l.instances().map(|i| (i.id.clone(), i.ready)).collect());
            has.as_ref() == Some(&want)
        })
    }
    QuickCheck::new().tests(100).quickcheck(property as fn(u64, Vec<u8>) -> bool);
}
