//! The reducer alone: inputs in, records and effects out.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use common::settings;
use pewterseam::interface::{HostId, Learnt, LearntRoute, MessageId, Micros, Outcome};
use pewterseam_durable::message::{End, Message};
use pewterseam_durable::record::{Over, Past, Record, Zone};
use pewterseam_durable::replay::{History, Restored};
use pewterseam_node::call::{Call, Reply};
use pewterseam_node::change::Change;
use pewterseam_node::client::{Answer, Offer, Question, RequestId};
use pewterseam_node::io::{Effect, Input, Step};
use pewterseam_node::list::List;
use pewterseam_node::names::number;
use pewterseam_node::operator::{Operation, Verdict};
use pewterseam_node::pool::ConnectionId;
use pewterseam_node::reducer::{Reducer, Room};
use serde_json::{Value, json};

const START: Micros = 1_700_000_000_000_000;
const SECOND: Micros = 1_000_000;

struct Relay {
    reducer: Reducer,
    now: Micros,
    requests: u64,
    /// Connections are left to open.
    opens_late: bool,
}

fn room(bytes: u64) -> Room {
    Room { bytes, idle_connections: 10 }
}

/// Connections that a step asks for.
fn opening(step: &Step) -> Vec<ConnectionId> {
    let open = |effect: &Effect| match effect {
        Effect::Open { connection, .. } => Some(*connection),
        _ => None,
    };
    step.effects.iter().filter_map(open).collect()
}

/// Opens what a step asks for, until it asks for no more; all effects but those.
fn with_connections(reducer: &mut Reducer, now: Micros, mut step: Step) -> Step {
    loop {
        let opened: Vec<_> = opening(&step).into_iter().map(Input::Opened).collect();
        step.effects.retain(|effect| !matches!(effect, Effect::Open { .. }));
        if opened.is_empty() {
            return step;
        }
        let next = reducer.step(now, opened);
        step.records.extend(next.records);
        step.effects.extend(next.effects);
    }
}

fn list(hosts: &[(&str, u32, &str)], all: bool) -> List {
    let target = |(uid, destination, state): &(&str, u32, &str)| {
        let endpoint: SocketAddr = "127.0.0.1:9".parse().expect("an address");
        json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": "partner", "pod_group": destination,
            "state": state, "capacity_hint": 4.0})
    };
    let targets: Vec<Value> = hosts.iter().map(target).collect();
    serde_json::from_value(json!({"rev": 1, "all": all, "targets": targets})).expect("a list")
}

fn deployment(change: impl Fn(&mut Value)) -> pewterseam_settings::Deployment {
    let mut settings = settings();
    change(&mut settings);
    let mut deployment = pewterseam_settings::parse(settings.to_string().as_bytes()).expect("settings");
    deployment.settings.ends_by_notice = true;
    deployment
}

impl Relay {
    fn with(room: u64, history: History, change: impl Fn(&mut Value)) -> (Self, Step) {
        let mut reducer = Reducer::new(deployment(change), 7, self::room(room));
        let mut step = reducer.start(START, history, None);
        let told = list(&[("s-1", 7, "Ready"), ("s-2", 8, "Ready")], true);
        let first = reducer.step(START, vec![Input::Listed(told)]);
        step.records.extend(first.records);
        step.effects.extend(first.effects);
        let step = with_connections(&mut reducer, START, step);
        (Relay { reducer, now: START, requests: 0, opens_late: false }, step)
    }

    fn new() -> Self {
        Relay::with(1_000_000, History::default(), |_| {}).0
    }

    fn step(&mut self, inputs: Vec<Input>) -> Step {
        self.now += 1_000;
        let step = self.reducer.step(self.now, inputs);
        if self.opens_late { step } else { with_connections(&mut self.reducer, self.now, step) }
    }

    fn request(&mut self, id: &str, class: &str, key: Option<&str>) -> Input {
        self.requests += 1;
        let offer = Offer {
            id: id.to_owned(),
            class: class.to_owned(),
            tenant: "acme".to_owned(),
            key: key.map(str::to_owned),
            destination: 7,
            lifetime: 30 * SECOND,
            idempotency_key: None,
            body: Bytes::from_static(b"body"),
        };
        Input::Offer { id: RequestId(self.requests), offer }
    }

    fn hand_in(&mut self, id: &str, class: &str, key: Option<&str>) -> Step {
        let request = self.request(id, class, key);
        self.step(vec![request])
    }

    fn called(&mut self, call: &Call, outcome: Outcome, closed: bool) -> Step {
        let reply = Reply { outcome, closed, took: 100_000, report: None, kept: true };
        self.step(vec![Input::Called { connection: call.connection, reply }])
    }

    /// Lets time pass, and gathers what is asked for meanwhile.
    fn pass(&mut self, span: Micros) -> Step {
        let mut all = Step::default();
        for _ in 0..span / 10_000 {
            self.now += 9_000;
            let step = self.step(Vec::new());
            all.records.extend(step.records);
            all.effects.extend(step.effects);
        }
        all
    }
}

fn calls(step: &Step) -> Vec<Call> {
    let call = |effect: &Effect| match effect {
        Effect::Call(call) => Some(call.clone()),
        _ => None,
    };
    step.effects.iter().filter_map(call).collect()
}

fn is_ready(id: u64) -> Input {
    Input::Question { id: RequestId(id), question: Question::Ready }
}

fn answers(step: &Step) -> Vec<Answer> {
    let answer = |effect: &Effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    };
    step.effects.iter().filter_map(answer).collect()
}

fn notices(step: &Step) -> Vec<(String, End)> {
    let notice = |effect: &Effect| match effect {
        Effect::Notify(notice) => Some((notice.id.clone(), notice.end)),
        _ => None,
    };
    step.effects.iter().filter_map(notice).collect()
}

fn logs(step: &Step) -> Vec<String> {
    let log = |effect: &Effect| match effect {
        Effect::Log { text, .. } => Some(text.clone()),
        _ => None,
    };
    step.effects.iter().filter_map(log).collect()
}

fn restored(number: u64, class: &str, past: Past, cut: bool) -> Restored {
    let message = Message {
        id: format!("m{number}"),
        class: class.to_owned(),
        tenant: "acme".to_owned(),
        key: Some("acct".to_owned()),
        destination: 7,
        deadline: START + 20 * SECOND,
        idempotency_key: None,
        body: Bytes::new(),
    };
    Restored { number, message, past, cut, closing: None }
}

#[test]
fn a_message_is_recorded_before_its_answer_and_each_attempt_before_its_call() {
    let mut relay = Relay::new();
    let step = relay.hand_in("m1", "balance", None);
    assert!(matches!(step.records[..], [Record::Taken { number: 1, .. }, Record::Started { number: 1, .. }]));
    assert_eq!(answers(&step), [Answer::Taken]);
    let call = calls(&step).remove(0);
    assert_eq!((call.id, call.attempt), (MessageId(1), 0));
    assert_eq!(
        (call.message.as_str(), call.idempotency_key.clone(), &call.body[..]),
        ("m1", None, &b"body"[..])
    );
    let step = relay.called(&call, Outcome::Ok, true);
    assert_eq!(step.records, [Record::Ended { number: 1 }]);
    assert_eq!(relay.reducer.held(), 0);
}

#[test]
fn a_refusal_decided_at_once_is_the_answer_and_leaves_no_trace() {
    let mut relay = Relay::with(1_000_000, History::default(), |settings| {
        settings["allowed"]["most_held"] = json!(20);
        settings["family_info"]["slots"] = json!(1);
        settings["classes"][0]["value"] = json!(0.1);
    })
    .0;
    for number in 0..18 {
        assert_eq!(answers(&relay.hand_in(&format!("m{number}"), "transfer", None)), [Answer::Taken]);
    }
    let held = relay.reducer.held();
    let step = relay.hand_in("least", "balance", None);
    assert!(matches!(answers(&step)[..], [Answer::Refused { after_ms: 1..=3_000 }]), "{step:?}");
    assert_eq!((step.records.len(), relay.reducer.held()), (0, held));
    assert_eq!(notices(&step), []);
    // The client may come again under the same id.
    assert_eq!(answers(&relay.hand_in("least", "transfer", None)), [Answer::Taken]);
}

#[test]
fn a_message_that_no_host_can_take_is_returned_by_a_notice_in_time() {
    let (mut relay, _) = Relay::with(1_000_000, History::default(), |_| {});
    let empty = list(&[("s-2", 8, "Ready")], true);
    relay.step(vec![Input::Listed(empty)]);
    assert_eq!(answers(&relay.hand_in("m1", "transfer", None)), [Answer::Taken]);
    assert_eq!(notices(&relay.pass(29 * SECOND)), []);
    let step = relay.pass(SECOND);
    let told = notices(&step);
    assert!(matches!(told[..], [(_, End::Returned { after_ms: 1.. })]), "{told:?}");
    assert!(matches!(step.records[..], [Record::Closing { number: 1, end: End::Returned { .. } }]));
}

#[test]
fn the_next_of_a_key_goes_once_the_notice_of_the_one_before_is_answered() {
    let mut relay = Relay::with(1_000_000, History::default(), |settings| {
        settings["classes"][2]["in_order"] = json!(true);
    })
    .0;
    let first = calls(&relay.hand_in("m1", "transfer", Some("acct"))).remove(0);
    assert_eq!(calls(&relay.hand_in("m2", "transfer", Some("acct"))), []);
    let step = relay.called(&first, Outcome::Error, false);
    assert_eq!(notices(&step), [("m1".to_owned(), End::Failed)]);
    assert_eq!(calls(&step), []);
    assert_eq!(calls(&relay.pass(SECOND)), []);
    let step = relay.step(vec![Input::Told { numbers: vec![1], read: true }]);
    assert_eq!(step.records[0], Record::Ended { number: 1 });
    let mut after = calls(&step);
    after.extend(calls(&relay.pass(3 * SECOND)));
    assert_eq!(after.remove(0).id, MessageId(2));
}

#[test]
fn a_step_that_can_not_be_kept_is_undone() {
    let mut relay = Relay::new();
    let step = relay.hand_in("m1", "transfer", None);
    assert_eq!(calls(&step).len(), 1);
    let now = relay.now;
    let step = relay.reducer.undo(now, step);
    assert_eq!((answers(&step), calls(&step)), (vec![Answer::NotKept], vec![]));
    assert_eq!((relay.reducer.held(), relay.reducer.counters().taken), (0, 0));
    assert_eq!(relay.reducer.counters().sent, 0);
    // The same is taken on later, and nothing of the first time is left.
    let step = relay.hand_in("m1", "transfer", None);
    assert_eq!((answers(&step), calls(&step).len()), (vec![Answer::Taken], 1));
}

#[test]
fn ends_that_a_failing_journal_did_not_take_are_recorded_with_the_next_step() {
    let mut relay = Relay::new();
    let call = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    let step = relay.called(&call, Outcome::Ok, true);
    let now = relay.now;
    let step = relay.reducer.undo(now, step);
    assert_eq!(step.records, []);
    assert_eq!(relay.step(Vec::new()).records, [Record::Ended { number: 1 }]);
}

#[test]
fn with_no_record_of_its_attempts_a_message_is_returned_and_never_sent() {
    let mut relay = Relay::new();
    let mut step = relay.hand_in("m1", "transfer", None);
    assert!(matches!(step.records.remove(0), Record::Taken { number: 1, .. }), "this much was kept");
    step.effects.retain(|effect| !matches!(effect, Effect::Answer { .. }));
    let mut told = Vec::new();
    for _ in 0..100 {
        // The journal fails each time, as the loop around the reducer would meet it.
        while !step.records.is_empty() {
            let now = relay.now;
            step = relay.reducer.undo(now, step);
        }
        assert_eq!(calls(&step), []);
        told.extend(notices(&step));
        step = relay.pass(100_000);
    }
    assert!(matches!(&told[..], [(id, End::Returned { .. })] if id == "m1"), "{told:?}");
}

#[test]
fn restored_messages_go_on_where_they_were() {
    let past = |attempts, ran| Past { attempts, ran, ..Past::default() };
    let history = History {
        messages: vec![
            restored(3, "posting", past(2, None), false),
            restored(4, "posting", past(0, None), false),
            restored(5, "transfer", past(1, Some(START - SECOND)), true),
            Restored { closing: Some(End::Failed), ..restored(6, "balance", past(0, None), false) },
            restored(7, "unheard-of", past(0, None), false),
        ],
        next: 8,
        dropped: 0,
    };
    let (mut relay, step) = Relay::with(1_000_000, history, |_| {});
    let sent: Vec<_> = calls(&step).iter().map(|call| (call.id, call.attempt)).collect();
    assert_eq!(sent, [(MessageId(3), 2)]);
    let mut told = notices(&step);
    told.sort_by(|a, b| a.0.cmp(&b.0));
    // One may have run and must not again, one was given up before, one is of no class any more.
    assert_eq!(
        told,
        [("m5", End::Failed), ("m6", End::Failed), ("m7", End::Failed)].map(|(id, end)| (id.to_owned(), end))
    );
    let step = relay.hand_in("m9", "balance", None);
    assert!(matches!(step.records[0], Record::Taken { number: 8, .. }), "{step:?}");
}

/// Two zones, and repeats of `posting` dropped in one of them only.
fn zoned(settings: &mut Value) {
    settings["zones"] = json!(["a", "b"]);
    settings["classes"][1]["group"] = json!("zone");
}

/// Hosts of destination 7, `s-a` and `s-b`, each in the zone of its name.
fn zoned_list() -> List {
    let mut told = list(&[("s-a", 7, "Ready"), ("s-b", 7, "Ready")], true);
    for target in &mut told.targets {
        target.az = target.uid.trim_start_matches("s-").to_owned();
    }
    told
}

fn zone(name: &str) -> Zone {
    number(name) as Zone
}

#[test]
fn a_message_that_may_have_run_goes_again_only_in_its_zone_across_a_restart() {
    let again = |ran_in| {
        let past = Past { attempts: 1, ran: Some(START - SECOND), ran_in, ..Past::default() };
        let history = History { messages: vec![restored(3, "posting", past, false)], next: 4, dropped: 0 };
        let mut reducer = Reducer::new(deployment(zoned), 7, room(1_000_000));
        reducer.start(START, history, None);
        let mut relay = Relay { reducer, now: START, requests: 0, opens_late: false };
        let mut step = relay.step(vec![Input::Listed(zoned_list())]);
        step.effects.extend(relay.pass(2 * SECOND).effects);
        calls(&step).iter().map(|call| call.host).collect::<Vec<_>>()
    };
    for name in ["a", "b"] {
        assert_eq!(again(Some(zone(name))), [HostId(number(&format!("s-{name}")))]);
    }
    // A zone that the settings don't name any more, and none that was kept.
    assert_eq!((again(Some(zone("c"))), again(None)), (vec![], vec![]));
}

#[test]
fn the_zone_of_an_attempt_is_recorded_where_repeats_are_dropped_in_one_only() {
    let mut reducer = Reducer::new(deployment(zoned), 7, room(1_000_000));
    reducer.start(START, History::default(), None);
    let mut relay = Relay { reducer, now: START, requests: 0, opens_late: false };
    relay.step(vec![Input::Listed(zoned_list())]);
    let step = relay.hand_in("m1", "posting", Some("acct"));
    let call = calls(&step).remove(0);
    let own = if call.host == HostId(number("s-a")) { zone("a") } else { zone("b") };
    assert!(step.records.contains(&Record::StartedIn { number: 1, zone: own }), "{step:?}");
    relay.called(&call, Outcome::Reset, false);
    assert!(relay.reducer.records().1.contains(&Record::RanIn { number: 1, zone: own }));
    let step = relay.hand_in("m2", "balance", None);
    assert!(!step.records.iter().any(|record| matches!(record, Record::StartedIn { .. })), "{step:?}");
}

// The first seconds after a switch to another deployment.
#[test]
fn what_was_learnt_is_kept_where_it_means_the_same_and_the_rest_starts_afresh() {
    let host = |name: &str| HostId(number(name));
    let route = |destination, apart, name: &str| LearntRoute {
        destination,
        apart,
        hosts: vec![host(name)],
        rate: Some(5.0),
        answer_time: 900_000.0,
        deviation: 100_000.0,
        wait_until: 0,
    };
    // Kept; a destination of the same number with other hosts; one that holds its limit another way.
    let routes = vec![route(7, false, "s-1"), route(8, false, "s-9"), route(8, true, "s-2")];
    let begin = |age: Micros, out: &[&str]| {
        let out = out.iter().map(|name| (host(name), START - age - SECOND)).collect();
        let mut reducer = Reducer::new(deployment(|_| {}), 7, room(1_000_000));
        reducer.recall(Some(Learnt { at: START - age, routes: routes.clone(), out }));
        reducer.start(START, History::default(), None);
        let mut relay = Relay { reducer, now: START, requests: 0, opens_late: false };
        let told = list(&[("s-1", 7, "Ready"), ("s-2", 8, "Ready")], true);
        let step = relay.step(vec![Input::Listed(told)]);
        (relay, logs(&step))
    };
    let (mut relay, log) = begin(SECOND, &["s-9"]);
    assert_eq!(log, ["learnt before the restart: 1 of 3 routes kept"]);
    // The usual answer takes long, so that a call is given the time for it.
    let timeout = calls(&relay.hand_in("m1", "balance", None))[0].timeout;
    let fresh = calls(&Relay::new().hand_in("m1", "balance", None))[0].timeout;
    assert!(timeout != fresh, "{timeout} and {fresh}");
    // A host that was out a moment ago is not rushed at; one that was out long ago is as any other.
    for (age, most) in [(SECOND, 1), (60 * SECOND, 6)] {
        let (mut relay, log) = begin(age, &["s-1"]);
        assert_eq!(log.iter().any(|line| line.contains("was out before the restart")), most == 1);
        let requests = (0..6).map(|n| relay.request(&format!("m{n}"), "balance", None)).collect();
        let sent = calls(&relay.step(requests)).len();
        assert!(if most == 1 { sent <= 1 } else { sent > 1 }, "{sent} after {age}");
    }
}

// Danger: the list as last known names hosts that have gone since, and what was restored goes there.
#[test]
fn what_was_restored_waits_for_the_first_word_of_discovery() {
    let begin = || {
        let messages = vec![restored(1, "balance", Past::default(), false)];
        let mut reducer = Reducer::new(deployment(|_| {}), 7, room(1_000_000));
        let known = list(&[("s-1", 7, "Ready")], true);
        let step = reducer.start(START, History { messages, next: 2, dropped: 0 }, Some(known));
        assert_eq!(calls(&step), []);
        Relay { reducer, now: START, requests: 0, opens_late: false }
    };
    let mut relay = begin();
    assert_eq!(answers(&relay.step(vec![is_ready(90)])), [Answer::Ready(false)]);
    assert_eq!(answers(&relay.hand_in("m2", "balance", None)), [Answer::NotReady { last: false }]);
    let told = list(&[("s-1", 7, "Terminating"), ("s-3", 7, "Ready")], true);
    let call = calls(&relay.step(vec![Input::Listed(told)])).remove(0);
    assert_eq!(answers(&relay.step(vec![is_ready(91)])), [Answer::Ready(true)]);
    // With discovery down the old list has to do.
    let old = calls(&begin().step(vec![Input::ListFailed])).remove(0);
    assert_eq!(call.id, old.id);
    assert!(call.host != old.host, "sent to a host that drains");
}

#[test]
fn a_restored_message_past_its_deadline_is_told_at_once() {
    let mut late = restored(1, "balance", Past::default(), false);
    late.message.deadline = START - SECOND;
    let history = History { messages: vec![late], next: 2, dropped: 0 };
    let (_, step) = Relay::with(1_000_000, history, |_| {});
    assert_eq!((notices(&step).len(), calls(&step).len()), (1, 0));
}

#[test]
fn a_snapshot_tells_the_same_as_what_led_to_it() {
    let mut relay = Relay::new();
    let first = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    relay.called(&first, Outcome::Reset, false);
    relay.hand_in("m2", "transfer", None);
    let (next, records) = relay.reducer.records();
    assert_eq!(next, 3);
    let Record::Taken { number: 1, past, .. } = &records[0] else { panic!("{records:?}") };
    assert!(past.failed && past.ran.is_some());
}

#[test]
fn the_same_request_twice_is_one_message() {
    let mut relay = Relay::new();
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)).len(), 1);
    let step = relay.hand_in("m1", "balance", None);
    assert_eq!((answers(&step), calls(&step), &step.records[..]), (vec![Answer::OnHand], vec![], &[][..]));
    assert_eq!(relay.reducer.held(), 1);
    // Danger: it is refused for want of a record that it has, and handed in again under another id.
    let again = relay.request("m1", "balance", None);
    let other = relay.request("m2", "balance", None);
    let step = relay.step(vec![again, other]);
    let now = relay.now;
    let step = relay.reducer.undo(now, step);
    let answers = answers(&step);
    assert!(answers.contains(&Answer::OnHand) && answers.contains(&Answer::NotKept), "{answers:?}");
    assert_eq!((relay.reducer.held(), relay.reducer.counters().taken), (1, 1));
}

#[test]
fn no_more_bytes_are_taken_on_than_there_is_room_for() {
    let mut relay = Relay::with(1_000, History::default(), |_| {}).0;
    let answers: Vec<Answer> =
        (0..8).flat_map(|number| answers(&relay.hand_in(&format!("m{number}"), "balance", None))).collect();
    assert_eq!(answers.len(), 8);
    assert_eq!((&answers[0], &answers[7]), (&Answer::Taken, &Answer::NoRoom));
    assert!(relay.reducer.counters().refused_by_journal > 0);
}

#[test]
fn a_stopping_relay_is_not_ready_and_takes_nothing_on() {
    let mut relay = Relay::new();
    assert_eq!(answers(&relay.step(vec![is_ready(90)])), [Answer::Ready(true)]);
    let by = relay.now + 3 * SECOND;
    relay.step(vec![Input::Stop { by }]);
    assert_eq!(answers(&relay.step(vec![is_ready(91)])), [Answer::Ready(false)]);
    // Those that do not know yet are served.
    assert_eq!(answers(&relay.hand_in("m1", "balance", None)), [Answer::Taken]);
    relay.step(vec![Input::Close]);
    assert_eq!(answers(&relay.hand_in("m2", "balance", None)), [Answer::NotReady { last: true }]);
}

#[test]
fn nothing_is_sent_that_a_stop_would_cut_off() {
    let mut relay = Relay::new();
    let first = calls(&relay.hand_in("m1", "posting", Some("acct"))).remove(0);
    relay.hand_in("m2", "posting", Some("acct"));
    let by = relay.now + SECOND / 2;
    relay.step(vec![Input::Stop { by }]);
    assert_eq!(calls(&relay.called(&first, Outcome::Ok, true)), []);
    assert_eq!(calls(&relay.pass(SECOND)), []);
}

#[test]
fn a_relay_without_a_list_is_not_ready() {
    let mut reducer = Reducer::new(deployment(|_| {}), 7, room(1_000_000));
    reducer.start(START, History::default(), None);
    assert_eq!(answers(&reducer.step(START, vec![Input::ListFailed, is_ready(1)])), [Answer::Ready(false)]);
    reducer.step(START, vec![Input::Listed(list(&[("s-1", 7, "Ready")], true))]);
    assert_eq!(answers(&reducer.step(START, vec![is_ready(1)])), [Answer::Ready(true)]);
}

#[test]
fn a_failed_list_call_leaves_the_list_as_it_was() {
    let mut relay = Relay::new();
    relay.step(vec![Input::ListFailed]);
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)).len(), 1);
}

#[test]
fn the_list_is_asked_for_at_the_start_and_soon_again_after_a_failure() {
    let follows = |step: &Step| step.effects.iter().filter(|effect| **effect == Effect::Follow).count();
    let mut deployment = deployment(|_| {});
    deployment.settings.polls_registry = true;
    deployment.settings.max_poll_pause = 0;
    let mut reducer = Reducer::new(deployment, 7, room(1_000_000));
    assert_eq!(follows(&reducer.start(START, History::default(), None)), 1);
    let mut relay = Relay { reducer, now: START, requests: 0, opens_late: false };
    // Danger: pauses that grow while discovery is down leave drains unheard of for long afterwards.
    for _ in 0..5 {
        assert_eq!(follows(&relay.step(vec![Input::ListFailed])), 0);
        assert_eq!(follows(&relay.pass(SECOND)), 1);
    }
}

#[test]
fn a_draining_host_gets_nothing_new() {
    let mut relay = Relay::new();
    relay.step(vec![Input::Listed(list(&[("s-1", 7, "Terminating")], false))]);
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)), []);
}

#[test]
fn hosts_of_an_unknown_kind_are_left_out_and_counted() {
    let mut relay = Relay::new();
    let mut odd = list(&[("s-1", 7, "Ready"), ("s-9", 7, "Ready")], true);
    odd.targets[1].model = "unheard-of".to_owned();
    relay.step(vec![Input::Listed(odd)]);
    assert_eq!(relay.reducer.counters().list_entries_dropped, 1);
    let call = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    let known = calls(&Relay::new().hand_in("m1", "balance", None)).remove(0);
    assert_eq!(call.host, known.host);
}

#[test]
fn a_host_is_known_by_the_same_number_everywhere_and_one_that_moves_is_called_where_it_is() {
    let mut relay = Relay::new();
    let mut moved = list(&[("s-1", 7, "Ready")], false);
    moved.targets[0].endpoint = "127.0.0.1:10".parse().expect("an address");
    relay.step(vec![Input::Listed(moved)]);
    relay.opens_late = true;
    let step = relay.hand_in("m1", "balance", None);
    let to_port_10 = |effect: &Effect| matches!(effect, Effect::Open { address, .. } if address.port() == 10);
    assert!(step.effects.iter().any(to_port_10), "{step:?}");
    let call = calls(&with_connections(&mut relay.reducer, relay.now, step)).remove(0);
    // Peers of other releases name hosts by this number too.
    assert_eq!(call.host, HostId(15_495_634_152_842_146_449));
}

#[test]
fn the_same_inputs_ask_for_the_same() {
    let play = || {
        let mut relay = Relay::new();
        let mut steps = Vec::new();
        for number in 0..30 {
            let step =
                relay.hand_in(&format!("m{number}"), ["balance", "posting", "transfer"][number % 3], None);
            for (place, call) in calls(&step).iter().enumerate() {
                let outcome =
                    [Outcome::Ok, Outcome::Rejected { wait: 50_000 }, Outcome::Reset][(number + place) % 3];
                steps.push(relay.called(call, outcome, outcome == Outcome::Ok));
            }
            steps.push(step);
            steps.push(relay.pass(100_000));
        }
        steps
    };
    assert_eq!(play(), play());
}

#[test]
fn an_id_that_was_delivered_or_given_up_does_not_run_again() {
    let mut relay = Relay::new();
    let call = calls(&relay.hand_in("m1", "transfer", None)).remove(0);
    relay.called(&call, Outcome::Ok, true);
    let step = relay.hand_in("m1", "transfer", None);
    assert_eq!((answers(&step), calls(&step).len()), (vec![Answer::Delivered], 0));
    let call = calls(&relay.hand_in("m2", "transfer", None)).remove(0);
    let step = relay.called(&call, Outcome::Error, false);
    assert_eq!(notices(&step), [("m2".to_owned(), End::Failed)]);
    relay.step(vec![Input::Told { numbers: vec![2], read: true }]);
    let step = relay.hand_in("m2", "transfer", None);
    assert_eq!((answers(&step), calls(&step).len()), (vec![Answer::GivenUp], 0));
    // In the longest time that a message may take it is forgotten.
    relay.pass(31 * SECOND);
    let call = calls(&relay.hand_in("m3", "balance", None)).remove(0);
    relay.called(&call, Outcome::Ok, true);
    assert_eq!(answers(&relay.hand_in("m1", "transfer", None)), [Answer::Taken]);
}

#[test]
fn a_destination_that_was_never_listed_is_refused_at_once() {
    let mut relay = Relay::new();
    let mut request = relay.request("m1", "transfer", None);
    if let Input::Offer { offer, .. } = &mut request {
        offer.destination = 99;
    }
    let step = relay.step(vec![request]);
    assert_eq!((answers(&step), step.records.len()), (vec![Answer::Refused { after_ms: 0 }], 0));
    // One that was listed waits for a new host.
    relay.step(vec![Input::Listed(list(&[("s-2", 8, "Ready")], true))]);
    assert_eq!(answers(&relay.hand_in("m2", "transfer", None)), [Answer::Taken]);
}

#[test]
fn connections_to_hosts_that_are_gone_are_closed() {
    let mut relay = Relay::new();
    let closed = |step: Step| step.effects.iter().filter(|effect| matches!(effect, Effect::Close(_))).count();
    let call = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    relay.called(&call, Outcome::Ok, true);
    assert_eq!(
        closed(relay.step(vec![Input::Listed(list(&[("s-1", 7, "Gone"), ("s-3", 7, "Ready")], false))])),
        1
    );
    assert_eq!(closed(relay.step(vec![Input::Listed(list(&[("s-3", 7, "Ready")], true))])), 0);
}

fn operate(relay: &mut Relay, operation: Operation) -> (Verdict, String, Step) {
    let step = relay.step(vec![Input::Operation { id: RequestId(500), operation }]);
    let answer = step.effects.iter().find_map(|effect| match effect {
        Effect::Tell { id: RequestId(500), verdict, text } => Some((*verdict, text.clone())),
        _ => None,
    });
    let (verdict, text) = answer.expect("every call is answered in its step");
    (verdict, text, step)
}

fn enter(host: &str) -> Operation {
    Operation::Enter(host.to_owned())
}

#[test]
fn a_host_under_maintenance_gets_nothing_until_it_is_back_whatever_discovery_says() {
    let mut relay = Relay::new();
    assert_eq!(operate(&mut relay, enter("never-listed")).0, Verdict::Unknown);
    let (status, _, step) = operate(&mut relay, enter("s-1"));
    assert_eq!(status, Verdict::Yes);
    assert!(step.effects.contains(&Effect::KeepMaintenance(vec!["s-1".to_owned()])));
    // Repeated calls are fine, and discovery's word that it is ready changes nothing.
    assert_eq!(operate(&mut relay, enter("s-1")).0, Verdict::Yes);
    relay.step(vec![Input::Listed(list(&[("s-1", 7, "Ready"), ("s-2", 8, "Ready")], true))]);
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)), []);
    assert_eq!(calls(&relay.pass(SECOND)), []);
    let (status, body, _) = operate(&mut relay, Operation::Metrics);
    assert_eq!(status, Verdict::Yes);
    assert!(body.lines().any(|line| line == "relay.ejected=1"), "{body}");
    let (status, _, step) = operate(&mut relay, Operation::Exit("s-1".to_owned()));
    assert_eq!(status, Verdict::Yes);
    assert!(step.effects.contains(&Effect::KeepMaintenance(Vec::new())));
    let sent = calls(&step).len() + calls(&relay.pass(5 * SECOND)).len();
    assert_eq!(sent, 1, "the message goes once the host is back");
}

#[test]
fn hosts_kept_under_maintenance_by_an_earlier_process_stay_out() {
    let mut reducer = Reducer::new(deployment(|_| {}), 7, room(1_000_000));
    reducer.maintained(vec!["s-1".to_owned()]);
    reducer.start(START, History::default(), None);
    reducer.step(START, vec![Input::Listed(list(&[("s-1", 7, "Ready")], true))]);
    let mut relay = Relay { reducer, now: START, requests: 0, opens_late: false };
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)), []);
}

#[test]
fn standby_sends_clients_away_and_active_takes_them_again() {
    let mut relay = Relay::new();
    let health = |relay: &mut Relay| answers(&relay.step(vec![is_ready(90)]));
    assert_eq!(operate(&mut relay, Operation::Status).0, Verdict::Yes);
    let (status, _, step) = operate(&mut relay, Operation::Standby);
    assert_eq!(status, Verdict::Yes);
    assert!(step.effects.contains(&Effect::Standby(true)));
    assert_eq!(health(&mut relay), [Answer::Ready(false)]);
    // What still comes on open connections is taken on.
    assert_eq!(answers(&relay.hand_in("m1", "balance", None)), [Answer::Taken]);
    let (status, _, step) = operate(&mut relay, Operation::Active);
    assert_eq!(status, Verdict::Yes);
    assert!(step.effects.contains(&Effect::Standby(false)));
    assert_eq!(health(&mut relay), [Answer::Ready(true)]);
}

#[test]
fn the_figures_count_ends_by_class_and_calls_that_are_none_get_a_no() {
    let mut relay = Relay::new();
    let call = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    relay.called(&call, Outcome::Ok, true);
    relay.hand_in("m2", "balance", None);
    let (status, body, _) = operate(&mut relay, Operation::Metrics);
    assert_eq!(status, Verdict::Yes);
    for line in ["relay.succeeded.balance=1", "relay.forwards=2", "relay.outstanding=1", "relay.discovered=2"]
    {
        assert!(body.lines().any(|figure| figure == line), "{line} in {body}");
    }
    assert!(body.lines().all(|line| line.starts_with("relay.") && line.contains('=')), "{body}");
    relay.step(vec![Input::BadOps]);
    assert_eq!(relay.reducer.counters().bad_calls, 1);
}

fn retune(relay: &mut Relay, change: impl Fn(&mut Value)) -> Step {
    let settings = Some(Box::new(deployment(change)));
    let change = Change { discovery: None, settings, at_next_start: Vec::new() };
    relay.step(vec![Input::Configured(Ok(change))])
}

#[test]
fn a_class_added_at_sighup_is_taken_and_a_dropped_one_is_not() {
    let mut relay = Relay::new();
    let unknown = relay.hand_in("new-1", "balance_b", None);
    assert_eq!(answers(&unknown), [Answer::Unknown("the class is not known")]);
    retune(&mut relay, |settings| {
        let mut added = settings["classes"][0].clone();
        added["name"] = json!("balance_b");
        added["effect"] = json!("single_shot");
        settings["classes"][0] = added;
    });
    assert_eq!(answers(&relay.hand_in("new-2", "balance_b", None)), [Answer::Taken]);
    // The class that was dropped takes nothing new.
    let old = answers(&relay.hand_in("old-1", "balance", None));
    assert_eq!(old, [Answer::Unknown("the class is not known")]);
    let (_, body, _) = operate(&mut relay, Operation::Metrics);
    assert!(body.lines().any(|line| line == "relay.succeeded.balance_b=0"), "{body}");
}

#[test]
fn a_message_open_at_sighup_keeps_the_rules_of_its_class() {
    let mut relay = Relay::new();
    // Free: it may go again after a call that may have run.
    let call = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    retune(&mut relay, |settings| settings["classes"][0]["effect"] = json!("single_shot"));
    let step = relay.called(&call, Outcome::Timeout, false);
    let again = calls(&step).len() + calls(&relay.pass(3 * SECOND)).len();
    assert_eq!(again, 1, "the open message is tried again, as its class allowed when it came");
    // A new one of that name is single-shot: after a call that may have run it is failed, not sent again.
    let call = calls(&relay.hand_in("m2", "balance", None)).remove(0);
    let step = relay.called(&call, Outcome::Timeout, false);
    let mut after = calls(&step);
    after.extend(calls(&relay.pass(3 * SECOND)));
    assert!(after.iter().all(|call| call.id != MessageId(2)), "{after:?}");
}

#[test]
fn a_wait_told_to_the_process_before_holds_in_the_next() {
    let host = |name: &str| HostId(number(name));
    let route = LearntRoute {
        destination: 7,
        apart: false,
        hosts: vec![host("s-1")],
        rate: None,
        answer_time: 100_000.0,
        deviation: 10_000.0,
        wait_until: START + 3 * SECOND,
    };
    let begin = |wait_until| {
        let mut reducer = Reducer::new(deployment(|_| {}), 7, room(1_000_000));
        let routes = vec![LearntRoute { wait_until, ..route.clone() }];
        reducer.recall(Some(Learnt { at: START - SECOND, routes, out: Vec::new() }));
        reducer.start(START, History::default(), None);
        let mut relay = Relay { reducer, now: START, requests: 0, opens_late: false };
        relay.step(vec![Input::Listed(list(&[("s-1", 7, "Ready")], true))]);
        relay
    };
    let mut relay = begin(START + 3 * SECOND);
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)), []);
    // Danger: of two upgrades in a wait, the second forgets it, as the process between them made no call there.
    let waits: Vec<_> = relay.reducer.learnt().routes.iter().map(|route| route.wait_until).collect();
    assert_eq!(waits, [START + 3 * SECOND]);
    assert_eq!(calls(&relay.pass(2 * SECOND)), [], "not before the wait is over");
    assert_eq!(calls(&relay.pass(3 * SECOND)).len(), 1);
    let mut relay = begin(0);
    assert_eq!(calls(&relay.hand_in("m1", "balance", None)).len(), 1);
}

// ---- What is learnt while a connection opens

/// A message whose connection is being opened, and that connection.
fn being_opened(relay: &mut Relay, id: &str, class: &str) -> ConnectionId {
    relay.opens_late = true;
    let step = relay.hand_in(id, class, None);
    assert_eq!(calls(&step), [], "nothing is written before it is open");
    assert!(!step.records.iter().any(|record| matches!(record, Record::Started { .. })));
    opening(&step).remove(0)
}

/// What was learnt meanwhile keeps the call back, and the connection stays for the next one.
fn is_withheld(relay: &mut Relay, connection: ConnectionId) -> Step {
    let step = relay.step(vec![Input::Opened(connection)]);
    assert_eq!((calls(&step), relay.reducer.counters().withheld), (vec![], 1));
    assert!(!step.effects.iter().any(|effect| matches!(effect, Effect::Close(_))), "{step:?}");
    step
}

#[test]
fn a_drain_told_while_a_connection_opens_is_kept() {
    let mut relay = Relay::new();
    let connection = being_opened(&mut relay, "m1", "transfer");
    relay.step(vec![Input::Listed(list(&[("s-1", 7, "Terminating"), ("s-3", 7, "Ready")], false))]);
    let step = is_withheld(&mut relay, connection);
    let next = opening(&step);
    assert_eq!(next.len(), 1, "it goes to the other host: {step:?}");
    let call = calls(&relay.step(vec![Input::Opened(next[0])])).remove(0);
    assert_eq!((call.id, call.attempt, call.host), (MessageId(1), 0, HostId(number("s-3"))));
}

#[test]
fn a_wait_told_while_a_connection_opens_is_heeded_and_the_connection_used_after_it() {
    let mut relay = Relay::new();
    let first = calls(&relay.hand_in("m1", "balance", None)).remove(0);
    let connection = being_opened(&mut relay, "m2", "transfer");
    relay.called(&first, Outcome::Rejected { wait: SECOND }, false);
    is_withheld(&mut relay, connection);
    assert_eq!(calls(&relay.pass(SECOND - 10_000)), []);
    let step = relay.pass(2 * SECOND);
    assert!(!calls(&step).is_empty() && opening(&step).is_empty(), "{step:?}");
}

#[test]
fn a_window_that_ends_while_a_connection_opens_is_kept() {
    let ran = Some(START - 29 * SECOND);
    let past = Past { attempts: 1, ran, ..Past::default() };
    let messages = vec![restored(3, "posting", past, false)];
    let history = History { messages, next: 4, dropped: 0 };
    let mut reducer = Reducer::new(deployment(|_| {}), 7, room(1_000_000));
    reducer.start(START, history, None);
    let step = reducer.step(START, vec![Input::Listed(list(&[("s-1", 7, "Ready")], true))]);
    let connection = opening(&step)[0];
    let mut relay = Relay { reducer, now: START + SECOND, requests: 0, opens_late: true };
    let step = is_withheld(&mut relay, connection);
    assert_eq!(notices(&step), [("m3".to_owned(), End::Failed)], "its window is over for good");
}

#[test]
fn the_time_out_of_a_repeat_ends_with_its_window() {
    let past = Past { attempts: 1, ran: Some(START - 29 * SECOND), ..Past::default() };
    let history = History { messages: vec![restored(3, "posting", past, false)], next: 4, dropped: 0 };
    let step = Relay::with(1_000_000, history, |_| {}).1;
    assert_eq!(calls(&step)[0].timeout, SECOND);
}

#[test]
fn a_deadline_that_passes_while_a_connection_opens_is_the_end() {
    let mut relay = Relay::new();
    let connection = being_opened(&mut relay, "m1", "transfer");
    let told = notices(&relay.pass(30 * SECOND));
    assert!(matches!(&told[..], [(id, _)] if id == "m1"), "{told:?}");
    is_withheld(&mut relay, connection);
}

#[test]
fn maintenance_called_while_a_connection_opens_is_kept() {
    let mut relay = Relay::new();
    let connection = being_opened(&mut relay, "m1", "transfer");
    assert_eq!(operate(&mut relay, enter("s-1")).0, Verdict::Yes);
    is_withheld(&mut relay, connection);
    let (_, _, step) = operate(&mut relay, Operation::Exit("s-1".to_owned()));
    assert_eq!(calls(&step)[0].id, MessageId(1), "on the connection that is open");
}

#[test]
fn a_stop_that_comes_while_a_connection_opens_leaves_the_message_to_the_next_process() {
    let mut relay = Relay::new();
    let connection = being_opened(&mut relay, "m1", "transfer");
    let by = relay.now + SECOND / 2;
    relay.step(vec![Input::Stop { by }]);
    is_withheld(&mut relay, connection);
    let (_, records) = relay.reducer.records();
    assert!(matches!(records[..], [Record::Taken { past: Past { attempts: 0, ran: None, .. }, .. }]));
}

#[test]
fn a_call_of_which_part_is_not_written_yet_is_called_off_when_a_wait_is_told() {
    let abandoned = |stalled| {
        let mut relay = Relay::new();
        let [first, second] = ["m1", "m2"].map(|id| calls(&relay.hand_in(id, "balance", None)).remove(0));
        relay.step(vec![Input::Stalled { connection: second.connection, stalled: true }]);
        relay.step(vec![Input::Stalled { connection: second.connection, stalled }]);
        let step = relay.called(&first, Outcome::Rejected { wait: SECOND }, false);
        step.effects.contains(&Effect::Abandon(second.connection))
    };
    assert!(abandoned(true) && !abandoned(false));
}

#[test]
fn an_idle_connection_that_closed_is_replaced_before_anything_is_written() {
    let mut relay = Relay::new();
    let first = calls(&relay.hand_in("m1", "transfer", None)).remove(0);
    relay.called(&first, Outcome::Ok, true);
    let second = calls(&relay.hand_in("m2", "transfer", None)).remove(0);
    assert_eq!(second.connection, first.connection);
    relay.opens_late = true;
    let step = relay.step(vec![Input::Closed(second.connection)]);
    assert!(matches!(step.records[..], [Record::Over { number: 2, how: Over::Unseen }]));
    let third = calls(&relay.step(vec![Input::Opened(opening(&step)[0])])).remove(0);
    assert_eq!((third.id, third.attempt), (second.id, second.attempt));
    assert_eq!(relay.reducer.counters().sent, 2);
}

// Danger: the second look that follows from the opening is taken at the connection opened in its place, which is not
// open: the call is written to nothing.
#[test]
fn a_connection_that_opened_and_closed_in_one_step_is_replaced_before_anything_is_written() {
    let mut relay = Relay::new();
    let connection = being_opened(&mut relay, "m1", "transfer");
    let step = relay.step(vec![Input::Opened(connection), Input::Closed(connection)]);
    assert_eq!((calls(&step), step.records.len()), (vec![], 0));
    let call = calls(&relay.step(vec![Input::Opened(opening(&step)[0])])).remove(0);
    assert_eq!((call.id, call.attempt), (MessageId(1), 0));
    assert_eq!(relay.reducer.counters().sent, 1);
}
