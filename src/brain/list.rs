//! What is known of hosts from elsewhere: the registry's list, and what an earlier sender had learnt.

use super::*;

/// First pause before the registry is asked again (us), doubled with each failure.
const ASK_PAUSE: Micros = 500_000;
/// One that turns calls away: a sender's turn (us), and the longest pause; 1.25 of it are less than 6 s.
const ASK_APART: (Micros, Micros) = (100_000, 4_300_000);

impl Brain {
    pub(super) fn learn(&mut self, news: RegistryNews) {
        let whole = matches!(news, RegistryNews::Whole(_));
        let (RegistryNews::Whole(entries) | RegistryNews::Changes(entries)) = news else {
            // Danger: many that ask an overloaded list at one pace keep it so: calls wait till given up.
            let (apart, senders) = (matches!(news, RegistryNews::Refused), u64::from(self.settings.senders));
            let most = if apart { ASK_APART.1 } else { self.settings.ask_within };
            let least = if apart { ASK_APART.0 * senders } else { ASK_PAUSE };
            let part = if apart { 0.25 + chance(self.now, self.seed) / 2.0 } else { 0.5 };
            let pause = (2 * self.agenda.ask_pause).max(least).min(most).max(ASK_PAUSE);
            let ask_at = self.now + (pause as f64 * (0.5 + part)) as Micros;
            let ask_at = self.settings.ask_registry.then_some(ask_at);
            return (self.agenda.ask_pause, self.agenda.ask_at) = (pause, ask_at);
        };
        self.agenda.ask_pause = 0;
        let new = |id: RouteId| Route {
            is_home: homes(id.0, self.settings.senders, 0).contains(&self.settings.me),
            is_alone: !self.settings.may_tell && self.settings.senders > 1,
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
    pub(super) fn recall(&mut self, learnt: &Learnt) {
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
}
