//! How the relay follows the list of hosts, against stand-ins for discovery on loopback.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use pewterseam::interface::Micros;
use pewterseam::timeouts;
use pewterseam_node::io::Input;
use pewterseam_relay::discovery::{self, Watch};
use pewterseam_relay::inputs::Inputs;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::watch;

struct Follower {
    address: watch::Sender<SocketAddr>,
    asks: mpsc::UnboundedSender<Watch>,
    incoming: UnboundedReceiver<Input>,
}

const WATCH: Watch = Watch {
    wait: Duration::from_millis(100),
    wait_alone: Duration::from_millis(70),
    first: Duration::from_secs(2),
    patience: Duration::from_millis(50),
    again: Duration::from_secs(2),
};

fn follow(address: SocketAddr) -> Follower {
    let (inputs, incoming) = Inputs::new();
    let (asks, asked) = mpsc::unbounded_channel();
    let address = watch::Sender::new(address);
    tokio::task::spawn_local(discovery::follow(address.subscribe(), asked, inputs));
    asks.send(WATCH).expect("listening");
    Follower { address, asks, incoming }
}

/// The list of version `rev`, whole; watches meet silence.
fn silent_watches(rev: u64) -> StandIn {
    let host = free_address();
    StandIn::start(move |heard| {
        let mut list = list(host, "Ready");
        list["rev"] = json!(rev);
        if heard.line.contains("index=") { None } else { answer(200, "", &list.to_string()) }
    })
}

/// The version of the list that comes next.
async fn listed(incoming: &mut UnboundedReceiver<Input>) -> u64 {
    match incoming.recv().await {
        Some(Input::Listed(list)) => list.rev,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_list_is_fetched_whole_and_then_watched_without_a_gap() {
    run(async {
        let host = free_address();
        let platform = StandIn::start(move |heard| {
            let mut list = list(host, "Ready");
            if heard.line.contains("index=4") {
                list["rev"] = json!(5);
                list["all"] = json!(false);
            } else if heard.line.contains("index=5") {
                return None;
            }
            answer(200, "", &list.to_string())
        });
        let Follower { address: _address, asks, mut incoming } = follow(platform.address);
        for (rev, all) in [(4, true), (5, false)] {
            match incoming.recv().await {
                Some(Input::Listed(list)) => assert_eq!((list.rev, list.all), (rev, all)),
                other => panic!("{other:?}"),
            }
        }
        // The third call meets silence, and the list is asked for again only when that is wanted.
        assert!(matches!(incoming.recv().await, Some(Input::ListFailed)));
        let lines: Vec<String> = platform.heard().into_iter().map(|heard| heard.line).collect();
        assert_eq!(lines[0], "GET /catalog/members HTTP/1.1");
        assert_eq!(lines[1], "GET /catalog/members?index=4&wait=100 HTTP/1.1");
        assert_eq!(lines[2], "GET /catalog/members?index=5&wait=100 HTTP/1.1");
        assert_eq!((lines.len(), platform.connections()), (3, 1));
        asks.send(WATCH).expect("listening");
        assert!(matches!(incoming.recv().await, Some(Input::Listed(_))));
    });
}

// Danger: a whole list costs an overloaded discovery most, and all relays ask it.
#[test]
fn a_watch_that_is_turned_away_is_asked_for_again_from_the_version_that_is_known() {
    run(async {
        let host = free_address();
        let platform = StandIn::start(move |heard| match heard.line.contains("index=") {
            true => answer(503, "", ""),
            false => answer(200, "", &list(host, "Ready").to_string()),
        });
        let Follower { address: _address, asks, mut incoming } = follow(platform.address);
        let rev = listed(&mut incoming).await;
        assert!(matches!(incoming.recv().await, Some(Input::ListRefused)));
        asks.send(WATCH).expect("listening");
        assert!(matches!(incoming.recv().await, Some(Input::ListRefused)));
        let lines: Vec<String> = platform.heard().into_iter().map(|heard| heard.line).collect();
        let watch = |wait: u64| format!("GET /catalog/members?index={rev}&wait={wait} HTTP/1.1");
        // Danger: nothing is asked beside the second one, and if it falls silent that is noticed a good while later.
        assert_eq!(lines[1..], [watch(100), watch(70)]);
    });
}

/// Patient with an answer, and soon to ask once more beside it.
const PATIENT: Watch = Watch { patience: Duration::from_secs(60), again: Duration::from_millis(30), ..WATCH };

// Danger: what a silent watch misses counts as told some seconds later, and calls go to hosts that drain.
#[test]
fn a_watch_that_falls_silent_is_replaced_before_its_patience_is_over() {
    run(async {
        let platform = silent_watches(4);
        let Follower { address: _address, asks, mut incoming } = follow(platform.address);
        assert_eq!(listed(&mut incoming).await, 4);
        // The first follower's patience ends; the patient one goes on from there.
        assert!(matches!(incoming.recv().await, Some(Input::ListFailed)));
        asks.send(PATIENT).expect("listening");
        assert_eq!(listed(&mut incoming).await, 4, "asked for whole again");
        let begun = Instant::now();
        assert_eq!(
            listed(&mut incoming).await,
            4,
            "the watch is silent, and the list is asked for beside it"
        );
        assert!(begun.elapsed() < PATIENT.patience / 2);
    });
}

/// A discovery that was well and answers nothing any more, after the first question that failed by it.
async fn fallen_silent() -> (StandIn, Follower) {
    let host = free_address();
    let platform = StandIn::start(move |_| answer(200, "", &list(host, "Ready").to_string()));
    let mut follower = follow(platform.address);
    assert_eq!(listed(&mut follower.incoming).await, 4);
    platform.behave(|_| None);
    while !matches!(follower.incoming.recv().await, Some(Input::ListFailed)) {}
    (platform, follower)
}

// Danger: a question put while discovery is down is never answered, and what it has when it is back counts at once.
#[test]
fn discovery_that_comes_back_is_asked_within_a_moment_of_it() {
    run(async {
        let (platform, Follower { address: _address, asks, mut incoming }) = fallen_silent().await;
        asks.send(PATIENT).expect("listening");
        let before = platform.heard().len();
        until(|| platform.heard().len() > before + 3).await;
        let host = free_address();
        platform.behave(move |_| answer(200, "", &list(host, "Ready").to_string()));
        assert_eq!(listed(&mut incoming).await, 4);
    });
}

// Danger: all relays ask an overloaded discovery twice.
#[test]
fn discovery_that_turns_the_second_question_away_is_not_asked_again() {
    run(async {
        let (platform, Follower { address: _address, asks, mut incoming }) = fallen_silent().await;
        platform.behave(|heard| if heard.line.contains("index=") { None } else { answer(503, "", "") });
        asks.send(PATIENT).expect("listening");
        assert!(matches!(incoming.recv().await, Some(Input::ListRefused)));
        let before = platform.heard().len();
        platform.behave(|_| None);
        asks.send(Watch { patience: PATIENT.again * 8, ..PATIENT }).expect("listening");
        assert!(matches!(incoming.recv().await, Some(Input::ListFailed)));
        assert_eq!(platform.heard().len(), before + 1, "one question in eight spans");
    });
}

#[test]
fn a_list_that_can_not_be_had_or_read_is_a_failure() {
    run(async {
        let answers = [answer(500, "", ""), answer(200, "", "no JSON"), answer(200, "", "{\"rev\":1}"), None];
        for answer in answers {
            let platform = StandIn::start(move |_| answer.clone());
            let Follower { address: _address, asks: _asks, mut incoming } = follow(platform.address);
            assert!(matches!(incoming.recv().await, Some(Input::ListFailed)));
        }
        let Follower { address: _address, asks: _asks, mut incoming } = follow(free_address());
        assert!(matches!(incoming.recv().await, Some(Input::ListFailed)));
    });
}

#[test]
fn when_discovery_moves_the_new_address_is_asked_at_once_and_for_all() {
    run(async {
        let (old, new) = (silent_watches(9), silent_watches(2));
        let Follower { address, asks: _asks, mut incoming } = follow(old.address);
        assert!(matches!(incoming.recv().await, Some(Input::Listed(list)) if list.rev == 9));
        until(|| old.heard().len() == 2).await;
        address.send_replace(new.address);
        // Danger: the list counts as failed, or the new one is asked for changes since a version of the old one.
        assert!(matches!(incoming.recv().await, Some(Input::Listed(list)) if list.rev == 2));
        assert_eq!(new.heard()[0].line, "GET /catalog/members HTTP/1.1");
        until(|| new.heard().len() == 2).await;
    });
}

// Danger: the connection for second questions still points to where discovery was. Its first question there is for
// nothing, and a silence is noticed a whole span later than what it misses counts as told.
#[test]
fn a_watch_that_falls_silent_after_a_move_is_replaced_as_soon_as_any() {
    let spans = Watch { again: Duration::from_secs(2), patience: Duration::from_secs(60), ..WATCH };
    run(async {
        let (old, new) = (silent_watches(9), silent_watches(2));
        let Follower { address, asks, mut incoming } = follow(old.address);
        assert_eq!(listed(&mut incoming).await, 9);
        assert!(matches!(incoming.recv().await, Some(Input::ListFailed)));
        asks.send(spans).expect("listening");
        assert_eq!(listed(&mut incoming).await, 9);
        until(|| old.heard().last().is_some_and(|heard| heard.line.contains("index=9"))).await;
        address.send_replace(new.address);
        assert_eq!(listed(&mut incoming).await, 2);
        let begun = Instant::now();
        assert_eq!(listed(&mut incoming).await, 2, "asked for beside the silent watch");
        assert!(begun.elapsed() < spans.wait + spans.again * 3 / 2, "{:?}", begun.elapsed());
    });
}

// Danger: a list that is let rest after a refusal or a failure is at another address by then, and what is known there
// counts as told before the rest is over.
#[test]
fn a_move_while_discovery_is_let_rest_is_followed_at_once() {
    run(async {
        for (refusal, first) in [(answer(503, "", ""), "refused"), (answer(500, "", ""), "failed")] {
            let old = StandIn::start(move |_| refusal.clone());
            let new = silent_watches(2);
            let Follower { address, asks: _asks, mut incoming } = follow(old.address);
            match (first, incoming.recv().await) {
                ("refused", Some(Input::ListRefused)) | ("failed", Some(Input::ListFailed)) => {}
                other => panic!("{other:?}"),
            }
            // Nothing else is asked for.
            address.send_replace(new.address);
            assert_eq!(listed(&mut incoming).await, 2);
        }
    });
}

// Danger: a question that was asked for while another was out is put without a pause once that one is turned away.
#[test]
fn what_is_asked_for_while_a_question_is_out_is_asked_for_once() {
    run(async {
        let platform = StandIn::start(|_| {
            thread::sleep(Duration::from_millis(200));
            answer(503, "", "")
        });
        let Follower { address: _address, asks, mut incoming } = follow(platform.address);
        until(|| platform.heard().len() == 1).await;
        asks.send(WATCH).expect("listening");
        assert!(matches!(incoming.recv().await, Some(Input::ListRefused)));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(platform.heard().len(), 1);
    });
}

// Danger: what discovery has counts as told after 6 s, whatever a silent, refused or given-up question allowed.
#[test]
fn no_silence_lasts_as_long_as_a_change_may_go_untold() {
    const TOLD: Micros = 6_000_000;
    const PAUSE_AFTER_FAILURE: Micros = 500_000;
    // A second question beside a silent one, or the silent one given up, a pause, and the next.
    const { assert!(timeouts::LIST_POLL + timeouts::RESPONSE < TOLD) };
    const { assert!(timeouts::LIST_POLL_SINGLE + timeouts::LIST_RESPONSE + PAUSE_AFTER_FAILURE < TOLD) };
}
