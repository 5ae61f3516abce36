//! Information on hosts from elsewhere: the registry's list, and what an earlier process had learnt.

use super::*;

/// First backoff before the registry is asked again (us), doubled with each failure.
const ASK_BACKOFF: Micros = 500_000;
/// Backoff after a refusal by the registry: per sender and at most (us); 1.25 of the latter is less than 6 s.
const REFUSED_BACKOFF: (Micros, Micros) = (100_000, 4_300_000);

impl Brain {
    pub(super) fn apply_registry(&mut self, news: RegistryUpdate) {
        let whole = matches!(news, RegistryUpdate::FullList(_));
        let (RegistryUpdate::FullList(entries) | RegistryUpdate::Changes(entries)) = news else {
            // Senders that retry at one pace keep a registry overloaded: calls queue until abandoned.
            let (refused, count) = (matches!(news, Overloaded), u64::from(self.settings.senders));
            let max_pause = if refused { REFUSED_BACKOFF.1 } else { self.settings.max_poll_pause };
            let min_pause = if refused { REFUSED_BACKOFF.0 * count } else { ASK_BACKOFF };
            let jitter = if refused { 0.25 + chance(self.now, self.seed) / 2.0 } else { 0.5 };
            let pause = (2 * self.timers.ask_pause).max(min_pause).min(max_pause).max(ASK_BACKOFF);
            let ask_at = self.now + (pause as f64 * (0.5 + jitter)) as Micros;
            let ask_at = self.settings.polls_registry.then_some(ask_at);
            return (self.timers.ask_pause, self.timers.ask_at) = (pause, ask_at);
        };
        self.timers.ask_pause = 0;
        let new = |id: RouteId| Route {
            is_home: homes(id.0, self.settings.senders, 0).contains(&self.settings.me),
            is_alone: !self.settings.may_message_peers && self.settings.senders > 1,
            answer_time: INITIAL_ANSWER_TIME,
            deviation: INITIAL_ANSWER_TIME,
            ..Route::default()
        };
        self.state.apply_listing(&entries, whole, &self.settings, new, self.now);
        // A new host of a destination that is out is as cold as the others, and all senders would rush to it.
        let chance = chance(self.now, self.seed);
        entries.iter().for_each(|entry| self.state.inherit_health(entry.host, chance, self.now));
    }

    pub fn learnt(&self) -> Learnt {
        self.state.learnt(self.now)
    }

    /// Restores what an earlier process had learnt: limits, answer times, and outages that are still recent.
    pub(super) fn restore_learnt(&mut self, learnt: &Learnt) {
        let (now, window) = (self.now, self.settings.overload_window);
        let kept = learnt.routes.iter().filter(|old| self.state.restore_route(old)).count();
        for (id, since) in learnt.out.iter().filter(|_| now < learnt.at + REPORT_EXPIRY) {
            let Some(host) = self.state.hosts.get_mut(id) else { continue };
            host.record_failure(TRIP, *since, now, window);
            (host.failing_since, host.failed) = (*since.min(&now), true);
            self.set_health(*id, Health::Open, "open", "was out before the restart");
        }
        let text = format!("learnt before the restart: {kept} of {} routes kept", learnt.routes.len());
        self.actions.push(Action::Log(text));
    }
}
