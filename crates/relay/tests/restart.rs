//! A relay as a process: killed, stopped and started again beside stand-ins.

mod common;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

#[test]
fn what_a_killed_relay_held_is_brought_to_its_end() {
    let host = StandIn::start(|_| None);
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    for (id, class) in [("m1", "balance"), ("m2", "posting"), ("m3", "transfer")] {
        assert_eq!(relay.hand_in(&message(id, class, None, b"\x00\xff body")), 202);
    }
    wait_for("all sent", || host.ids().len() == 3);
    relay.kill();
    host.behave(|_| answer(200, "", ""));
    let relay = place.start();
    wait_for("the repeatable ones come again", || {
        let ids = host.ids();
        ids.iter().filter(|id| *id == "m1").count() == 2 && ids.iter().filter(|id| *id == "m2").count() == 2
    });
    wait_for("the other is failed", || notices(&platform) == [("m3".to_owned(), "failed".to_owned())]);
    wait_for("nothing is on hand", || relay.counter("held") == 0);
    // Danger: one that must not run twice is sent again after a restart.
    assert_eq!(host.ids().iter().filter(|id| *id == "m3").count(), 1);
    for heard in host.heard() {
        let id = heard.header("Request-Id").expect("an id");
        assert_eq!(heard.header("Idempotency-Key"), Some(format!("k-{id}").as_str()));
        assert_eq!(heard.body, b"\x00\xff body");
    }
    relay.kill();
    // All ends are known by now: a third start brings nothing back.
    let relay = place.start();
    assert_eq!((relay.counter("restored"), relay.counter("sent")), (0, 0));
}

#[test]
fn a_key_keeps_its_order_across_a_restart() {
    let host = StandIn::start(|_| answer(503, "", ""));
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    let ids: Vec<String> = (0..12).map(|number| format!("m{number}")).collect();
    for id in &ids[..8] {
        assert_eq!(relay.hand_in(&message(id, "posting", Some("acct"), b"")), 202);
    }
    relay.kill();
    assert!(host.ids().iter().all(|id| id == "m0"), "only the first may have been tried");
    host.behave(|_| answer(200, "", ""));
    let relay = place.start();
    for id in &ids[8..] {
        assert_eq!(relay.hand_in(&message(id, "posting", Some("acct"), b"")), 202);
    }
    wait_for("nothing is on hand", || relay.counter("held") == 0);
    // The first one was tried before the restart too.
    let mut order = host.ids();
    order.dedup();
    assert_eq!(order, ids);
}

#[test]
fn a_notice_is_told_until_it_is_answered_across_a_restart_too() {
    let host = StandIn::start(|_| answer(500, "", ""));
    let platform = platform(host.address);
    let (address, refusing) = (host.address, answer(503, "", ""));
    platform.behave(move |heard| {
        if heard.line.starts_with("POST") { refusing.clone() } else { platform_answer(heard, address) }
    });
    let place = Place::new(platform.address);
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    wait_for("told in vain", || notices(&platform).len() > 2);
    assert_eq!(relay.counter("held"), 1);
    relay.kill();
    let relay = place.start();
    let before = notices(&platform).len();
    wait_for("told again after the restart", || notices(&platform).len() > before);
    platform.behave(move |heard| platform_answer(heard, address));
    wait_for("answered", || relay.counter("held") == 0);
    assert!(notices(&platform).iter().all(|notice| *notice == ("m1".to_owned(), "failed".to_owned())));
    // Danger: something is sent for a message after its end was told.
    assert_eq!(host.ids(), ["m1"]);
}

#[test]
fn a_stopping_relay_serves_what_still_comes_lets_calls_finish_and_ends_in_time() {
    let host = StandIn::start(|_| {
        thread::sleep(Duration::from_millis(500));
        answer(200, "", "")
    });
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    let mut kept = relay.connect();
    kept.write_all(&message("m0", "balance", None, b"")).expect("written");
    assert_eq!(hear(&mut kept).expect("read").expect("answered").status(), 202);
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    wait_for("sent", || host.ids().len() == 2);
    let start = Instant::now();
    relay.signal(Signal::TERM);
    wait_for("not ready", || relay.get("/_health").status() == 503);
    kept.write_all(&message("m2", "balance", None, b"")).expect("written");
    assert_eq!(hear(&mut kept).expect("read").expect("answered").status(), 202);
    let (well, log) = relay.ended();
    assert!(well, "{log}");
    assert!(start.elapsed() < Duration::from_millis(3_700), "ended after {:?}", start.elapsed());
    assert!(log.contains("stopped, held: 0"), "{log}");
    assert!(log.contains("taken 3, ") && log.contains(", delivered 3, "), "{log}");
    assert!(matches!(hear(&mut kept), Ok(None)), "the idle connection was closed in good order");
}

// Danger: what the relay answers in its last step is never written, and a message that was read has no answer.
#[test]
fn each_request_that_a_stopping_relay_answers_has_its_answer_written() {
    let host = StandIn::start(|_| answer(200, "", ""));
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    // The question itself is answered after it was counted.
    let (listen, before) = (relay.listen, relay.counter("answered") + 1);
    let heard = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let heard = heard.clone();
            thread::spawn(move || {
                // It ends when nobody listens there any more.
                for number in 0.. {
                    let Ok(mut stream) = TcpStream::connect(listen) else { return };
                    stream.set_read_timeout(Some(PATIENCE)).expect("set");
                    let message = message(&format!("m{client}-{number}"), "balance", None, b"");
                    if stream.write_all(&message).is_ok() && matches!(hear(&mut stream), Ok(Some(_))) {
                        heard.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    wait_for("under way", || heard.load(Ordering::Relaxed) > 200);
    relay.signal(Signal::TERM);
    let (well, log) = relay.ended();
    clients.into_iter().for_each(|client| client.join().expect("ended"));
    let given = log.split("answered ").nth(1).and_then(|rest| rest.split(',').next());
    let given = given.and_then(|count| count.parse::<u64>().ok()).expect("a counter") - before;
    assert!(well);
    assert_eq!(heard.load(Ordering::Relaxed), given, "read, and given: {log}");
}

#[test]
fn what_a_stopped_relay_could_not_deliver_is_delivered_after_its_next_start() {
    let platform = platform(free_address());
    let place = Place::new(platform.address);
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    relay.signal(Signal::TERM);
    let (well, log) = relay.ended();
    assert!(well && log.contains("held: 1"), "{log}");
    let host = StandIn::start(|_| answer(200, "", ""));
    let address = host.address;
    platform.behave(move |heard| platform_answer(heard, address));
    let relay = place.start();
    wait_for("delivered", || relay.counter("held") == 0);
    assert_eq!(host.ids(), ["m1"]);
    assert_eq!(notices(&platform), []);
}

// Danger: the list has no host of a destination just as a relay starts again, and what it had taken on for it and never
// tried is given up at once, without a call.
#[test]
fn what_was_never_tried_before_a_restart_waits_for_a_host_that_the_first_list_lacks() {
    let platform = platform(free_address());
    let place = Place::new(platform.address);
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    relay.kill();
    let host = StandIn::start(|_| answer(200, "", ""));
    let other = host.address;
    let without = move |heard: &Heard| {
        let mut list = list(other, "Ready");
        (list["targets"][0]["uid"], list["targets"][0]["pod_group"]) = (json!("s-2"), json!(8));
        if heard.line.contains("index=") { None } else { answer(200, "", &list.to_string()) }
    };
    platform.behave(
        move |heard| {
            if heard.line.starts_with("POST") { answer(204, "", "") } else { without(heard) }
        },
    );
    let relay = place.start();
    assert_eq!((relay.counter("held"), relay.counter("returned")), (1, 0));
    platform.behave(move |heard| platform_answer(heard, other));
    wait_for("delivered", || relay.counter("held") == 0);
    assert_eq!((host.ids(), notices(&platform)), (vec!["m1".to_owned()], vec![]));
}

#[test]
fn a_journal_that_ends_in_half_a_record_is_read_up_to_there() {
    let host = StandIn::start(|_| None);
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    for id in ["m1", "m2"] {
        assert_eq!(relay.hand_in(&message(id, "balance", None, b"")), 202);
    }
    relay.kill();
    let files = std::fs::read_dir(place.state()).expect("a folder").flatten();
    let last = files.map(|file| file.path()).max().expect("a segment");
    let mut segment = std::fs::OpenOptions::new().append(true).open(last).expect("opened");
    segment.write_all(&[40, 0, 0, 0, 1, 2, 3]).expect("written");
    host.behave(|_| answer(200, "", ""));
    let relay = place.start();
    wait_for("nothing is on hand", || relay.counter("held") == 0);
    let ids: BTreeSet<String> = host.ids().into_iter().collect();
    assert_eq!(ids, BTreeSet::from(["m1".to_owned(), "m2".to_owned()]));
}

// Danger: timers are due before what has come is read, and answers count as silence.
#[test]
fn a_relay_that_stood_still_reads_what_has_come_before_it_judges() {
    let host = StandIn::start(|_| {
        thread::sleep(Duration::from_millis(300));
        answer(200, "", "")
    });
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    wait_for("sent", || host.ids().len() == 1);
    relay.signal(Signal::STOP);
    thread::sleep(Duration::from_millis(4_500));
    relay.signal(Signal::CONT);
    wait_for("delivered", || relay.counter("delivered") == 1);
    relay.signal(Signal::TERM);
    let (well, log) = relay.ended();
    assert!(well && !log.contains("is silent") && !log.contains("times out"), "{log}");
}

#[test]
fn a_new_configuration_moves_list_and_notices_and_what_is_on_hand_stays() {
    let host = StandIn::start(|_| answer(500, "", ""));
    let silent = |heard: &Heard| heard.line.starts_with("POST");
    let address = host.address;
    let old = StandIn::start(move |heard| if silent(heard) { None } else { platform_answer(heard, address) });
    let new = platform(host.address);
    let mut place = Place::new(old.address);
    let relay = place.start();
    assert_eq!(relay.hand_in(&message("m1", "transfer", None, b"")), 202);
    wait_for("a notice is owed", || !notices(&old).is_empty());
    // What is no configuration changes nothing.
    let good = std::mem::replace(&mut place.config, json!({"discovery": new.address}));
    place.configure();
    relay.signal(Signal::HUP);
    wait_for("turned away", || relay.counter("configurations_rejected") == 1);
    place.config = good.clone();
    place.config["settings"]["family_info"]["late"] = json!("halvng");
    place.configure();
    relay.signal(Signal::HUP);
    wait_for("turned away again", || relay.counter("configurations_rejected") == 2);
    assert_eq!((relay.counter("configurations"), new.heard().len()), (0, 0));
    place.config = good;
    place.config["discovery"] = json!(new.address);
    place.config["limits"]["sockets"] = json!(2048);
    place.configure();
    relay.signal(Signal::HUP);
    wait_for("the list is asked for there", || {
        new.heard().iter().any(|heard| heard.line == "GET /catalog/members HTTP/1.1")
    });
    wait_for("the notice is told there", || notices(&new) == [("m1".to_owned(), "failed".to_owned())]);
    wait_for("nothing is owed", || relay.counter("held") == 0);
    assert_eq!((relay.counter("configurations"), relay.counter("list_failures")), (1, 0));
    let before = old.heard().len();
    host.behave(|_| answer(200, "", ""));
    assert_eq!(relay.hand_in(&message("m2", "balance", None, b"")), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    assert_eq!(old.heard().len(), before);
    relay.signal(Signal::TERM);
    let (well, log) = relay.ended();
    assert!(well, "{log}");
    assert!(
        log.contains("the old one stays") && log.contains("limits will be heeded at the next start"),
        "{log}"
    );
}
