//! Recovery of hosts: whether a host may be cold, and how slowly calls to it resume.

use super::*;

/// Failure rate from which an outage is assumed though some calls succeeded: well under half.
pub(super) const OUTAGE_RATE: f64 = 0.25;
/// Part of the overload rule's budget that all senders together may use on a cold or open host.
const COLD_BUDGET: f64 = 0.9;
/// Factor by which a rough listed rate may be too high; a cold host must not be overloaded by it.
const ROUGH_FACTOR: f64 = 1.5;

impl Brain {
    /// Handles a host that answers again. After failures for longer than the window it may be cold.
    pub(super) fn recover(&mut self, id: HostId) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        // An answer that crossed the first failure, or came late, must not hide an outage.
        let since = if host.failure_rate >= OUTAGE_RATE {
            host.failing_since
        } else {
            host.failing_since.max(host.ok_at)
        };
        let observed = host.failed || host.failure_score < TRIP; // or only reported
        let cold = host.cold || (observed && self.now - since >= self.settings.overload_window);
        (host.failure_score, host.failed) = (0.0, false);
        let slow = Health::SlowStart { since: self.now };
        let (health, how) = if cold { (slow, "slow start") } else { (Health::Closed, "closed") };
        self.set_health(id, health, how, "answers again");
    }

    /// Refills the tokens that messages wait for: all senders together must not overload a cold host.
    pub(super) fn refill(&mut self) {
        let (now, senders, settings) = (self.now, f64::from(self.settings.senders), &self.settings);
        let wanted = self.state.waiting_counts();
        for destination in wanted.keys() {
            self.state.routes_of_mut(*destination).for_each(|r| r.refill(send_rate(r), seconds(BURST), now));
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
                (host.health, host.cold) = (Health::Closed, false);
                continue;
            }
            let part = settings.cold_share + (1.0 - settings.cold_share) * ramp;
            let known = if route.is_limited { route.pool.min(max_rate(route)) } else { max_rate(route) };
            let rough = settings.weight_meaning == ApproximateRate && route.told_limit.is_none();
            let capacity = known / route.hosts.max(1.0) / if rough { ROUGH_FACTOR } else { 1.0 };
            // No more senders can have something to send than messages came since.
            let waiting = (capacity * seconds(now - host.failing_since)).max(1.0).min(senders);
            host.refill(capacity * part * settings.overload_factor * COLD_BUDGET / waiting, now);
        }
    }
}
