//! Chooses which message is sent when and to which host, and checks it again before it is written.

use super::*;

/// Call timeout in units of the silence limit; its times per earlier attempt and for calls not to be
/// repeated. Lost calls hold slots; calls given up too early are done twice.
const TIMEOUT_FACTOR: Micros = 2;
const RETRY_FACTOR: Micros = 8;

impl Brain {
    /// Sends what may go, first the messages that lose most by waiting: permits and slots are scarce.
    pub(super) fn dispatch(&mut self) {
        self.refill();
        let loss = |m: &Message| {
            let soon = self.now + INITIAL_ANSWER_TIME as Micros;
            let loss = self.worth(m, soon) - self.worth(m, soon + self.horizon(m));
            (loss, m.request.deadline, m.request.id)
        };
        let mut waiting: Vec<_> = self.state.waiting().map(loss).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        for (_, _, id) in waiting {
            let message = &self.state.messages[&id];
            // Two messages of a key must not overtake each other: the first goes alone, after a pause.
            if !self.state.in_turn(message, self.now) {
                continue;
            }
            let destination = message.request.destination;
            let joined = self.state.joinable_call(destination, self.now).filter(|_| message.ran.is_none());
            if let Some((host, call)) = joined {
                self.send(id, host, call);
                continue;
            }
            let Some(host) = self.choose_host(message) else { continue };
            // Keeps a slow or silent destination from taking all slots: none may hold more than are free.
            let out: usize = self.state.hosts_of(destination).map(|(_, host)| host.calls).sum();
            if self.state.calls.len() + out.max(1) > self.settings.slots {
                continue;
            }
            let Some(call) = self.state.open_call(host, self.now, &self.settings) else { continue };
            self.send(id, host, call);
        }
    }

    /// The best host for a message: not suspect, then nearest, least busy, with an idle connection.
    fn choose_host(&self, message: &Message) -> Option<HostId> {
        let is_eligible = |host: &Host| self.is_allowed(host, message) && self.can_take(host, message);
        let rank = |id: HostId, host: &Host| {
            let route = &self.state.routes[&host.route];
            let suspect = is_suspect(host, route, self.now) || host.health != Health::Closed;
            let zone_rank = self.state.rank(host);
            (suspect, zone_rank, host.calls, host.idle.is_empty(), scattered(id.0, self.seed))
        };
        let hosts = self.state.hosts_of(message.request.destination).filter(|(_, host)| is_eligible(host));
        hosts.min_by_key(|(id, host)| rank(*id, host)).map(|(id, _)| id)
    }

    /// Whether a message may go to a host: drain, wait, stop, zone, placement, window, deadline.
    fn is_allowed(&self, host: &Host, message: &Message) -> bool {
        let (route, class) = (&self.state.routes[&host.route], self.class(message));
        // A stop cuts off calls that may have run; a message that must not run twice would be lost.
        let stops = self.now + max_silence(route) > self.stop_at;
        let over = message.finished || self.now + CHECK_INTERVAL >= State::call_deadline(message, class);
        let waits = self.now < route.wait_until || host.lifecycle != Lifecycle::Ready;
        let placed = self.state.is_placed(message, host, chance(message.request.id.0, self.seed));
        !stops && !over && !waits && placed && State::is_safe_at(message, class, host)
    }

    /// Whether a host can take this message now: permits, connections, health.
    fn can_take(&self, host: &Host, message: &Message) -> bool {
        let (route, class) = (&self.state.routes[&host.route], self.class(message));
        // After a refusal, or while the host is suspect, one call at a time until one succeeds.
        let suspect = is_suspect(host, route, self.now);
        let is_busy = host.calls > 0 && (route.refusals_in_row > 0 || suspect);
        if is_busy || self.now < host.connect_retry_at || (route.is_limited && route.tokens < 1.0) {
            return false;
        }
        // A message that must not run twice is lost with a failed call: it awaits a healthy host.
        let must_not_fail = class.effect == SingleShot && message.age(class, self.now) < class.target_latency;
        match host.health {
            Health::Open => !must_not_fail && !host.trial && host.cold_tokens >= 1.0,
            _ if must_not_fail && suspect => false,
            Health::Closed => true,
            Health::SlowStart { .. } => host.cold_tokens >= 1.0,
        }
    }

    fn send(&mut self, id: MessageId, host: HostId, call: u64) {
        let message = &self.state.messages[&id];
        let class = self.class(message);
        // Without this bound, a repeat that is delayed on its way arrives after its deduplication window.
        let (left, effect) = (State::call_deadline(message, class).saturating_sub(self.now), class.effect);
        let bound = max_silence(&self.state.routes[&self.state.hosts[&host].route]);
        let times = if effect == SingleShot { RETRY_FACTOR } else { TIMEOUT_FACTOR };
        let timeout = left.min((bound * times).saturating_mul(RETRY_FACTOR.saturating_pow(message.attempts)));
        self.state.join_call(call, id, self.now);
        let connect = self.settings.connect_timeout.min(timeout);
        self.actions.push(Action::Send { id, host, timeout, connect });
    }

    /// Checks an attempt again just before it is written: a wait or drain may be new.
    pub(super) fn check_again(&mut self, id: MessageId, attempt: u32) {
        if self.can_still_send(id) {
            self.state.mark_written(id, self.now);
            self.actions.push(Action::Write { id, attempt });
        } else {
            self.state.undo_attempt(id, attempt, self.now);
            self.actions.push(Action::Withhold { id, attempt });
        }
    }

    /// Whether an unwritten attempt may still go. A host opened since takes trial calls only.
    pub(super) fn can_still_send(&self, id: MessageId) -> bool {
        let Some((message, call, host)) = self.state.in_flight(id) else { return false };
        (call.trial || !host.is_open()) && self.is_allowed(host, message)
    }
}
