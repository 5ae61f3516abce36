//! Every decision of a sender. Its types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path is the permit pool of docs/design.md: each sender paces each limited route to its share
//! of a pool, and each round the surplus of underusers passes to those that used all theirs. The rest guards
//! that path. Order of the parts: constants, state, pool and shares, intake and shedding, dispatch, outcomes,
//! health and slow start, registry, peers.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::memo::{self, Memo, Record};

/// Round of the reallocation (us); the design's default.
const ROUND: Micros = 2_000_000;
/// Age at which a peer's report counts no more (us); the design's default, three rounds.
const EXPIRY: Micros = 3 * ROUND;
/// Factor on the pool after a round with refusals as full; the design's quarter off.
const CUT: f64 = 0.75;
/// Factor on the pool after a well used round without refusals: slow, one cut takes many rounds to undo.
const REGROWTH: f64 = 1.04;
/// A round that used this part of the pool tests it; less tells nothing of its size.
const WELL_USED: f64 = 0.7;
/// Part of an underuser's surplus that passes on each round; half, so that one quiet round costs little.
const PASSED_ON: f64 = 0.5;
/// Permits that may be saved up while idle (us of the own pace).
const BURST: Micros = 1_000_000;
/// Pause after a refusal as full that told no wait (us), doubled with each further one up to a round.
const FULL_PAUSE: Micros = 250_000;
/// Multiples of a route's mean answer time without any sign of life that count as silence.
const PATIENCE: f64 = 5.0;
/// Least and most silence that opens a host (us): longer than a brief stall, shorter than most aims.
const PATIENCE_BOUNDS: (Micros, Micros) = (800_000, 2_500_000);
/// Trouble at which a host is opened: two failures in a row, or most calls failing.
const TRIP: f64 = 2.0;
/// Trouble from which a host is suspect: one failure not yet answered by successes.
const SUSPECT: f64 = 1.0;
/// Pause before the first trial of an open host (us), half as long again after each failed one, up to a round.
const TRIAL_PAUSE: Micros = 400_000;
/// Part of the overload rule's budget that all senders together plan to use on a cold host.
const COLD_BUDGET: f64 = 0.6;
/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.15;
/// Answer time taken for a route that has not answered yet (us).
const FIRST_GUESS: f64 = 300_000.0;
/// Part of the room for messages kept free, so that this module and not the door picks what is turned away.
const RESERVE: f64 = 0.06;
/// Part of the drain's grace that is used where no other host exists.
const GRACE_USED: f64 = 0.7;
/// Time between looks at what is held (us).
const LOOK: Micros = 10_000;
/// First pause before the registry is asked again (us), doubled with each failure.
const ASK_PAUSE: Micros = 500_000;
/// Longest wait believed from a peer (us).
const HEARSAY_MOST: Micros = 4_000_000;

/// A limit's holder: a destination, or one host of it where routes are apart.
type RouteId = (DestinationId, Option<HostId>);

#[derive(Clone, Copy, Default, PartialEq)]
enum Health {
    #[default]
    Closed,
    /// No calls but one trial at a time, from `retry_at` on.
    Open { retry_at: Micros, pause: Micros },
    /// Answers again, but may be cold.
    SlowStart { since: Micros },
}

#[derive(Default)]
struct Host {
    route: RouteId,
    kind: usize,
    zone: u16,
    lifecycle: Lifecycle,
    told_at: Micros,
    health: Health,
    trouble: f64,
    /// When the present trouble began and when it last showed.
    bad_since: Option<Micros>,
    bad_at: Micros,
    heard_at: Micros,
    trial: bool,
    calls: usize,
    /// Since when each known connection has been idle.
    idle: Vec<Micros>,
    most_calls: Option<usize>,
    cold_tokens: f64,
    cold_at: Micros,
}

/// What one sender did on a route in its last round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub designated: f64,
    pub used: f64,
    pub refused: f64,
}

#[derive(Default)]
struct Route {
    listed: f64,
    told: Option<f64>,
    bound: bool,
    /// Calls a second from all senders together.
    pool: f64,
    share: f64,
    tokens: f64,
    filled_at: Micros,
    used: f64,
    refused: f64,
    /// Highest rate served in a round.
    peak: f64,
    /// Calls a second of the pool that the last reports left unused.
    slack: f64,
    wait_until: Micros,
    full_since: Option<Micros>,
    fulls: u32,
    answer_time: f64,
    reports: BTreeMap<u16, (Micros, Report)>,
}

struct Attempt {
    number: u32,
    call: u64,
    host: HostId,
    sent_at: Micros,
}

struct Message {
    request: Request,
    attempts: u32,
    out: Option<Attempt>,
    /// When the first attempt that may have run was sent.
    ran: Option<Micros>,
    /// Answered; kept only until its attempt has an outcome.
    over: bool,
}

struct Call {
    host: HostId,
    sent_at: Micros,
    members: usize,
    trial: bool,
    judged: bool,
}

#[derive(Default)]
struct KeyQueue {
    queue: VecDeque<MessageId>,
    rest_until: Micros,
}

/// The decisions of one sender.
pub struct Brain {
    settings: Settings,
    now: Micros,
    random: u64,
    hosts: BTreeMap<HostId, Host>,
    routes: BTreeMap<RouteId, Route>,
    messages: BTreeMap<MessageId, Message>,
    keys: BTreeMap<u64, KeyQueue>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Messages of each tenant this round, and their mean rate a second.
    demand: Vec<(f64, f64)>,
    round_at: Micros,
    wake_at: Micros,
    ask_at: Option<Micros>,
    ask_pause: Micros,
    urgent_memo: bool,
    actions: Vec<Action>,
}

/// The reallocation that every sender runs alike: each fraction is the sender's part of all designated
/// permits; underusers pass on part of their surplus, which those that used all theirs split by fraction.
pub fn reallocate(reports: &BTreeMap<u16, Report>) -> BTreeMap<u16, f64> {
    let total: f64 = reports.values().map(|report| report.designated).sum();
    let even = 1.0 / reports.len().max(1) as f64;
    let fraction = |r: &Report| if total > 0.0 { r.designated / total } else { even };
    let is_full = |r: &Report| r.used + 0.5 >= r.designated;
    let full: f64 = reports.values().filter(|r| is_full(r)).map(fraction).sum();
    if full <= 0.0 {
        return reports.iter().map(|(sender, r)| (*sender, fraction(r))).collect();
    }
    let surplus = |r: &Report| fraction(r) * (1.0 - r.used / r.designated.max(1e-9)).max(0.0) * PASSED_ON;
    let passed: f64 = reports.values().filter(|r| !is_full(r)).map(surplus).sum();
    let new = |r: &Report| {
        let own = fraction(r);
        if is_full(r) { own + passed * own / full } else { own - surplus(r) }
    };
    reports.iter().map(|(sender, r)| (*sender, new(r))).collect()
}

impl Route {
    fn new(senders: u16, now: Micros) -> Self {
        let share = 1.0 / f64::from(senders.max(1));
        Route { share, filled_at: now, answer_time: FIRST_GUESS, ..Route::default() }
    }

    /// The pool's source, in the design's order; the last is the rate that was seen to be served.
    fn source(&self) -> f64 {
        let listed = Some(self.listed).filter(|rate| *rate > 0.0);
        self.told.or(listed).unwrap_or(self.peak)
    }

    /// This sender's pace in calls a second. Departure: slack that nobody used last round is lent evenly, so
    /// that a clump at a sender trimmed before need not wait; all may lend at once for one round at most.
    fn pace(&self, senders: u16) -> f64 {
        self.share * self.pool + self.slack / f64::from(senders.max(1))
    }

    fn fill(&mut self, senders: u16, now: Micros) {
        let pace = self.pace(senders);
        let most = (pace * seconds(BURST)).max(1.0);
        self.tokens = (self.tokens + pace * seconds(now - self.filled_at)).min(most);
        self.filled_at = now;
    }

    fn patience(&self) -> Micros {
        let (least, most) = PATIENCE_BOUNDS;
        ((self.answer_time * PATIENCE) as Micros).clamp(least, most)
    }

    /// Closes a round: fresh reports with the own one decide pool, slack and share.
    fn close_round(&mut self, me: u16, senders: u16, now: Micros, may_exceed: bool) {
        self.reports.retain(|_, (at, _)| *at + EXPIRY > now);
        let mut reports: BTreeMap<u16, Report> =
            self.reports.iter().map(|(from, (_, r))| (*from, *r)).collect();
        reports.insert(me, self.report());
        let used: f64 = reports.values().map(|r| r.used).sum();
        let refused: f64 = reports.values().map(|r| r.refused).sum();
        let served = (used - refused).max(0.0) / seconds(ROUND);
        self.peak = served.max(self.peak * 0.98);
        if self.bound {
            if refused > 0.0 && served > 0.0 {
                self.pool = (self.pool * CUT).max(served);
            } else if refused == 0.0 && used / seconds(ROUND) > self.pool * WELL_USED {
                let most = if may_exceed && self.told.is_none() { f64::MAX } else { self.source() };
                self.pool = (self.pool * REGROWTH).min(most.max(self.pool));
            }
            self.slack = (self.pool - used / seconds(ROUND)).max(0.0);
            if refused > 0.0 {
                self.slack = 0.0;
            }
            self.share = reallocate(&reports)[&me].max(0.25 / f64::from(senders.max(1)));
        }
        for (_, report) in self.reports.values_mut() {
            report.refused = 0.0; // each refusal cuts the pool once
        }
        (self.used, self.refused) = (0.0, 0.0);
    }

    fn report(&self) -> Report {
        let designated = if self.bound { self.share * self.pool * seconds(ROUND) } else { self.used };
        Report { designated, used: self.used, refused: self.refused }
    }
}

impl Host {
    fn is_open(&self) -> bool {
        matches!(self.health, Health::Open { .. })
    }

    fn suspect(&self, now: Micros) -> bool {
        self.trouble >= SUSPECT && now < self.bad_at + ROUND
    }
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

impl Brain {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Brain {
            now: 0,
            random: seed,
            hosts: BTreeMap::new(),
            routes: BTreeMap::new(),
            messages: BTreeMap::new(),
            keys: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            demand: vec![(0.0, 0.0); settings.tenants.len()],
            round_at: 0,
            wake_at: 0,
            ask_at: settings.ask_registry.then_some(0),
            ask_pause: ASK_PAUSE,
            urgent_memo: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes all events of one batch, then decides once.
    pub fn step(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        if self.round_at == 0 {
            self.round_at = now + ROUND / 4 + self.random() % ROUND;
        }
        for event in events {
            match event {
                Event::Registry(news) => self.learn(news),
                Event::Message(request) => self.take(request),
                Event::Withdrawn(id) => self.end(id),
                Event::Timer => {}
                Event::Outcome { id, attempt, outcome, closed, limit, took, .. } => {
                    self.conclude(id, attempt, outcome, closed, limit, took)
                }
                Event::Probed { host, outcome, limit, .. } => self.probed(host, outcome, limit),
                Event::Peer { from, bytes } => self.hear(from, &bytes),
            }
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            self.actions.push(Action::Subscribe);
        }
        self.close_rounds();
        self.expire();
        self.watch_silence();
        self.shed();
        self.dispatch();
        let next = if self.messages.is_empty() { self.round_at } else { now + LOOK };
        let next = next.min(self.round_at).min(self.ask_at.unwrap_or(Micros::MAX)).max(now + 1);
        if self.wake_at <= now || next < self.wake_at {
            self.wake_at = next;
            self.actions.push(Action::Wake(next));
        }
        std::mem::take(&mut self.actions)
    }

    fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15); // splitmix64
        let z = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    // ---- Rounds

    fn close_rounds(&mut self) {
        if self.now >= self.round_at {
            self.round_at = self.now + ROUND;
            self.tell_peers(true);
            let may_exceed = self.settings.listing != Listing::Nominal;
            for route in self.routes.values_mut() {
                route.fill(self.settings.senders, self.now);
                route.close_round(self.settings.me, self.settings.senders, self.now, may_exceed);
            }
            for (count, mean) in &mut self.demand {
                *mean += (*count / seconds(ROUND) - *mean) * 2.0 * SAMPLE;
                *count = 0.0;
            }
        } else if self.urgent_memo {
            self.tell_peers(false);
        }
        self.urgent_memo = false;
    }

    // ---- Intake, worth and shedding

    fn take(&mut self, request: Request) {
        if let Some((count, _)) = self.demand.get_mut(request.tenant) {
            *count += 1.0;
        }
        if let (Some(key), true) = (request.key, self.settings.classes[request.class].in_order) {
            self.keys.entry(key).or_default().queue.push_back(request.id);
        }
        let message = Message { request, attempts: 0, out: None, ran: None, over: false };
        self.messages.insert(request.id, message);
    }

    /// Worth of a message answered at `at`. Traffic beyond a tenant's share counts for little, and which
    /// message is beyond it can't be known here, so all of that tenant's weigh less.
    fn worth(&self, message: &Message, at: Micros) -> f64 {
        let class = &self.settings.classes[message.request.class];
        if at >= message.request.deadline {
            return 0.0;
        }
        let age = at.saturating_sub(message.request.deadline.saturating_sub(class.deadline));
        let late = age.saturating_sub(class.aim);
        let left = match self.settings.lateness {
            Lateness::Linear => {
                1.0 - (1.0 - class.late_share) * late as f64 / (class.deadline - class.aim).max(1) as f64
            }
            Lateness::Halving => 0.5f64.powf(late as f64 / class.aim.max(1) as f64).max(class.late_share),
        };
        let weight = self.settings.tenants.get(message.request.tenant).map_or(1.0, |tenant| {
            let rate = self.demand[message.request.tenant].1 * f64::from(self.settings.senders);
            let within = (tenant.quota_per_s / rate.max(1e-9)).min(1.0);
            within + (1.0 - within) * self.settings.over_share_worth
        });
        class.value * weight * left
    }

    /// How long the messages waiting for each destination will take to go. An outage is expected to last as
    /// long again as it has.
    fn horizons(&self) -> BTreeMap<DestinationId, Micros> {
        let mut waiting: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for message in self.messages.values().filter(|message| !message.over && message.out.is_none()) {
            *waiting.entry(message.request.destination).or_default() += 1.0;
        }
        let horizon = |destination: DestinationId, count: f64| {
            let hosts = || self.hosts.values().filter(move |host| host.route.0 == destination);
            let open = hosts().all(Host::is_open);
            let outage = hosts().filter_map(|host| host.bad_since).min().filter(|_| open);
            let routes = self.routes.range((destination, None)..(destination + 1, None));
            let pace: f64 = routes
                .map(|(_, r)| if r.bound { r.pace(self.settings.senders) } else { f64::from(u16::MAX) })
                .sum();
            let drain = (count / pace.max(0.1) * 1e6) as Micros;
            drain.max(ROUND / 2) + outage.map_or(0, |since| self.now - since)
        };
        waiting.into_iter().map(|(destination, count)| (destination, horizon(destination, count))).collect()
    }

    /// Danger: the room fills with messages for a destination that can't take them, and the door then turns
    /// away better ones. Whatever fills it, those worth least when their turn may come go first.
    fn shed(&mut self) {
        let held = self.messages.values().filter(|message| !message.over).count();
        let room = self.settings.most_held as f64 * (1.0 - RESERVE);
        let excess = held.saturating_sub(room as usize);
        if excess == 0 {
            return;
        }
        let horizons = self.horizons();
        let waiting = self.messages.values().filter(|message| !message.over && message.out.is_none());
        let mut waiting: Vec<_> = waiting
            .map(|m| (self.worth(m, self.now + horizons[&m.request.destination]), m.request.id))
            .collect();
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in waiting.into_iter().take(excess) {
            let horizon = horizons[&self.messages[&id].request.destination];
            self.give_up(id, horizon);
        }
    }

    /// Gives the final answer now: a refusal where it is harmless to come again, else a failure.
    fn give_up(&mut self, id: MessageId, come_back_in: Micros) {
        let message = &self.messages[&id];
        let harmless = match self.settings.classes[message.request.class].effect {
            Effect::Free => true,
            Effect::Guarded { window, group } => {
                message.ran.is_none_or(|ran| group == Group::All && self.now < ran + window)
                    && (message.out.is_none() || group == Group::All)
            }
            Effect::SingleShot => message.ran.is_none() && message.out.is_none(),
        };
        let retry_after = come_back_in.min(self.settings.max_retry_after);
        self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.end(id);
    }

    /// Marks a message as answered; it stays known while an attempt of it is out.
    fn end(&mut self, id: MessageId) {
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
        self.keys.retain(|_, entry| !entry.queue.is_empty() || entry.rest_until > self.now);
    }

    /// Answers what can't be served in time any more: a message at its deadline, a waiting one already when
    /// the usual answer would come too late, a guarded one that its window no longer protects.
    fn expire(&mut self) {
        let mut late = Vec::new();
        for (id, message) in self.messages.iter().filter(|(_, message)| !message.over) {
            let destination = message.request.destination;
            let routes = self.routes.range((destination, None)..(destination + 1, None));
            let fastest = routes.map(|(_, route)| route.answer_time).fold(f64::MAX, f64::min);
            let needed = if message.out.is_some() { 0 } else { (fastest.min(FIRST_GUESS) / 2.0) as Micros };
            let lapsed = match self.settings.classes[message.request.class].effect {
                Effect::Guarded { window, .. } if message.out.is_none() => {
                    message.ran.is_some_and(|ran| self.now + LOOK >= ran + window)
                }
                _ => false,
            };
            if self.now + needed >= message.request.deadline || lapsed {
                late.push(*id);
            }
        }
        for id in late {
            self.give_up(id, 0);
        }
    }

    // ---- Dispatch

    /// Sends what may go. Messages for one destination compete for its permits and all for the slots: first
    /// goes what would lose most by going last.
    fn dispatch(&mut self) {
        let horizons = self.horizons();
        let waiting = self.messages.values().filter(|message| !message.over && message.out.is_none());
        let mut waiting: Vec<_> = waiting
            .map(|m| {
                let at = self.now + FIRST_GUESS as Micros;
                let loss = self.worth(m, at) - self.worth(m, at + horizons[&m.request.destination]);
                (loss, m.request.deadline, m.request.id)
            })
            .collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        for route in self.routes.values_mut() {
            route.fill(self.settings.senders, self.now);
        }
        let mut bundles: BTreeMap<HostId, (u64, usize)> = BTreeMap::new();
        let mut starved = false;
        for (_, _, id) in waiting {
            let message = &self.messages[&id];
            if !self.in_turn(message) {
                continue;
            }
            let effect = self.settings.classes[message.request.class].effect;
            let destination = message.request.destination;
            let joined = self
                .hosts_of(destination)
                .find(|(id, host)| {
                    bundles.get(id).is_some_and(|(_, room)| *room > 0) && self.may_reach(message, host)
                })
                .map(|(id, _)| id);
            if let Some(host) = joined {
                let (call, room) = bundles.get_mut(&host).expect("found above");
                *room -= 1;
                let call = *call;
                self.send(id, host, call);
                continue;
            }
            let Some(host) = self.choose(message, effect) else { continue };
            let free = self.settings.slots.saturating_sub(self.calls.len());
            let out: usize = self.hosts_of(destination).map(|(_, host)| host.calls).sum();
            if free == 0 || out > free {
                // Danger: a slow or silent destination takes all slots. None may hold more than are free.
                starved |= free == 0;
                continue;
            }
            let call = self.open_call(host);
            let room = self.settings.kinds[self.hosts[&host].kind].bundle - 1;
            if room > 0 && !self.calls[&call].trial {
                bundles.insert(host, (call, room));
            }
            self.send(id, host, call);
        }
        if starved {
            self.reclaim();
        }
    }

    /// Danger: two messages of a key overtake each other. The head goes alone, after its rest.
    fn in_turn(&self, message: &Message) -> bool {
        let key = message.request.key.filter(|_| self.settings.classes[message.request.class].in_order);
        key.and_then(|key| self.keys.get(&key)).is_none_or(|entry| {
            entry.queue.front() == Some(&message.request.id) && self.now >= entry.rest_until
        })
    }

    fn hosts_of(&self, destination: DestinationId) -> impl Iterator<Item = (HostId, &Host)> {
        self.hosts.iter().filter(move |(_, host)| host.route.0 == destination).map(|(id, host)| (*id, host))
    }

    /// A guarded message that may have run goes only where repeats are dropped.
    fn may_reach(&self, message: &Message, host: &Host) -> bool {
        match self.settings.classes[message.request.class].effect {
            Effect::Guarded { group: Group::Zone, .. } if message.ran.is_some() => {
                host.zone == self.settings.zone
            }
            _ => true,
        }
    }

    fn choose(&self, message: &Message, effect: Effect) -> Option<HostId> {
        let destination = message.request.destination;
        let ready = self.hosts_of(destination).any(|(_, host)| host.lifecycle == Lifecycle::Ready);
        let grace = (self.settings.drain_grace as f64 * GRACE_USED) as Micros;
        let open = |host: &Host| match host.lifecycle {
            Lifecycle::Ready => true,
            _ => !ready && self.now < host.told_at + grace,
        };
        self.hosts_of(destination)
            .filter(|(_, host)| {
                open(host) && self.may_reach(message, host) && self.admits(host, message, effect)
            })
            .min_by_key(|(id, host)| {
                let suspect = host.suspect(self.now) || host.health != Health::Closed;
                (suspect, host.calls, host.idle.is_empty(), *id)
            })
            .map(|(id, _)| id)
    }

    /// Whether a host takes this message now: wait, permits, health, connections.
    fn admits(&self, host: &Host, message: &Message, effect: Effect) -> bool {
        let route = &self.routes[&host.route];
        if self.now < route.wait_until || (route.bound && route.tokens < 1.0) {
            return false;
        }
        // After a refusal one call at a time until one is served: the limit may still be spent by others.
        if route.fulls > 0 && host.calls > 0 {
            return false;
        }
        if host.most_calls.is_some_and(|most| host.calls >= most) {
            return false;
        }
        let class = &self.settings.classes[message.request.class];
        let age = self.now.saturating_sub(message.request.deadline.saturating_sub(class.deadline));
        // Danger: a message that must not run twice dies with a failed call. It waits for a sign of health,
        // though not for ever. Covers silence, errors, resets; harms where only such messages come.
        let precious = effect == Effect::SingleShot && age < class.aim;
        match host.health {
            Health::Closed => !(precious && host.suspect(self.now)),
            Health::Open { retry_at, .. } => !precious && !host.trial && self.now >= retry_at,
            Health::SlowStart { .. } => {
                !(precious && host.suspect(self.now)) && host.cold_tokens + self.warmth(host) >= 1.0
            }
        }
    }

    /// Permits that a cold host has earned since they were last counted. Danger: what is sent in the rule's
    /// window passes a multiple of what it can do; each sender plans for its share of a part of that.
    fn warmth(&self, host: &Host) -> f64 {
        let Health::SlowStart { since } = host.health else { return 0.0 };
        let route = &self.routes[&host.route];
        let hosts = self.hosts.values().filter(|other| other.route == host.route).count().max(1) as f64;
        let ramp = ((self.now - since) as f64 / self.settings.cold_time.max(1) as f64).min(1.0);
        let part = self.settings.cold_share + (1.0 - self.settings.cold_share) * ramp;
        let capacity = if route.bound { route.pool.min(route.source()) } else { route.source() } / hosts;
        let budget = capacity.max(0.5) * part * self.settings.overload_factor * COLD_BUDGET;
        budget / f64::from(self.settings.senders.max(1)) * seconds(self.now - host.cold_at)
    }

    fn open_call(&mut self, id: HostId) -> u64 {
        let now = self.now;
        let warm = self.warmth(&self.hosts[&id]);
        let host = self.hosts.get_mut(&id).expect("chosen from the list");
        let route = self.routes.get_mut(&host.route).expect("every host has a route");
        route.tokens -= 1.0;
        route.used += 1.0;
        host.cold_tokens = (host.cold_tokens + warm).min(1.0) - 1.0;
        host.cold_at = now;
        host.calls += 1;
        let kept = now.saturating_sub(self.settings.idle_close);
        host.idle.retain(|since| *since > kept);
        host.idle.pop();
        let trial = host.is_open();
        host.trial |= trial;
        self.next_call += 1;
        let call = Call { host: id, sent_at: now, members: 0, trial, judged: false };
        self.calls.insert(self.next_call, call);
        self.next_call
    }

    fn send(&mut self, id: MessageId, host: HostId, call: u64) {
        let message = self.messages.get_mut(&id).expect("waiting");
        let entry = self.calls.get_mut(&call).expect("opened before");
        entry.members += 1;
        let left = message.request.deadline - self.now;
        let patience = self.routes[&self.hosts[&host].route].patience();
        let timeout = if entry.trial { left.min(2 * patience) } else { left };
        message.out = Some(Attempt { number: message.attempts, call, host, sent_at: self.now });
        message.attempts += 1;
        self.actions.push(Action::Send { id, host, timeout });
    }

    /// Danger: calls that will not be answered hold the slots. The oldest on an open host is called off.
    fn reclaim(&mut self) {
        let open = |call: &Call| self.hosts.get(&call.host).is_some_and(Host::is_open) && !call.trial;
        let oldest = self.calls.iter().filter(|(_, call)| open(call)).min_by_key(|(_, call)| call.sent_at);
        if let Some((call, _)) = oldest {
            let call = *call;
            self.call_off(|attempt, _| attempt.call == call);
        }
    }

    fn call_off(&mut self, which: impl Fn(&Attempt, &Message) -> bool) {
        if !self.settings.may_cancel {
            return;
        }
        for (id, message) in &self.messages {
            if let Some(attempt) = message.out.as_ref().filter(|attempt| which(attempt, message)) {
                self.actions.push(Action::Cancel { id: *id, attempt: attempt.number });
            }
        }
    }

    // ---- Outcomes

    fn conclude(
        &mut self, id: MessageId, number: u32, outcome: Outcome, closed: bool, limit: Option<f64>,
        took: Micros,
    ) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(attempt) = message.out.take_if(|attempt| attempt.number == number) else { return };
        let (over, request, attempts) = (message.over, message.request, message.attempts);
        let unclear =
            matches!(outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if unclear {
            message.ran.get_or_insert(attempt.sent_at);
            if outcome != Outcome::Error
                && let Some(entry) = request.key.and_then(|key| self.keys.get_mut(&key))
            {
                entry.rest_until = self.now + self.settings.order_rest;
            }
        }
        self.settle(&attempt, outcome, limit, took);
        let class = &self.settings.classes[request.class];
        if closed || over {
            self.end(id);
        } else if attempts >= self.settings.max_attempts || (unclear && class.effect == Effect::SingleShot) {
            self.give_up(id, 0);
        }
    }

    /// Books an outcome on its call, host and route. Messages of one call share its fate: it counts once.
    fn settle(&mut self, attempt: &Attempt, outcome: Outcome, limit: Option<f64>, took: Micros) {
        let call = self.calls.get_mut(&attempt.call).expect("out until its last outcome");
        call.members -= 1;
        let (first, last, trial) = (!call.judged, call.members == 0, call.trial);
        call.judged = true;
        if last {
            self.calls.remove(&attempt.call);
        }
        let Some(host) = self.hosts.get_mut(&attempt.host) else { return };
        if last {
            host.calls -= 1;
            host.trial &= !trial;
            if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full { .. }) {
                host.idle.push(self.now);
            }
        }
        let route = self.routes.get_mut(&host.route).expect("every host has a route");
        if outcome == Outcome::Ok {
            route.answer_time += (took as f64 - route.answer_time) * SAMPLE;
        }
        if first {
            self.judge(attempt.host, outcome, attempt.sent_at, limit);
        }
    }

    fn probed(&mut self, host: HostId, outcome: Outcome, limit: Option<f64>) {
        if self.hosts.contains_key(&host) {
            self.judge(host, outcome, self.now, limit);
        }
    }

    // ---- Health, outage and slow start

    fn judge(&mut self, id: HostId, outcome: Outcome, sent_at: Micros, limit: Option<f64>) {
        let now = self.now;
        let host = self.hosts.get_mut(&id).expect("checked by the callers");
        let route = self.routes.get_mut(&host.route).expect("every host has a route");
        if let Some(limit) = limit {
            let told = route.told.get_or_insert(limit);
            *told += (limit - *told) * SAMPLE;
        }
        let silent = host.heard_at <= sent_at;
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full { .. } | Outcome::Reset) {
            host.heard_at = now;
        }
        match outcome {
            Outcome::Ok => {
                let full_since = route.full_since.take();
                route.fulls = 0;
                host.trouble /= 2.0;
                if host.trouble < SUSPECT && !host.is_open() && now > host.bad_at + ROUND {
                    host.bad_since = None;
                }
                let since = host.bad_since.into_iter().chain(full_since).min();
                if host.is_open() || full_since.is_some_and(|at| now - at >= self.settings.overload_window) {
                    self.recover(id, since.unwrap_or(now));
                }
            }
            Outcome::Full { wait } => {
                route.refused += 1.0;
                route.fulls += 1;
                let since = *route.full_since.get_or_insert(now);
                if !route.bound {
                    route.bound = true;
                    route.pool = route.source().max(1.0);
                }
                route.tokens = route.tokens.min(0.0);
                let pause = FULL_PAUSE << route.fulls.min(4).saturating_sub(1);
                let until = now + if wait > 0 { wait + LOOK } else { pause.min(ROUND) };
                route.wait_until = route.wait_until.max(until);
                self.urgent_memo |= wait > 0;
                // Danger: shut, not limited. A limit has room again within a round or two; what refuses all
                // for longer than the overload rule's window may come back cold.
                if now - since >= self.settings.overload_window || wait >= self.settings.overload_window {
                    let host = self.hosts.get_mut(&id).expect("checked by the callers");
                    host.bad_since.get_or_insert(since);
                    host.bad_at = now;
                    self.trip(id, "refuses all");
                }
            }
            Outcome::Error | Outcome::Reset => self.ail(id, 1.0, "fails calls"),
            Outcome::Timeout if silent => self.ail(id, 1.0, "times out"),
            Outcome::ConnectFailed => {
                // Danger: a full table of connections looks like a dead host. Where calls are out or were
                // answered just now it is the former: fewer calls at once from here on.
                let lately = now < host.heard_at + self.settings.dial_timeout;
                if host.calls > 0 && lately {
                    host.most_calls = Some(host.calls.max(1));
                } else {
                    self.ail(id, TRIP, "takes no connection");
                }
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        if let Some(host) = self.hosts.get_mut(&id)
            && let Health::Open { pause, .. } = host.health
            && !matches!(outcome, Outcome::Ok | Outcome::Moot)
        {
            let pause = (pause + pause / 2).min(ROUND);
            host.health = Health::Open { retry_at: now + pause, pause };
        }
    }

    fn ail(&mut self, id: HostId, weight: f64, what: &str) {
        let host = self.hosts.get_mut(&id).expect("checked by the callers");
        host.trouble += weight;
        host.bad_since.get_or_insert(self.now);
        host.bad_at = self.now;
        if host.trouble >= TRIP || matches!(host.health, Health::SlowStart { .. }) {
            self.trip(id, what);
        }
    }

    /// Opens a host. Its neighbours turn suspect, since an outage mostly takes a destination whole. Repeatable
    /// calls out there are called off: they would hold slots until the end.
    fn trip(&mut self, id: HostId, what: &str) {
        let host = self.hosts.get_mut(&id).expect("checked by the callers");
        if host.is_open() {
            return;
        }
        host.health = Health::Open { retry_at: self.now + TRIAL_PAUSE, pause: TRIAL_PAUSE };
        let destination = host.route.0;
        self.actions.push(Action::Log(format!("open: a host of destination {destination} {what}")));
        for other in self.hosts.values_mut().filter(|other| other.route.0 == destination) {
            if other.health == Health::Closed {
                other.trouble = other.trouble.max(SUSPECT);
                other.bad_at = self.now;
            }
        }
        self.urgent_memo = true;
        let free = self.settings.classes.iter().map(|class| class.effect == Effect::Free).collect::<Vec<_>>();
        self.call_off(|attempt, message| attempt.host == id && free[message.request.class]);
    }

    /// A host answers again. After trouble longer than the overload rule's window it may be cold.
    fn recover(&mut self, id: HostId, since: Micros) {
        let host = self.hosts.get_mut(&id).expect("checked by the callers");
        host.trouble = 0.0;
        host.bad_since = None;
        let cold = self.now - since >= self.settings.overload_window;
        host.health = if cold { Health::SlowStart { since: self.now } } else { Health::Closed };
        (host.cold_tokens, host.cold_at) = (0.0, self.now);
        let destination = host.route.0;
        let how = if cold { "slow start" } else { "closed" };
        self.actions.push(Action::Log(format!("{how}: a host of destination {destination} answers again")));
    }

    /// Danger: a destination that takes calls and answers none eats slots and every message that must not be
    /// repeated. Covers hangs, lost machines and broken paths alike; harms where all calls are slow.
    fn watch_silence(&mut self) {
        let now = self.now;
        let mut oldest: BTreeMap<HostId, Micros> = BTreeMap::new();
        for call in self.calls.values() {
            let at = oldest.entry(call.host).or_insert(call.sent_at);
            *at = (*at).min(call.sent_at);
        }
        for (id, sent_at) in oldest {
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            let since = host.heard_at.max(sent_at);
            let patience = self.routes[&host.route].patience();
            let patience = if host.suspect(now) { patience / 2 } else { patience };
            if !host.is_open() && now > since + patience {
                host.bad_since.get_or_insert(since);
                host.bad_at = now;
                self.trip(id, "is silent");
            }
        }
        for host in self.hosts.values_mut() {
            if let Health::SlowStart { since } = host.health
                && now > since + self.settings.cold_time
            {
                host.health = Health::Closed;
            }
        }
    }

    // ---- Registry

    fn learn(&mut self, news: RegistryNews) {
        let entries = match news {
            RegistryNews::Failed => {
                self.ask_at = self.settings.ask_registry.then_some(self.now + self.ask_pause);
                self.ask_pause = (2 * self.ask_pause).min(self.settings.ask_within.max(ASK_PAUSE));
                return;
            }
            RegistryNews::Whole(entries) => {
                let listed: Vec<HostId> = entries.iter().map(|entry| entry.host).collect();
                for (id, host) in &mut self.hosts {
                    if !listed.contains(id) && host.lifecycle != Lifecycle::Gone {
                        if host.lifecycle == Lifecycle::Ready {
                            host.told_at = self.now;
                        }
                        host.lifecycle = Lifecycle::Gone;
                    }
                }
                entries
            }
            RegistryNews::Changes(entries) => entries,
        };
        self.ask_pause = ASK_PAUSE;
        for entry in entries {
            self.list(&entry);
        }
        self.hosts.retain(|_, host| {
            host.lifecycle != Lifecycle::Gone || host.calls > 0 || host.told_at == self.now
        });
    }

    fn list(&mut self, entry: &Listed) {
        let now = self.now;
        let apart = self.settings.kinds[entry.kind].routes_apart;
        let route_id = (entry.destination, apart.then_some(entry.host));
        let senders = self.settings.senders;
        if entry.lifecycle != Lifecycle::Gone {
            let route = self.routes.entry(route_id).or_insert_with(|| Route::new(senders, now));
            if self.settings.listing != Listing::Silent {
                route.listed = entry.weight;
            }
        } else if !self.hosts.contains_key(&entry.host) {
            return;
        }
        let new =
            Host { route: route_id, kind: entry.kind, zone: entry.zone, heard_at: now, ..Host::default() };
        let host = self.hosts.entry(entry.host).or_insert(new);
        if host.lifecycle == Lifecycle::Ready && entry.lifecycle != Lifecycle::Ready {
            host.told_at = now;
        }
        host.lifecycle = entry.lifecycle;
    }

    // ---- Peers

    /// Tells the peers of busy routes, the most used first; between rounds only of waits told and outages.
    fn tell_peers(&mut self, round: bool) {
        if !self.settings.may_tell || self.settings.senders < 2 {
            return;
        }
        let record = |(id, route): (&RouteId, &Route)| Record {
            destination: id.0,
            host: id.1,
            designated: route.report().designated,
            used: route.used,
            refused: route.refused,
            ailing: self.hosts.values().filter(|host| host.route == *id).all(Host::is_open),
            wait: route.wait_until.saturating_sub(self.now),
        };
        let mut records: Vec<_> = self.routes.iter().map(record).collect();
        records.retain(|record| if round { record.used > 0.0 } else { record.wait > 0 || record.ailing });
        records.sort_by(|a, b| b.used.total_cmp(&a.used));
        if !records.is_empty() {
            self.actions.push(Action::Tell(memo::encode(&Memo { round, records })));
        }
    }

    /// A peer's word moves shares and warns; it never opens a host nor ends a wait.
    fn hear(&mut self, from: u16, bytes: &[u8]) {
        let Some(memo) = memo::decode(bytes).filter(|_| from < self.settings.senders) else { return };
        for record in memo.records {
            let id = (record.destination, record.host);
            let Some(route) = self.routes.get_mut(&id) else { continue };
            if memo.round {
                let Record { designated, used, refused, .. } = record;
                route.reports.insert(from, (self.now, Report { designated, used, refused }));
            }
            route.wait_until = route.wait_until.max(self.now + record.wait.min(HEARSAY_MOST));
            for host in self.hosts.values_mut().filter(|host| record.ailing && host.route == id) {
                host.trouble = host.trouble.max(SUSPECT);
                host.bad_at = self.now;
            }
        }
    }
}
