//! What is learnt of hosts, in the folder that lasts.

mod common;

use std::fs;

use common::*;
use pewterseam::interface::{HostId, Learnt, LearntRoute};
use pewterseam_errors::ErrorLine;
use pewterseam_relay::learnt::{read, write};
use serde_json::json;

fn learnt() -> Learnt {
    let route = LearntRoute {
        destination: 7,
        apart: true,
        hosts: vec![HostId(u64::MAX)],
        rate: Some(2.5),
        answer_time: 300_000.5,
        deviation: 0.0,
        wait_until: 1_700,
    };
    let other = LearntRoute { apart: false, rate: None, ..route.clone() };
    Learnt { at: 1_000, routes: vec![route, other], out: vec![(HostId(3), 900)] }
}

#[test]
fn what_is_written_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(read(folder.path()).expect("none"), None);
    write(folder.path(), &learnt(), 3_000_000).expect("written");
    assert_eq!(read(folder.path()).expect("whole"), Some(learnt()));
}

#[test]
fn what_takes_too_much_of_the_folder_is_not_written() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(write(folder.path(), &learnt(), 1_000).is_err());
    assert_eq!(fs::read_dir(folder.path()).expect("a folder").count(), 0);
}

#[test]
fn nonsense_is_an_error_in_one_line() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &learnt(), 3_000_000).expect("written");
    let file = folder.path().join("learnt.json");
    let good = fs::read_to_string(&file).expect("text");
    let bad = [
        good[..good.len() / 2].to_owned(),
        String::new(),
        "\u{0}\u{7}".to_owned(),
        "[1,2]".to_owned(),
        good.replace("2.5", "-2.5"),
        good.replace("300000.5", "-1"),
        good.replace("300000.5", "1e999"),
        good.replace("900", "\"long\""),
    ];
    for text in bad {
        fs::write(&file, &text).expect("written");
        let error = read(folder.path()).expect_err(&text);
        let line = ErrorLine(&error).to_string();
        assert!(line.starts_with("[left-") && !line.contains('\n'), "{text}: {line}");
    }
}

#[test]
fn a_relay_that_is_moved_keeps_what_it_learnt_and_one_with_torn_figures_starts_all_the_same() {
    let host = StandIn::start(|_| answer(200, "Server-Load: x0=0.5,x1=9\r\n", ""));
    let platform = platform(host.address);
    let mut place = Place::new(platform.address);
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m1", "balance", None, b"")), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    // A route counts as used once its round is over.
    std::thread::sleep(std::time::Duration::from_millis(2_200));
    relay.signal(Signal::TERM);
    assert!(relay.ended().0);
    // The new deployment: another lateness, repeats dropped by zone, a second kind whose routes are apart.
    place.config["settings"]["zones"] = json!(["a", "b"]);
    place.config["settings"]["models"] = json!(["partner", "small"]);
    let info = json!({"slots": 8, "late": "halving", "routes_apart": [false, true], "bundle_max": [20, 1],
        "zone_fee": [0.01, 0.04]});
    place.config["settings"]["family_info"] = info;
    place.config["settings"]["classes"][1]["group"] = json!("zone");
    place.configure();
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m2", "posting", None, b"")), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    relay.signal(Signal::TERM);
    let (well, log) = relay.ended();
    assert!(well && log.contains("learnt before the restart: 1 of 1 routes kept"), "{log}");
    fs::write(place.state().join("learnt.json"), "{").expect("written");
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m3", "balance", None, b"")), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    relay.signal(Signal::TERM);
    let (well, log) = relay.ended();
    assert!(well && log.contains("what was learnt before the restart can't be read"), "{log}");
}
