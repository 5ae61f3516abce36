//! Calls and their attempts, from sending to the outcome.

use std::collections::BTreeMap;

use super::{Attempt, Call, Host, Message, State};
use crate::interface::{
    ConnectionUse, DestinationId, Ended, HostId, MessageId, Micros, Outcome, PossibleRun, Settings,
};

impl State {
    /// The message with an attempt in flight, with its call and host.
    pub fn in_flight(&self, id: MessageId) -> Option<(&Message, &Call, &Host)> {
        let message = self.messages.get(&id)?;
        let out = message.in_flight?;
        Some((message, self.calls.get(&out.call)?, self.hosts.get(&out.host)?))
    }

    /// Attempts whose call is partly unwritten.
    pub fn stalled(&self) -> Vec<(MessageId, u32)> {
        let out = self.messages.iter().filter_map(|(id, message)| Some((*id, message.in_flight?)));
        out.filter(|(_, out)| out.stalled).map(|(id, out)| (id, out.number)).collect()
    }

    /// For each host with calls in flight: when the first was sent, and how many there are.
    pub fn unanswered(&self) -> BTreeMap<HostId, (Micros, u64)> {
        let mut unanswered = BTreeMap::new();
        for call in self.calls.values() {
            let entry = unanswered.entry(call.host).or_insert((call.sent_at, 0));
            *entry = (call.sent_at.min(entry.0), entry.1 + 1);
        }
        unanswered
    }

    /// A call to a destination, opened in this batch of events, that another message may join.
    pub fn joinable_call(&self, destination: DestinationId, now: Micros) -> Option<(HostId, u64)> {
        let to = |id: HostId| self.hosts.get(&id).is_some_and(|host| host.route.0 == destination);
        let latest = self.calls.iter().rev().take_while(|(_, call)| call.sent_at == now);
        let mut open = latest.filter(|(_, call)| call.room > 0 && to(call.host));
        open.next().map(|(number, call)| (call.host, *number))
    }

    /// Records a new call to a known host.
    pub fn open_call(&mut self, id: HostId, now: Micros, settings: &Settings) -> Option<u64> {
        let (host, route) = self.host_and_route(id)?;
        if route.is_limited {
            route.tokens -= 1.0;
        }
        route.used += 1.0;
        route.active_at = now;
        host.cold_tokens -= 1.0;
        host.calls += 1;
        host.idle.retain(|since| *since + settings.idle_close > now);
        let idle_for = host.idle.pop().map(|since| now - since);
        let trial = host.is_open();
        host.trial |= trial;
        let room = if trial { 1 } else { settings.kinds[host.kind].max_bundle };
        self.last_call += 1;
        let call =
            Call { host: id, sent_at: now, members: 0, room, trial, outcome_recorded: false, idle_for };
        self.calls.insert(self.last_call, call);
        Some(self.last_call)
    }

    /// Records an attempt of a message in a call.
    pub fn join_call(&mut self, call: u64, id: MessageId, now: Micros) {
        if let (Some(entry), Some(message)) = (self.calls.get_mut(&call), self.messages.get_mut(&id)) {
            entry.members += 1;
            entry.room -= 1;
            let (number, host) = (message.attempts, entry.host);
            message.in_flight = Some(Attempt { number, call, host, sent_at: now, stalled: false });
            message.attempts += 1;
        }
    }

    /// Records that the call of an attempt is being written; no message may join it any more.
    pub fn mark_written(&mut self, id: MessageId, now: Micros) {
        let out = self.messages.get_mut(&id).and_then(|message| message.in_flight.as_mut());
        let Some(out) = out else { return };
        out.sent_at = now;
        if let Some(call) = self.calls.get_mut(&out.call) {
            (call.sent_at, call.room) = (now, 0);
        }
    }

    /// Undoes an attempt of which nothing was written: neither the attempt nor its permit counts.
    pub fn undo_attempt(&mut self, id: MessageId, attempt: u32, now: Micros) {
        let carrier = Some(ConnectionUse { idle_for: None, kept: true });
        let (outcome, took, closed, limit) = (Outcome::NotSent, 0, false, None);
        let ended = Ended { id, attempt, outcome, took, closed, limit, connection: carrier };
        let Some((out, ..)) = self.close_attempt(&ended, now, 0) else { return };
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts -= 1;
        }
        if let Some((_, route)) = self.host_and_route(out.host) {
            route.return_token();
        }
    }

    /// Records whether part of an attempt's call waits to be written.
    pub fn set_stalled(&mut self, id: MessageId, attempt: u32, stalled: bool) {
        let out = self.messages.get_mut(&id).and_then(|message| message.in_flight.as_mut());
        if let Some(out) = out.filter(|out| out.number == attempt) {
            out.stalled = stalled;
        }
    }

    /// Records the outcome of an attempt, and removes its message if it is finished. Returns the attempt,
    /// whether it is the first of its call to end (all messages of a call share its outcome), and how long
    /// the call's connection had been idle.
    pub fn close_attempt(
        &mut self, ended: &Ended, now: Micros, rest: Micros,
    ) -> Option<(Attempt, bool, Option<Micros>)> {
        let outcome = ended.outcome;
        let message = self.messages.get_mut(&ended.id)?;
        let attempt = message.in_flight.take_if(|attempt| attempt.number == ended.attempt)?;
        if outcome.may_have_run() {
            let zone = self.hosts.get(&attempt.host).map(|host| host.zone);
            message.ran.get_or_insert(PossibleRun { at: attempt.sent_at, zone });
        }
        if let Some(entry) = message.request.key.and_then(|key| self.keys.get_mut(&key))
            && outcome.may_still_run()
        {
            entry.paused_until = now + rest;
        }
        let call = self.calls.get_mut(&attempt.call)?;
        call.members -= 1;
        // Without the caller's word, a connection that the host closed or that returned a malformed answer
        // would count as idle.
        let idle_for = ended.connection.map_or(call.idle_for, |carrier| carrier.idle_for);
        let usual = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected { .. });
        let kept = ended.connection.map_or(usual, |carrier| carrier.kept);
        let first = !std::mem::replace(&mut call.outcome_recorded, true);
        if call.members == 0 {
            let trial = call.trial;
            self.calls.remove(&attempt.call);
            if let Some(host) = self.hosts.get_mut(&attempt.host) {
                host.calls -= 1;
                host.trial &= !trial;
                if kept {
                    host.idle.push(now);
                    self.idle.insert(attempt.host);
                }
            }
        }
        if ended.closed || self.messages.get(&ended.id).is_some_and(|message| message.finished) {
            self.finish(ended.id, now);
        }
        Some((attempt, first, idle_for))
    }

    /// Removes and returns the hosts whose oldest idle connection has reached the maximum idle age of its
    /// kind.
    pub fn close_idle(&mut self, ages: &[f64], now: Micros) -> Vec<HostId> {
        let hosts = &mut self.hosts;
        let is_old = |id: &HostId| {
            let since = hosts.get(id).and_then(|host| Some((host.idle.first()?, ages[host.kind])));
            since.is_none_or(|(since, age)| since + age as Micros <= now)
        };
        let old: Vec<HostId> = self.idle.iter().copied().filter(is_old).collect();
        for id in &old {
            self.idle.remove(id);
            if let Some(host) = hosts.get_mut(id) {
                host.idle.clear();
            }
        }
        old
    }

    /// Records a successful call; `weight` is its weight in the moving average. Success also shows that the
    /// host is up, whatever the homes decided.
    pub fn record_success(&mut self, id: HostId, now: Micros, weight: f64) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.failure_score /= 2.0;
            (host.ok_at, host.declared_down_at) = (now, 0);
            host.failure_rate -= host.failure_rate * weight;
        }
    }

    /// Records whether a call visibly failed.
    pub fn mark_failed(&mut self, id: HostId, failed: bool) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.failed |= failed;
        }
    }
}
