//! What outcomes tell of hosts and routes: answer times, refusals, and trouble that opens a host.

use super::*;

/// Share of a limit that is left from which calls are not refused for it, even by late news.
const SHUT_FROM: f64 = 0.8;
/// Mean deviations beyond a route's mean answer time without any sign of life that count as silence.
const PATIENCE: f64 = 5.0;
/// Least and most silence that opens a host (us): longer than a brief stall, shorter than most aims.
const PATIENCE_BOUNDS: (Micros, Micros) = (800_000, 2_500_000);
/// Weight of a destination's newest word of its limit: noisy, and a change is to count within a few calls.
const NEWS: f64 = 0.5;

/// How long no sign of life from a route's host is borne.
pub(super) fn patience(route: &Route) -> Micros {
    let bound = (route.answer_time + PATIENCE * route.deviation) as Micros;
    bound.clamp(PATIENCE_BOUNDS.0, PATIENCE_BOUNDS.1)
}

/// Doubt in a host: its own failure of late, or a neighbour's outage, as mostly all fail together.
pub(super) fn suspect(host: &Host, route: &Route, now: Micros) -> bool {
    let doubted = route.doubted_at > host.ok_at && now < route.doubted_at + EXPIRY;
    (host.trouble >= 1.0 && now < host.bad_at + ROUND) || doubted
}

impl Brain {
    pub(super) fn conclude(&mut self, ended: Ended) {
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

    /// Books an outcome on its host and route.
    pub(super) fn judge(&mut self, id: HostId, outcome: Outcome, sent_at: Micros, limit: Option<Allowance>) {
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
    pub(super) fn ail(&mut self, id: HostId, weight: f64, since: Micros, what: &str) {
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
    pub(super) fn turn(&mut self, id: HostId, health: Health, how: &str, what: &str) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        (host.health, host.cold_tokens, host.cold_at) = (health, chance(self.now, self.seed), self.now);
        host.cold = matches!(health, Health::SlowStart { .. }) || (host.cold && health == Health::Open);
        self.actions.push(Action::Log(format!("{how}: a host of destination {} {what}", host.route.0)));
    }

    /// Danger: one that answers nothing eats slots and what must not be repeated. Covers hangs, lost hosts,
    /// broken paths; harms where all calls are slow. One unanswered call says less than several.
    pub(super) fn watch_health(&mut self) {
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
}
