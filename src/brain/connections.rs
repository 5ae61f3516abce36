//! How long idle connections are kept, and what happens when a host's connection table is full.

use super::*;

/// Factors on the maximum idle time: after a call was lost on an idle connection, and after each round.
pub(super) const IDLE_CUT: f64 = 0.5;
pub(super) const IDLE_GROWTH: f64 = 1.1;
/// How long a kind's tables count as full (us), longer than idle connections, and when it is reported again.
const FULL_EXPIRY: Micros = 30_000_000;
const FULL_REPORT_AFTER: Micros = FULL_EXPIRY / 2;
/// Minimum calls that a sender at a host's limit sends within a connection's idle time for it to be kept.
const MIN_REUSE: f64 = 3.0;

impl Brain {
    /// Intermediaries silently drop idle connections: if a call lost on one is soon followed by one served on
    /// a new one, connections are kept for less time, unless one idle for longer still worked.
    pub(super) fn adapt_idle(&mut self, id: HostId, outcome: Outcome, idle_for: Option<Micros>) {
        let (Some(host), now) = (self.state.hosts.get_mut(&id), self.now) else { return };
        let (max_idle, reused_idle) = (&mut self.max_idle[host.kind], &mut self.reused_idle[host.kind]);
        match (outcome, idle_for) {
            (Outcome::Timeout, Some(age)) => host.lost = Some((now, reused_idle.max(age as f64 * IDLE_CUT))),
            (Outcome::Ok, Some(idle)) => *reused_idle = reused_idle.max(idle as f64),
            (Outcome::Ok, None) => {
                let lost = host.lost.take().filter(|(at, _)| now < at + self.settings.overload_window);
                *max_idle = lost.map_or(*max_idle, |(_, less)| max_idle.min(less));
            }
            _ => {}
        }
        // Refused senders would hold all connections, though they are the last to need them.
        if self.full_at[host.kind].is_some_and(|at| now < at + FULL_EXPIRY) {
            self.close_spare(id);
        }
    }

    /// Closes the idle connections to a host that are unlikely to be used again before they time out.
    fn close_spare(&mut self, id: HostId) {
        let (idle_s, senders) = (seconds(self.settings.idle_close), f64::from(self.settings.senders));
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        if !host.idle.is_empty() && max_rate(route) / route.hosts.max(1.0) / senders * idle_s < MIN_REUSE {
            host.idle.clear();
            self.actions.push(Action::CloseIdle(id));
        }
    }

    /// Senders whose idle connections fill a host's table don't notice it, so all are informed.
    pub(super) fn mark_full(&mut self, id: HostId, seen: bool) {
        let Some(Host { kind, route, .. }) = self.state.hosts.get(&id) else { return };
        let (kind, destination, now) = (*kind, route.0, self.now);
        let before = self.full_at[kind].replace(now);
        if seen && before.is_none_or(|at| now >= at + FULL_REPORT_AFTER) {
            self.send_memo(None, Purpose::Crowded, Record::of_host(destination, id, false));
        }
        if before.is_none_or(|at| now >= at + FULL_EXPIRY) {
            self.state.hosts_of_kind(kind).into_iter().for_each(|id| self.close_spare(id));
        }
    }
}
