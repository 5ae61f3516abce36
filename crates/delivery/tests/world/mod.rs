//! Relays with the real delivery state machine, and simulated hosts, on one simulated clock.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::{
    Answer, AttemptEnd, AttemptId, AttemptResult, BreakCause, Delivery, DeliverySettings, Effect, HostKey,
    Input, Instance, Outcome, ServiceConfig, Submission, Target,
};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Network delay from a relay to a host, and between relays.
const NETWORK_DELAY: Micros = MILLISECOND;
const OPENING_TIME: Micros = 2 * MILLISECOND;

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Serve {
        took: Micros,
    },
    /// 500 for keys that are divisible by this, success for others.
    FailMultiplesOf(u64),
    /// 429 with `X-Not-Executed` beyond this number per second.
    Limited {
        per_s: usize,
    },
    /// Processes `slots` messages at a time, queues half as many more, and rejects others.
    Slots {
        took: Micros,
        slots: usize,
    },
    Hang,
    /// 503 with `X-Not-Executed`.
    Full,
    /// 409 with `X-Not-Executed` before this time, success after.
    RunsElsewhereUntil(Micros),
    Break,
    /// Connections are refused.
    Down,
    /// 422.
    Refuse,
}

pub struct SimulatedHost {
    /// End times of accepted work. With `Limited`, the times at which messages were accepted.
    pub work: Vec<Micros>,
    pub instance: Option<Arc<str>>,
    pub behaviour: Behaviour,
}

/// A request that a host received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Micros,
    pub relay: usize,
    pub key: u64,
    pub service: Arc<str>,
    pub address: SocketAddr,
    /// The request was rejected because it was meant for another instance.
    pub is_wrong_instance: bool,
}

enum ScheduledEvent {
    Input(usize, Input),
    Connected(usize, AttemptId),
    Arrive(usize, AttemptId),
    Ended(usize, AttemptId, AttemptEnd),
    Wake(usize),
}

struct Call {
    key: u64,
    service: Arc<str>,
    target: Target,
    timeout: Micros,
    connect_timeout: Micros,
    started_at: Micros,
    is_new: bool,
}

pub struct Relay {
    pub name: NodeName,
    pub machine: Delivery,
    calls: HashMap<AttemptId, Call>,
    idle: HashMap<SocketAddr, usize>,
    wake_at: Micros,
    /// Maximum number of attempts in flight to one host. `max_in_flight` is the maximum to all hosts.
    pub max_to_one_host: usize,
    pub max_in_flight: usize,
    pub finished: BTreeMap<u64, (Micros, Outcome)>,
    /// Attempts whose answer had no effect.
    pub dropped: Vec<AttemptId>,
}

pub struct World {
    pub now: Micros,
    pub relays: Vec<Relay>,
    pub hosts: HashMap<SocketAddr, SimulatedHost>,
    pub arrivals: Vec<Arrival>,
    pub probes: Vec<(Micros, SocketAddr)>,
    pub withheld: usize,
    /// At hosts with slots: how long messages waited for a slot. `refused` counts rejected messages.
    pub start_delays: Vec<Micros>,
    pub refused: usize,
    pub aborts: usize,
    /// Time to open a new connection.
    pub opening: Micros,
    scheduled: BTreeMap<(Micros, u64), ScheduledEvent>,
    last: u64,
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub fn service(name: &str) -> ServiceConfig {
    ServiceConfig {
        name: Arc::from(name),
        rate_per_s: 0.0,
        max_connections: 0,
        static_address: None,
        idempotent: true,
        health_path: Arc::from("/health"),
    }
}

pub fn instance(id: &str, service: &str, port: u16, slots: u32) -> Instance {
    Instance {
        id: Arc::from(id),
        service: Arc::from(service),
        address: address(port),
        zone: Arc::from("a"),
        slots,
        ready: true,
        cold_remaining_ms: 0,
    }
}

pub fn submission(key: u64, service: &str, due_at: Micros) -> Submission {
    Submission {
        key,
        service: Arc::from(service),
        priority: 1,
        timeout: 600 * MILLISECOND,
        due_at,
        schedule_target: 600 * MILLISECOND,
        failures: 0,
    }
}

fn settings(name: &NodeName, number: u64, slots: usize) -> DeliverySettings {
    DeliverySettings {
        me: name.clone(),
        life: 1,
        seed: number.wrapping_mul(0x9e37_79b9) + 17,
        slots,
        connect_timeout: SECOND,
        idle_close: 4 * SECOND,
        origin_window: 5 * SECOND,
        origin_overshoot: 1.1,
        bootstrap: true,
        core_lease: 2 * SECOND,
        homes_are_agreed: false,
    }
}

impl World {
    pub fn new(count: usize, slots: usize) -> Self {
        let names: Vec<_> = (0..count).map(|number| NodeName::new(&format!("relay-{number}"))).collect();
        let relay = |(number, name): (usize, &NodeName)| Relay {
            name: name.clone(),
            machine: Delivery::new(settings(name, number as u64, slots)),
            calls: HashMap::new(),
            idle: HashMap::new(),
            wake_at: 0,
            max_to_one_host: 0,
            max_in_flight: 0,
            finished: BTreeMap::new(),
            dropped: Vec::new(),
        };
        let mut world = World {
            now: SECOND,
            relays: names.iter().enumerate().map(relay).collect(),
            hosts: HashMap::new(),
            arrivals: Vec::new(),
            probes: Vec::new(),
            withheld: 0,
            start_delays: Vec::new(),
            refused: 0,
            aborts: 0,
            opening: OPENING_TIME,
            scheduled: BTreeMap::new(),
            last: 0,
        };
        world.send_to_all(&Input::CoreLease { until: Micros::MAX });
        world.send_to_all(&Input::Relays(names));
        world
    }

    /// Adds or replaces the host of a list entry.
    pub fn host(&mut self, listed: &Instance, behaviour: Behaviour) {
        let instance = Some(listed.id.clone());
        self.hosts.insert(listed.address, SimulatedHost { work: Vec::new(), instance, behaviour });
    }

    /// Removes and returns the failed messages of a relay, so that they can be submitted again.
    pub fn take_failed(&mut self, relay: usize) -> Vec<u64> {
        let finished = &mut self.relays[relay].finished;
        finished.extract_if(.., |_, (_, outcome)| *outcome == Outcome::Failed).map(|(key, _)| key).collect()
    }

    pub fn static_host(&mut self, port: u16, behaviour: Behaviour) {
        self.hosts.insert(address(port), SimulatedHost { work: Vec::new(), instance: None, behaviour });
    }

    pub fn send_to_all(&mut self, input: &Input) {
        for relay in 0..self.relays.len() {
            self.send_input(relay, input.clone());
        }
    }

    pub fn send_input(&mut self, relay: usize, input: Input) {
        self.send_inputs(relay, vec![input]);
    }

    pub fn send_inputs(&mut self, relay: usize, inputs: Vec<Input>) {
        let effects = self.relays[relay].machine.step(self.now, inputs);
        effects.into_iter().for_each(|effect| self.apply_effect(relay, effect));
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.last += 1;
        self.scheduled.insert((at, self.last), event);
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Input(relay, input) => self.send_input(relay, input),
            ScheduledEvent::Connected(relay, attempt) => {
                if self.relays[relay].calls.contains_key(&attempt) {
                    self.send_input(relay, Input::Opened { attempt });
                }
            }
            ScheduledEvent::Arrive(relay, attempt) => self.arrive(relay, attempt),
            ScheduledEvent::Ended(relay, attempt, end) => {
                if let Some(call) = self.relays[relay].calls.remove(&attempt) {
                    *self.relays[relay].idle.entry(call.target.address).or_default() += usize::from(end.kept);
                    self.send_input(relay, Input::Ended { attempt, end });
                }
            }
            ScheduledEvent::Wake(relay) => {
                if self.relays[relay].wake_at <= self.now {
                    self.relays[relay].wake_at = Micros::MAX;
                    self.send_input(relay, Input::Tick);
                }
            }
        }
    }

    fn apply_effect(&mut self, relay: usize, effect: Effect) {
        match effect {
            Effect::Start { attempt, key, service, target, timeout, connect_timeout, confirm } => {
                self.start(relay, attempt, key, service, target, timeout, connect_timeout, confirm);
            }
            Effect::Write { attempt } => {
                self.schedule(self.now + NETWORK_DELAY, ScheduledEvent::Arrive(relay, attempt))
            }
            Effect::Withhold { attempt } => {
                self.withheld += 1;
                if let Some(call) = self.relays[relay].calls.remove(&attempt) {
                    *self.relays[relay].idle.entry(call.target.address).or_default() += 1;
                }
            }
            Effect::Abort { attempt } => {
                self.aborts += 1;
                self.end(relay, attempt, AttemptResult::Broken(BreakCause::Cancelled), false, self.now);
            }
            Effect::Finished { key, outcome } => {
                let before = self.relays[relay].finished.insert(key, (self.now, outcome));
                assert!(before.is_none(), "message {key} has ended twice");
            }
            Effect::Dropped { attempt, .. } => self.relays[relay].dropped.push(attempt),
            Effect::ReportHome { .. } => {}
            Effect::Probe { host, target, .. } => self.probe(relay, host, &target),
            Effect::CloseIdle { address } => {
                self.relays[relay].idle.remove(&address);
            }
            Effect::SendToRelay { to, bytes } => {
                let from = self.relays[relay].name.clone();
                if let Some(to) = self.relays.iter().position(|relay| relay.name == to) {
                    self.schedule(
                        self.now + NETWORK_DELAY,
                        ScheduledEvent::Input(to, Input::Peer { from, bytes }),
                    );
                }
            }
            Effect::Wake(at) => {
                assert!(at > self.now, "the wake-up is not in the future");
                self.relays[relay].wake_at = at;
                self.schedule(at, ScheduledEvent::Wake(relay));
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        &mut self, relay: usize, attempt: AttemptId, key: u64, service: Arc<str>, target: Target,
        timeout: Micros, connect_timeout: Micros, confirm: bool,
    ) {
        let (now, opening) = (self.now, self.opening);
        let relay_state = &mut self.relays[relay];
        assert!(
            relay_state.calls.values().all(|call| call.key != key),
            "two attempts of message {key} are in flight"
        );
        let idle = relay_state.idle.entry(target.address).or_default();
        let is_new = *idle == 0;
        *idle = idle.saturating_sub(1);
        let (to, started_at) = (target.address, now);
        relay_state
            .calls
            .insert(attempt, Call { key, service, target, timeout, connect_timeout, started_at, is_new });
        relay_state.max_in_flight = relay_state.max_in_flight.max(relay_state.calls.len());
        relay_state.max_to_one_host = relay_state
            .max_to_one_host
            .max(relay_state.calls.values().filter(|call| call.target.address == to).count());
        let behaviour = self.hosts.get(&to).map_or(Behaviour::Down, |host| host.behaviour);
        if is_new && behaviour == Behaviour::Down {
            self.end(relay, attempt, AttemptResult::ConnectFailed, false, now + NETWORK_DELAY);
        } else if is_new && opening > connect_timeout {
            self.end(relay, attempt, AttemptResult::ConnectFailed, false, now + connect_timeout);
        } else if is_new || confirm {
            let wait = if is_new { opening } else { 1 };
            self.schedule(now + wait, ScheduledEvent::Connected(relay, attempt));
        } else {
            self.schedule(now + NETWORK_DELAY, ScheduledEvent::Arrive(relay, attempt));
        }
    }

    /// Schedules the end of an attempt, which is in flight until then.
    fn end(&mut self, relay: usize, attempt: AttemptId, result: AttemptResult, kept: bool, at: Micros) {
        let Some(call) = self.relays[relay].calls.get(&attempt) else { return };
        let took = at - call.started_at;
        let idle_for = (!call.is_new).then_some(100 * MILLISECOND);
        let end = AttemptEnd { result, took, idle_for, kept };
        self.schedule(at, ScheduledEvent::Ended(relay, attempt, end));
    }

    fn arrive(&mut self, relay: usize, attempt: AttemptId) {
        let Some(call) = self.relays[relay].calls.get(&attempt) else { return };
        let (key, timeout, to) = (call.key, call.timeout, call.target.address);
        let expected_instance = call.target.instance.clone();
        let (instance, behaviour) = self
            .hosts
            .get(&to)
            .map_or((None, Behaviour::Down), |host| (host.instance.clone(), host.behaviour));
        let is_wrong_instance = expected_instance.is_some() && expected_instance != instance;
        let (at, service) = (self.now, call.service.clone());
        self.arrivals.push(Arrival { at, relay, key, service, address: to, is_wrong_instance });
        let answer = |status: u16, not_executed: bool| {
            let signature = (status == 200).then(|| Arc::from(format!("signature-{key}")));
            AttemptResult::Answered(Answer { status, not_executed, signature, retry_after: None })
        };
        let answered_at = self.now + 5 * MILLISECOND;
        let (result, ends_at) = match behaviour {
            _ if is_wrong_instance => (answer(421, true), answered_at),
            Behaviour::Limited { per_s } => {
                let host = self.hosts.get_mut(&to).expect("the host exists");
                host.work.retain(|at| *at + SECOND > self.now);
                if host.work.len() < per_s {
                    host.work.push(self.now);
                    (answer(200, false), answered_at)
                } else {
                    self.refused += 1;
                    (answer(429, true), answered_at)
                }
            }
            Behaviour::Slots { took, slots } => match self.take_slot(to, took, slots) {
                Some(ends_at) => (answer(200, false), ends_at),
                None => (answer(503, true), answered_at),
            },
            Behaviour::Serve { took } if took >= timeout => (AttemptResult::TimedOut, self.now + timeout),
            Behaviour::Serve { took } => (answer(200, false), self.now + took),
            Behaviour::FailMultiplesOf(number) if key.is_multiple_of(number) => {
                (answer(500, false), answered_at)
            }
            Behaviour::FailMultiplesOf(_) => (answer(200, false), answered_at),
            Behaviour::Hang => (AttemptResult::TimedOut, self.now + timeout),
            Behaviour::Full => (answer(503, true), answered_at),
            Behaviour::RunsElsewhereUntil(until) if self.now < until => (answer(409, true), answered_at),
            Behaviour::RunsElsewhereUntil(_) => (answer(200, false), answered_at),
            Behaviour::Break | Behaviour::Down => {
                (AttemptResult::Broken(BreakCause::ConnectionClosed), answered_at)
            }
            Behaviour::Refuse => (answer(422, false), answered_at),
        };
        let kept = matches!(result, AttemptResult::Answered(_));
        self.end(relay, attempt, result, kept, ends_at);
    }

    /// Accepts work at a host with slots, and returns its end time.
    fn take_slot(&mut self, to: SocketAddr, took: Micros, slots: usize) -> Option<Micros> {
        let (now, host) = (self.now, self.hosts.get_mut(&to)?);
        host.work.retain(|end| *end > now);
        host.work.sort_unstable();
        let starts_at = if host.work.len() < slots { now } else { host.work[host.work.len() - slots] };
        if host.work.len() >= slots + slots / 2 {
            self.refused += 1;
            return None;
        }
        host.work.push(starts_at + took);
        self.start_delays.push(starts_at - now);
        Some(starts_at + took)
    }

    fn probe(&mut self, relay: usize, host: HostKey, target: &Target) {
        self.probes.push((self.now, target.address));
        let actual_host = self.hosts.get(&target.address);
        let healthy = actual_host.is_some_and(|actual| {
            let serves = !matches!(actual.behaviour, Behaviour::Hang | Behaviour::Down | Behaviour::Break);
            serves && (target.instance.is_none() || target.instance == actual.instance)
        });
        self.schedule(
            self.now + 5 * MILLISECOND,
            ScheduledEvent::Input(relay, Input::Probed { host, healthy }),
        );
    }

    pub fn submit(&mut self, relay: usize, submissions: impl IntoIterator<Item = Submission>) {
        let inputs = submissions.into_iter().map(Input::Submit).collect();
        self.send_inputs(relay, inputs);
    }

    pub fn finished(&self) -> usize {
        self.relays.iter().map(|relay| relay.finished.len()).sum()
    }

    /// Connections of all relays to a host, used and idle.
    #[allow(dead_code)]
    pub fn connections_to(&self, port: u16) -> usize {
        let to = address(port);
        let used = |relay: &Relay| relay.calls.values().filter(|call| call.target.address == to).count();
        let idle = |relay: &Relay| relay.idle.get(&to).copied().unwrap_or(0);
        self.relays.iter().map(|relay| used(relay) + idle(relay)).sum()
    }

    pub fn arrivals_at(&self, port: u16) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter().filter(move |arrival| arrival.address == address(port))
    }
}
