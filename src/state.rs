//! What a sender knows, and the bookkeeping that keeps it straight. What follows from it is decided in
//! `brain.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Add;

use crate::interface::{
    Allowance, Carrier, Class, DestinationId, Effect, Ended, Group, History, HostId, Learnt, LearntRoute,
    Lifecycle, Listed, Listing, MessageId, Micros, Outcome, Ran, Request, Settings,
};

/// Odd factor that scatters numbers (2^64 over the golden ratio).
const SCATTER: u64 = 0x9e37_79b9_7f4a_7c15;

/// An order of ids that differs between senders.
pub fn scattered(id: u64, seed: u64) -> u64 {
    (id ^ seed).wrapping_mul(SCATTER)
}

/// A fraction below one that differs between senders and times.
pub fn chance(now: Micros, seed: u64) -> f64 {
    (scattered(now, seed) >> 32) as f64 / f64::from(u32::MAX)
}

pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// A limit's holder: a destination, or one host of it where routes are apart.
pub type RouteId = (DestinationId, Option<HostId>);

/// Whether calls to a host are let through.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Closed,
    /// No calls but one trial at a time.
    Open,
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
    pub health: Health,
    /// Failures, halved by each success.
    pub trouble: f64,
    /// When the present trouble began and when it last showed.
    pub bad_since: Micros,
    pub bad_at: Micros,
    /// Senders that lately told of its trouble, and when; at the homes of its route.
    pub accusers: BTreeMap<u16, Micros>,
    /// When the homes last found it out of order.
    pub verdict_at: Micros,
    /// When they last told of it either way.
    pub worded_at: Micros,
    /// A call was seen to fail in that trouble, not just to take long.
    pub failed: bool,
    /// Last sign of life, and last call that was served.
    pub heard_at: Micros,
    pub ok_at: Micros,
    /// Connects that failed since the last served call, and until when none is tried for that.
    pub unmet: u32,
    pub shut_until: Micros,
    /// Mean share of calls that failed at once.
    pub failing: f64,
    /// A trial is out.
    pub trial: bool,
    /// Calls out.
    pub calls: usize,
    /// When a call was last lost on a connection that had been idle, and how long others are to idle if that was
    /// why.
    pub lost: Option<(Micros, f64)>,
    /// Since when each known connection has been idle.
    pub idle: Vec<Micros>,
    /// Permits of a host that is open or cold, and when they were last counted.
    pub cold_tokens: f64,
    pub cold_at: Micros,
}

impl Host {
    pub fn is_open(&self) -> bool {
        self.health == Health::Open
    }

    /// Books a sender that told of its trouble, if one did; words count until they expire.
    pub fn accuse(&mut self, by: Option<u16>, expiry: Micros, now: Micros) {
        self.accusers.retain(|_, at| *at + expiry > now);
        self.accusers.extend(by.map(|by| (by, now)));
    }

    /// Counts permits up to now at `pace`, while it is open or cold; one can be saved up.
    pub fn fill(&mut self, pace: f64, now: Micros) {
        self.cold_tokens = (self.cold_tokens + pace * seconds(now - self.cold_at)).min(1.0);
        self.cold_at = now;
    }

    /// Books the homes' word of it.
    pub fn word(&mut self, up: bool, now: Micros) {
        (self.verdict_at, self.worded_at) = (if up { 0 } else { now }, now);
        if up {
            self.accusers.clear();
        }
    }

    /// Books trouble that began at `since`. Spells less than `apart` apart are one, and so is all until closed.
    pub fn ail(&mut self, weight: f64, since: Micros, now: Micros, apart: Micros) {
        self.trouble += weight;
        if self.health == Health::Closed && since > self.bad_at + apart {
            (self.bad_since, self.failed) = (since, false);
        }
        self.bad_at = now;
    }
}

/// What senders did on a route in a round, in permits: one of them, or several added up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub senders: f64,
    pub designated: f64,
    /// Designated to those that used all of theirs.
    pub full: f64,
    /// Left over by the others.
    pub spare: f64,
    pub used: f64,
    pub refused: f64,
    /// Limits that answers told in the round, in calls a second, and how many senders were told of one.
    pub limits: f64,
    pub tellers: f64,
}

impl Report {
    /// What the senders were told of the limit, in the mean.
    pub fn limit(&self) -> Option<f64> {
        (self.tellers > 0.0).then(|| self.limits / self.tellers)
    }

    /// What a sender that leaves reports: it used its permits, and has none any more.
    pub fn parting(self) -> Self {
        Report { used: self.used, refused: self.refused, ..Report::default() }
    }

    /// What a sender without a newer report has done since.
    pub fn idle(self) -> Self {
        let Report { senders, designated, .. } = self;
        Report { senders, designated, spare: designated, ..Report::default() }
    }
}

impl Add for Report {
    type Output = Report;

    fn add(self, other: Report) -> Report {
        Report {
            senders: self.senders + other.senders,
            designated: self.designated + other.designated,
            full: self.full + other.full,
            spare: self.spare + other.spare,
            used: self.used + other.used,
            refused: self.refused + other.refused,
            limits: self.limits + other.limits,
            tellers: self.tellers + other.tellers,
        }
    }
}

/// The holder of a limit.
#[derive(Debug, Default)]
pub struct Route {
    /// Calls a second by the registry's list and by the destination's own answers.
    pub listed: Option<f64>,
    pub told: Option<f64>,
    /// What an answer told in this round, as it was.
    pub read: Option<f64>,
    /// Hosts that share it.
    pub hosts: f64,
    /// This sender gathers its reports.
    pub is_home: bool,
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
    /// Rounds in a row in which calls were refused and none served.
    pub barren: u32,
    /// Highest rate served lately, in calls a second.
    pub peak: f64,
    pub wait_until: Micros,
    /// When an outage of one of its destination's hosts last cast doubt on all.
    pub doubted_at: Micros,
    /// Refusals since the last call that was served.
    pub fulls: u32,
    /// Mean answer time and its mean deviation, in microseconds.
    pub answer_time: f64,
    pub deviation: f64,
    /// Last used.
    pub active_at: Micros,
    /// Last report of each peer and when it came; at the route's homes.
    pub reports: BTreeMap<u16, (Micros, Report)>,
    /// The own report of the round that closed last, until a home has told the sums to settle it with.
    pub asked: Option<Report>,
    /// What a home last told of all other senders together, and when.
    pub rest: Option<(Micros, Report)>,
}

impl Route {
    /// Whether it is known what the other senders did: their own reports, or sums that are not too old.
    pub fn hears(&self, expiry: Micros, now: Micros) -> bool {
        self.is_home || self.rest.is_some_and(|(at, _)| at + expiry > now)
    }

    /// Books what the destination told of its limit, if it did; a new word has this weight in the mean. The pool
    /// is so much of the limit as before.
    pub fn tell_limit(&mut self, limit: Option<Allowance>, weight: f64) {
        if let Some(Allowance { rate, .. }) = limit {
            self.read = Some(rate);
            self.believe(rate, weight);
        }
    }

    /// Takes over a limit of which this sender or others were told.
    pub fn believe(&mut self, rate: f64, weight: f64) {
        let told = self.told.get_or_insert(rate);
        let before = std::mem::replace(told, *told + (rate - *told) * weight);
        self.pool *= if before > 0.0 { *told / before } else { 1.0 };
    }

    /// Holds all calls back until then, at the least.
    pub fn hold(&mut self, until: Micros) {
        self.wait_until = self.wait_until.max(until);
    }

    /// The same for a wait that all heed. Danger: each sender saves up a permit meanwhile, and all of them come
    /// together at its end.
    pub fn hold_paced(&mut self, until: Micros) {
        self.hold(until);
        self.filled_at = self.filled_at.max(self.wait_until);
    }

    /// Takes back the permit of a call that never came to the limit.
    pub fn give_back(&mut self) {
        (self.used, self.tokens) = ((self.used - 1.0).max(0.0), self.tokens + 1.0);
    }

    /// Begins a round; each refusal that was reported has had its effect.
    pub fn start_round(&mut self) {
        for (_, report) in self.reports.values_mut().chain(&mut self.rest) {
            report.used -= report.refused;
            report.refused = 0.0;
        }
        (self.used, self.refused, self.read) = (0.0, 0.0, None);
    }

    /// What the peers but one reported, added up. A report counts until it is `fresh` no more, and then tells
    /// of an idle sender up to its expiry.
    pub fn others(&self, but: u16, fresh: Micros, expiry: Micros, now: Micros) -> Report {
        let reports = self.reports.iter().filter(|(from, _)| **from != but).map(|(_, report)| report);
        let reports = reports.chain(&self.rest).filter(|(at, _)| *at + expiry > now);
        let aged = |(at, report): &(Micros, Report)| if *at + fresh > now { *report } else { report.idle() };
        reports.map(aged).fold(Report::default(), Report::add)
    }

    /// Books the time that an answer took; a new one has this weight in the means.
    pub fn answered(&mut self, took: Micros, weight: f64) {
        let off = took as f64 - self.answer_time;
        self.answer_time += off * weight;
        self.deviation += (off.abs() - self.deviation) * weight;
    }

    /// Counts permits up to now at `pace`; as many are saved up as it gives in `burst` seconds, one at least.
    pub fn fill(&mut self, pace: f64, burst: f64, now: Micros) {
        let gained = pace * seconds(now.saturating_sub(self.filled_at));
        self.tokens = (self.tokens + gained).min((pace * burst).max(1.0));
        self.filled_at = self.filled_at.max(now);
    }
}

/// An attempt without an outcome.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub number: u32,
    pub call: u64,
    pub host: HostId,
    pub sent_at: Micros,
    /// Part of it waits to be written.
    pub stalled: bool,
}

/// A message that was taken.
#[derive(Debug)]
pub struct Message {
    pub request: Request,
    pub attempts: u32,
    pub out: Option<Attempt>,
    /// The first attempt that may have run.
    pub ran: Option<Ran>,
    /// Answered; kept only until its attempt has an outcome and its end is told.
    pub over: bool,
    /// Its end has yet to be told.
    pub untold: bool,
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
    /// Messages that may still join it.
    pub room: usize,
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

/// What is due when.
#[derive(Debug, Default)]
pub struct Agenda {
    /// End of the round, next look at what is held, next timer.
    pub round_at: Micros,
    pub look_at: Micros,
    pub wake_at: Micros,
    /// When the registry is asked, and the last pause before that.
    pub ask_at: Option<Micros>,
    pub ask_pause: Micros,
}

impl Agenda {
    /// The next timer, if it is not set already; no look is due while nothing is held.
    pub fn wake(&mut self, holds_nothing: bool, now: Micros) -> Option<Micros> {
        let look = if holds_nothing { Micros::MAX } else { self.look_at };
        let next = look.min(self.round_at).min(self.ask_at.unwrap_or(Micros::MAX)).max(now + 1);
        let sets = self.wake_at <= now || next < self.wake_at;
        self.wake_at = if sets { next } else { self.wake_at };
        sets.then_some(next)
    }
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
    /// The hosts of each destination.
    index: BTreeMap<DestinationId, BTreeSet<HostId>>,
    /// Hosts with idle connections.
    idle: BTreeSet<HostId>,
    last_call: u64,
}

impl State {
    pub fn hosts_of(&self, destination: DestinationId) -> impl Iterator<Item = (HostId, &Host)> {
        let ids = self.index.get(&destination).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.hosts.get(id)?)))
    }

    /// The hosts of a destination that nothing is held against.
    pub fn healthy(&self, destination: DestinationId) -> Vec<HostId> {
        let healthy = self.hosts_of(destination).filter(|(_, host)| host.health == Health::Closed);
        healthy.map(|(id, _)| id).collect()
    }

    /// The hosts of a kind.
    pub fn of_kind(&self, kind: usize) -> Vec<HostId> {
        self.hosts.iter().filter(|(_, host)| host.kind == kind).map(|(id, _)| *id).collect()
    }

    /// Messages of a tenant in a round, in the mean.
    pub fn demand(&self, tenant: usize) -> f64 {
        self.demand.get(&tenant).map_or(0.0, |(_, mean)| *mean)
    }

    /// A message that is out, with its call and host.
    pub fn out(&self, id: MessageId) -> Option<(&Message, &Call, &Host)> {
        let message = self.messages.get(&id)?;
        let out = message.out?;
        Some((message, self.calls.get(&out.call)?, self.hosts.get(&out.host)?))
    }

    /// Attempts of which part waits to be written.
    pub fn stalled(&self) -> Vec<(MessageId, u32)> {
        let out = self.messages.iter().filter_map(|(id, message)| Some((*id, message.out?)));
        out.filter(|(_, out)| out.stalled).map(|(id, out)| (id, out.number)).collect()
    }

    /// The hosts of a route that are not open.
    pub fn closed_hosts(&self, id: RouteId) -> impl Iterator<Item = HostId> {
        let closed = move |host: &Host| host.route == id && !host.is_open();
        self.hosts_of(id.0).filter(move |(_, host)| closed(host)).map(|(id, _)| id)
    }

    pub fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        let routes = self.routes.range((destination, None)..).take_while(move |(id, _)| id.0 == destination);
        routes.map(|(_, route)| route)
    }

    pub fn routes_of_mut(&mut self, destination: DestinationId) -> impl Iterator<Item = &mut Route> {
        let routes = self.routes.range_mut((destination, None)..);
        routes.take_while(move |(id, _)| id.0 == destination).map(|(_, route)| route)
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

    /// Books a call that was served; a new one has this weight in the mean. It bears out that a host is not out
    /// of order, whatever the homes found.
    pub fn serve(&mut self, id: HostId, now: Micros, weight: f64) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.trouble /= 2.0;
            (host.ok_at, host.verdict_at) = (now, 0);
            host.failing -= host.failing * weight;
        }
    }

    /// Books whether a call was seen to fail.
    pub fn mark(&mut self, id: HostId, failed: bool) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.failed |= failed;
        }
    }

    /// Ends a round: its demand has this weight in the mean, and keys that rest no more are forgotten.
    pub fn end_round(&mut self, weight: f64, now: Micros) {
        self.keys.retain(|_, entry| !entry.queue.is_empty() || entry.rest_until > now);
        for (count, mean) in self.demand.values_mut() {
            *mean += (std::mem::take(count) - *mean) * weight;
        }
    }

    /// What has been learnt of hosts: of each route that was used or waits, and which of them are open.
    pub fn learnt(&self, at: Micros) -> Learnt {
        let route = |((destination, host), route): (&RouteId, &Route)| LearntRoute {
            destination: *destination,
            apart: host.is_some(),
            hosts: host
                .map_or_else(|| self.hosts_of(*destination).map(|(id, _)| id).collect(), |id| vec![id]),
            rate: route.told,
            answer_time: route.answer_time,
            deviation: route.deviation,
            wait_until: route.wait_until,
        };
        // Danger: a wait that an earlier sender was told is forgotten by one that made no call there.
        let known = |route: &Route| route.active_at > 0 || route.wait_until > at;
        let used = self.routes.iter().filter(|(_, route)| known(route));
        let open = self.hosts.iter().filter(|(_, host)| host.is_open());
        let out = open.map(|(id, host)| (*id, host.bad_since)).collect();
        Learnt { at, routes: used.map(route).collect(), out }
    }

    /// Takes over what was learnt of a route whose limit is held the same way by one of the same hosts.
    pub fn recall(&mut self, old: &LearntRoute) -> bool {
        let listed =
            |host: &&HostId| self.hosts.get(host).is_some_and(|host| host.route.0 == old.destination);
        let Some(host) = old.hosts.iter().find(listed) else { return false };
        let route = self.routes.get_mut(&(old.destination, old.apart.then_some(*host)));
        if let Some(route) = route {
            (route.told, route.answer_time, route.deviation) = (old.rate, old.answer_time, old.deviation);
            // Danger: a wait told to the process before is forgotten, and calls go before it is over.
            route.hold(old.wait_until);
            return true;
        }
        false
    }

    /// How many messages wait for each destination.
    pub fn waiting_counts(&self) -> BTreeMap<DestinationId, f64> {
        let mut counts = BTreeMap::new();
        for message in self.waiting() {
            *counts.entry(message.request.destination).or_default() += 1.0;
        }
        counts
    }

    /// Of each host with calls out, when the first was sent and how many there are.
    pub fn unanswered(&self) -> BTreeMap<HostId, (Micros, u64)> {
        let mut unanswered = BTreeMap::new();
        for call in self.calls.values() {
            let entry = unanswered.entry(call.host).or_insert((call.sent_at, 0));
            *entry = (call.sent_at.min(entry.0), entry.1 + 1);
        }
        unanswered
    }

    /// Takes a message on. After an attempt that a restart cut off, its key rests as after any that may run on.
    pub fn accept(&mut self, request: Request, settings: &Settings) {
        let History { attempts, ran, cut_at, over, .. } = request.history;
        self.demand.entry(request.tenant).or_default().0 += 1.0;
        if let (Some(key), true) = (request.key, settings.classes[request.class].in_order) {
            let entry = self.keys.entry(key).or_default();
            entry.queue.push_back(request.id);
            entry.rest_until = entry.rest_until.max(cut_at.map_or(0, |at| at + settings.order_rest));
        }
        let message = Message { request, attempts, out: None, ran, over, untold: over };
        self.messages.insert(request.id, message);
    }

    /// Books that nothing is owed for a message any more.
    pub fn withdraw(&mut self, id: MessageId, now: Micros) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.untold = false;
        }
        self.end(id, now);
    }

    /// Gives a message up; where ends are told by notices it holds its key until then.
    pub fn give_up(&mut self, id: MessageId, by_notice: bool, now: Micros) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.untold = by_notice;
        }
        self.end(id, now);
    }

    /// Marks a message as answered; it stays known while an attempt of it is out or its end is untold.
    pub fn end(&mut self, id: MessageId, now: Micros) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.over = true;
        if message.out.is_some() || message.untold {
            return;
        }
        let key = message.request.key;
        self.messages.remove(&id);
        if let Some((key, entry)) = key.and_then(|key| Some((key, self.keys.get_mut(&key)?))) {
            entry.queue.retain(|other| *other != id);
            if entry.queue.is_empty() && entry.rest_until <= now {
                self.keys.remove(&key);
            }
        }
    }

    /// Whether a destination was ever listed, or none was at all.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.routes.is_empty() || self.routes_of(destination).next().is_some()
    }

    /// Whether a message is the first of its key and the key's rest is over.
    pub fn in_turn(&self, message: &Message, now: Micros) -> bool {
        let entry = message.request.key.and_then(|key| self.keys.get(&key));
        entry.is_none_or(|entry| {
            let listed = entry.queue.contains(&message.request.id);
            !listed || (entry.queue.front() == Some(&message.request.id) && now >= entry.rest_until)
        })
    }

    /// A call of this batch to a destination that another message may join.
    pub fn bundle(&self, destination: DestinationId, now: Micros) -> Option<(HostId, u64)> {
        let to = |id: HostId| self.hosts.get(&id).is_some_and(|host| host.route.0 == destination);
        let latest = self.calls.iter().rev().take_while(|(_, call)| call.sent_at == now);
        let mut open = latest.filter(|(_, call)| call.room > 0 && to(call.host));
        open.next().map(|(number, call)| (call.host, *number))
    }

    /// Books a new call to a known host.
    pub fn open_call(&mut self, id: HostId, now: Micros, settings: &Settings) -> Option<u64> {
        let (host, route) = self.host_and_route(id)?;
        if route.bound {
            route.tokens -= 1.0;
        }
        route.used += 1.0;
        route.active_at = now;
        host.cold_tokens -= 1.0;
        host.calls += 1;
        host.idle.retain(|since| *since + settings.idle_close > now);
        let idle_for = host.idle.pop().map(|since| now - since);
        let trial = host.is_open();
        host.trial |= trial;
        let room = if trial { 1 } else { settings.kinds[host.kind].bundle };
        self.last_call += 1;
        let call = Call { host: id, sent_at: now, members: 0, room, trial, judged: false, idle_for };
        self.calls.insert(self.last_call, call);
        Some(self.last_call)
    }

    /// Forgets and names the hosts whose oldest idle connection is of the age that their kind has here.
    pub fn close_idle(&mut self, ages: &[f64], now: Micros) -> Vec<HostId> {
        let hosts = &mut self.hosts;
        let is_old = |id: &HostId| {
            let since = hosts.get(id).and_then(|host| Some((host.idle.first()?, ages[host.kind])));
            since.is_none_or(|(since, age)| since + age as Micros <= now)
        };
        let old: Vec<HostId> = self.idle.iter().copied().filter(is_old).collect();
        for id in &old {
            self.idle.remove(id);
            if let Some(host) = hosts.get_mut(id) {
                host.idle.clear();
            }
        }
        old
    }

    /// Books an attempt of a message in a call.
    pub fn join_call(&mut self, call: u64, id: MessageId, now: Micros) {
        if let (Some(entry), Some(message)) = (self.calls.get_mut(&call), self.messages.get_mut(&id)) {
            entry.members += 1;
            entry.room -= 1;
            let (number, host) = (message.attempts, entry.host);
            message.out = Some(Attempt { number, call, host, sent_at: now, stalled: false });
            message.attempts += 1;
        }
    }

    /// Books that the call of an attempt is written now; nothing joins it any more.
    pub fn write(&mut self, id: MessageId, now: Micros) {
        let out = self.messages.get_mut(&id).and_then(|message| message.out.as_mut());
        let Some(out) = out else { return };
        out.sent_at = now;
        if let Some(call) = self.calls.get_mut(&out.call) {
            (call.sent_at, call.room) = (now, 0);
        }
    }

    /// Books that nothing of an attempt is written: it and its permit are as if it had never been.
    pub fn withhold(&mut self, id: MessageId, attempt: u32, now: Micros) {
        let carrier = Some(Carrier { idle_for: None, kept: true });
        let (outcome, took, closed, limit) = (Outcome::Moot, 0, false, None);
        let ended = Ended { id, attempt, outcome, took, closed, limit, carrier };
        let Some((out, ..)) = self.close_attempt(&ended, now, 0) else { return };
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts -= 1;
        }
        if let Some((_, route)) = self.host_and_route(out.host) {
            route.give_back();
        }
    }

    /// Books whether part of an attempt waits to be written.
    pub fn stall(&mut self, id: MessageId, attempt: u32, stalled: bool) {
        let out = self.messages.get_mut(&id).and_then(|message| message.out.as_mut());
        if let Some(out) = out.filter(|out| out.number == attempt) {
            out.stalled = stalled;
        }
    }

    /// Books the outcome of an attempt, and the end of its message where it is over. Gives the attempt, whether
    /// it is the first of its call to end (messages of one call share its fate), and how long the call's
    /// connection had been idle.
    pub fn close_attempt(
        &mut self, ended: &Ended, now: Micros, rest: Micros,
    ) -> Option<(Attempt, bool, Option<Micros>)> {
        let outcome = ended.outcome;
        let message = self.messages.get_mut(&ended.id)?;
        let attempt = message.out.take_if(|attempt| attempt.number == ended.attempt)?;
        if outcome.may_have_run() {
            let zone = self.hosts.get(&attempt.host).map(|host| host.zone);
            message.ran.get_or_insert(Ran { at: attempt.sent_at, zone });
        }
        if let Some(entry) = message.request.key.and_then(|key| self.keys.get_mut(&key))
            && outcome.may_still_run()
        {
            entry.rest_until = now + rest;
        }
        let call = self.calls.get_mut(&attempt.call)?;
        call.members -= 1;
        // Danger: a connection that was closed, by a host or with a spoilt answer, counts as idle.
        let idle_for = ended.carrier.map_or(call.idle_for, |carrier| carrier.idle_for);
        let usual = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full { .. });
        let kept = ended.carrier.map_or(usual, |carrier| carrier.kept);
        let first = !std::mem::replace(&mut call.judged, true);
        if call.members == 0 {
            let trial = call.trial;
            self.calls.remove(&attempt.call);
            if let Some(host) = self.hosts.get_mut(&attempt.host) {
                host.calls -= 1;
                host.trial &= !trial;
                if kept {
                    host.idle.push(now);
                    self.idle.insert(attempt.host);
                }
            }
        }
        if ended.closed || self.messages.get(&ended.id).is_some_and(|message| message.over) {
            self.end(ended.id, now);
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
    /// dropped. Danger: hosts that remember for their own zone alone run it once more in another.
    pub fn may_reach(message: &Message, class: &Class, host: &Host) -> bool {
        !class.is_zoned() || message.ran.is_none_or(|ran| ran.zone == Some(host.zone))
    }

    /// Whether the window of a guarded message that may have run is over at `at`.
    pub fn lapsed(message: &Message, class: &Class, at: Micros) -> bool {
        match class.effect {
            Effect::Guarded { window, .. } => message.ran.is_some_and(|ran| at >= ran.at + window),
            _ => false,
        }
    }

    /// Until when a call may be under way: the message's deadline, or the end of its window.
    pub fn until(message: &Message, class: &Class) -> Micros {
        let deadline = message.request.deadline;
        match class.effect {
            Effect::Guarded { window, .. } => {
                message.ran.map_or(deadline, |ran| deadline.min(ran.at + window))
            }
            _ => deadline,
        }
    }

    /// Takes over lines of the registry's list; in a `whole` one a missing host is gone. A `new` route is
    /// made for a destination not seen before, or for a host whose kind has its routes apart.
    pub fn list(
        &mut self, entries: &[Listed], whole: bool, settings: &Settings, new: impl Fn(RouteId) -> Route,
        now: Micros,
    ) {
        let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        for (_, host) in self.hosts.iter_mut().filter(|(id, _)| whole && !named.contains(id)) {
            host.lifecycle = Lifecycle::Gone;
        }
        for entry in entries {
            let apart = settings.kinds[entry.kind].routes_apart;
            let route = (entry.destination, apart.then_some(entry.host));
            if entry.lifecycle != Lifecycle::Gone {
                self.routes.entry(route).or_insert_with(|| Route { filled_at: now, ..new(route) });
                let new =
                    Host { route, kind: entry.kind, zone: entry.zone, heard_at: now, ..Host::default() };
                let host = self.hosts.entry(entry.host).or_insert(new);
                self.index.entry(host.route.0).or_default().insert(entry.host);
            }
            if let Some((host, route)) = self.host_and_route(entry.host) {
                host.lifecycle = entry.lifecycle;
                route.listed = Some(entry.weight).filter(|_| settings.listing != Listing::Silent);
            }
        }
        // Danger: over a long day, what is kept of hosts that are gone fills the memory. That of one with calls
        // out is forgotten with a later list.
        let mut changed: BTreeSet<DestinationId> = entries.iter().map(|entry| entry.destination).collect();
        for (_, host) in
            self.hosts.extract_if(.., |_, host| host.lifecycle == Lifecycle::Gone && host.calls == 0)
        {
            changed.insert(host.route.0);
        }
        self.routes.retain(|(_, host), _| host.is_none_or(|host| self.hosts.contains_key(&host)));
        self.idle.retain(|host| self.hosts.contains_key(host));
        changed.into_iter().for_each(|destination| self.count_hosts(destination));
    }

    /// Has a host that was never used take over the trouble of its route's others, if all of them are open.
    pub fn inherit(&mut self, id: HostId, tokens: f64, now: Micros) {
        let Some(host) = self.hosts.get(&id) else { return };
        let used = host.ok_at > 0 || host.calls > 0 || host.health != Health::Closed;
        let others = self.hosts_of(host.route.0).filter(|(other, _)| *other != id);
        let of_route: Vec<_> = others.map(|(_, other)| other).filter(|o| o.route == host.route).collect();
        if used || of_route.is_empty() || !of_route.iter().all(|other| other.is_open()) {
            return;
        }
        let Host { bad_since, bad_at, verdict_at, trouble, failed, .. } = *of_route[0];
        if let Some(host) = self.hosts.get_mut(&id) {
            (host.health, host.cold_tokens, host.cold_at) = (Health::Open, tokens, now);
            (host.bad_since, host.bad_at, host.verdict_at) = (bad_since, bad_at, verdict_at);
            (host.trouble, host.failed) = (trouble, failed);
        }
    }

    fn count_hosts(&mut self, destination: DestinationId) {
        let Some(ids) = self.index.get_mut(&destination) else { return };
        ids.retain(|id| self.hosts.contains_key(id));
        let routes = self.routes.range_mut((destination, None)..);
        for (id, route) in routes.take_while(|(id, _)| id.0 == destination) {
            let of_route = ids.iter().filter(|host| self.hosts[*host].route == *id);
            route.hosts = of_route.count() as f64;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Kind, Lateness};

    fn settings() -> Settings {
        Settings {
            me: 0,
            senders: 1,
            classes: Vec::new(),
            kinds: vec![Kind { routes_apart: true, bundle: 1 }],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            lateness: Lateness::Linear,
            slots: 8,
            most_held: 50,
            max_attempts: 3,
            may_tell: false,
            max_retry_after: 0,
            idle_close: 1,
            connect_timeout: 1,
            ends_by_notice: false,
            listing: Listing::Silent,
            ask_registry: false,
            ask_within: 0,
            drain_grace: 0,
            cold_share: 1.0,
            cold_time: 1,
            overload_factor: 1.0,
            overload_window: 1,
            order_rest: 0,
        }
    }

    #[test]
    fn nothing_is_kept_of_hosts_that_are_gone() {
        let (mut state, settings) = (State::default(), settings());
        let listed = |host, lifecycle| Listed {
            host: HostId(host),
            zone: 0,
            kind: 0,
            destination: host as DestinationId % 3,
            lifecycle,
            weight: 1.0,
        };
        for number in 0..300 {
            let (first, whole) = (listed(number, Lifecycle::Ready), number % 2 == 0);
            let gone = listed(number.saturating_sub(1), Lifecycle::Gone);
            let entries = if whole || number == 0 { vec![first] } else { vec![gone, first] };
            state.list(&entries, whole, &settings, |_| Route::default(), number);
            state.idle.insert(HostId(number));
        }
        assert_eq!((state.hosts.len(), state.routes.len(), state.idle.len()), (1, 1, 1));
        assert_eq!(state.index.values().map(BTreeSet::len).sum::<usize>(), 1);
    }
}
