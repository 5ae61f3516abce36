//! Every decision of a sender. Its types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path is the permit pool of docs/design.md: each sender paces each limited route to its share
//! of a pool, and each round the surplus of underusers passes to those that used all theirs. The rest guards
//! that path. What is known, without decisions, is kept by `src/state.rs`.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::memo::{self, Memo, Record};
use crate::state::{Attempt, Health, Host, Message, Report, Route, RouteId, State};

/// Round of the reallocation (us); the design's default.
const ROUND: Micros = 2_000_000;
/// Age at which a peer's report counts no more (us); the design's default, three rounds.
const EXPIRY: Micros = 3 * ROUND;
/// Factor on the pool after a round with refusals as full; the design's quarter off.
const CUT: f64 = 0.75;
/// Factor on the pool after a well used round without refusals: slow, one cut takes three rounds to undo.
const REGROWTH: f64 = 1.12;
/// Part of its source below which the pool is not cut: refusals far below a limit have another reason.
const LEAST_POOL_PART: f64 = 0.75;
/// Least pool (calls a second), so that a route never seen to serve is tried at all.
const LEAST_POOL: f64 = 1.0;
/// Part of an even slice that a sender keeps whatever it used, so that its next message need not wait long.
const LEAST_SHARE: f64 = 0.25;
/// A round that used this part of the pool tests it; less tells nothing of its size.
const WELL_USED: f64 = 0.7;
/// Part of an underuser's surplus that passes on each round; half, so that one quiet round costs little.
const PASSED_ON: f64 = 0.5;
/// Permits that may be saved up while idle (us of the own pace).
const BURST: Micros = 1_000_000;
/// Pause after a refusal as full that told no wait (us), doubled with each further one up to a round.
const FULL_PAUSE: Micros = 250_000;
/// Mean deviations beyond a route's mean answer time without any sign of life that count as silence.
const PATIENCE: f64 = 5.0;
/// Least and most silence that opens a host (us): longer than a brief stall, shorter than most aims.
const PATIENCE_BOUNDS: (Micros, Micros) = (800_000, 2_500_000);
/// Trouble at which a host is opened: two failures in a row, or most calls failing.
const TRIP: f64 = 2.0;
/// Share of calls failing from which an outage is taken to be one though some were served: well under half.
const MOSTLY: f64 = 0.25;
/// Trouble from which a host is suspect: one failure not yet answered by successes.
const SUSPECT: f64 = 1.0;
/// Pause before the first trial of an open host (us), half as long again after each failure, up to a round.
const TRIAL_PAUSE: Micros = 700_000;
/// Part of the overload rule's budget that all senders together plan to use on a cold host.
const COLD_BUDGET: f64 = 0.9;
/// Factor by which a rough listed rate may be too high; a cold host is not to pay for it.
const ROUGH: f64 = 1.5;
/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.15;
/// Answer time taken for a route that has not answered yet (us).
const FIRST_GUESS: f64 = 300_000.0;
/// Part of the room for messages kept free, so that this module and not the door picks what is turned away.
const RESERVE: f64 = 0.06;
/// Part that is used of a limit in time: the drain's grace, the idle age at which connections were dead.
const TIME_USED: f64 = 0.7;
/// Factor each round by which what was learned and not seen again fades: that time, the highest rate served.
const FADE: f64 = 1.03;
/// Time between looks at what is held (us).
const LOOK: Micros = 10_000;
/// First pause before the registry is asked again (us), doubled with each failure.
const ASK_PAUSE: Micros = 500_000;

/// The decisions of one sender.
pub struct Brain {
    settings: Settings,
    seed: u64,
    now: Micros,
    state: State,
    /// How long what waits for a destination will take to go.
    outlook: BTreeMap<DestinationId, Micros>,
    round_at: Micros,
    wake_at: Micros,
    ask_at: Option<Micros>,
    ask_pause: Micros,
    urgent_memo: bool,
    /// Idle time from which connections are taken for dead.
    stale_after: f64,
    /// Lately on idle connections: when sent, how long idle, and the destination if the call was lost.
    reuses: Vec<(Micros, Micros, Option<DestinationId>)>,
    actions: Vec<Action>,
}

/// The reallocation that every sender runs alike: each fraction is the sender's part of all designated
/// permits; underusers pass on part of their surplus, which those that used all theirs split by fraction.
pub fn reallocate(reports: &BTreeMap<u16, Report>) -> BTreeMap<u16, f64> {
    let total: f64 = reports.values().map(|report| report.designated).sum();
    let fraction = |r: &Report| r.designated / total.max(f64::MIN_POSITIVE);
    let is_full = |r: &Report| r.used > 0.0 && r.used + 1.0 > r.designated; // whole permits
    let full: f64 = reports.values().filter(|r| is_full(r)).map(fraction).sum();
    let part = if full > 0.0 { PASSED_ON } else { 0.0 };
    let surplus = |r: &Report| fraction(r) * (1.0 - r.used / r.designated.max(1e-9)).max(0.0) * part;
    let passed: f64 = reports.values().filter(|r| !is_full(r)).map(surplus).sum();
    let gain = |r: &Report| if is_full(r) { passed * fraction(r) / full } else { -surplus(r) };
    reports.iter().map(|(sender, r)| (*sender, fraction(r) + gain(r))).collect()
}

/// The pool's source, in the design's order; the last is the rate that was seen to be served.
fn source(route: &Route) -> f64 {
    route.told.or(route.listed).unwrap_or(route.peak).max(LEAST_POOL)
}

/// What a sender would report of the round so far.
fn report(route: &Route) -> Report {
    let designated = if route.bound { route.share * route.pool * seconds(ROUND) } else { route.used };
    Report { designated, used: route.used, refused: route.refused }
}

/// A sender's pace in calls a second. Departure: slack that nobody used last round is lent evenly, so that a
/// clump at a sender trimmed before need not wait. Harm: all may draw on it at once, for a round at most.
fn pace(route: &Route, senders: f64) -> f64 {
    route.share * route.pool + route.slack / senders
}

/// Closes a round: fresh reports and the own one decide pool, slack and share.
fn close_round(route: &mut Route, me: u16, senders: f64, now: Micros, may_exceed: bool) {
    route.reports.retain(|_, (at, _)| *at + EXPIRY > now);
    let mut reports: BTreeMap<u16, Report> = route.reports.iter().map(|(from, (_, r))| (*from, *r)).collect();
    reports.insert(me, report(route));
    let used = reports.values().map(|r| r.used).sum::<f64>() / seconds(ROUND);
    let refused = reports.values().map(|r| r.refused).sum::<f64>() / seconds(ROUND);
    let served = (used - refused).max(0.0);
    route.peak = served.max(route.peak / FADE);
    if route.bound {
        if refused > 0.0 && served > 0.0 {
            route.pool = (route.pool * CUT).max(served).max(source(route) * LEAST_POOL_PART);
        } else if refused == 0.0 && used > route.pool * WELL_USED {
            let most = if may_exceed && route.told.is_none() { f64::MAX } else { source(route) };
            route.pool = (route.pool * REGROWTH).min(most.max(route.pool));
        }
        route.slack = if refused > 0.0 { 0.0 } else { (route.pool - used).max(0.0) };
        route.share = reallocate(&reports)[&me].max(LEAST_SHARE / senders);
    }
    for (_, report) in route.reports.values_mut() {
        report.refused = 0.0; // each refusal cuts the pool once
    }
    (route.used, route.refused) = (0.0, 0.0);
}

/// How long no sign of life from a route's host is borne.
fn patience(route: &Route) -> Micros {
    let (least, most) = PATIENCE_BOUNDS;
    ((route.answer_time + PATIENCE * route.deviation) as Micros).clamp(least, most)
}

fn suspect(host: &Host, now: Micros) -> bool {
    (host.trouble >= SUSPECT && now < host.bad_at + ROUND) || now < host.warned_at + EXPIRY
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

impl Brain {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Brain {
            seed,
            now: 0,
            state: State::default(),
            outlook: BTreeMap::new(),
            round_at: seed % ROUND, // apart from the peers' rounds
            wake_at: 0,
            ask_at: settings.ask_registry.then_some(0),
            ask_pause: ASK_PAUSE,
            urgent_memo: false,
            stale_after: f64::MAX,
            reuses: Vec::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes all events of one batch, then decides once.
    pub fn step(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        if self.now == 0 {
            self.round_at += now;
        }
        self.now = now;
        for event in events {
            match event {
                Event::Registry(news) => self.learn(news),
                Event::Message(request) => self.state.accept(request, &self.settings.classes),
                Event::Withdrawn(id) => self.state.end(id, now),
                Event::Timer => {}
                Event::Ended(ended) => self.conclude(ended),
                Event::Probed { host, outcome, limit } => self.judge(host, outcome, now, limit),
                Event::Peer { from, bytes } => self.hear(from, &bytes),
            }
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            self.actions.push(Action::Subscribe);
        }
        self.close_rounds();
        self.look_ahead();
        self.expire();
        self.watch_health();
        self.shed();
        self.dispatch();
        let next = if self.state.messages.is_empty() { self.round_at } else { now + LOOK };
        let next = next.min(self.round_at).min(self.ask_at.unwrap_or(Micros::MAX)).max(now + 1);
        if self.wake_at <= now || next < self.wake_at {
            self.wake_at = next;
            self.actions.push(Action::Wake(next));
        }
        std::mem::take(&mut self.actions)
    }

    fn senders(&self) -> f64 {
        f64::from(self.settings.senders.max(1))
    }

    fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[message.request.class]
    }

    fn close_rounds(&mut self) {
        if self.now >= self.round_at {
            self.round_at = self.now + ROUND;
            self.fill();
            self.tell_peers(true);
            let (senders, may_exceed) = (self.senders(), self.settings.listing != Listing::Nominal);
            for route in self.state.routes.values_mut() {
                close_round(route, self.settings.me, senders, self.now, may_exceed);
            }
            self.stale_after *= FADE;
            for (count, mean) in self.state.demand.values_mut() {
                *mean += (std::mem::take(count) - *mean) * 2.0 * SAMPLE;
            }
        } else if self.urgent_memo {
            self.tell_peers(false);
        }
        self.urgent_memo = false;
    }

    // ---- Intake, worth and shedding

    /// Worth of a message answered at `at`. Traffic beyond a tenant's share counts for little, and which
    /// message is beyond it can't be known here, so all of that tenant's weigh less.
    fn worth(&self, message: &Message, at: Micros) -> f64 {
        let tenant = message.request.tenant;
        let weight = self.settings.tenants.get(tenant).map_or(1.0, |quota| {
            let mean = self.state.demand.get(&tenant).map_or(0.0, |(_, mean)| *mean);
            let rate = mean / seconds(ROUND) * self.senders();
            let within = (quota.quota_per_s / rate.max(1e-9)).min(1.0);
            within + (1.0 - within) * self.settings.over_share_worth
        });
        weight * self.class(message).worth(self.settings.lateness, message.age(self.class(message), at))
    }

    /// How long what waits for each destination will take to go; an outage should last as long again.
    fn look_ahead(&mut self) {
        let mut counts: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for message in self.state.waiting() {
            *counts.entry(message.request.destination).or_default() += 1.0;
        }
        let outlook = |destination: DestinationId, count: f64| {
            let open = self.state.hosts_of(destination).all(|(_, host)| host.is_open());
            let outage = self.state.hosts_of(destination).map(|(_, host)| host.bad_since).min();
            let rate = |route: &Route| if route.bound { pace(route, self.senders()) } else { f64::MAX };
            let rates: f64 = self.state.routes_of(destination).map(rate).sum();
            let drain = (count / rates.max(LEAST_POOL / self.senders()) * 1e6) as Micros;
            drain.max(ROUND / 2) + outage.filter(|_| open).map_or(0, |since| self.now - since)
        };
        self.outlook = counts.into_iter().map(|(id, count)| (id, outlook(id, count))).collect();
    }

    fn horizon(&self, message: &Message) -> Micros {
        self.outlook.get(&message.request.destination).copied().unwrap_or(ROUND)
    }

    /// Danger: the room fills with messages for a destination that can't take them, and the door then turns
    /// away better ones. Whatever fills it, those worth least when their turn may come go first.
    fn shed(&mut self) {
        let room = self.settings.most_held as f64 * (1.0 - RESERVE);
        let excess = self.state.held().count().saturating_sub(room as usize);
        if excess == 0 {
            return;
        }
        let value =
            |m: &Message| (self.worth(m, self.now + self.horizon(m)), self.worth(m, self.now), m.request.id);
        let mut waiting: Vec<_> = self.state.waiting().map(value).collect();
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, _, id) in waiting.into_iter().take(excess) {
            self.give_up(id);
        }
    }

    /// Gives the final answer now: a refusal where it is harmless to come again, else a failure.
    fn give_up(&mut self, id: MessageId) {
        let Some(message) = self.state.messages.get(&id) else { return };
        let retry_after = self.horizon(message).min(self.settings.max_retry_after);
        let harmless = State::may_refuse(message, self.class(message), self.now);
        self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.state.end(id, self.now);
    }

    /// Answers what can't be served in time any more: a message at its deadline, a waiting one already when
    /// the usual answer would come too late, a guarded one that its window no longer protects.
    fn expire(&mut self) {
        let hopeless = |message: &&Message| {
            let times = self.state.routes_of(message.request.destination).map(|route| route.answer_time);
            let waits = message.out.is_none();
            let needed = if waits { times.fold(FIRST_GUESS, f64::min) as Micros / 2 } else { 0 };
            let lapsed = waits && State::lapsed(message, self.class(message), self.now + LOOK);
            lapsed || self.now + needed >= message.request.deadline
        };
        let late: Vec<_> = self.state.held().filter(hopeless).map(|message| message.request.id).collect();
        for id in late {
            self.give_up(id);
        }
    }

    // ---- Dispatch

    /// Sends what may go, first what would lose most by going last: permits and slots are scarce.
    fn dispatch(&mut self) {
        self.fill();
        let loss = |m: &Message| {
            let soon = self.now + FIRST_GUESS as Micros;
            let loss = self.worth(m, soon) - self.worth(m, soon + self.horizon(m));
            (loss, m.request.deadline, m.request.id)
        };
        let mut waiting: Vec<_> = self.state.waiting().map(loss).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let mut bundles: BTreeMap<HostId, (u64, usize)> = BTreeMap::new();
        let mut starved = 0.0;
        for (loss, _, id) in waiting {
            let message = &self.state.messages[&id];
            // Danger: two messages of a key overtake each other. The head goes alone, after its rest.
            if !self.state.in_turn(message, self.now) {
                continue;
            }
            let destination = message.request.destination;
            let open = |id: &HostId| message.ran.is_none() && bundles.contains_key(id);
            let joined = self.state.hosts_of(destination).map(|(id, _)| id).find(open);
            if let Some(host) = joined {
                let (call, room) = bundles[&host];
                self.send(id, host, call);
                bundles.insert(host, (call, room - 1));
                bundles.retain(|_, (_, room)| *room > 0);
                continue;
            }
            let Some((host, kind)) = self.choose(message) else { continue };
            // Danger: a slow or silent destination takes all slots. None may hold more than are free.
            let free = self.settings.slots.saturating_sub(self.state.calls.len());
            let out: usize = self.state.hosts_of(destination).map(|(_, host)| host.calls).sum();
            if free == 0 || out > free {
                starved = f64::max(starved, if free == 0 { loss } else { 0.0 });
                continue;
            }
            let Some(call) = self.state.open_call(host, self.now, self.settings.idle_close) else { continue };
            let room = self.settings.kinds[kind].bundle - 1;
            if room > 0 && !self.state.calls[&call].trial {
                bundles.insert(host, (call, room));
            }
            self.send(id, host, call);
        }
        if starved > 0.0 {
            self.reclaim(starved);
        }
    }

    /// The host for a message, with its kind: a healthy one, then the least busy, then one with a connection.
    fn choose(&self, message: &Message) -> Option<(HostId, usize)> {
        let hosts = || self.state.hosts_of(message.request.destination);
        let ready = hosts().any(|(_, host)| host.lifecycle == Lifecycle::Ready);
        let grace = (self.settings.drain_grace as f64 * TIME_USED) as Micros;
        let listed = |host: &Host| match host.lifecycle {
            Lifecycle::Ready => true,
            // Danger: a drain is broken by a late send. Only the part of the grace that is safe, and only
            // where no other host exists.
            _ => !ready && self.now < host.told_at + grace,
        };
        let fit = |host: &Host| listed(host) && self.admits(host, message);
        let rank = |id: HostId, host: &Host| {
            let doubtful = suspect(host, self.now) || host.health != Health::Closed;
            (doubtful, host.calls, host.idle.is_empty(), id)
        };
        let best = hosts().filter(|(_, host)| fit(host)).min_by_key(|(id, host)| rank(*id, host));
        best.map(|(id, host)| (id, host.kind))
    }

    /// Whether a host takes this message now: wait, permits, connections, health.
    fn admits(&self, host: &Host, message: &Message) -> bool {
        let route = &self.state.routes[&host.route];
        if self.now < route.wait_until || (route.bound && route.tokens < 1.0) {
            return false;
        }
        let class = self.class(message);
        // After a refusal, or in doubt, one call at a time until one is served.
        let spent = host.calls > 0 && (route.fulls > 0 || suspect(host, self.now));
        if spent || !State::may_reach(message, class, host, self.settings.zone) {
            return false;
        }
        // Danger: a message that must not run twice dies with a failed call. It waits for a sign of health,
        // though not for ever. Covers silence, errors, resets; harms where only such messages come.
        let precious = class.effect == Effect::SingleShot && message.age(class, self.now) < class.aim;
        match host.health {
            Health::Open { retry_at, .. } => !precious && !host.trial && self.now >= retry_at,
            _ if precious && suspect(host, self.now) => false,
            Health::Closed => true,
            Health::SlowStart { .. } => host.cold_tokens >= 1.0,
        }
    }

    /// Counts permits up to now. Danger: what a cold host is sent in the rule's window passes a multiple of
    /// what it can do; each sender plans for its share of a part of that.
    fn fill(&mut self) {
        let (now, senders, settings) = (self.now, self.senders(), &self.settings);
        for route in self.state.routes.values_mut() {
            let pace = pace(route, senders);
            let most = (pace * seconds(BURST)).max(1.0);
            route.tokens = (route.tokens + pace * seconds(now - route.filled_at)).min(most);
            route.filled_at = now;
        }
        for host in self.state.hosts.values_mut() {
            let Health::SlowStart { since } = host.health else { continue };
            let route = &self.state.routes[&host.route];
            if now >= since + settings.cold_time {
                host.health = Health::Closed;
                continue;
            }
            let ramp = (now - since) as f64 / settings.cold_time as f64;
            let part = settings.cold_share + (1.0 - settings.cold_share) * ramp;
            let capacity = if route.bound { route.pool.min(source(route)) } else { source(route) };
            let rough = settings.listing == Listing::Rough && route.told.is_none();
            let capacity = if rough { capacity / ROUGH } else { capacity };
            let budget = capacity / route.hosts.max(1.0) * part * settings.overload_factor * COLD_BUDGET;
            host.cold_tokens = (host.cold_tokens + budget / senders * seconds(now - host.cold_at)).min(1.0);
            host.cold_at = now;
        }
    }

    fn send(&mut self, id: MessageId, host: HostId, call: u64) {
        let left = self.state.messages[&id].request.deadline - self.now;
        let trial = self.state.calls[&call].trial;
        let route = &self.state.routes[&self.state.hosts[&host].route];
        let timeout = if trial { left.min(2 * patience(route)) } else { left };
        self.state.join_call(call, id, self.now);
        self.actions.push(Action::Send { id, host, timeout });
    }

    /// Danger: calls that will not be answered hold the slots. The one on an open host that may still earn
    /// least is called off, where that is less than a blocked message would lose.
    fn reclaim(&mut self, loss: f64) {
        let left = |message: &Message| {
            let attempt = message.out.filter(|attempt| !self.state.calls[&attempt.call].trial)?;
            let host = self.state.hosts.get(&attempt.host).filter(|host| host.is_open())?;
            let worth = self.worth(message, self.now + (self.now - host.bad_since));
            Some((worth, attempt.call)).filter(|(worth, _)| *worth < loss)
        };
        let least = self.state.messages.values().filter_map(left).min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, call)) = least {
            self.call_off(|attempt, _| attempt.call == call);
        }
    }

    fn call_off(&mut self, which: impl Fn(&Attempt, Effect) -> bool) {
        for (id, message) in self.state.messages.iter().filter(|_| self.settings.may_cancel) {
            let effect = self.class(message).effect;
            if let Some(attempt) = message.out.filter(|attempt| which(attempt, effect)) {
                self.actions.push(Action::Cancel { id: *id, attempt: attempt.number });
            }
        }
    }

    fn conclude(&mut self, ended: Ended) {
        let Ended { id, outcome, took, closed, limit, .. } = ended;
        let closing = self.state.close_attempt(&ended, self.now, self.settings.order_rest);
        let Some((attempt, first, idle_for)) = closing else { return };
        match (self.state.host_and_route(attempt.host), outcome) {
            (Some((_, route)), Outcome::Ok) => {
                let off = took as f64 - route.answer_time;
                route.answer_time += off * SAMPLE;
                route.deviation += (off.abs() - route.deviation) * SAMPLE;
                self.reuses.extend(idle_for.map(|idle| (attempt.sent_at, idle, None)));
            }
            // Danger: a wait is broken. Each message of a call brings its own; the latest end holds.
            (Some((_, route)), Outcome::Full { wait: wait @ 1.. }) => {
                route.wait_until = route.wait_until.max(self.now + wait + LOOK);
                self.urgent_memo = true;
            }
            _ => {}
        }
        if first {
            self.judge(attempt.host, outcome, attempt.sent_at, limit);
        }
        let Some(message) = self.state.messages.get(&id) else { return };
        let once = self.class(message).effect == Effect::SingleShot;
        if closed || message.over {
            self.state.end(id, self.now);
        } else if message.attempts >= self.settings.max_attempts || (once && outcome.may_have_run()) {
            self.give_up(id);
        }
    }

    /// Books an outcome on its host and route.
    fn judge(&mut self, id: HostId, outcome: Outcome, sent_at: Micros, limit: Option<f64>) {
        let now = self.now;
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        if let Some(limit) = limit {
            let told = route.told.get_or_insert(limit);
            *told += (limit - *told) * SAMPLE;
        }
        let silent = host.heard_at <= sent_at;
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full { .. } | Outcome::Reset) {
            host.heard_at = now;
        }
        let failed = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot);
        if let (Health::Open { pause, .. }, true) = (host.health, failed) {
            let pause = (pause + pause / 2).min(ROUND);
            host.health = Health::Open { retry_at: now + pause, pause };
        }
        match outcome {
            Outcome::Ok => {
                route.fulls = 0;
                host.trouble /= 2.0;
                host.warned_at = 0;
                if host.is_open() {
                    self.recover(id);
                }
                let Some(host) = self.state.hosts.get_mut(&id) else { return };
                host.ok_at = now;
                host.failing -= host.failing * SAMPLE;
            }
            Outcome::Full { wait } => {
                route.refused += 1.0;
                if route.fulls == 0 {
                    route.full_since = now;
                }
                route.fulls += 1;
                if !route.bound {
                    route.bound = true;
                    route.pool = source(route).max(route.peak);
                }
                route.tokens = route.tokens.min(0.0);
                let pause = (FULL_PAUSE << (route.fulls - 1).min(3)).min(ROUND);
                route.wait_until = route.wait_until.max(now + pause * u64::from(wait == 0));
                // Danger: shut, not limited. A limit has room again within a round or two; what refuses all
                // for longer than the overload rule's window may come back cold.
                let since = route.full_since;
                if (now - since).max(wait) >= self.settings.overload_window {
                    self.ail(id, TRIP, since, "refuses all");
                }
            }
            Outcome::Error | Outcome::Reset => {
                host.failing += (1.0 - host.failing) * SAMPLE;
                self.ail(id, 1.0, now, "fails calls");
            }
            Outcome::Timeout if silent => self.ail(id, 1.0, sent_at, "times out"),
            Outcome::ConnectFailed => self.ail(id, TRIP, sent_at, "takes no connection"),
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        if let Some(host) = self.state.hosts.get_mut(&id) {
            host.failed |= failed;
        }
    }

    /// Books trouble that began at `since`; too much opens the host. Spells less than the overload rule's
    /// window apart are one: a host that fails most calls lets some through.
    fn ail(&mut self, id: HostId, weight: f64, since: Micros, what: &str) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        host.trouble += weight;
        if since > host.bad_at + self.settings.overload_window {
            host.bad_since = since;
            host.failed = false;
        }
        host.bad_at = self.now;
        let fallen = host.trouble >= TRIP || matches!(host.health, Health::SlowStart { .. });
        if host.is_open() || !fallen {
            return;
        }
        // Its neighbours turn suspect, since an outage mostly takes a destination whole.
        host.health = Health::Open { retry_at: self.now + TRIAL_PAUSE, pause: TRIAL_PAUSE };
        let destination = host.route.0;
        self.actions.push(Action::Log(format!("open: a host of destination {destination} {what}")));
        self.urgent_memo = true;
        self.warn(|host| host.route.0 == destination);
        // Danger: calls that hang where one host of several does. What may be repeated goes to the others.
        if self.state.hosts_of(destination).any(|(_, host)| !host.is_open()) {
            self.call_off(|attempt, effect| attempt.host == id && effect == Effect::Free);
        }
    }

    fn warn(&mut self, which: impl Fn(&Host) -> bool) {
        let closed = |host: &&mut Host| host.health == Health::Closed && which(host);
        for host in self.state.hosts.values_mut().filter(closed) {
            host.warned_at = self.now;
        }
    }

    /// A host answers again. After trouble longer than the overload rule's window it may be cold. Repeatable
    /// calls from before the trouble are lost: they go again.
    fn recover(&mut self, id: HostId) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        let since = host.bad_since;
        let mostly = host.ok_at <= since || host.failing >= MOSTLY;
        let cold = host.failed && mostly && self.now - since >= self.settings.overload_window;
        host.trouble = 0.0;
        host.health = if cold { Health::SlowStart { since: self.now } } else { Health::Closed };
        // Part of a permit at hand, by chance: many senders with small parts must not all start late.
        (host.cold_tokens, host.cold_at) = ((self.now ^ self.seed) as f64 % 1e3 / 1e3, self.now);
        host.failed = false;
        let (how, destination) = (if cold { "slow start" } else { "closed" }, host.route.0);
        self.actions.push(Action::Log(format!("{how}: a host of destination {destination} answers again")));
        if cold {
            self.call_off(|attempt, effect| {
                attempt.host == id && attempt.sent_at <= since && effect != Effect::SingleShot
            });
        }
    }

    /// Danger: a destination that takes calls and answers none eats slots and every message that must not be
    /// repeated. Covers hangs, lost machines and broken paths alike; harms where all calls are slow. One
    /// unanswered call says less than several.
    fn watch_health(&mut self) {
        let now = self.now;
        let mut unanswered: BTreeMap<HostId, (Micros, u64)> = BTreeMap::new();
        for call in self.state.calls.values_mut() {
            let Some(host) = self.state.hosts.get(&call.host) else { continue };
            let bound = patience(&self.state.routes[&host.route]);
            if now > call.sent_at + 2 * bound
                && let Some(idle) = call.idle_for.take()
            {
                self.reuses.push((call.sent_at, idle, Some(host.route.0)));
            }
            let entry = unanswered.entry(call.host).or_insert((call.sent_at, 0));
            *entry = (entry.0.min(call.sent_at), entry.1 + 1);
        }
        self.learn_staleness();
        for (id, (sent_at, count)) in unanswered {
            let Some((host, route)) = self.state.host_and_route(id) else { continue };
            let since = host.heard_at.max(sent_at);
            let patience = patience(route) + patience(route) / count;
            if !host.is_open() && now > since + patience {
                self.ail(id, TRIP, since, "is silent");
            }
        }
    }

    /// Danger: something between drops idle connections unseen; every call put on one is lost, which looks
    /// like an outage of all destinations. Where most calls on connections idle for so long or longer were
    /// lost, at two destinations or more, they are closed sooner. Covers any limit on idle time shorter than
    /// ours; harms, by handshakes, where most destinations hang at once, until the age has grown again.
    fn learn_staleness(&mut self) {
        let now = self.now;
        self.reuses.retain(|(at, _, _)| now < at + EXPIRY);
        let lost = |from: Micros| {
            let older = self.reuses.iter().filter(move |(_, idle, _)| *idle >= from);
            let places: Vec<_> = older.clone().filter_map(|(_, _, lost)| *lost).collect();
            places.len() * 2 > older.count() && places.iter().any(|place| *place != places[0])
        };
        let ages = self.reuses.iter().filter(|(_, _, lost)| lost.is_some()).map(|(_, idle, _)| *idle);
        let stale = ages.filter(|age| lost(*age)).min().map_or(f64::MAX, |age| age as f64);
        self.stale_after = self.stale_after.min(stale);
        for (id, host) in &mut self.state.hosts {
            if host.idle.first().is_some_and(|since| (now - since) as f64 >= self.stale_after * TIME_USED) {
                host.idle.clear();
                self.actions.push(Action::CloseIdle(*id));
            }
        }
    }

    // ---- Registry

    fn learn(&mut self, news: RegistryNews) {
        let whole = matches!(news, RegistryNews::Whole(_));
        let (RegistryNews::Whole(entries) | RegistryNews::Changes(entries)) = news else {
            // Danger: asking a list that is down in a loop keeps it down.
            self.ask_at = self.settings.ask_registry.then_some(self.now + self.ask_pause);
            self.ask_pause = (2 * self.ask_pause).min(self.settings.ask_within.max(ASK_PAUSE));
            return;
        };
        self.ask_pause = ASK_PAUSE;
        let share = 1.0 / self.senders();
        let new = || Route { share, answer_time: FIRST_GUESS, deviation: FIRST_GUESS, ..Route::default() };
        self.state.list(&entries, whole, |kind| self.settings.kinds[kind].routes_apart, new, self.now);
        for entry in entries.iter().filter(|_| self.settings.listing != Listing::Silent) {
            if let Some((_, route)) = self.state.host_and_route(entry.host) {
                route.listed = Some(entry.weight);
            }
        }
    }

    /// Tells the peers of busy routes, the most used first; between rounds only of waits told and outages.
    fn tell_peers(&mut self, round: bool) {
        if !self.settings.may_tell || self.settings.senders < 2 {
            return;
        }
        let record = |(id, route): (&RouteId, &Route)| {
            let ailing = self.state.hosts.values().filter(|host| host.route == *id).all(Host::is_open);
            let wait = route.wait_until.saturating_sub(self.now);
            Record { destination: id.0, host: id.1, report: report(route), ailing, wait }
        };
        let mut records: Vec<_> = self.state.routes.iter().map(record).collect();
        records
            .retain(|record| if round { record.report.used > 0.0 } else { record.wait > 0 || record.ailing });
        records.sort_by(|a, b| b.report.used.total_cmp(&a.report.used));
        if !records.is_empty() {
            self.actions.push(Action::Tell(memo::encode(&Memo { round, records })));
        }
    }

    /// A peer's word moves shares and warns; it never opens a host nor ends a wait.
    fn hear(&mut self, from: u16, bytes: &[u8]) {
        let Some(memo) = memo::decode(bytes).filter(|_| from < self.settings.senders) else { return };
        for record in memo.records {
            let id = (record.destination, record.host);
            let Some(route) = self.state.routes.get_mut(&id) else { continue };
            if memo.round {
                route.reports.insert(from, (self.now, record.report));
            }
            route.wait_until = route.wait_until.max(self.now + record.wait.min(EXPIRY));
            if record.ailing {
                self.warn(|host| host.route == id);
            }
        }
    }
}
