//! Every decision of a sender. Its types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path is the permit pool of docs/design.md: senders pace each limited route to their shares of
//! a pool, and each round the surplus of underusers passes to those that used all. The rest guards it.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::memo::{self, Memo, Purpose, Record};
use crate::state::*;

/// Round of the reallocation (us); the design's default.
const ROUND: Micros = 2_000_000;
/// Age at which a peer's report counts no more (us); the design's default, three rounds.
const EXPIRY: Micros = 3 * ROUND;
/// Age up to which a report tells of the last round (us): a round, and time for it to come.
const FRESH: Micros = ROUND + ROUND / 4;
/// Factor on the pool after a round with refusals as full; the design's quarter off.
const CUT: f64 = 0.75;
/// Factor on the pool after a well used round without refusals: slow, one cut takes three rounds to undo.
const REGROWTH: f64 = 1.12;
/// Part of its source below which the pool never is: refusals there have another reason, or a limit rose.
const LEAST_POOL_PART: f64 = 0.75;
/// Least pool (calls a second): a route never seen to serve is tried.
const LEAST_POOL: f64 = 1.0;
/// Part of an even slice that a sender keeps whatever it used, so that its next message need not wait long.
const LEAST_SHARE: f64 = 0.25;
/// Senders that gather the reports of a route for all; with no more senders than that, all know all.
const HOMES: u16 = 3;
/// A round that used this part of the pool tests it; less tells nothing of its size.
const WELL_USED: f64 = 0.7;
/// Part of an underuser's surplus that passes on each round, so that one quiet round costs little.
const PASSED_ON: f64 = 0.5;
/// Permits saved up while idle (us of the own pace).
const BURST: Micros = 1_000_000;
/// Share of a limit that is left from which calls are not refused for it, even by late news.
const SHUT_FROM: f64 = 0.8;
/// Pause after a refusal as full without a wait (us), doubled with each further one up to a round.
const FULL_PAUSE: Micros = 250_000;
/// Mean deviations beyond a route's mean answer time without any sign of life that count as silence.
const PATIENCE: f64 = 5.0;
/// Least and most silence that opens a host (us): longer than a brief stall, shorter than most aims.
const PATIENCE_BOUNDS: (Micros, Micros) = (800_000, 2_500_000);
/// Time-out of a call in units of the above; the factor for each earlier attempt and for one that must not
/// be repeated. Danger: lost calls hold slots. Harm: work done twice.
const NEXT_PATIENCE: Micros = 2;
const LAST_PATIENCE: Micros = 8;
/// Trouble at which a host is opened: failures in a row, most calls failing, or senders that tell of some.
const TRIP: f64 = 2.0;
/// Share of calls failing from which an outage is taken to be one though some were served: well under half.
const MOSTLY: f64 = 0.25;
/// Part of the overload rule's budget that all senders together plan to use on a cold or open host.
const COLD_BUDGET: f64 = 0.9;
/// Factor by which a rough listed rate may be too high; a cold host is not to pay for it.
const ROUGH: f64 = 1.5;
/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.15;
/// Weight of a destination's newest word of its limit: noisy, and a change is to count within a few calls.
const NEWS: f64 = 0.5;
/// Answer time taken for a route that has not answered yet (us).
const FIRST_GUESS: f64 = 300_000.0;
/// Part of the room for messages kept free, so that this module and not the door picks what is turned away.
const RESERVE: f64 = 0.06;
/// Factor each round by which the highest rate served fades, if it is not seen again.
const FADE: f64 = 1.03;
/// Factors on the time for which idle connections are kept: after a call lost on one, and each round.
const KEEP_CUT: f64 = 0.5;
const KEEP_REGROWTH: f64 = 1.1;
/// How long tables of a kind count as full, longer than connections idle, and when that is told anew (us).
const CROWDED: Micros = 30_000_000;
const CROWDED_ANEW: Micros = CROWDED / 2;
/// Calls a sender should have for a host, at its limit, while a connection idles for it to be kept.
const OFTEN: f64 = 3.0;
/// Time between looks at what is held (us).
const LOOK: Micros = 25_000;
/// First pause before the registry is asked again (us), doubled with each failure.
const ASK_PAUSE: Micros = 500_000;
/// One that turns calls away: a sender's turn (us), ten calls a second by all in sum, and the longest pause.
const ASK_APART: (Micros, Micros) = (100_000, 10 * ROUND);

/// The decisions of one sender.
pub struct Brain {
    settings: Settings,
    seed: u64,
    now: Micros,
    state: State,
    /// How long what waits for a destination will take to go.
    outlook: BTreeMap<DestinationId, Micros>,
    agenda: Agenda,
    /// Idle time for which connections are kept, by kind, and the longest after which one was still of use.
    keep: Vec<f64>,
    proven: Vec<f64>,
    /// When a table of a host was last seen or told to be full, by kind.
    crowded_at: Vec<Option<Micros>>,
    /// When the caller stops; what is out by then is cut off.
    stop_at: Micros,
    actions: Vec<Action>,
}

/// The reallocation that every sender runs alike: a fraction is the sender's part of all designated permits,
/// and part of the underusers' surplus goes to those that used all theirs, by fraction.
pub fn reallocate(mine: &Report, all: &Report) -> f64 {
    let passed = if all.full > 0.0 { PASSED_ON } else { 0.0 };
    let gained = all.spare * mine.full / all.full.max(f64::MIN_POSITIVE);
    (mine.designated + passed * (gained - mine.spare)) / all.designated.max(f64::MIN_POSITIVE)
}

/// An even slice. Departure: with many senders it would be less than a permit a round, for a route that few
/// of them use; it is a permit a round at the least. Harm: an overspent pool until the reports are in.
fn even_slice(route: &Route, senders: f64) -> f64 {
    (1.0 / senders).max(1.0 / (route.pool * seconds(ROUND))).min(1.0)
}

/// The pool's source, in the design's order; the last is the rate that was seen to be served.
fn source(route: &Route) -> f64 {
    route.told.or(route.listed).unwrap_or(route.peak).max(LEAST_POOL)
}

/// Senders that gather a destination's reports; the first, in turn, speaks for all.
fn homes(destination: DestinationId, senders: u16, now: Micros) -> Vec<u16> {
    let (first, count) = (u64::from(destination) * u64::from(HOMES), u64::from(HOMES.min(senders)));
    let home = |place| ((first + (place + now / ROUND) % count) % u64::from(senders)) as u16;
    (0..count).map(home).collect()
}

/// What a sender would report of the round so far. One with messages waiting has nothing to pass on.
fn report(route: &Route, waits: bool) -> Report {
    let designated = if route.bound { route.share * route.pool * seconds(ROUND) } else { route.used };
    let is_full = waits || (route.used > 0.0 && route.used + 1.0 > designated); // whole permits
    let (full, spare) = if is_full { (designated, 0.0) } else { (0.0, designated - route.used) };
    let (limits, tellers) = route.read.map_or((0.0, 0.0), |rate| (rate, 1.0));
    let (used, refused) = (route.used, route.refused);
    Report { senders: 1.0, designated, full, spare, used, refused, limits, tellers }
}

/// A sender's pace in calls a second. Departure: slack that nobody used is lent evenly, for a round.
fn pace(route: &Route) -> f64 {
    route.share * route.pool + route.slack
}

/// Closes a round; tells a home whether all was refused for two. Danger: sums met by a later round's report
/// are a round old, and the fractions of many senders swing ever more: they settle as they come.
fn close_round(route: &mut Route, waits: bool, settings: &Settings, now: Micros) -> bool {
    route.fill(pace(route), seconds(BURST), now);
    let mine = report(route, waits);
    route.asked = Some(mine).filter(|_| route.bound && !route.is_home);
    let later = route.asked.is_some() && route.hears(EXPIRY, now);
    let all = if later { mine } else { settle(route, mine, settings, now) };
    let barren = all.used - all.refused <= 0.0 && all.refused > TRIP;
    route.barren = if barren { route.barren + 1 } else { 0 };
    route.start_round();
    route.is_home && route.barren > 1
}

/// Decides pool, slack and share by the reports at hand and the own one; tells their sum.
fn settle(route: &mut Route, mine: Report, settings: &Settings, now: Micros) -> Report {
    let senders = f64::from(settings.senders);
    let all = route.others(settings.me, FRESH, EXPIRY, now) + mine;
    // Danger: a limit moves, and senders that call it once a round learn so in many, or by refusals.
    all.limit().filter(|rate| *rate >= LEAST_POOL).into_iter().for_each(|rate| route.believe(rate, 1.0));
    let (used, refused) = (all.used / seconds(ROUND), all.refused / seconds(ROUND));
    let served = (used - refused).max(0.0);
    route.peak = served.max(route.peak / FADE);
    if route.bound {
        if refused > 0.0 && served > 0.0 {
            route.pool = (route.pool * CUT).max(served);
        } else if refused == 0.0 && used > route.pool * WELL_USED {
            route.pool *= REGROWTH;
        }
        let rough = settings.listing != Listing::Nominal && route.told.is_none();
        let source = source(route);
        route.pool = route.pool.clamp(source * LEAST_POOL_PART, if rough { f64::MAX } else { source });
        let hears = route.hears(EXPIRY, now); // nothing: an even slice
        let slack = if refused > 0.0 || !hears { 0.0 } else { (route.pool - used).max(0.0) };
        route.slack = slack / all.senders.max(1.0);
        let share = if hears { reallocate(&mine, &all) } else { even_slice(route, senders) };
        route.share = share.max(LEAST_SHARE / senders);
    }
    all
}

/// Has shares bind. No permit is at hand: many senders must not all come again together.
fn bind(route: &mut Route, senders: f64, now: Micros) {
    if !route.bound {
        route.bound = true;
        route.pool = source(route).max(route.peak);
        route.share = even_slice(route, senders);
    }
    (route.tokens, route.filled_at) = (0.0, now);
}

/// The pause after so many refusals, by chance half to one and a half as long: not all come again in step.
fn pause(refusals: u32, now: Micros, seed: u64) -> Micros {
    let pause = (FULL_PAUSE << (refusals - 1).min(3)).min(ROUND);
    (pause as f64 * (0.5 + chance(now, seed))) as Micros
}

/// How long no sign of life from a route's host is borne.
fn patience(route: &Route) -> Micros {
    let bound = (route.answer_time + PATIENCE * route.deviation) as Micros;
    bound.clamp(PATIENCE_BOUNDS.0, PATIENCE_BOUNDS.1)
}

/// Doubt in a host: its own failure of late, or a neighbour's outage, as mostly all fail together.
fn suspect(host: &Host, route: &Route, now: Micros) -> bool {
    let doubted = route.doubted_at > host.ok_at && now < route.doubted_at + EXPIRY;
    (host.trouble >= 1.0 && now < host.bad_at + ROUND) || doubted
}

impl Brain {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Brain {
            seed,
            now: 0,
            state: State::default(),
            outlook: BTreeMap::new(),
            agenda: Agenda { ask_at: settings.ask_registry.then_some(0), ..Agenda::default() },
            keep: vec![settings.idle_close as f64; settings.kinds.len()],
            proven: vec![0.0; settings.kinds.len()],
            crowded_at: vec![None; settings.kinds.len()],
            stop_at: Micros::MAX,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes all events of one batch, then decides once.
    pub fn step(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        let mut due = now >= self.agenda.look_at;
        for event in events {
            due |= !matches!(event, Event::Timer | Event::Peer { .. });
            match event {
                Event::Registry(news) => self.learn(news),
                Event::Message(request) => self.take_on(request),
                Event::Withdrawn(id) => self.state.withdraw(id, now),
                Event::Timer => {}
                Event::Stop { by } => (self.stop_at, self.agenda.round_at) = (by, by.max(ROUND) - ROUND / 2),
                Event::Ended(ended) => self.conclude(ended),
                Event::Opened { id, attempt } => self.look_again(id, attempt),
                Event::Stalled { id, attempt, stalled } => self.state.stall(id, attempt, stalled),
                Event::Probed { host, outcome, limit } => self.judge(host, outcome, now, limit),
                Event::Peer { from, bytes } => self.hear(from, &bytes),
                Event::Learnt(learnt) => self.recall(&learnt),
                Event::Retuned(settings) => self.settings = settings,
            }
        }
        if self.agenda.ask_at.take_if(|at| *at <= now).is_some() {
            self.actions.push(Action::Subscribe);
        }
        if now >= self.agenda.round_at {
            self.close_rounds();
        }
        if now >= self.agenda.look_at {
            self.agenda.look_at = now + LOOK;
            self.look_ahead();
            self.watch_health();
        }
        if due {
            self.expire();
            self.shed();
            self.dispatch();
        }
        self.actions.extend(self.agenda.wake(self.state.messages.is_empty(), now).map(Action::Wake));
        std::mem::take(&mut self.actions)
    }

    fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[message.request.class]
    }

    fn close_rounds(&mut self) {
        self.agenda.round_at = (self.now / ROUND + 1) * ROUND + self.seed % ROUND; // apart from the peers'
        self.tell_round();
        let mut shut = Vec::new();
        for (id, route) in &mut self.state.routes {
            let waits = self.outlook.contains_key(&id.0);
            shut.extend(close_round(route, waits, &self.settings, self.now).then_some(*id));
        }
        // Danger: shut, not limited: it may come back cold, and each sender sees a refusal or two at most.
        for host in shut.into_iter().flat_map(|id| self.state.closed_hosts(id)).collect::<Vec<_>>() {
            self.ail(host, TRIP, self.now, "refuses all");
        }
        let most = self.settings.idle_close as f64;
        self.keep.iter_mut().for_each(|keep| *keep = (*keep * KEEP_REGROWTH).min(most));
        self.proven.iter_mut().for_each(|proven| *proven *= KEEP_CUT);
        self.state.end_round(2.0 * SAMPLE, self.now);
    }

    /// Danger: what no host is ever listed for holds its place to its deadline. Danger: a restart forgets
    /// an outage, and what is on hand rushes at a destination that comes back cold, if it was out for long.
    fn take_on(&mut self, request: Request) {
        if request.history == History::default() && !self.state.knows(request.destination) {
            return self.actions.push(Action::Refuse { id: request.id, retry_after: 0 });
        }
        if request.history.failed_at.is_some_and(|at| at + self.settings.overload_window <= self.now) {
            for id in self.state.healthy(request.destination) {
                let slow = Health::SlowStart { since: self.now };
                self.turn(id, slow, "slow start", "failed before the restart");
            }
        }
        self.state.accept(request, &self.settings);
    }

    /// Worth of a message answered at `at`. Which is beyond its tenant's share is not known: all weigh less.
    fn worth(&self, message: &Message, at: Micros) -> f64 {
        let tenant = message.request.tenant;
        let weight = self.settings.tenants.get(tenant).map_or(1.0, |quota| {
            let rate = self.state.demand(tenant) / seconds(ROUND) * f64::from(self.settings.senders);
            let within = (quota.quota_per_s / rate.max(1e-9)).min(1.0);
            within + (1.0 - within) * self.settings.over_share_worth
        });
        weight * self.class(message).worth(self.settings.lateness, message.age(self.class(message), at))
    }

    /// How long what waits for each destination will take to go; an outage should last as long again.
    fn look_ahead(&mut self) {
        let outlook = |destination: DestinationId, count: f64| {
            let since = |host: &Host| if host.is_open() { host.bad_since } else { self.now };
            let outage = self.state.hosts_of(destination).map(|(_, host)| self.now - since(host)).min();
            let rate = |route: &Route| if route.bound { pace(route) } else { f64::MAX };
            let rates: f64 = self.state.routes_of(destination).map(rate).sum();
            let drain = (count / rates.max(LEAST_POOL / f64::from(self.settings.senders)) * 1e6) as Micros;
            drain.max(ROUND / 2) + outage.unwrap_or(0)
        };
        let counts = self.state.waiting_counts().into_iter();
        self.outlook = counts.map(|(id, count)| (id, outlook(id, count))).collect();
    }

    fn horizon(&self, message: &Message) -> Micros {
        self.outlook.get(&message.request.destination).copied().unwrap_or(ROUND)
    }

    /// Danger: the room fills, and the door turns away better ones. Those worth least in their turn go first.
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
        waiting.into_iter().take(excess).for_each(|(_, _, id)| self.give_up(id));
    }

    /// Gives the final answer now: a refusal where it is harmless to come again, else a failure.
    fn give_up(&mut self, id: MessageId) {
        let Some(message) = self.state.messages.get(&id) else { return };
        let retry_after = self.horizon(message).min(self.settings.max_retry_after);
        let harmless = State::may_refuse(message, self.class(message), self.now);
        self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.state.give_up(id, self.settings.ends_by_notice, self.now);
    }

    /// Answers what can't be served any more: too late, without attempts left, or it would run twice.
    fn expire(&mut self) {
        let hopeless = |message: &&Message| {
            let (waits, class) = (message.out.is_none(), self.class(message));
            let needed = if waits { FIRST_GUESS as Micros / 2 } else { LOOK };
            let ran = class.effect == Effect::SingleShot && message.ran.is_some();
            let spent = message.attempts >= self.settings.max_attempts || ran;
            let lapsed = State::lapsed(message, class, self.now + LOOK);
            (waits && (spent || lapsed)) || self.now + needed >= message.request.deadline
        };
        let late: Vec<_> = self.state.held().filter(hopeless).map(|message| message.request.id).collect();
        late.into_iter().for_each(|id| self.give_up(id));
        for (id, attempt) in self.state.stalled() {
            if !self.may_still_go(id) {
                self.state.stall(id, attempt, false);
                self.actions.push(Action::Cancel { id, attempt });
            }
        }
    }

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
        for (_, _, id) in waiting {
            let message = &self.state.messages[&id];
            // Danger: two messages of a key overtake each other. The head goes alone, after its rest.
            if !self.state.in_turn(message, self.now) {
                continue;
            }
            let destination = message.request.destination;
            let joined = self.state.bundle(destination, self.now).filter(|_| message.ran.is_none());
            if let Some((host, call)) = joined {
                self.send(id, host, call);
                continue;
            }
            let Some(host) = self.choose(message) else { continue };
            // Danger: a slow or silent destination takes all slots. None may hold more than are free.
            let out: usize = self.state.hosts_of(destination).map(|(_, host)| host.calls).sum();
            if self.state.calls.len() + out.max(1) > self.settings.slots {
                continue;
            }
            let Some(call) = self.state.open_call(host, self.now, &self.settings) else { continue };
            self.send(id, host, call);
        }
    }

    /// The host for a message: a healthy one, then the least busy, then one with a connection.
    fn choose(&self, message: &Message) -> Option<HostId> {
        let fit = |host: &Host| self.allows(host, message) && self.admits(host, message);
        let rank = |id: HostId, host: &Host| {
            let route = &self.state.routes[&host.route];
            let doubtful = suspect(host, route, self.now) || host.health != Health::Closed;
            (doubtful, host.calls, host.idle.is_empty(), scattered(id.0, self.seed))
        };
        let hosts = self.state.hosts_of(message.request.destination).filter(|(_, host)| fit(host));
        hosts.min_by_key(|(id, host)| rank(*id, host)).map(|(id, _)| id)
    }

    /// Whether nothing forbids a message at a host: drain, wait, stop, zone, window, deadline.
    fn allows(&self, host: &Host, message: &Message) -> bool {
        let (route, class) = (&self.state.routes[&host.route], self.class(message));
        // Danger: a stop cuts off a call that might have run, and what must not run twice is lost.
        let stops = self.now + patience(route) > self.stop_at;
        let over = message.over || self.now + LOOK >= State::until(message, class);
        let waits = self.now < route.wait_until || host.lifecycle != Lifecycle::Ready;
        !stops && !over && !waits && State::may_reach(message, class, host)
    }

    /// The second look, at the moment of writing: what was decided may break a wait or a drain told since.
    fn look_again(&mut self, id: MessageId, attempt: u32) {
        if self.may_still_go(id) {
            self.state.write(id, self.now);
            self.actions.push(Action::Write { id, attempt });
        } else {
            self.state.withhold(id, attempt, self.now);
            self.actions.push(Action::Withhold { id, attempt });
        }
    }

    /// Whether what is out and not written yet may go now. A host that was opened since takes trials only.
    fn may_still_go(&self, id: MessageId) -> bool {
        let Some((message, call, host)) = self.state.out(id) else { return false };
        (call.trial || !host.is_open()) && self.allows(host, message)
    }

    /// Whether a host takes this message now: permits, connections, health.
    fn admits(&self, host: &Host, message: &Message) -> bool {
        let (route, class) = (&self.state.routes[&host.route], self.class(message));
        // After a refusal, or in doubt, one call at a time until one is served.
        let doubtful = suspect(host, route, self.now);
        let spent = host.calls > 0 && (route.fulls > 0 || doubtful);
        if spent || self.now < host.shut_until || (route.bound && route.tokens < 1.0) {
            return false;
        }
        // Danger: one that must not run twice dies with a failed call. It waits for health, up to its aim.
        let precious = class.effect == Effect::SingleShot && message.age(class, self.now) < class.aim;
        match host.health {
            Health::Open => !precious && !host.trial && host.cold_tokens >= 1.0,
            _ if precious && doubtful => false,
            Health::Closed => true,
            Health::SlowStart { .. } => host.cold_tokens >= 1.0,
        }
    }

    /// Counts the permits of what is waited for. Danger: all together send a cold host more than it can do.
    fn fill(&mut self) {
        let (now, senders, settings) = (self.now, f64::from(self.settings.senders), &self.settings);
        let wanted = self.state.waiting_counts();
        for destination in wanted.keys() {
            self.state.routes_of_mut(*destination).for_each(|r| r.fill(pace(r), seconds(BURST), now));
        }
        let hosts = wanted.keys().flat_map(|destination| self.state.hosts_of(*destination));
        for id in hosts.map(|(id, _)| id).collect::<Vec<_>>() {
            let Some((host, route)) = self.state.host_and_route(id) else { continue };
            let ramp = match host.health {
                Health::Closed => continue,
                Health::Open => 0.0,
                Health::SlowStart { since } => seconds(now - since) / seconds(settings.cold_time),
            };
            if ramp >= 1.0 {
                host.health = Health::Closed;
                continue;
            }
            let part = settings.cold_share + (1.0 - settings.cold_share) * ramp;
            let known = if route.bound { route.pool.min(source(route)) } else { source(route) };
            let rough = settings.listing == Listing::Rough && route.told.is_none();
            let capacity = known / route.hosts.max(1.0) / if rough { ROUGH } else { 1.0 };
            // No more senders can have something to send than messages came since.
            let waiting = (capacity * seconds(now - host.bad_since)).max(1.0).min(senders);
            host.fill(capacity * part * settings.overload_factor * COLD_BUDGET / waiting, now);
        }
    }

    fn send(&mut self, id: MessageId, host: HostId, call: u64) {
        let message = &self.state.messages[&id];
        let class = self.class(message);
        // Danger: a repeat that is held up on its way arrives when its window is over.
        let (left, effect) = (State::until(message, class).saturating_sub(self.now), class.effect);
        let bound = patience(&self.state.routes[&self.state.hosts[&host].route]);
        let times = if effect == Effect::SingleShot { LAST_PATIENCE } else { NEXT_PATIENCE };
        let timeout =
            left.min((bound * times).saturating_mul(LAST_PATIENCE.saturating_pow(message.attempts)));
        self.state.join_call(call, id, self.now);
        let connect = self.settings.connect_timeout.min(timeout);
        self.actions.push(Action::Send { id, host, timeout, connect });
    }

    fn conclude(&mut self, ended: Ended) {
        let Ended { outcome, took, limit, .. } = ended;
        let closing = self.state.close_attempt(&ended, self.now, self.settings.order_rest);
        let Some((attempt, first, idle_for)) = closing else { return };
        match (self.state.host_and_route(attempt.host), outcome) {
            (Some((_, route)), Outcome::Ok) => route.answered(took, SAMPLE),
            // Each message of a call brings its own wait, the latest end holds; a shut one has its own word.
            (Some((host, _)), Outcome::Full { wait: wait @ 1.. }) => {
                let limited = limit.and_then(|limit| limit.left).is_none_or(|left| left <= SHUT_FROM);
                let id = host.route;
                self.heed_wait(id, wait, limited);
            }
            _ => {}
        }
        if first {
            self.learn_keep(attempt.host, outcome, idle_for);
            self.judge(attempt.host, outcome, attempt.sent_at, limit);
        }
    }

    /// Danger: something between drops idle connections unseen. Where a call lost on one is soon followed by
    /// one served on a new one, all are kept for less time, if none was of use after longer.
    fn learn_keep(&mut self, id: HostId, outcome: Outcome, idle_for: Option<Micros>) {
        let (Some(host), now) = (self.state.hosts.get_mut(&id), self.now) else { return };
        let (keep, proven) = (&mut self.keep[host.kind], &mut self.proven[host.kind]);
        match (outcome, idle_for) {
            (Outcome::Timeout, Some(age)) => host.lost = Some((now, proven.max(age as f64 * KEEP_CUT))),
            (Outcome::Ok, Some(idle)) => *proven = proven.max(idle as f64),
            (Outcome::Ok, None) => {
                let lost = host.lost.take().filter(|(at, _)| now < at + self.settings.overload_window);
                *keep = lost.map_or(*keep, |(_, less)| keep.min(less));
            }
            _ => {}
        }
        // Danger: those that were turned away hold all places, and are the last to need them.
        if self.crowded_at[host.kind].is_some_and(|at| now < at + CROWDED) {
            self.spare(id);
        }
    }

    /// Closes the idle connections to a host that would hardly be used again in their time.
    fn spare(&mut self, id: HostId) {
        let (keep, senders) = (seconds(self.settings.idle_close), f64::from(self.settings.senders));
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        if !host.idle.is_empty() && source(route) / route.hosts.max(1.0) / senders * keep < OFTEN {
            host.idle.clear();
            self.actions.push(Action::CloseIdle(id));
        }
    }

    /// Danger: those whose idle connections fill a host's table are not those that get none: all are told.
    fn crowd(&mut self, id: HostId, seen: bool) {
        let Some(Host { kind, route, .. }) = self.state.hosts.get(&id) else { return };
        let (kind, destination, now) = (*kind, route.0, self.now);
        let before = self.crowded_at[kind].replace(now);
        if seen && before.is_none_or(|at| now >= at + CROWDED_ANEW) {
            self.post(None, Purpose::Crowded, Record::of_host(destination, id, false));
        }
        if before.is_none_or(|at| now >= at + CROWDED) {
            self.state.of_kind(kind).into_iter().for_each(|id| self.spare(id));
        }
    }

    /// Books an outcome on its host and route.
    fn judge(&mut self, id: HostId, outcome: Outcome, sent_at: Micros, limit: Option<Allowance>) {
        let now = self.now;
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        route.tell_limit(limit, NEWS);
        let silent = host.heard_at <= sent_at;
        host.heard_at = if outcome.is_heard() { now } else { host.heard_at };
        match outcome {
            Outcome::Ok => {
                (route.fulls, host.unmet) = (0, 0);
                if host.is_open() || host.verdict_at > 0 {
                    self.recover(id);
                    self.tell(id, true);
                }
                self.state.serve(id, now, SAMPLE);
            }
            Outcome::Full { wait } => {
                route.refused += 1.0;
                route.fulls += 1;
                bind(route, f64::from(self.settings.senders), now);
                route.hold(now + pause(route.fulls, now, self.seed) * u64::from(wait == 0));
                if wait >= self.settings.overload_window || host.is_open() {
                    self.ail(id, TRIP, now, "refuses all");
                }
            }
            Outcome::Error | Outcome::Reset => {
                host.failing += (1.0 - host.failing) * SAMPLE;
                self.ail(id, 1.0, now, "fails calls");
            }
            Outcome::Timeout if silent => self.ail(id, 1.0, sent_at, "times out"),
            // A connect that failed at once may have met a full table.
            Outcome::ConnectFailed => {
                let slow = now > sent_at + PATIENCE_BOUNDS.0;
                // Danger: tried again at once, a full table takes all attempts. No permit is used.
                route.give_back();
                if !slow {
                    host.unmet += 1;
                    host.shut_until = now + pause(host.unmet, now, self.seed);
                    self.crowd(id, true);
                }
                self.ail(id, if slow { TRIP } else { TRIP / 4.0 }, sent_at, "takes no connection");
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        self.state.mark(id, !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot));
    }

    /// Books trouble since `since`; too much opens the host. Spells less than the window apart are one.
    fn ail(&mut self, id: HostId, weight: f64, since: Micros, what: &str) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        host.ail(weight, since, self.now, self.settings.overload_window);
        let fallen = host.trouble >= TRIP || matches!(host.health, Health::SlowStart { .. });
        if fallen && !host.is_open() {
            host.trouble = host.trouble.max(TRIP);
            let destination = host.route.0;
            self.turn(id, Health::Open, "open", what);
            self.state.routes_of_mut(destination).for_each(|route| route.doubted_at = self.now);
        }
        self.tell(id, false);
    }

    /// Changes a host's health. Part of a permit is at hand by chance: senders must not all start at once.
    fn turn(&mut self, id: HostId, health: Health, how: &str, what: &str) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        (host.health, host.cold_tokens, host.cold_at) = (health, chance(self.now, self.seed), self.now);
        let destination = host.route.0;
        self.actions.push(Action::Log(format!("{how}: a host of destination {destination} {what}")));
    }

    /// A host answers again. After trouble longer than the overload rule's window it may be cold.
    fn recover(&mut self, id: HostId) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        let since = host.bad_since;
        let mostly = host.ok_at <= since || host.failing >= MOSTLY;
        let seen = host.failed || host.trouble < TRIP; // or told
        let cold = seen && mostly && self.now - since >= self.settings.overload_window;
        (host.trouble, host.failed) = (0.0, false);
        let slow = Health::SlowStart { since: self.now };
        let (health, how) = if cold { (slow, "slow start") } else { (Health::Closed, "closed") };
        self.turn(id, health, how, "answers again");
    }

    /// Danger: one that answers nothing eats slots and what must not be repeated. Covers hangs, lost hosts,
    /// broken paths; harms where all calls are slow. One unanswered call says less than several.
    fn watch_health(&mut self) {
        if self.keep.iter().any(|keep| *keep < self.settings.idle_close as f64) {
            let old = self.state.close_idle(&self.keep, self.now).into_iter();
            self.actions.extend(old.map(Action::CloseIdle));
        }
        for (id, (sent_at, count)) in self.state.unanswered() {
            let Some((host, route)) = self.state.host_and_route(id) else { continue };
            let since = host.heard_at.max(sent_at);
            if !host.is_open() && self.now > since + patience(route) + patience(route) / count {
                self.ail(id, TRIP, since, "is silent");
            }
        }
    }

    fn learn(&mut self, news: RegistryNews) {
        let whole = matches!(news, RegistryNews::Whole(_));
        let (RegistryNews::Whole(entries) | RegistryNews::Changes(entries)) = news else {
            // Danger: many that ask an overloaded list at one pace keep it so: calls wait till given up.
            let (apart, senders) = (matches!(news, RegistryNews::Refused), u64::from(self.settings.senders));
            let most = if apart { ASK_APART.1 } else { self.settings.ask_within };
            let least = if apart { ASK_APART.0 * senders } else { ASK_PAUSE };
            let part = if apart { chance(self.now, self.seed) } else { 0.5 };
            let pause = (2 * self.agenda.ask_pause).max(least).min(most).max(ASK_PAUSE);
            let ask_at = self.now + (pause as f64 * (0.5 + part)) as Micros;
            let ask_at = self.settings.ask_registry.then_some(ask_at);
            return (self.agenda.ask_pause, self.agenda.ask_at) = (pause, ask_at);
        };
        self.agenda.ask_pause = 0;
        let new = |id: RouteId| Route {
            is_home: homes(id.0, self.settings.senders, 0).contains(&self.settings.me),
            answer_time: FIRST_GUESS,
            deviation: FIRST_GUESS,
            ..Route::default()
        };
        self.state.list(&entries, whole, &self.settings, new, self.now);
        // Danger: a new host of a destination that is out is as cold as the rest, and all would rush to it.
        let chance = chance(self.now, self.seed);
        entries.iter().for_each(|entry| self.state.inherit(entry.host, chance, self.now));
    }

    /// What has been learnt of hosts so far.
    pub fn learnt(&self) -> Learnt {
        self.state.learnt(self.now)
    }

    /// Takes over what an earlier sender had learnt: told limits, answer times, outages that are news yet.
    fn recall(&mut self, learnt: &Learnt) {
        let (now, apart) = (self.now, self.settings.overload_window);
        let kept = learnt.routes.iter().filter(|old| self.state.recall(old)).count();
        for (id, since) in learnt.out.iter().filter(|_| now < learnt.at + EXPIRY) {
            let Some(host) = self.state.hosts.get_mut(id) else { continue };
            host.ail(TRIP, *since, now, apart);
            (host.bad_since, host.failed) = (*since.min(&now), true);
            self.turn(*id, Health::Open, "open", "was out before the restart");
        }
        let text = format!("learnt before the restart: {kept} of {} routes kept", learnt.routes.len());
        self.actions.push(Action::Log(text));
    }

    /// Tells the homes of the routes in use of the round that ends; one of them, in turn, is asked for sums.
    fn tell_round(&mut self) {
        let (me, senders) = (self.settings.me, self.settings.senders);
        let leaves = self.now + ROUND > self.stop_at;
        let mut records = Vec::new();
        for (id, route) in &self.state.routes {
            let waits = self.outlook.contains_key(&id.0);
            let homes = if waits || route.used > 0.0 { homes(id.0, senders, self.now) } else { vec![] };
            for home in homes.iter().filter(|home| **home != me) {
                let asks = route.bound && *home == homes[0] && !route.is_home;
                // Danger: what a sender that stops had lies idle until its reports are old.
                let report = if leaves { report(route, waits).parting() } else { report(route, waits) };
                records.push((*home, Record { destination: id.0, host: id.1, report, asks, up: None }));
            }
        }
        records.into_iter().for_each(|(home, record)| self.post(Some(home), Purpose::Round, record));
    }

    /// Tells the homes of a host's trouble, or of its end, as soon as it is seen.
    fn tell(&mut self, id: HostId, up: bool) {
        let Some(destination) = self.state.hosts.get(&id).map(|host| host.route.0) else { return };
        for home in homes(destination, self.settings.senders, self.now) {
            if home == self.settings.me {
                self.weigh(home, id, up);
            } else {
                self.post(Some(home), Purpose::News, Record::of_host(destination, id, up));
            }
        }
    }

    fn post(&mut self, to: Option<u16>, purpose: Purpose, record: Record) {
        if self.settings.may_tell && self.settings.senders > 1 {
            self.actions.push(Action::Tell { to, bytes: memo::encode(&Memo { purpose, record }) });
        }
    }

    /// Danger: calls refused in a wait make it longer: who is told of a `limited` route's wait tells all.
    fn heed_wait(&mut self, id: RouteId, wait: Micros, limited: bool) {
        let Some(route) = self.state.routes.get_mut(&id) else { return };
        let until = self.now + wait + LOOK;
        if !limited || wait < FULL_PAUSE || self.settings.senders <= HOMES {
            return route.hold(until);
        }
        let news = until > route.wait_until + FULL_PAUSE;
        route.hold_paced(until);
        if news {
            self.post(None, Purpose::Wait, Record::of_wait(id, wait));
        }
    }

    /// A peer's word moves shares and may hold calls back; it never ends a wait.
    fn hear(&mut self, from: u16, bytes: &[u8]) {
        let Some(memo) = memo::decode(bytes).filter(|_| from < self.settings.senders) else { return };
        let (told, now, senders) = (memo.record, self.now, self.settings.senders);
        let (id, waits) = ((told.destination, told.host), self.outlook.contains_key(&told.destination));
        let from_home = || homes(id.0, senders, now).contains(&from);
        match (memo.purpose, told.host.zip(told.up), self.state.routes.get_mut(&id)) {
            (Purpose::News, Some((host, up)), _) => self.weigh(from, host, up),
            (Purpose::Verdict, Some((host, up)), _) if from_home() => self.heed(host, up),
            (Purpose::Crowded, Some((host, _)), _) => self.crowd(host, false),
            (Purpose::Round, None, Some(route)) => {
                route.reports.insert(from, (now, told.report));
                if told.asks {
                    let report = route.others(from, FRESH, EXPIRY, now) + report(route, waits);
                    self.post(Some(from), Purpose::Sums, Record { report, asks: false, ..told });
                }
            }
            (Purpose::Wait, None, Some(route)) => {
                // Bounded: bytes are not trusted. Danger: unpaced, all that only heard of it come at its end.
                if !route.bound {
                    bind(route, f64::from(senders), now);
                    route.tokens = chance(now, self.seed);
                }
                route.hold_paced(now + told.wait().min(EXPIRY) + LOOK);
            }
            (Purpose::Sums, None, Some(route)) => {
                route.rest = Some((now, told.report));
                if let Some(mine) = route.asked.take() {
                    route.fill(pace(route), seconds(BURST), now);
                    settle(route, mine, &self.settings, now);
                }
            }
            _ => {}
        }
    }

    /// At a home: what peers tell of a host. Danger: each of many senders would lose calls to learn of an
    /// outage and its end. Harms where a host fails only some. One slow call is none: a quorum is asked for.
    fn weigh(&mut self, from: u16, id: HostId, up: bool) {
        let (me, now) = (self.settings.me, self.now);
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        host.accuse((!up).then_some(from), EXPIRY, now);
        let all = route.others(me, FRESH, EXPIRY, now) + report(route, false);
        let served = (all.used - all.refused) / route.hosts.max(1.0);
        let known = if up { host.verdict_at > 0 } else { now < host.worded_at + ROUND };
        let stands = up || now < host.verdict_at + EXPIRY;
        let most = served * MOSTLY * (EXPIRY / ROUND) as f64;
        let enough = stands || host.accusers.len() as f64 >= TRIP.max(most);
        let destination = host.route.0;
        if known == up && enough && homes(destination, self.settings.senders, now)[0] == me {
            self.post(None, Purpose::Verdict, Record::of_host(destination, id, up));
            self.heed(id, up);
        }
    }

    /// Takes over a home's word: calls are held back, or go out again slowly.
    fn heed(&mut self, id: HostId, up: bool) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        host.word(up, self.now);
        if up && host.is_open() {
            self.recover(id);
        } else if !up && !host.is_open() {
            host.ail(0.0, self.now, self.now, self.settings.overload_window);
            self.turn(id, Health::Open, "open", "is out by the word of peers");
        }
    }
}
