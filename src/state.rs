//! What a sender knows, and the bookkeeping that keeps it straight. What follows from it is decided in
//! `brain.rs`.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    Class, DestinationId, Effect, Ended, Group, HostId, Lifecycle, Listed, MessageId, Micros, Outcome,
    Request,
};

/// A limit's holder: a destination, or one host of it where routes are apart.
pub type RouteId = (DestinationId, Option<HostId>);

/// Whether calls to a host are let through.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Closed,
    /// No calls but one trial at a time, from `retry_at` on.
    Open { retry_at: Micros, pause: Micros },
    /// Answers again, but may be cold.
    SlowStart { since: Micros },
}

/// One endpoint of a destination.
#[derive(Debug, Default)]
pub struct Host {
    pub route: RouteId,
    pub kind: usize,
    pub zone: u16,
    pub lifecycle: Lifecycle,
    /// When it was told that the host drains or is gone.
    pub told_at: Micros,
    pub health: Health,
    /// Failures, halved by each success.
    pub trouble: f64,
    /// When the present trouble began and when it last showed.
    pub bad_since: Micros,
    pub bad_at: Micros,
    /// When a neighbour's or a peer's trouble last cast doubt on it.
    pub warned_at: Micros,
    /// A call was seen to fail in that trouble, not just to take long.
    pub failed: bool,
    /// Last sign of life, and last call that was served.
    pub heard_at: Micros,
    pub ok_at: Micros,
    /// Mean share of calls that failed at once.
    pub failing: f64,
    /// A trial is out.
    pub trial: bool,
    /// Calls out.
    pub calls: usize,
    /// Since when each known connection has been idle.
    pub idle: Vec<Micros>,
    /// Permits of a slow start, and when they were last counted.
    pub cold_tokens: f64,
    pub cold_at: Micros,
}

impl Host {
    pub fn is_open(&self) -> bool {
        matches!(self.health, Health::Open { .. })
    }
}

/// What one sender did on a route in a round, in permits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub designated: f64,
    pub used: f64,
    pub refused: f64,
}

/// The holder of a limit.
#[derive(Debug, Default)]
pub struct Route {
    /// Calls a second by the registry's list and by the destination's own answers.
    pub listed: Option<f64>,
    pub told: Option<f64>,
    /// Hosts that share it.
    pub hosts: f64,
    /// Shares bind, since calls were refused as full.
    pub bound: bool,
    /// Calls a second from all senders together, and this sender's fraction of them.
    pub pool: f64,
    pub share: f64,
    /// Calls a second of the pool that the last reports left unused.
    pub slack: f64,
    /// Permits in hand, and when they were last counted.
    pub tokens: f64,
    pub filled_at: Micros,
    /// Permits used and calls refused in this round.
    pub used: f64,
    pub refused: f64,
    /// Highest rate served lately, in calls a second.
    pub peak: f64,
    pub wait_until: Micros,
    /// Refusals since the last call that was served, and when they began.
    pub fulls: u32,
    pub full_since: Micros,
    /// Mean answer time and its mean deviation, in microseconds.
    pub answer_time: f64,
    pub deviation: f64,
    /// Last report of each peer and when it came.
    pub reports: BTreeMap<u16, (Micros, Report)>,
}

/// An attempt without an outcome.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub number: u32,
    pub call: u64,
    pub host: HostId,
    pub sent_at: Micros,
}

/// A message that was taken.
#[derive(Debug)]
pub struct Message {
    pub request: Request,
    pub attempts: u32,
    pub out: Option<Attempt>,
    /// When the first attempt that may have run was sent.
    pub ran: Option<Micros>,
    /// Answered; kept only until its attempt has an outcome.
    pub over: bool,
}

impl Message {
    /// Time since it was first handed in.
    pub fn age(&self, class: &Class, at: Micros) -> Micros {
        at.saturating_sub(self.request.deadline.saturating_sub(class.deadline))
    }
}

/// One call, with one message or more.
#[derive(Debug)]
pub struct Call {
    pub host: HostId,
    pub sent_at: Micros,
    pub members: usize,
    pub trial: bool,
    pub judged: bool,
    /// How long its connection had been idle; none for a new one.
    pub idle_for: Option<Micros>,
}

/// The messages of one key, in the order taken.
#[derive(Debug, Default)]
pub struct KeyQueue {
    pub queue: VecDeque<MessageId>,
    pub rest_until: Micros,
}

/// All of it.
#[derive(Debug, Default)]
pub struct State {
    pub hosts: BTreeMap<HostId, Host>,
    pub routes: BTreeMap<RouteId, Route>,
    pub messages: BTreeMap<MessageId, Message>,
    pub keys: BTreeMap<u64, KeyQueue>,
    pub calls: BTreeMap<u64, Call>,
    /// Messages of each tenant in this round, and their mean number in a round.
    pub demand: BTreeMap<usize, (f64, f64)>,
    last_call: u64,
}

impl State {
    pub fn hosts_of(&self, destination: DestinationId) -> impl Iterator<Item = (HostId, &Host)> {
        self.hosts.iter().filter(move |(_, host)| host.route.0 == destination).map(|(id, host)| (*id, host))
    }

    pub fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        self.routes.range((destination, None)..(destination + 1, None)).map(|(_, route)| route)
    }

    /// A known host and its route.
    pub fn host_and_route(&mut self, id: HostId) -> Option<(&mut Host, &mut Route)> {
        let host = self.hosts.get_mut(&id)?;
        let route = self.routes.get_mut(&host.route)?;
        Some((host, route))
    }

    /// Messages that still need an answer.
    pub fn held(&self) -> impl Iterator<Item = &Message> {
        self.messages.values().filter(|message| !message.over)
    }

    /// Messages that still need an answer and have no attempt out.
    pub fn waiting(&self) -> impl Iterator<Item = &Message> {
        self.held().filter(|message| message.out.is_none())
    }

    pub fn accept(&mut self, request: Request, classes: &[Class]) {
        self.demand.entry(request.tenant).or_default().0 += 1.0;
        if let (Some(key), true) = (request.key, classes[request.class].in_order) {
            self.keys.entry(key).or_default().queue.push_back(request.id);
        }
        let message = Message { request, attempts: 0, out: None, ran: None, over: false };
        self.messages.insert(request.id, message);
    }

    /// Marks a message as answered; it stays known while an attempt of it is out.
    pub fn end(&mut self, id: MessageId, now: Micros) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.over = true;
        if message.out.is_some() {
            return;
        }
        let key = message.request.key;
        self.messages.remove(&id);
        if let Some(entry) = key.and_then(|key| self.keys.get_mut(&key)) {
            entry.queue.retain(|other| *other != id);
        }
        self.keys.retain(|_, entry| !entry.queue.is_empty() || entry.rest_until > now);
    }

    /// Whether a message is the first of its key and the key's rest is over.
    pub fn in_turn(&self, message: &Message, now: Micros) -> bool {
        let entry = message.request.key.and_then(|key| self.keys.get(&key));
        entry.is_none_or(|entry| {
            let listed = entry.queue.contains(&message.request.id);
            !listed || (entry.queue.front() == Some(&message.request.id) && now >= entry.rest_until)
        })
    }

    /// Books a new call to a known host.
    pub fn open_call(&mut self, id: HostId, now: Micros, idle_close: Micros) -> Option<u64> {
        let (host, route) = self.host_and_route(id)?;
        if route.bound {
            route.tokens -= 1.0;
        }
        route.used += 1.0;
        host.cold_tokens -= 1.0;
        host.calls += 1;
        host.idle.retain(|since| *since + idle_close > now);
        let idle_for = host.idle.pop().map(|since| now - since);
        let trial = host.is_open();
        host.trial |= trial;
        self.last_call += 1;
        let call = Call { host: id, sent_at: now, members: 0, trial, judged: false, idle_for };
        self.calls.insert(self.last_call, call);
        Some(self.last_call)
    }

    /// Books an attempt of a message in a call.
    pub fn join_call(&mut self, call: u64, id: MessageId, now: Micros) {
        if let (Some(entry), Some(message)) = (self.calls.get_mut(&call), self.messages.get_mut(&id)) {
            entry.members += 1;
            message.out = Some(Attempt { number: message.attempts, call, host: entry.host, sent_at: now });
            message.attempts += 1;
        }
    }

    /// Books the outcome of an attempt. Gives the attempt, whether it is the first of its call to end
    /// (messages of one call share its fate), and how long the call's connection had been idle.
    pub fn close_attempt(
        &mut self, ended: &Ended, now: Micros, rest: Micros,
    ) -> Option<(Attempt, bool, Option<Micros>)> {
        let outcome = ended.outcome;
        let message = self.messages.get_mut(&ended.id)?;
        let attempt = message.out.take_if(|attempt| attempt.number == ended.attempt)?;
        if outcome.may_have_run() {
            message.ran.get_or_insert(attempt.sent_at);
        }
        if let Some(entry) = message.request.key.and_then(|key| self.keys.get_mut(&key))
            && outcome.may_still_run()
        {
            entry.rest_until = now + rest;
        }
        let call = self.calls.get_mut(&attempt.call)?;
        call.members -= 1;
        let idle_for = call.idle_for.take();
        let first = !std::mem::replace(&mut call.judged, true);
        if call.members == 0 {
            let trial = call.trial;
            self.calls.remove(&attempt.call);
            if let Some(host) = self.hosts.get_mut(&attempt.host) {
                host.calls -= 1;
                host.trial &= !trial;
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full { .. }) {
                    host.idle.push(now);
                }
            }
        }
        Some((attempt, first, idle_for))
    }

    /// Whether a refusal is harmless: the message may come again whatever became of its attempts.
    pub fn may_refuse(message: &Message, class: &Class, now: Micros) -> bool {
        let ran = message.ran.is_some() || message.out.is_some();
        match class.effect {
            Effect::Free => true,
            Effect::Guarded { group, .. } => {
                !ran || (group == Group::All && !State::lapsed(message, class, now))
            }
            Effect::SingleShot => !ran,
        }
    }

    /// Whether a message may go to a host: a guarded one that may have run goes only where repeats are
    /// dropped.
    pub fn may_reach(message: &Message, class: &Class, host: &Host, zone: u16) -> bool {
        let zoned = matches!(class.effect, Effect::Guarded { group: Group::Zone, .. });
        !zoned || message.ran.is_none() || host.zone == zone
    }

    /// Whether the window of a guarded message that may have run is over at `at`.
    pub fn lapsed(message: &Message, class: &Class, at: Micros) -> bool {
        match class.effect {
            Effect::Guarded { window, .. } => message.ran.is_some_and(|ran| at >= ran + window),
            _ => false,
        }
    }

    /// Takes over lines of the registry's list; in a `whole` one a missing host is gone. A `new` route is
    /// made for a destination not seen before, or for a host whose kind has its routes `apart`.
    pub fn list(
        &mut self, entries: &[Listed], whole: bool, apart: impl Fn(usize) -> bool, new: impl Fn() -> Route,
        now: Micros,
    ) {
        for (id, host) in &mut self.hosts {
            if whole && !entries.iter().any(|entry| entry.host == *id) {
                host.leave(Lifecycle::Gone, now);
            }
        }
        for entry in entries {
            let route = (entry.destination, apart(entry.kind).then_some(entry.host));
            if entry.lifecycle != Lifecycle::Gone {
                self.routes.entry(route).or_insert_with(|| Route { filled_at: now, ..new() });
                let new =
                    Host { route, kind: entry.kind, zone: entry.zone, heard_at: now, ..Host::default() };
                self.hosts.entry(entry.host).or_insert(new);
            }
            if let Some(host) = self.hosts.get_mut(&entry.host) {
                host.leave(entry.lifecycle, now);
            }
        }
        self.hosts.retain(|_, host| host.lifecycle != Lifecycle::Gone || host.calls > 0);
        for (id, route) in &mut self.routes {
            route.hosts = self.hosts.values().filter(|host| host.route == *id).count() as f64;
        }
    }
}

impl Host {
    fn leave(&mut self, lifecycle: Lifecycle, now: Micros) {
        if self.lifecycle == Lifecycle::Ready && lifecycle != Lifecycle::Ready {
            self.told_at = now;
        }
        self.lifecycle = lifecycle;
    }
}
