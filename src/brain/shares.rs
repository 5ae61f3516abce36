//! The permit pool of a limited route: rounds, the shares of the senders, and their reports.

use super::*;

/// Factor on the pool after a round with refusals as full; the design's quarter off.
const CUT: f64 = 0.75;
/// Factor on the pool after a well used round without refusals: slow, one cut takes three rounds to undo.
const REGROWTH: f64 = 1.12;
/// Part of its source below which the pool never is: refusals there have another reason, or a limit rose.
const LEAST_POOL_PART: f64 = 0.75;
/// Least pool (calls a second): a route never seen to serve is tried.
pub(super) const LEAST_POOL: f64 = 1.0;
/// Part of an even slice that a sender keeps whatever it used, so that its next message need not wait long.
const LEAST_SHARE: f64 = 0.25;
/// A round that used this part of the pool tests it; less tells nothing of its size.
const WELL_USED: f64 = 0.7;
/// Part of an underuser's surplus that passes on each round, so that one quiet round costs little.
const PASSED_ON: f64 = 0.5;
/// Permits saved up while idle (us of the own pace).
pub(super) const BURST: Micros = 1_000_000;
/// Factor each round by which the highest rate served fades, if it is not seen again.
const FADE: f64 = 1.03;

/// The reallocation that every sender runs alike: a fraction is the sender's part of all designated permits,
/// and part of the underusers' surplus goes to those that used all theirs, by fraction.
pub fn reallocate(mine: &Report, all: &Report) -> f64 {
    let passed = if all.full > 0.0 { PASSED_ON } else { 0.0 };
    let gained = all.spare * mine.full / all.full.max(f64::MIN_POSITIVE);
    (mine.designated + passed * (gained - mine.spare)) / all.designated.max(f64::MIN_POSITIVE)
}

/// An even slice. Departure: with many senders it would be less than a permit a round, for a route that few
/// of them use; it is a permit a round at the least. Harm: an overspent pool until reports are in.
fn even_slice(route: &Route, senders: f64) -> f64 {
    let least = if route.finds_alone() { 0.0 } else { 1.0 / (route.pool * seconds(ROUND)) };
    (1.0 / senders).max(least).min(1.0)
}

/// The pool's source, in the design's order; the last is the rate that was seen to be served.
pub(super) fn source(route: &Route) -> f64 {
    route.told.or(route.listed).unwrap_or(route.peak).max(LEAST_POOL)
}

/// What a sender would report of the round so far. One with messages waiting has nothing to pass on.
pub(super) fn report(route: &Route, waits: bool) -> Report {
    let designated = if route.bound { route.share * route.pool * seconds(ROUND) } else { route.used };
    let is_full = waits || (route.used > 0.0 && route.used + 1.0 > designated); // whole permits
    let (full, spare) = if is_full { (designated, 0.0) } else { (0.0, designated - route.used) };
    let (limits, tellers) = route.read.map_or((0.0, 0.0), |rate| (rate, 1.0));
    let (used, refused) = (route.used, route.refused);
    Report { senders: 1.0, designated, full, spare, used, refused, limits, tellers }
}

/// A sender's pace in calls a second. Departure: slack that nobody used is lent evenly, for a round.
pub(super) fn pace(route: &Route) -> f64 {
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
pub(super) fn settle(route: &mut Route, mine: Report, settings: &Settings, now: Micros) -> Report {
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
        let (alone, part) = if route.finds_alone() { (true, 1.0) } else { (false, LEAST_POOL_PART) };
        route.pool = route.pool.clamp(source * part, if rough { f64::MAX } else { source });
        let hears = route.hears(EXPIRY, now); // nothing: an even slice
        let slack = if refused > 0.0 || !hears { 0.0 } else { (route.pool - used).max(0.0) };
        route.slack = slack / all.senders.max(1.0);
        let share = if hears { reallocate(&mine, &all) } else { even_slice(route, senders) };
        // Danger: refused calls use a limit up, nobody tells of it, all come again, and none is served.
        let gained = if served * mine.full > 0.0 { LEAST_SHARE / senders } else { 0.0 };
        let found = if refused > 0.0 { route.share * CUT } else { route.share + gained };
        route.share = if alone { found } else { share }.max(LEAST_SHARE / senders);
    }
    all
}

/// Has shares bind. No permit is at hand: many senders must not all come again together.
pub(super) fn bind(route: &mut Route, senders: f64, now: Micros) {
    if !route.bound {
        route.bound = true;
        route.pool = source(route).max(route.peak);
        route.share = even_slice(route, senders);
    }
    (route.tokens, route.filled_at) = (0.0, now);
}

impl Brain {
    pub(super) fn close_rounds(&mut self) {
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
}
