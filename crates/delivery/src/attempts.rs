//! Attempts, from the decision of the brain to their end.

use std::sync::Arc;

use pewterseam::interface::{
    ConnectionUse, DestinationId, Ended, Event, HostId, MessageId, Outcome as BrainOutcome,
};
use pewterseam::state::chance;
use pewterseam_permits::Permit;
use pewterseam_wire::Micros;

use crate::backoff::{AFTER_RATE_LIMIT, AFTER_UNCLEAR_RESULT, WHILE_RUNNING_ELSEWHERE};
use crate::classification::{HostResult, MessageResult, classify};
use crate::delivery::Delivery;
use crate::interface::{AttemptEnd, AttemptId, AttemptResult, DropReason, Effect, HostKey, Outcome};

/// The connection of an attempt that was never made, which is idle again at once.
const UNUSED_CARRIER: ConnectionUse = ConnectionUse { idle_for: None, kept: true };

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    key: u64,
    message: MessageId,
    /// The number of this attempt among those of its message, as the brain counts them.
    number: u32,
    host: HostId,
    service: Arc<str>,
    /// The number by which the brain knew the service at the start.
    destination: DestinationId,
    /// The permit, until its request is sent.
    permit: Option<Permit>,
}

impl Delivery {
    /// Starts the attempt that the brain chose. It is cancelled at once if no permit is left or the host cannot be used, and
    /// ignored if the message has ended.
    pub(crate) fn start(&mut self, id: MessageId, host: HostId, connect_timeout: Micros) {
        let Some(key) = self.messages.key(id) else { return };
        let number = self.messages.next_attempt_number(key);
        let (Some(held), Some(known)) = (self.messages.get(key), self.hosts.get(host)) else { return };
        let (timeout, service, target) =
            (held.submission.timeout, held.submission.service.clone(), known.target.clone());
        let can_start = known.has_room() && known.service == service;
        self.messages.set_in_flight(key, true);
        let destination = self.services.number(&service).destination;
        let mut record =
            Attempt { key, message: id, number, host, service: service.clone(), destination, permit: None };
        // The brain chooses several attempts at a time, and the host may be full after the first of them. It knows
        // services by number only; without this check, a host of another service could be called.
        if !can_start {
            return self.cancel_unsent(&record);
        }
        let Ok(permit) = self.take_permit(&service) else {
            self.hosts.set_without_permit(&service, true);
            return self.cancel_unsent(&record);
        };
        record.permit = permit;
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let confirm = permit.is_some();
        self.hosts.record_call(host);
        if confirm && self.permits.available(self.now, &service) == 0 {
            self.hosts.set_without_permit(&service, true);
        }
        self.attempts.insert(attempt, record);
        let connect_timeout = connect_timeout.min(timeout);
        self.effects.push(Effect::Start { attempt, key, service, target, timeout, connect_timeout, confirm });
    }

    /// Cancels an attempt that the brain has counted but that is not made.
    fn cancel_unsent(&mut self, attempt: &Attempt) {
        let Attempt { key, message, number, .. } = *attempt;
        let ended = Ended {
            id: message,
            attempt: number,
            outcome: BrainOutcome::NotSent,
            took: 0,
            closed: false,
            limit: None,
            connection: Some(UNUSED_CARRIER),
        };
        self.events.push(Event::Ended(ended));
        self.messages.set_in_flight(key, false);
    }

    /// Handles an opened connection: the request is sent if the message, the host and the permit are still valid.
    pub(crate) fn opened(&mut self, attempt: AttemptId) {
        let now = self.now;
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return self.effects.push(Effect::Withhold { attempt });
        };
        let is_current = self.messages.get(record.key).is_some_and(|held| {
            held.is_in_flight(record.message) && held.submission.service == record.service
        });
        let is_usable = self.hosts.get(record.host).is_some_and(|host| host.is_usable());
        let is_permit_valid = record.permit.is_none_or(|permit| now < permit.expires_at);
        if !(is_current && is_usable && is_permit_valid) {
            self.effects.push(Effect::Withhold { attempt });
            let end = AttemptEnd { result: AttemptResult::Unsent, took: 0, idle_for: None, kept: true };
            return self.ended(attempt, &end);
        }
        if let Some(permit) = record.permit.take() {
            self.permits.record_sent(now, &record.service, permit);
        }
        self.effects.push(Effect::Write { attempt });
    }

    /// Handles the end of an attempt for its message, its host and the brain.
    pub(crate) fn ended(&mut self, attempt: AttemptId, end: &AttemptEnd) {
        let Some(record) = self.attempts.remove(&attempt) else {
            // Success does not depend on whether the host is listed.
            let (message_result, _) = classify(&end.result, true);
            return self.drop_result(attempt, message_result, DropReason::UnknownAttempt);
        };
        if let Some(permit) = record.permit {
            self.permits.return_permit(&record.service, permit);
        }
        let is_listed = self.hosts.get(record.host).is_none_or(|host| host.target.instance.is_some());
        let (message_result, host_result) = classify(&end.result, is_listed);
        let brain_outcome = self.apply_host_result(&record, host_result);
        if let Some(host) = self.hosts.get_mut(record.host) {
            host.calls = host.calls.saturating_sub(1);
        }
        if end.kept {
            self.keep_connection(&record);
        }
        if !matches!(brain_outcome, BrainOutcome::Ok | BrainOutcome::NotSent) {
            self.check_at = self.check_at.or(Some(self.now));
        }
        let closed = self.apply_message_result(attempt, &record, message_result);
        let carrier = Some(ConnectionUse { idle_for: end.idle_for, kept: end.kept });
        let (id, number) = (record.message, record.number);
        let ended = Ended {
            id,
            attempt: number,
            outcome: brain_outcome,
            took: end.took,
            closed,
            limit: None,
            connection: carrier,
        };
        self.events.push(Event::Ended(ended));
    }

    /// Records an idle connection, and closes the least recently used ones beyond the limit.
    fn keep_connection(&mut self, record: &Attempt) {
        let Some(host) = self.hosts.get(record.host) else { return };
        let address = host.target.address;
        let accepted = self.services.get(&record.service).map_or(0, |service| service.max_connections);
        let max_connections = self.hosts.max_open_connections(&record.service, accepted);
        let closed = self.idle.record_idle(&record.service, address, max_connections);
        self.effects.extend(closed.into_iter().map(|address| Effect::CloseIdle { address }));
    }

    /// Applies the result to the host, and returns the outcome for the brain.
    fn apply_host_result(&mut self, record: &Attempt, host_result: HostResult) -> BrainOutcome {
        match host_result {
            HostResult::Passed(outcome) => outcome,
            HostResult::WrongInstance => {
                self.hosts.mark_wrong_instance(record.host);
                BrainOutcome::NotSent
            }
            // The rate limit belongs to the service and is kept by permits. If the brain were told of the rejection, it
            // would limit each relay to a fixed part of the rate, and messages would wait while other parts are unused.
            HostResult::Full { .. } if self.permits.is_limited(&record.service) => BrainOutcome::NotSent,
            HostResult::Full { wait } => {
                self.hosts.pause(record.host, wait, self.now, self.settings.seed);
                BrainOutcome::NotSent
            }
            // Some messages always fail, so the host is considered failing only if most of them fail.
            HostResult::Answered { failed } => {
                let Some(host) = self.hosts.get_mut(record.host) else { return BrainOutcome::NotSent };
                host.answered(failed);
                if failed && host.mostly_fails() { BrainOutcome::Error } else { BrainOutcome::Ok }
            }
        }
    }

    /// Applies the result to the message. Returns true if the brain must forget the message.
    fn apply_message_result(
        &mut self, attempt: AttemptId, record: &Attempt, message_result: MessageResult,
    ) -> bool {
        let Some(held) = self.messages.get_mut(record.key).filter(|held| held.is_in_flight(record.message))
        else {
            self.drop_result(attempt, message_result, DropReason::MessageNotInFlight);
            return true;
        };
        let seed = self.settings.seed ^ record.key;
        let is_renumbered = self.services.number(&record.service).destination != record.destination;
        let changed_service = held.submission.service != record.service || is_renumbered;
        let delay = match message_result {
            MessageResult::Finished(outcome) => {
                self.finish(record.key, outcome);
                return true;
            }
            MessageResult::RetryNow => None,
            // Another host may have capacity, but a rate limit applies at all hosts.
            MessageResult::NoCapacity if !self.permits.is_limited(&record.service) => None,
            MessageResult::NoCapacity => {
                held.conflicts += 1;
                Some(AFTER_RATE_LIMIT.delay(held.conflicts, self.now, seed))
            }
            MessageResult::Unclear => {
                held.unclear_attempts += 1;
                let retries = held.unclear_attempts.checked_sub(1).filter(|times| *times > 0);
                retries.map(|times| AFTER_UNCLEAR_RESULT.delay(times, self.now, seed))
            }
            MessageResult::RunningElsewhere => {
                held.conflicts += 1;
                Some(WHILE_RUNNING_ELSEWHERE.delay(held.conflicts, self.now, seed))
            }
        };
        match delay {
            Some(duration) => self.messages.delay(record.key, self.now + duration),
            None if changed_service => self.messages.requeue(record.key),
            None => self.messages.set_in_flight(record.key, false),
        }
        delay.is_some() || changed_service
    }

    /// Reports an outcome that has no effect.
    fn drop_result(&mut self, attempt: AttemptId, message_result: MessageResult, reason: DropReason) {
        if let MessageResult::Finished(outcome) = message_result {
            self.effects.push(Effect::Dropped { attempt, outcome, reason });
        }
    }

    fn finish(&mut self, key: u64, outcome: Outcome) {
        self.messages.remove(key);
        self.effects.push(Effect::Finished { key, outcome });
    }

    /// Aborts an attempt that the brain cancelled.
    pub(crate) fn abort(&mut self, id: MessageId, number: u32) {
        let found = self.attempts.iter().find(|(_, record)| (record.message, record.number) == (id, number));
        self.effects.extend(found.map(|(attempt, _)| Effect::Abort { attempt: *attempt }));
    }

    /// Handles the end of a health check.
    pub(crate) fn probed(&mut self, host: HostKey, healthy: bool) {
        let host = HostId(host.0);
        self.hosts.record_check(host);
        if healthy {
            self.events.push(Event::Probed { host, outcome: BrainOutcome::Ok, limit: None });
        }
        let recheck_at = self.now
            + (EJECTION_RECHECK_DELAY as f64 * (0.5 + chance(self.now, self.settings.seed))) as Micros;
        self.check_at = self.check_at.or(Some(recheck_at));
    }
}

/// Delay after a health check until the brain is asked again which hosts are ejected.
const EJECTION_RECHECK_DELAY: Micros = 200_000;
