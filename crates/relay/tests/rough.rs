//! A relay as a process at its limits, and with bytes and settings that are none.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

fn served() -> (StandIn, StandIn, Place) {
    let host = StandIn::start(|_| answer(200, "", ""));
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    (host, platform, place)
}

#[test]
fn bad_requests_are_answered_in_the_4xx_and_counted() {
    let (host, _platform, place) = served();
    let relay = place.start();
    let good = String::from_utf8(message("m1", "balance", None, b"")).expect("text");
    let odd = good.replace("m1", "@");
    let change = |from: &str, to: &str| good.replace(from, to).into_bytes();
    let long = "x".repeat(20_000);
    let cases: Vec<(Vec<u8>, u16)> = vec![
        (b"what is this\r\n\r\n".to_vec(), 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(), 400),
        (b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), 404),
        (b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), 405),
        (change("Request-Class: balance", "Request-Class: unheard"), 422),
        (change("Tenant: acme", "Tenant: nobody"), 422),
        (change("Request-Timeout: 30.0", "Request-Timeout: soon"), 400),
        (change("Request-Timeout: 30.0", "Request-Timeout: -1"), 400),
        (change("dest=7", "dest=everyone"), 400),
        (change("Request-Id: m1\r\n", ""), 400),
        (odd.bytes().map(|byte| if byte == b'@' { 0xff } else { byte }).collect(), 400),
        (change("Content-Length: 0", "Content-Length: ten"), 400),
        (change("Content-Length: 0", "Content-Length: 5\r\nContent-Length: 6"), 400),
        (change("Content-Length: 0", "Content-Length: 0\r\nTransfer-Encoding: chunked"), 400),
        (change("Content-Length: 0", "Content-Length: 65537"), 413),
        (change("Content-Length: 0", "Content-Length: 99999999999999999999"), 400),
        (change("Content-Length: 0", "Transfer-Encoding: gzip"), 501),
        (change("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), 400),
        (change("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n"), 413),
        (change("Host: service.internal", &format!("X-Long: {long}")), 431),
    ];
    let mut bad = 0;
    for (bytes, status) in &cases {
        let heard = relay.send(bytes);
        assert_eq!(heard.status(), *status, "{}", String::from_utf8_lossy(bytes));
        bad += 1;
    }
    assert_eq!(relay.counter("bad_requests"), bad);
    assert_eq!(relay.hand_in(good.as_bytes()), 202);
    wait_for("served all the same", || relay.counter("delivered") == 1);
    assert_eq!(host.ids(), ["m1"]);
}

#[test]
fn bodies_of_any_bytes_and_of_the_greatest_length_go_on_unchanged() {
    let (host, _platform, place) = served();
    let relay = place.start();
    let body: Vec<u8> = (0..64 * 1024).map(|place| (place * 7 % 256) as u8).collect();
    assert_eq!(relay.hand_in(&message("m1", "balance", None, &body)), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    let mut chunked = String::from_utf8(message("m2", "balance", None, b"")).expect("text").into_bytes();
    let text = String::from_utf8(chunked).expect("text");
    chunked = text.replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    chunked.extend_from_slice(b"3\r\n\x00\r\n\r\n2;note=1\r\n\xff\xfe\r\n0\r\nTrailer: 1\r\n\r\n");
    assert_eq!(relay.hand_in(&chunked), 202);
    wait_for("delivered", || relay.counter("delivered") == 2);
    assert!(host.heard()[0].body == body, "the long body was changed");
    assert_eq!(host.heard()[1].body, b"\x00\r\n\xff\xfe");
}

#[test]
fn half_sent_requests_and_early_closes_harm_no_one_else() {
    let (_host, _platform, place) = served();
    let relay = place.start();
    let whole = message("m1", "balance", None, b"0123456789");
    let mut halves: Vec<TcpStream> = Vec::new();
    for length in [1, 20, whole.len() / 2, whole.len() - 1] {
        let mut stream = relay.connect();
        stream.write_all(&whole[..length]).expect("written");
        halves.push(stream);
        drop(relay.connect());
    }
    let stuck = relay.connect();
    assert_eq!(relay.hand_in(&message("m2", "balance", None, b"")), 202);
    drop(halves.pop());
    // What is left half-sent is told so.
    let mut answer = Vec::new();
    halves.pop().expect("one").read_to_end(&mut answer).expect("read");
    assert!(answer.starts_with(b"HTTP/1.1 408"), "{}", String::from_utf8_lossy(&answer));
    wait_for("only the whole one is delivered", || relay.counter("delivered") == 1);
    assert_eq!(relay.counter("taken"), 1);
    drop(stuck);
}

#[test]
fn a_connection_carries_one_request_after_another() {
    let (_host, _platform, place) = served();
    let relay = place.start();
    let mut stream = relay.connect();
    for number in 0..5 {
        stream.write_all(&message(&format!("m{number}"), "balance", None, b"x")).expect("written");
        assert_eq!(hear(&mut stream).expect("read").expect("answered").status(), 202);
    }
    // Empty lines between them mean nothing.
    stream.write_all(b"\r\n\r\n").expect("written");
    stream.write_all(&message("m5", "balance", None, b"x")).expect("written");
    assert_eq!(hear(&mut stream).expect("read").expect("answered").status(), 202);
}

// Danger: a length that is too short lets the rest of a body pass for a request, and a client that sends many at once
// has them all taken on.
#[test]
fn bytes_that_follow_a_request_spoil_it() {
    let (host, _platform, place) = served();
    let relay = place.start();
    let mut stream = relay.connect();
    stream.write_all(&message("m0", "balance", None, b"x").repeat(300)).expect("written");
    assert_eq!(hear(&mut stream).expect("read").expect("answered").status(), 400);
    let mut short = message("m1", "balance", None, b"x");
    short.extend_from_slice(b"more of the body than was told");
    assert_eq!(relay.send(&short).status(), 400);
    assert_eq!((relay.counter("taken"), relay.counter("bad_requests")), (0, 2));
    assert!(host.ids().is_empty());
}

#[test]
fn what_says_nothing_or_goes_on_for_ever_is_closed_within_three_seconds_of_connecting() {
    let (_host, _platform, place) = served();
    let relay = place.start();
    let start = Instant::now();
    let mut silent: Vec<TcpStream> = (0..20).map(|_| relay.connect()).collect();
    // A few bytes now and then do not put it off.
    let mut slow = relay.connect();
    slow.write_all(b"POST /api HTTP/1.1\r\n").expect("written");
    let mut feed = slow.try_clone().expect("cloned");
    let feeder = thread::spawn(move || {
        while start.elapsed() < Duration::from_secs(5) && feed.write_all(b"X: 1\r\n").is_ok() {
            thread::sleep(Duration::from_millis(300));
        }
    });
    let mut rest = Vec::new();
    let _ = slow.read_to_end(&mut rest);
    assert!(rest.starts_with(b"HTTP/1.1 408"), "{}", String::from_utf8_lossy(&rest));
    for stream in &mut silent {
        let _ = stream.read_to_end(&mut Vec::new());
    }
    let took = start.elapsed();
    assert!(took >= Duration::from_secs(1) && took < Duration::from_secs(3), "{took:?}");
    wait_for("counted", || relay.counter("connections_silent") == 20);
    assert_eq!(relay.counter("bad_requests"), 1);
    feeder.join().expect("ended");
}

#[test]
fn a_body_without_end_is_turned_away_and_not_read_to_its_end() {
    let (_host, _platform, place) = served();
    let relay = place.start();
    let text = String::from_utf8(message("m1", "balance", None, b"")).expect("text");
    let head = text.replace("Content-Length: 0", "Content-Length: 60000000");
    let mut stream = relay.connect();
    stream.write_all(head.as_bytes()).expect("written");
    let start = Instant::now();
    let part = vec![7; 64 * 1024];
    let sent = (0..1_000).take_while(|_| stream.write_all(&part).is_ok()).count();
    assert!(sent < 900 && start.elapsed() < Duration::from_secs(2), "{sent} after {:?}", start.elapsed());
    assert_eq!(relay.counter("bad_requests"), 1);
}

#[test]
fn more_connections_than_descriptors_leave_the_relay_alive_and_serving() {
    let (_host, _platform, mut place) = served();
    place.config["limits"]["sockets"] = json!(96);
    let relay = place.start();
    let idle: Vec<TcpStream> = (0..200).map(|_| relay.connect()).collect();
    for number in 0..10 {
        let heard = relay.send(&message(&format!("m{number}"), "balance", None, b""));
        assert_eq!(heard.status(), 202, "{number}: {}", String::from_utf8_lossy(&heard.body));
    }
    wait_for("delivered", || relay.counter("delivered") == 10);
    drop(idle);
}

#[test]
fn a_full_journal_refuses_what_is_new_and_brings_the_rest_to_its_end() {
    let host = StandIn::start(|_| None);
    let platform = platform(host.address);
    let mut place = Place::new(platform.address);
    place.config["limits"]["disk_mb"] = json!(0.5);
    let relay = place.start();
    let body = vec![7; 30_000];
    let answers: Vec<u16> = (0..30)
        .map(|number| relay.hand_in(&message(&format!("m{number}"), "balance", None, &body)))
        .collect();
    let taken = answers.iter().filter(|status| **status == 202).count();
    assert!((3..20).contains(&taken), "{answers:?}");
    assert!(answers[taken..].iter().all(|status| *status == 503), "{answers:?}");
    assert!(size_of(&place.state()) < 500_000);
    relay.kill();
    host.behave(|_| answer(200, "", ""));
    let relay = place.start();
    wait_for("nothing is on hand", || relay.counter("held") == 0);
    assert_eq!(relay.counter("delivered"), taken as u64);
    for number in 0..200 {
        // Those before it make room as soon as they are delivered.
        let next = message(&format!("n{number}"), "balance", None, &body);
        wait_for("room", || relay.hand_in(&next) == 202);
        assert!(size_of(&place.state()) < 500_000, "after {number} more");
    }
}

#[test]
fn a_journal_that_can_not_be_written_refuses_and_does_not_crash() {
    let (host, _platform, place) = served();
    let relay = place.start();
    std::fs::remove_dir_all(place.state()).expect("removed");
    // The open segment still takes writes; once it is to be replaced there is nowhere to write.
    let body = vec![7; 60_000];
    let answers: Vec<u16> = (0..80)
        .map(|number| relay.hand_in(&message(&format!("m{number}"), "balance", None, &body)))
        .collect();
    assert!(answers.contains(&503), "{answers:?}");
    assert_eq!(relay.get("/_health").status(), 200);
    assert!(relay.counter("journal_failures") > 0);
    // Danger: a call goes out for a message that was refused.
    wait_for("nothing is on hand", || relay.counter("held") == 0);
    assert_eq!(host.ids().len() as u64, relay.counter("taken"));
}

#[test]
fn bad_configuration_ends_in_one_plain_line() {
    let (_host, _platform, mut place) = served();
    let cases = [
        ("seed", json!("not hex"), "seed"),
        ("listen", json!("nowhere"), "config.json"),
        ("settings", json!({}), "settings"),
        ("late", json!("halvng"), "halvng"),
        ("routes_apart", json!(["yes"]), "boolean"),
        ("zone_fee", json!([0.1, -1.0]), "zone_fee"),
        ("limits", json!({"memory_mb": 192, "sockets": 8, "disk_mb": 3}), "limits.sockets"),
        ("limits", json!({"memory_mb": 192, "sockets": 1024, "disk_mb": -1}), "disk_mb"),
        ("peers", json!(["127.0.0.1:1"]), ""),
    ];
    for (key, value, word) in cases {
        let before = place.config.clone();
        if ["late", "routes_apart", "zone_fee"].contains(&key) {
            place.config["settings"]["family_info"][key] = value;
        } else {
            place.config[key] = value;
        }
        if key == "peers" {
            place.config["settings"]["me"] = json!(4);
        }
        let output = place.run();
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{key}: {text}");
        let last = text.lines().last().unwrap_or_default();
        assert!(last.starts_with("pewterseam: ") && last.contains(word), "{key}: {text}");
        assert!(!text.contains("panicked"), "{key}: {text}");
        place.config = before;
    }
}

#[test]
fn a_message_whose_client_has_gone_by_the_time_it_is_read_is_not_taken_on() {
    let (host, _platform, place) = served();
    let relay = place.start();
    // The relay stands still while a client comes, waits in vain and leaves.
    relay.signal(Signal::STOP);
    let mut gone = relay.connect();
    gone.write_all(&message("m1", "transfer", None, b"")).expect("written");
    leave(gone);
    relay.signal(Signal::CONT);
    assert_eq!(relay.hand_in(&message("m2", "transfer", None, b"")), 202);
    wait_for("delivered", || relay.counter("delivered") > 0);
    assert_eq!(host.ids(), ["m2"]);
    assert_eq!(relay.counter("delivered"), 1);
    assert_eq!(relay.counter("held"), 0);
}

// Danger: the decisions meet a destination's number after which there is none.
#[test]
fn the_greatest_numbers_harm_nothing() {
    let (_host, _platform, place) = served();
    let relay = place.start();
    let text = String::from_utf8(message("m1", "balance", None, b"")).expect("text");
    let far = text.replace("dest=7", "dest=4294967295").replace("Timeout: 30.0", "Timeout: 8000000000");
    assert_eq!(relay.hand_in(far.as_bytes()), 429);
    assert_eq!(relay.hand_in(text.replace("Timeout: 30.0", "Timeout: 8000000000").as_bytes()), 202);
    wait_for("delivered", || relay.counter("delivered") == 1);
    assert_eq!(relay.counter("held"), 0);
}

#[test]
fn a_log_that_nobody_reads_any_more_harms_nothing() {
    let (_host, platform, place) = served();
    let mut relay = place.start();
    relay.stop_reading_its_log();
    // Lines come with each failure of discovery and each time that it answers again.
    for _ in 0..3 {
        let before = relay.counter("list_failures");
        platform.behave(|_| answer(500, "", ""));
        wait_for("a failure", || relay.counter("list_failures") > before);
        let (before, address) = (relay.counter("lists"), place.listen);
        platform.behave(move |heard| platform_answer(heard, address));
        wait_for("an answer", || relay.counter("lists") > before);
    }
    assert_eq!(relay.hand_in(&message("m1", "balance", None, b"")), 202);
}
