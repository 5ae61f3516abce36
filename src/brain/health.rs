//! What outcomes show about hosts and routes: answer times, refusals, and failures that open the breaker.

use super::*;

/// With more than this share of a limit left, even by late data, the limit is not why a call is refused.
const MAX_LEFT: f64 = 0.8;
/// Mean deviations beyond the mean answer time after which a route's host without a sign of life is silent.
const SILENCE_DEVIATIONS: f64 = 5.0;
/// Bounds of the silence that opens a host (us): longer than a brief stall, shorter than most aims.
const SILENCE_BOUNDS: (Micros, Micros) = (800_000, 2_500_000);
/// Weight of a new limit from the destination: values are noisy, but a change must count within a few calls.
const LIMIT_WEIGHT: f64 = 0.5;

/// How long a route's host may show no sign of life before it counts as silent.
pub(super) fn max_silence(route: &Route) -> Micros {
    let bound = (route.answer_time + SILENCE_DEVIATIONS * route.deviation) as Micros;
    bound.clamp(SILENCE_BOUNDS.0, SILENCE_BOUNDS.1)
}

/// Whether a host is suspect: it failed lately, or a neighbour is out (hosts mostly fail together).
pub(super) fn is_suspect(host: &Host, route: &Route, now: Micros) -> bool {
    let doubted = route.outage_seen_at > host.ok_at && now < route.outage_seen_at + REPORT_EXPIRY;
    (host.failure_score >= 1.0 && now < host.last_failure_at + ROUND) || doubted
}

impl Brain {
    pub(super) fn finish_attempt(&mut self, ended: Ended) {
        let Ended { outcome, took, limit, .. } = ended;
        let closing = self.state.close_attempt(&ended, self.now, self.settings.order_cooldown);
        let Some((attempt, first, idle_for)) = closing else { return };
        match (self.state.host_and_route(attempt.host), outcome) {
            (Some((_, route)), Outcome::Ok) => route.answered(took, SAMPLE_WEIGHT),
            // Each message of a call has a wait, the latest end counts; an outage has its own.
            (Some((host, _)), Outcome::Rejected { wait: wait @ 1.. }) => {
                let limited = limit.and_then(|limit| limit.left).is_none_or(|left| left <= MAX_LEFT);
                let id = host.route;
                self.apply_wait(id, wait, limited);
            }
            _ => {}
        }
        if first {
            self.adapt_idle(attempt.host, outcome, idle_for);
            self.record_outcome(attempt.host, outcome, attempt.sent_at, limit);
        }
    }

    /// Records an outcome on its host and route.
    pub(super) fn record_outcome(
        &mut self, id: HostId, outcome: Outcome, sent_at: Micros, limit: Option<ReportedLimit>,
    ) {
        let now = self.now;
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        route.record_limit(limit, LIMIT_WEIGHT);
        let silent = host.heard_at <= sent_at;
        host.heard_at = if outcome.shows_host_alive() { now } else { host.heard_at };
        match outcome {
            Outcome::Ok => {
                (route.refusals_in_row, host.failed_connects) = (0, 0);
                if host.is_open() || host.declared_down_at > 0 {
                    self.recover(id);
                    self.report_health(id, true);
                }
                self.state.record_success(id, now, SAMPLE_WEIGHT);
            }
            Outcome::Rejected { wait } => {
                route.refused += 1.0;
                route.refusals_in_row += 1;
                start_limiting(route, f64::from(self.settings.senders), now);
                route.hold(now + backoff(route.refusals_in_row, now, self.seed) * u64::from(wait == 0));
                if wait >= self.settings.overload_window || host.is_open() {
                    self.record_failure(id, TRIP, now, "refuses all");
                }
            }
            Outcome::Error | Outcome::Reset => {
                host.failure_rate += (1.0 - host.failure_rate) * SAMPLE_WEIGHT;
                self.record_failure(id, 1.0, now, "fails calls");
            }
            Outcome::Timeout if silent => self.record_failure(id, 1.0, sent_at, "times out"),
            // A connection that was refused at once may have met a full connection table.
            Outcome::ConnectFailed => {
                let slow = now > sent_at + SILENCE_BOUNDS.0;
                // Retried at once, a full table takes all attempts. The attempt used no permit.
                route.return_token();
                if !slow {
                    host.failed_connects += 1;
                    host.connect_retry_at = now + backoff(host.failed_connects, now, self.seed);
                    self.mark_full(id, true);
                }
                self.record_failure(id, if slow { TRIP } else { TRIP / 4.0 }, sent_at, "takes no connection");
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.state.mark_failed(id, !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent));
    }

    /// Records failures since `since`; too many open the host. Series within the window are one.
    pub(super) fn record_failure(&mut self, id: HostId, weight: f64, since: Micros, what: &str) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        host.record_failure(weight, since, self.now, self.settings.overload_window);
        let fallen = host.failure_score >= TRIP || matches!(host.health, Health::SlowStart { .. });
        if fallen && !host.is_open() {
            host.failure_score = host.failure_score.max(TRIP);
            let destination = host.route.0;
            self.set_health(id, Health::Open, "open", what);
            self.state.routes_of_mut(destination).for_each(|route| route.outage_seen_at = self.now);
        }
        self.report_health(id, false);
    }

    /// Changes a host's health. Its tokens start at a random fraction: senders must not all start at once.
    pub(super) fn set_health(&mut self, id: HostId, health: Health, how: &str, what: &str) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        (host.health, host.cold_tokens, host.refilled_at) = (health, chance(self.now, self.seed), self.now);
        host.cold = matches!(health, Health::SlowStart { .. }) || (host.cold && health == Health::Open);
        self.actions.push(Action::Log(format!("{how}: a host of destination {} {what}", host.route.0)));
    }

    /// Opens silent hosts, as they hold slots and calls that must not be repeated: hangs, lost hosts, broken
    /// paths. Wrong where all calls are slow. One unanswered call is weaker evidence than several.
    pub(super) fn open_silent_hosts(&mut self) {
        if self.max_idle.iter().any(|max_idle| *max_idle < self.settings.idle_close as f64) {
            let old = self.state.close_idle(&self.max_idle, self.now).into_iter();
            self.actions.extend(old.map(Action::CloseIdle));
        }
        for (id, (sent_at, count)) in self.state.unanswered() {
            let Some((host, route)) = self.state.host_and_route(id) else { continue };
            let since = host.heard_at.max(sent_at);
            if !host.is_open() && self.now > since + max_silence(route) + max_silence(route) / count {
                self.record_failure(id, TRIP, since, "is silent");
            }
        }
    }
}
