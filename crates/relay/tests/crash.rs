//! Reducer and journal under any sequence of messages, outcomes and deaths: a relay that is killed at any point
//! between its records and its effects loses nothing, sends nothing twice that must not be, and keeps the order
//! of keys. No host is modelled: outcomes are drawn.

mod common;

use std::collections::BTreeMap;
use std::path::Path;

use bytes::Bytes;
use common::settings;
use pewterseam::interface::{Micros, Outcome};
use pewterseam_node::call::{Call, Reply};
use pewterseam_node::client::{Answer, Offer, RequestId};
use pewterseam_node::io::{Effect, Input, Step};
use pewterseam_node::list::List;
use pewterseam_node::notice::Notice;
use pewterseam_node::pool::ConnectionId;
use pewterseam_node::reducer::{Reducer, Room};
use pewterseam_relay::journal::Journal;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;

const START: Micros = 1_700_000_000_000_000;
const MILLI: Micros = 1_000;
/// For which repeats of the guarded class are dropped.
const WINDOW: Micros = 4_000_000;
const CLASSES: [&str; 3] = ["balance", "posting", "transfer"];

/// What the world outside knows of a message.
#[derive(Debug, Default)]
struct Known {
    class: usize,
    key: Option<u8>,
    taken: bool,
    /// When the first call that may have run was sent.
    ran: Option<Micros>,
    delivered: bool,
    /// The notice of it went out; and it was answered.
    noticed: bool,
    told: bool,
}

impl Known {
    fn over(&self) -> bool {
        self.delivered || self.told
    }
}

struct World<'a> {
    folder: &'a Path,
    relay: Option<(Reducer, Journal)>,
    now: Micros,
    /// By client id, whose order is that of the hand-ins.
    known: BTreeMap<String, Known>,
    /// With the time at which each was sent.
    calls: Vec<(Call, Micros)>,
    /// Connections that were asked for and are not open yet.
    opening: Vec<ConnectionId>,
    notices: Vec<Notice>,
    asked: BTreeMap<RequestId, String>,
    lives: u64,
}

fn list() -> List {
    let target = |uid: &str, destination: u32| {
        json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": "a", "model": "partner", "pod_group": destination,
            "state": "Ready", "capacity_hint": 20.0})
    };
    let targets = [target("s-1", 0), target("s-2", 0), target("s-3", 1)];
    serde_json::from_value(json!({"rev": 1, "all": true, "targets": targets})).expect("a list")
}

impl World<'_> {
    /// Starts a relay on what the folder holds. It may be killed in its first steps too.
    fn start(&mut self, cut: usize) {
        let mut settings = settings();
        settings["classes"][1]["window_s"] = json!(WINDOW as f64 / 1e6);
        let mut deployment = pewterseam_settings::parse(settings.to_string().as_bytes()).expect("settings");
        deployment.settings.ends_by_notice = true;
        let (journal, history) = Journal::open(self.folder, 3_000_000).expect("opened");
        self.lives += 1;
        let mut reducer =
            Reducer::new(deployment, self.lives, Room { bytes: journal.room(), idle_connections: 3 });
        let step = reducer.start(self.now, history, None);
        self.relay = Some((reducer, journal));
        self.carry_out(step, cut);
        self.step(vec![Input::Listed(list())], cut);
    }

    /// What a dead relay had out may have run; nobody hears of it any more.
    fn kill(&mut self) {
        self.relay = None;
        for (call, at) in std::mem::take(&mut self.calls) {
            self.of(&call).ran.get_or_insert(at);
        }
        self.opening.clear();
        self.notices.clear();
        self.asked.clear();
    }

    fn of(&mut self, call: &Call) -> &mut Known {
        self.known.get_mut(&call.message).expect("handed in")
    }

    /// Has the relay take a step; it dies after `cut` effects if the step has more.
    fn step(&mut self, inputs: Vec<Input>, cut: usize) {
        if let Some((reducer, _)) = &mut self.relay {
            let step = reducer.step(self.now, inputs);
            self.carry_out(step, cut);
        }
    }

    fn carry_out(&mut self, step: Step, cut: usize) {
        let Some((reducer, journal)) = &mut self.relay else { return };
        journal.append(&step.records).expect("written");
        if journal.is_due() || self.now.is_multiple_of(40) {
            let (next, records) = reducer.records();
            journal.write_anew(next, &records).expect("written anew");
        }
        let dies = step.effects.len() > cut;
        for effect in step.effects.into_iter().take(cut) {
            self.see(effect);
        }
        if dies {
            self.kill();
        }
    }

    fn see(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { id, answer } => {
                let asked = self.asked.remove(&id).expect("answered once");
                self.known.get_mut(&asked).expect("handed in").taken = answer == Answer::Taken;
            }
            Effect::Call(call) => {
                let out = self.calls.iter().any(|(other, _)| other.id == call.id);
                let id = call.message.clone();
                let known = &self.known[&id];
                assert!(!out, "two copies of {id}");
                assert!(!known.noticed, "{id} is sent after its notice");
                let twice = match (known.class, known.ran) {
                    (1, Some(ran)) => self.now >= ran + WINDOW,
                    (2, Some(_)) => true,
                    _ => false,
                };
                assert!(!twice, "{id} may run twice {known:?} now {}", self.now);
                let earlier = self.known.range(..id.clone()).map(|(_, other)| other);
                let mut open = earlier.filter(|other| other.taken && other.key == known.key && !other.over());
                assert!(known.key.is_none() || open.next().is_none(), "{id} is out of order");
                self.calls.push((call, self.now));
            }
            Effect::Open { connection, .. } => self.opening.push(connection),
            Effect::Notify(notice) => {
                self.known.get_mut(&notice.id).expect("handed in").noticed = true;
                self.notices.push(notice);
            }
            _ => {}
        }
    }

    fn hand_in(&mut self, choice: u8) -> Input {
        let class = usize::from(choice) % CLASSES.len();
        let key = (class == 1).then_some(choice / 9 % 2);
        let id = format!("m{:05}", self.known.len());
        let request = RequestId(self.known.len() as u64);
        self.asked.insert(request, id.clone());
        self.known.insert(id.clone(), Known { class, key, ..Known::default() });
        let offer = Offer {
            id,
            class: CLASSES[class].to_owned(),
            tenant: "acme".to_owned(),
            key: key.map(|key| key.to_string()),
            destination: u32::from(choice / 3 % 3),
            lifetime: if choice > 200 { 2_000 } else { 20_000 } * MILLI,
            idempotency_key: None,
            body: Bytes::from(vec![choice; 9]),
        };
        Input::Offer { id: request, offer }
    }

    /// A connection that was asked for opens, or does not.
    fn open(&mut self, choice: u8) -> Option<Input> {
        if self.opening.is_empty() {
            return None;
        }
        let connection = self.opening.remove(usize::from(choice) % self.opening.len());
        Some(if choice % 8 == 7 { Input::NotOpened(connection) } else { Input::Opened(connection) })
    }

    fn end_call(&mut self, choice: u8, outcome: Outcome) -> Option<Input> {
        if self.calls.is_empty() {
            return None;
        }
        let (call, at) = self.calls.remove(usize::from(choice) % self.calls.len());
        let known = self.of(&call);
        known.ran = known.ran.or(Some(at).filter(|_| outcome.may_have_run()));
        known.delivered |= outcome == Outcome::Ok;
        let reply = Reply {
            outcome,
            closed: outcome == Outcome::Ok,
            took: 100 * MILLI,
            report: None,
            kept: outcome != Outcome::Reset,
        };
        Some(Input::Called { connection: call.connection, reply })
    }

    fn tell(&mut self) -> Input {
        let notices = std::mem::take(&mut self.notices);
        for notice in &notices {
            self.known.get_mut(&notice.id).expect("handed in").told = true;
        }
        Input::Told { numbers: notices.iter().map(|notice| notice.number).collect(), read: true }
    }

    /// Whatever is due by a time-out ends so.
    fn pass(&mut self, span: Micros, cut: usize) {
        let end = self.now + span;
        while self.now < end && self.relay.is_some() {
            self.now = (self.now + 10 * MILLI).min(end);
            self.step(Vec::new(), cut);
        }
        // Clocks are not round.
        self.now = end + 1;
    }
}

fn outcome(choice: u8) -> Outcome {
    match choice % 12 {
        0..=5 => Outcome::Ok,
        6 => Outcome::Error,
        7 => Outcome::Rejected { wait: 0 },
        8 => Outcome::Rejected { wait: u64::from(choice) * MILLI },
        9 => Outcome::Reset,
        10 => Outcome::ConnectFailed,
        _ => Outcome::Timeout,
    }
}

fn play(draws: &[(u8, u8, u8)]) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut world = World {
        folder: folder.path(),
        relay: None,
        now: START,
        known: BTreeMap::new(),
        calls: Vec::new(),
        opening: Vec::new(),
        notices: Vec::new(),
        asked: BTreeMap::new(),
        lives: 0,
    };
    world.start(usize::MAX);
    for (kind, choice, pause) in draws {
        // Every few steps the relay dies, before any of its effects or after some.
        let cut = if pause % 8 == 0 { usize::from(*choice) % 4 } else { usize::MAX };
        match kind % 8 {
            0..=2 => {
                let inputs =
                    (0..=kind / 64).map(|part| world.hand_in(choice.wrapping_add(part * 5))).collect();
                world.step(inputs, cut);
            }
            3..=5 => {
                let ended = world.end_call(*choice, outcome(*choice));
                world.step(ended.into_iter().collect(), cut);
            }
            6 if choice % 4 == 0 => {
                let told = world.tell();
                world.step(vec![told], cut);
            }
            _ => {}
        }
        // Most connections open at once, the others with a later step.
        while choice % 16 != 0
            && let Some(opened) = world.open(*choice)
        {
            world.step(vec![opened], cut);
        }
        world.pass(u64::from(*pause) * MILLI, usize::MAX);
        if world.relay.is_none() {
            world.now += u64::from(*choice) * 10 * MILLI;
            world.start(if choice % 16 == 0 { 1 } else { usize::MAX });
        }
    }
    // In the end all calls are served and all notices are answered.
    for _ in 0..40 {
        if world.relay.is_none() {
            world.start(usize::MAX);
        }
        while let Some(input) = world.open(0).or_else(|| world.end_call(0, Outcome::Ok)) {
            world.step(vec![input], usize::MAX);
        }
        let told = world.tell();
        world.step(vec![told], usize::MAX);
        world.pass(1_000 * MILLI, usize::MAX);
    }
    let lost = world.known.iter().find(|(_, known)| known.taken && !known.over());
    assert!(lost.is_none(), "lost: {lost:?}");
    let (reducer, _) = world.relay.as_ref().expect("alive");
    assert_eq!(reducer.held(), 0);
    assert_eq!(reducer.counters().invariants_broken, 0);
}

#[test]
fn a_relay_killed_at_any_point_keeps_its_promises() {
    let config = Config { cases: 200, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let draws = prop::collection::vec(any::<(u8, u8, u8)>(), 1..80);
    let played = TestRunner::new_with_rng(config, rng).run(&draws, |draws| {
        play(&draws);
        Ok(())
    });
    played.unwrap_or_else(|error| panic!("{error}"));
}
