//! Hosts that come back: whether they may be cold, and how slowly calls go to those.

use super::*;

/// Share of calls failing from which an outage is taken to be one though some were served: well under half.
pub(super) const MOSTLY: f64 = 0.25;
/// Part of the overload rule's budget that all senders together plan to use on a cold or open host.
const COLD_BUDGET: f64 = 0.9;
/// Factor by which a rough listed rate may be too high; a cold host is not to pay for it.
const ROUGH: f64 = 1.5;

impl Brain {
    /// A host answers again. After trouble longer than the overload rule's window it may be cold.
    pub(super) fn recover(&mut self, id: HostId) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        // Danger: an answer that crossed the first failure, or came late in it, hides an outage that went on.
        let since = if host.failing >= MOSTLY { host.bad_since } else { host.bad_since.max(host.ok_at) };
        let seen = host.failed || host.trouble < TRIP; // or told
        let cold = host.cold || (seen && self.now - since >= self.settings.overload_window);
        (host.trouble, host.failed) = (0.0, false);
        let slow = Health::SlowStart { since: self.now };
        let (health, how) = if cold { (slow, "slow start") } else { (Health::Closed, "closed") };
        self.turn(id, health, how, "answers again");
    }

    /// Counts the permits of what is waited for. Danger: all together send a cold host more than it can do.
    pub(super) fn fill(&mut self) {
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
                (host.health, host.cold) = (Health::Closed, false);
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
}
