//! Seeded event sequences, legal but unusual, with the six rules checked on the module's actions.
//! Destinations are not modelled: outcomes are random, whatever was sent.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use pewterseam::Brain;
use pewterseam::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What the test knows of a message, recorded apart from the module's own state.
struct TrackedMessage {
    request: Request,
    attempts: u32,
    /// Host of the attempt in flight, when it was sent, and when it times out.
    in_flight: Option<(HostId, Micros, Micros)>,
    ran: Option<PossibleRun>,
    answered: bool,
    /// Its final result is decided, but the client has not received it.
    unreported: bool,
}

/// Checks the rules for each action.
struct RuleChecker {
    settings: Settings,
    known: BTreeMap<MessageId, TrackedMessage>,
    /// Messages of each key in the order of acceptance, and when the key's pause ends.
    keys: BTreeMap<u64, (Vec<MessageId>, Micros)>,
    /// The destination of each host, and since when it drains.
    hosts: BTreeMap<HostId, (DestinationId, Option<Micros>)>,
    /// Keyed by host where each host has a limit of its own.
    waits: BTreeMap<(DestinationId, Option<HostId>), Micros>,
}

impl RuleChecker {
    fn in_flight(&self) -> impl Iterator<Item = (MessageId, &TrackedMessage)> {
        self.known.iter().filter(|(_, known)| known.in_flight.is_some()).map(|(id, known)| (*id, known))
    }

    fn check(&mut self, now: Micros, action: &Action) {
        match *action {
            Action::Send { id, host, timeout, .. } => self.check_send(now, id, host, timeout),
            Action::Refuse { id, .. } => {
                let known = &self.known[&id];
                let harmless = match self.settings.classes[known.request.class].effect {
                    Effect::SingleShot => known.ran.is_none() && known.in_flight.is_none(),
                    _ => true,
                };
                assert!(harmless, "refused {id:?}, which may have run");
                self.check_answer(now, id);
            }
            Action::Fail(id) => self.check_answer(now, id),
            Action::Cancel { id, attempt } => assert!(attempt < self.known[&id].attempts, "{id:?}"),
            _ => {}
        }
    }

    fn check_answer(&mut self, now: Micros, id: MessageId) {
        let known = self.known.get_mut(&id).expect("unknown message");
        assert!(!known.answered, "{id:?} was answered twice");
        assert!(now <= known.request.deadline + 20 * MILLI, "{id:?} was answered late");
        known.answered = true;
        known.unreported = self.settings.ends_by_notice;
    }

    /// The messages that a restarted sender receives: all that are open or unreported, in the order of
    /// acceptance.
    fn restart(&mut self, now: Micros) -> Vec<Event> {
        self.waits.clear();
        self.hosts.values_mut().for_each(|(_, draining_since)| *draining_since = None);
        if !self.settings.ends_by_notice {
            self.known.clear();
            self.keys.clear();
            return Vec::new();
        }
        let mut events = Vec::new();
        for known in self.known.values_mut() {
            let cut = known.in_flight.take();
            known.ran = known.ran.or(cut.map(|(host, at, _)| PossibleRun { at, zone: Some(zone(host)) }));
            if let (Some((_, paused_until)), Some(_)) =
                (known.request.key.and_then(|key| self.keys.get_mut(&key)), cut)
            {
                *paused_until = now + self.settings.order_cooldown;
            }
            if !known.answered || known.unreported {
                let (attempts, ran) = (known.attempts, known.ran);
                let failed_at = (known.attempts > 1).then_some(0);
                let (cut_at, over) = (cut.map(|_| now), known.answered);
                let history = History {
                    restored: true,
                    attempts,
                    possible_run: ran,
                    failed_at,
                    interrupted_at: cut_at,
                    given_up: over,
                };
                events.push(Event::Message(Request { history, ..known.request }));
            }
        }
        events
    }

    fn check_send(&mut self, now: Micros, id: MessageId, host: HostId, timeout: Micros) {
        // Messages of one call share a slot.
        let slots = self.settings.slots * self.settings.kinds[0].max_bundle;
        let in_flight = self.in_flight().count();
        let known = self.known.get_mut(&id).expect("unknown message");
        let class = &self.settings.classes[known.request.class];
        let (destination, draining_since) = self.hosts[&host];
        let route = route(&self.settings, destination, host);
        assert!(!known.answered, "sent {id:?} after its final answer");
        assert!(known.in_flight.is_none(), "two attempts of {id:?} in flight");
        assert!(in_flight < slots, "more calls than slots");
        assert_eq!(destination, known.request.destination, "sent to a host of another destination");
        assert!(
            draining_since.is_none_or(|draining_since| now <= draining_since + self.settings.drain_grace),
            "sent to a host that drains"
        );
        assert!(known.attempts < self.settings.max_attempts, "too many attempts");
        assert!(self.waits.get(&route).is_none_or(|until| now >= *until), "sent before the end of a wait");
        match (class.effect, known.ran) {
            (Effect::SingleShot, Some(_)) => panic!("{id:?} may run twice"),
            (Effect::Guarded { window, group }, Some(ran)) => {
                assert!(now < ran.at + window, "sent {id:?} after its window");
                let inside = group == Group::All || ran.zone == Some(zone(host));
                assert!(inside, "sent {id:?} outside its zone");
            }
            _ => {}
        }
        let key = known.request.key.filter(|_| class.in_order);
        known.attempts += 1;
        known.in_flight = Some((host, now, now + timeout));
        if let Some((queue, paused_until)) = key.and_then(|key| self.keys.get(&key)) {
            assert!(now >= *paused_until, "sent while its key was paused");
            let earlier = queue.iter().take_while(|other| **other != id).map(|other| &self.known[other]);
            let over =
                |known: &TrackedMessage| known.answered && known.in_flight.is_none() && !known.unreported;
            assert!(earlier.into_iter().all(over), "sent out of order");
        }
    }

    fn end_attempt(&mut self, now: Micros, id: MessageId, outcome: Outcome) -> Ended {
        let known = self.known.get_mut(&id).expect("no attempt in flight");
        let (host, sent_at, _) = known.in_flight.take().expect("no attempt in flight");
        if outcome.may_have_run() {
            known.ran.get_or_insert(PossibleRun { at: sent_at, zone: Some(zone(host)) });
        }
        if let (Some((_, paused_until)), true) =
            (known.request.key.and_then(|key| self.keys.get_mut(&key)), outcome.may_still_run())
        {
            *paused_until = now + self.settings.order_cooldown;
        }
        if let Outcome::Rejected { wait } = outcome {
            let until = self.waits.entry(route(&self.settings, known.request.destination, host)).or_default();
            *until = (*until).max(now + wait);
        }
        known.answered |= outcome == Outcome::Ok;
        let closed = known.answered;
        Ended {
            id,
            attempt: known.attempts - 1,
            outcome,
            took: now - sent_at,
            closed,
            limit: None,
            connection: None,
        }
    }
}

/// The zone of a host in these tests.
fn zone(host: HostId) -> u16 {
    (host.0 % 2) as u16
}

/// The route that a wait applies to.
fn route(settings: &Settings, destination: DestinationId, host: HostId) -> (DestinationId, Option<HostId>) {
    (destination, settings.kinds[0].limit_per_host.then_some(host))
}

fn outcome(draw: u8, outcome_shift: u8) -> Outcome {
    match draw.wrapping_add(outcome_shift.wrapping_mul(37)) % 12 {
        0..=5 => Outcome::Ok,
        6 => Outcome::Error,
        7 => Outcome::Rejected { wait: 0 },
        8 => Outcome::Rejected { wait: u64::from(draw) * 20 * MILLI },
        9 => Outcome::Reset,
        10 => Outcome::ConnectFailed,
        _ => Outcome::Cancelled,
    }
}

/// Plays one sequence of random draws; each has a kind of event, a choice within it and the time that passes.
fn run_sequence(settings: Settings, draws: &[(u8, u8, u8)]) {
    let mut now = START;
    let hosts = [(1, 1), (2, 1), (3, 2), (4, 3), (5, 3)]
        .map(|(host, place)| ListedHost { zone: zone(HostId(host)), ..listed(host, place, 6.0) });
    let mut brain = Brain::new(settings.clone(), 11);
    let mut checker = RuleChecker {
        settings: settings.clone(),
        known: BTreeMap::new(),
        keys: BTreeMap::new(),
        hosts: hosts.iter().map(|entry| (entry.host, (entry.destination, None))).collect(),
        waits: BTreeMap::new(),
    };
    let mut next = 0;
    let mut outcome_shift = 0;
    let mut events = vec![Event::Registry(RegistryUpdate::FullList(hosts.to_vec()))];
    for (kind, choice, pause) in draws {
        match kind % 16 {
            0..=6 => {
                for _ in 0..=choice % 4 {
                    next += 1;
                    let class = usize::from(kind % 3);
                    let deadline = now + settings.classes[class].deadline;
                    let key = settings.classes[class].in_order.then_some(u64::from(choice % 3) + 1);
                    let destination = DestinationId::from(choice % 3) + 1;
                    let id = MessageId(next);
                    let history = History::default();
                    let request = Request { id, class, destination, tenant: 0, key, deadline, history };
                    if let Some(key) = key {
                        checker.keys.entry(key).or_default().0.push(id);
                    }
                    let known = TrackedMessage {
                        request,
                        attempts: 0,
                        in_flight: None,
                        ran: None,
                        answered: false,
                        unreported: false,
                    };
                    checker.known.insert(id, known);
                    events.push(Event::Message(request));
                }
            }
            7..=11 => {
                let out: Vec<_> = checker.in_flight().map(|(id, _)| id).collect();
                if !out.is_empty() {
                    let id = out[usize::from(*choice) % out.len()];
                    let ended = checker.end_attempt(now, id, outcome(*choice, outcome_shift));
                    events.push(Event::Ended(ended));
                }
            }
            12 => outcome_shift = *choice,
            13 => {
                let host = HostId(u64::from(choice % 5) + 1);
                let lifecycle = if choice & 64 == 0 { Lifecycle::Draining } else { Lifecycle::Ready };
                let (destination, draining_since) = checker.hosts[&host];
                let draining_since = (lifecycle != Lifecycle::Ready).then(|| draining_since.unwrap_or(now));
                checker.hosts.insert(host, (destination, draining_since));
                let entry = ListedHost { lifecycle, zone: zone(host), ..listed(host.0, destination, 6.0) };
                events.push(Event::Registry(RegistryUpdate::Changes(vec![entry])));
            }
            14 => {
                let mut bytes = vec![1, choice % 2, 0, choice % 4, choice % 3, 1, 0, *pause, 3, 0, *choice];
                bytes.truncate(usize::from(*pause) % 13);
                events.push(Event::Peer { from: u16::from(choice % 3), bytes });
            }
            _ if *choice < 32 => {
                // A restart: the messages held are lost, or restored from a journal.
                brain = Brain::new(settings.clone(), 12);
                events = vec![Event::Registry(RegistryUpdate::FullList(hosts.to_vec()))];
                events.extend(checker.restart(now));
            }
            _ if choice % 2 == 0 => {
                for (id, known) in checker.known.iter_mut().filter(|(_, known)| known.unreported) {
                    known.unreported = false;
                    events.push(Event::Withdrawn(*id));
                }
            }
            _ => {
                let open: Vec<_> =
                    checker.known.iter().filter(|(_, k)| !k.answered).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[usize::from(*choice) % open.len()];
                    checker.known.get_mut(&id).expect("just listed").answered = true;
                    events.push(Event::Withdrawn(id));
                }
            }
        }
        let until = now + u64::from(*pause) * 3 * MILLI;
        loop {
            let actions = brain.step(now, std::mem::take(&mut events));
            actions.iter().for_each(|action| checker.check(now, action));
            if now >= until {
                break;
            }
            now += 10 * MILLI;
            events.push(Event::Timer);
            let due: BTreeSet<_> = checker
                .in_flight()
                .filter(|(_, k)| k.in_flight.is_some_and(|(_, _, at)| at <= now))
                .map(|(id, _)| id)
                .collect();
            for id in due {
                let ended = checker.end_attempt(now, id, Outcome::Timeout);
                events.push(Event::Ended(ended));
            }
        }
        let late = |known: &TrackedMessage| !known.answered && now > known.request.deadline + 20 * MILLI;
        assert!(!checker.known.values().any(late), "a message was not answered");
    }
}

#[test]
fn the_rules_hold_for_random_event_sequences() {
    let variants = [
        settings(),
        Settings { may_message_peers: false, weight_meaning: WeightMeaning::Ignored, ..settings() },
        Settings {
            max_held: 12,
            slots: 2,
            max_attempts: 3,
            weight_meaning: WeightMeaning::ApproximateRate,
            ..settings()
        },
        Settings { ends_by_notice: true, ..settings() },
        Settings { ends_by_notice: true, order_cooldown: 0, slots: 3, max_attempts: 4, ..settings() },
        Settings {
            kinds: vec![Kind { limit_per_host: false, max_bundle: 3 }],
            order_cooldown: 0,
            ..settings()
        },
        Settings {
            kinds: vec![Kind { limit_per_host: true, max_bundle: 3 }],
            ends_by_notice: true,
            ..zoned()
        },
        Settings { drain_grace: 250 * MILLI, value_decay: ValueDecay::Halving, senders: 200, ..zoned() },
    ];
    let config = Config { cases: 24, failure_persistence: None, ..Config::default() };
    for settings in variants {
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config.clone(), rng);
        let draws = proptest::collection::vec(any::<(u8, u8, u8)>(), 1..120);
        let played = runner.run(&draws, |draws| {
            run_sequence(settings.clone(), &draws);
            Ok(())
        });
        played.unwrap_or_else(|error| panic!("{error}"));
    }
}

// A call in flight may have run within its window: if the message was refused and submitted again, it would
// run twice.
#[test]
fn a_guarded_message_whose_call_outlives_its_window_is_failed_not_refused() {
    let mut sender = Sender::new(settings(), &[listed(1, 1, 400.0)]);
    let (id, actions) = sender.submit(GUARDED, 1);
    let mut actions = sender.outcome(&sends(&actions)[0], Outcome::Rejected { wait: 0 });
    actions.extend(sender.advance(3 * SECOND));
    assert_eq!(sends(&actions).len(), 1, "the second attempt is in flight");
    let ends = sender.advance(12 * SECOND);
    assert_eq!((failed(&ends), refused(&ends)), (vec![id], vec![]));
}
