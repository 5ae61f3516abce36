//! Which idle connection makes room.

use super::*;

#[test]
fn a_client_that_has_just_connected_is_dismissed_last() {
    let now = Instant::now();
    let pause = Duration::from_millis(100);
    let place =
        |is_fresh: bool, age: u64| Place { is_fresh, since: now - Duration::from_millis(age), number: age };
    let least = |mut places: Vec<Place>| {
        places.sort();
        least_missed(places.iter(), now, pause)
    };
    let (young, mute, muter) = (place(true, 20), place(true, 150), place(true, 900));
    let (used, long) = (place(false, 40), place(false, 3_000));
    assert_eq!(least(vec![young, used, mute, long, muter]), Some(muter));
    assert_eq!(least(vec![young, used, long]), Some(long));
    assert_eq!(least(vec![young]), Some(young));
    assert_eq!(least(vec![]), None);
}
