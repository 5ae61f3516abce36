//! The held messages: accepting them, their value over time, and giving them up.

use super::*;

/// Part of the room kept free, so that this module, not the entry limit, picks the messages to reject.
const FREE_PART: f64 = 0.06;

impl Brain {
    /// Accepts a message, unless its destination was never listed: it would wait until its deadline. After a
    /// long outage before a restart, held messages must not rush at a host that comes back cold.
    pub(super) fn admit(&mut self, request: Request) {
        if request.history == History::default() && !self.state.knows(request.destination) {
            return self.actions.push(Action::Refuse { id: request.id, retry_after: 0 });
        }
        if request.history.failed_at.is_some_and(|at| at + self.settings.overload_window <= self.now) {
            for id in self.state.healthy(request.destination) {
                let slow = Health::SlowStart { since: self.now };
                self.set_health(id, slow, "slow start", "failed before the restart");
            }
        }
        self.state.accept(request, &self.settings);
    }

    pub(super) fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[message.request.class]
    }

    /// Value of an answer at `at`. Which messages exceed the quota is unknown, so all weigh less.
    pub(super) fn worth(&self, message: &Message, at: Micros) -> f64 {
        let tenant = message.request.tenant;
        let weight = self.settings.tenants.get(tenant).map_or(1.0, |quota| {
            let rate = self.state.demand(tenant) / seconds(ROUND) * f64::from(self.settings.senders);
            let within = (quota.quota_per_s / rate.max(1e-9)).min(1.0);
            within + (1.0 - within) * self.settings.over_quota_value
        });
        weight * self.class(message).value_at(self.settings.value_decay, message.age(self.class(message), at))
    }

    /// Estimates the time to send what waits; an outage is expected to last as long again.
    pub(super) fn estimate_drain(&mut self) {
        let drain_time = |destination: DestinationId, count: f64| {
            let since = |host: &Host| if host.is_open() { host.failing_since } else { self.now };
            let outage = self.state.hosts_of(destination).map(|(_, host)| self.now - since(host)).min();
            let rate = |route: &Route| if route.is_limited { send_rate(route) } else { f64::MAX };
            let rates: f64 = self.state.routes_of(destination).map(rate).sum();
            let drain = (count / rates.max(MIN_POOL / f64::from(self.settings.senders)) * 1e6) as Micros;
            drain.max(ROUND / 2) + outage.unwrap_or(0)
        };
        let counts = self.state.waiting_counts().into_iter();
        self.drain_times = counts.map(|(id, count)| (id, drain_time(id, count))).collect();
    }

    pub(super) fn horizon(&self, message: &Message) -> Micros {
        self.drain_times.get(&message.request.destination).copied().unwrap_or(ROUND)
    }

    /// Rejects the messages of least expected value before the entry limit must reject better ones.
    pub(super) fn shed(&mut self) {
        let room = self.settings.max_held as f64 * (1.0 - FREE_PART);
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

    /// Gives the final answer now: a refusal where it is safe to submit the message again, else a failure.
    fn give_up(&mut self, id: MessageId) {
        let Some(message) = self.state.messages.get(&id) else { return };
        let retry_after = self.horizon(message).min(self.settings.max_retry_after);
        let harmless = State::can_refuse(message, self.class(message), self.now);
        self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.state.give_up(id, self.settings.ends_by_notice, self.now);
    }

    /// Gives up hopeless messages: too late, without attempts left, or at risk of running twice.
    pub(super) fn expire(&mut self) {
        let is_hopeless = |message: &&Message| {
            let (waits, class) = (message.in_flight.is_none(), self.class(message));
            let needed = if waits { INITIAL_ANSWER_TIME as Micros / 2 } else { CHECK_INTERVAL };
            let ran = class.effect == Effect::SingleShot && message.ran.is_some();
            let spent = message.attempts >= self.settings.max_attempts || ran;
            let window_over = State::is_window_over(message, class, self.now + CHECK_INTERVAL);
            (waits && (spent || window_over)) || self.now + needed >= message.request.deadline
        };
        let late: Vec<_> = self.state.held().filter(is_hopeless).map(|message| message.request.id).collect();
        late.into_iter().for_each(|id| self.give_up(id));
        for (id, attempt) in self.state.stalled() {
            if !self.can_still_send(id) {
                self.state.set_stalled(id, attempt, false);
                self.actions.push(Action::Cancel { id, attempt });
            }
        }
    }
}
