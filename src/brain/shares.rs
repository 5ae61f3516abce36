//! The permit pool of a limited route: rounds, the senders' shares, and their reports.

use super::*;

/// Factor on the pool after a round with refusals; the design cuts a quarter.
const POOL_DECREASE: f64 = 0.75;
/// Factor on the pool after a well-used round without refusals: slow, one cut takes three rounds to undo.
const POOL_INCREASE: f64 = 1.12;
/// Minimum pool as part of the known limit: refusals below that have another cause, or the limit rose.
const MIN_POOL_PART: f64 = 0.75;
/// Minimum pool (calls per second): a route without a successful call is still tried.
pub(super) const MIN_POOL: f64 = 1.0;
/// Part of an even share that a sender keeps whatever it used, so that its next message need not wait long.
const MIN_SHARE: f64 = 0.25;
/// Part of the pool that a round must use to test the pool's size; less says nothing about it.
const WELL_USED: f64 = 0.7;
/// Part of an underuser's surplus that passes on each round, so that one quiet round costs little.
const PASSED_ON: f64 = 0.5;
/// Tokens saved up while idle (us at the sender's own rate).
pub(super) const BURST: Micros = 1_000_000;
/// Factor per round by which the recorded peak rate decays unless it is reached again.
const PEAK_DECAY: f64 = 1.03;

/// The reallocation, computed alike by every sender: a fraction is the sender's part of all designated
/// permits, and part of the underusers' surplus goes to senders that used all of theirs, by fraction.
pub fn reallocate(mine: &Report, all: &Report) -> f64 {
    let passed = if all.full > 0.0 { PASSED_ON } else { 0.0 };
    let gained = all.spare * mine.full / all.full.max(f64::MIN_POSITIVE);
    (mine.designated + passed * (gained - mine.spare)) / all.designated.max(f64::MIN_POSITIVE)
}

/// An even share. Unlike in the design it is at least one permit a round: with many senders it would be less,
/// though few of them use the route. The pool may be overspent until reports arrive.
fn even_share(route: &Route, senders: f64) -> f64 {
    let least = if route.adapts_alone() { 0.0 } else { 1.0 / (route.pool * seconds(ROUND)) };
    (1.0 / senders).max(least).min(1.0)
}

/// The limit as best known, in the design's order; the last choice is the rate seen to succeed.
pub(super) fn max_rate(route: &Route) -> f64 {
    route.told_limit.or(route.listed).unwrap_or(route.peak).max(MIN_POOL)
}

/// This sender's report on the round so far. One with messages waiting has no surplus.
pub(super) fn report(route: &Route, has_waiting: bool) -> Report {
    let designated = if route.is_limited { route.share * route.pool * seconds(ROUND) } else { route.used };
    let is_full = has_waiting || (route.used > 0.0 && route.used + 1.0 > designated); // whole permits
    let (full, spare) = if is_full { (designated, 0.0) } else { (0.0, designated - route.used) };
    let (limits, tellers) = route.round_limit.map_or((0.0, 0.0), |rate| (rate, 1.0));
    let (used, refused) = (route.used, route.refused);
    Report { senders: 1.0, designated, full, spare, used, refused, limits, tellers }
}

/// A sender's rate in calls per second. Unlike in the design, unused permits are lent for a round.
pub(super) fn send_rate(route: &Route) -> f64 {
    route.share * route.pool + route.slack
}

/// Closes a round; returns whether a home saw only refusals for two. Sums combined with a later report are a
/// round old and make the shares of many senders oscillate: shares are updated as sums arrive.
fn close_round(route: &mut Route, has_waiting: bool, settings: &Settings, now: Micros) -> bool {
    route.refill(send_rate(route), seconds(BURST), now);
    let mine = report(route, has_waiting);
    route.pending_report = Some(mine).filter(|_| route.is_limited && !route.is_home);
    let is_deferred = route.pending_report.is_some() && route.knows_others(REPORT_EXPIRY, now);
    let all = if is_deferred { mine } else { update_share(route, mine, settings, now) };
    let all_refused = all.used - all.refused <= 0.0 && all.refused > TRIP;
    route.refused_rounds = if all_refused { route.refused_rounds + 1 } else { 0 };
    route.start_round();
    route.is_home && route.refused_rounds > 1
}

/// Updates pool, slack and share from the peers' reports and the sender's own; returns their sum.
pub(super) fn update_share(route: &mut Route, mine: Report, settings: &Settings, now: Micros) -> Report {
    let senders = f64::from(settings.senders);
    let all = route.others(settings.me, REPORT_FRESH, REPORT_EXPIRY, now) + mine;
    // Without this, senders that call once a round notice a moved limit after many rounds, or by refusals.
    all.limit().filter(|rate| *rate >= MIN_POOL).into_iter().for_each(|rate| route.update_limit(rate, 1.0));
    let (used, refused) = (all.used / seconds(ROUND), all.refused / seconds(ROUND));
    let served = (used - refused).max(0.0);
    route.peak = served.max(route.peak / PEAK_DECAY);
    if route.is_limited {
        if refused > 0.0 && served > 0.0 {
            route.pool = (route.pool * POOL_DECREASE).max(served);
        } else if refused == 0.0 && used > route.pool * WELL_USED {
            route.pool *= POOL_INCREASE;
        }
        let rough = settings.weight_meaning != WeightMeaning::ExactRate && route.told_limit.is_none();
        let max_rate = max_rate(route);
        let (adapts_alone, part) = if route.adapts_alone() { (true, 1.0) } else { (false, MIN_POOL_PART) };
        route.pool = route.pool.clamp(max_rate * part, if rough { f64::MAX } else { max_rate });
        let knows_others = route.knows_others(REPORT_EXPIRY, now); // otherwise an even share
        let slack = if refused > 0.0 || !knows_others { 0.0 } else { (route.pool - used).max(0.0) };
        route.slack = slack / all.senders.max(1.0);
        let share = if knows_others { reallocate(&mine, &all) } else { even_share(route, senders) };
        // If refused calls count against a limit and no sender reports, all would retry and none succeed.
        let gained = if served * mine.full > 0.0 { MIN_SHARE / senders } else { 0.0 };
        let adapted = if refused > 0.0 { route.share * POOL_DECREASE } else { route.share + gained };
        route.share = if adapts_alone { adapted } else { share }.max(MIN_SHARE / senders);
    }
    all
}

/// Starts limiting calls to shares, without tokens at hand: many senders must not retry together.
pub(super) fn start_limiting(route: &mut Route, senders: f64, now: Micros) {
    if !route.is_limited {
        route.is_limited = true;
        route.pool = max_rate(route).max(route.peak);
        route.share = even_share(route, senders);
    }
    (route.tokens, route.refilled_at) = (0.0, now);
}

impl Brain {
    pub(super) fn close_rounds(&mut self) {
        self.timers.round_at = (self.now / ROUND + 1) * ROUND + self.seed % ROUND; // apart from the peers'
        self.report_round();
        let mut down_routes = Vec::new();
        for (id, route) in &mut self.state.routes {
            let has_waiting = self.drain_times.contains_key(&id.0);
            down_routes.extend(close_round(route, has_waiting, &self.settings, self.now).then_some(*id));
        }
        // Down rather than limited: it may come back cold, and a sender sees two refusals at most.
        for host in down_routes.into_iter().flat_map(|id| self.state.closed_hosts(id)).collect::<Vec<_>>() {
            self.record_failure(host, TRIP, self.now, "refuses all");
        }
        let most = self.settings.idle_close as f64;
        self.max_idle.iter_mut().for_each(|max_idle| *max_idle = (*max_idle * IDLE_GROWTH).min(most));
        self.reused_idle.iter_mut().for_each(|reused_idle| *reused_idle *= IDLE_CUT);
        self.state.end_round(2.0 * SAMPLE_WEIGHT, self.now);
    }
}
