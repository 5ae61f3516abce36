//! Attempts, from the decision to their end.

use std::sync::Arc;

use pewterseam::interface::{Carrier, DestinationId, Ended, Event, HostId, MessageId, Outcome as Seen};
use pewterseam::state::chance;
use pewterseam_permits::Permit;
use pewterseam_wire::Micros;

use crate::backoff::{AFTER_LIMIT, AFTER_SILENCE, WHILE_RUNNING};
use crate::delivery::Delivery;
use crate::interface::{AttemptEnd, AttemptId, AttemptResult, DropReason, Effect, HostKey, Outcome};
use crate::judging::{Fate, Health, judge};

/// A connection in the hands of the caller is idle at once again: the attempt was never made.
const UNUSED: Carrier = Carrier { idle_for: None, kept: true };

/// An attempt that is out.
#[derive(Debug)]
pub(crate) struct Attempt {
    key: u64,
    message: MessageId,
    /// The decisions' number of it among those of its message.
    number: u32,
    host: HostId,
    service: Arc<str>,
    /// The number that the decisions knew the service by.
    destination: DestinationId,
    /// Not known to be sent yet.
    permit: Option<Permit>,
}

impl Delivery {
    /// Starts the attempt that the decisions chose. It is taken back at once where no permit is left or its message is
    /// over.
    pub(crate) fn start(&mut self, id: MessageId, host: HostId, connect_timeout: Micros) {
        let Some(key) = self.messages.key(id) else { return };
        let number = self.messages.next_number(key);
        let (Some(held), Some(known)) = (self.messages.get(key), self.hosts.get(host)) else { return };
        let (timeout, service, target) =
            (held.submission.timeout, held.submission.service.clone(), known.target.clone());
        let is_fit = known.has_room() && known.service == service;
        self.messages.set_out(key, true);
        let destination = self.services.number(&service).destination;
        let mut made =
            Attempt { key, message: id, number, host, service: service.clone(), destination, permit: None };
        // Danger: the decisions choose several at a time, and only the first of them find the host as it was told. They
        // know services by numbers, and a host of another service is never called, whatever they choose.
        if !is_fit {
            return self.take_back(&made);
        }
        let Ok(permit) = self.permit(&service) else {
            self.hosts.hold(&service, true);
            return self.take_back(&made);
        };
        made.permit = permit;
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let confirm = permit.is_some();
        self.hosts.began(host);
        if confirm && self.permits.available(self.now, &service) == 0 {
            self.hosts.hold(&service, true);
        }
        self.attempts.insert(attempt, made);
        let connect_timeout = connect_timeout.min(timeout);
        self.effects.push(Effect::Start { attempt, key, service, target, timeout, connect_timeout, confirm });
    }

    /// The decisions have booked an attempt that is not made: for them it never was.
    fn take_back(&mut self, attempt: &Attempt) {
        let Attempt { key, message, number, .. } = *attempt;
        let ended = Ended {
            id: message,
            attempt: number,
            outcome: Seen::Moot,
            took: 0,
            closed: false,
            limit: None,
            carrier: Some(UNUSED),
        };
        self.events.push(Event::Ended(ended));
        self.messages.set_out(key, false);
    }

    /// A connection is open: the attempt goes if its host and its permit are still good.
    pub(crate) fn opened(&mut self, attempt: AttemptId) {
        let now = self.now;
        let Some(made) = self.attempts.get_mut(&attempt) else {
            return self.effects.push(Effect::Withhold { attempt });
        };
        let is_current = self
            .messages
            .get(made.key)
            .is_some_and(|held| held.is_out(made.message) && held.submission.service == made.service);
        let is_usable = self.hosts.get(made.host).is_some_and(|host| host.is_usable());
        let is_permitted = made.permit.is_none_or(|permit| now < permit.expires_at);
        if !(is_current && is_usable && is_permitted) {
            self.effects.push(Effect::Withhold { attempt });
            let end = AttemptEnd { result: AttemptResult::Unsent, took: 0, idle_for: None, kept: true };
            return self.ended(attempt, &end);
        }
        if let Some(permit) = made.permit.take() {
            self.permits.sent(now, &made.service, permit);
        }
        self.effects.push(Effect::Write { attempt });
    }

    /// Books the end of an attempt: for its message, its host and the decisions.
    pub(crate) fn ended(&mut self, attempt: AttemptId, end: &AttemptEnd) {
        let Some(made) = self.attempts.remove(&attempt) else {
            // Whether a host is listed makes no difference to success.
            let (fate, _) = judge(&end.result, true);
            return self.drop_result(attempt, fate, DropReason::UnknownAttempt);
        };
        if let Some(permit) = made.permit {
            self.permits.put_back(&made.service, permit);
        }
        let is_listed = self.hosts.get(made.host).is_none_or(|host| host.target.instance.is_some());
        let (fate, health) = judge(&end.result, is_listed);
        let seen = self.book_host(&made, health);
        if let Some(host) = self.hosts.get_mut(made.host) {
            host.calls = host.calls.saturating_sub(1);
        }
        if end.kept {
            self.keep_connection(&made);
        }
        if !matches!(seen, Seen::Ok | Seen::Moot) {
            self.check_at = self.check_at.or(Some(self.now));
        }
        let closed = self.settle(attempt, &made, fate);
        let carrier = Some(Carrier { idle_for: end.idle_for, kept: end.kept });
        let (id, number) = (made.message, made.number);
        let ended =
            Ended { id, attempt: number, outcome: seen, took: end.took, closed, limit: None, carrier };
        self.events.push(Event::Ended(ended));
    }

    /// A connection idles: the one that was not used for longest is closed where there are too many.
    fn keep_connection(&mut self, made: &Attempt) {
        let Some(host) = self.hosts.get(made.host) else { return };
        let address = host.target.address;
        let accepted = self.services.get(&made.service).map_or(0, |service| service.max_connections);
        let most = self.hosts.most_connections(&made.service, accepted);
        let closed = self.idle.kept(&made.service, address, most);
        self.effects.extend(closed.into_iter().map(|address| Effect::CloseIdle { address }));
    }

    /// Books what an end says of the host; gives what the decisions are told.
    fn book_host(&mut self, made: &Attempt, health: Health) -> Seen {
        match health {
            Health::Seen(seen) => seen,
            Health::Mistaken => {
                self.hosts.mistaken(made.host);
                Seen::Moot
            }
            // The limit is the service's, and permits keep it. Danger: told of it, the decisions pace each relay to a
            // fixed part of the limit from then on, and messages wait while other parts lie idle.
            Health::Full { .. } if self.permits.is_limited(&made.service) => Seen::Moot,
            Health::Full { wait } => {
                self.hosts.pause(made.host, wait, self.now, self.settings.seed);
                Seen::Moot
            }
            // Some messages always fail: only where most do is it the host.
            Health::Answered { failed } => {
                let Some(host) = self.hosts.get_mut(made.host) else { return Seen::Moot };
                host.answered(failed);
                if failed && host.fails_mostly() { Seen::Error } else { Seen::Ok }
            }
        }
    }

    /// Books what an end says of the message; true where the decisions need not know it any more.
    fn settle(&mut self, attempt: AttemptId, made: &Attempt, fate: Fate) -> bool {
        let Some(held) = self.messages.get_mut(made.key).filter(|held| held.is_out(made.message)) else {
            self.drop_result(attempt, fate, DropReason::MessageNotOut);
            return true;
        };
        let spread = self.settings.seed ^ made.key;
        let is_renumbered = self.services.number(&made.service).destination != made.destination;
        let is_moved = held.submission.service != made.service || is_renumbered;
        let rest = match fate {
            Fate::Finished(outcome) => {
                self.finish(made.key, outcome);
                return true;
            }
            Fate::Again => None,
            // Another host may have room; a limit is the same everywhere.
            Fate::TurnedAway if !self.permits.is_limited(&made.service) => None,
            Fate::TurnedAway => {
                held.conflicts += 1;
                Some(AFTER_LIMIT.pause(held.conflicts, self.now, spread))
            }
            Fate::Unknown => {
                held.silences += 1;
                let again = held.silences.checked_sub(1).filter(|times| *times > 0);
                again.map(|times| AFTER_SILENCE.pause(times, self.now, spread))
            }
            Fate::Running => {
                held.conflicts += 1;
                Some(WHILE_RUNNING.pause(held.conflicts, self.now, spread))
            }
        };
        match rest {
            Some(pause) => self.messages.rest(made.key, self.now + pause),
            None if is_moved => self.messages.return_to_line(made.key),
            None => self.messages.set_out(made.key, false),
        }
        rest.is_some() || is_moved
    }

    /// Tells of an outcome that has no effect.
    fn drop_result(&mut self, attempt: AttemptId, fate: Fate, reason: DropReason) {
        if let Fate::Finished(outcome) = fate {
            self.effects.push(Effect::Dropped { attempt, outcome, reason });
        }
    }

    fn finish(&mut self, key: u64, outcome: Outcome) {
        self.messages.remove(key);
        self.effects.push(Effect::Finished { key, outcome });
    }

    /// Closes the connection of an attempt that the decisions call off.
    pub(crate) fn abort(&mut self, id: MessageId, number: u32) {
        let found = self.attempts.iter().find(|(_, made)| (made.message, made.number) == (id, number));
        self.effects.extend(found.map(|(attempt, _)| Effect::Abort { attempt: *attempt }));
    }

    /// A health check ended.
    pub(crate) fn probed(&mut self, host: HostKey, healthy: bool) {
        let host = HostId(host.0);
        self.hosts.checked(host);
        if healthy {
            self.events.push(Event::Probed { host, outcome: Seen::Ok, limit: None });
        }
        let soon = self.now + (CHECKED_AGAIN as f64 * (0.5 + chance(self.now, self.settings.seed))) as Micros;
        self.check_at = self.check_at.or(Some(soon));
    }
}

/// After a check, when the decisions are asked again which hosts are out of order.
const CHECKED_AGAIN: Micros = 200_000;
