//! From durable to ended: waiting for the due time and predecessors, running, and handling the result of a run.

use pewterseam_wire::Micros;
use pewterseam_wire::record::{End, Fact};

use crate::clock::Timer;
use crate::io::{Effect, MessageKey, RunResult};
use crate::machine::Queue;
use crate::message::Stage;

/// The backoff after the first failed run. Each further failure multiplies it by `BACKOFF_FACTOR`, up to
/// `MAX_RETRY_BACKOFF`.
const FIRST_RETRY_BACKOFF: Micros = 20_000;
const BACKOFF_FACTOR: Micros = 4;
const MAX_RETRY_BACKOFF: Micros = 5_000_000;
/// The delay before a message that the runner returned without running it is submitted again.
const NOT_RUN_RETRY_DELAY: Micros = 100_000;

/// The backoff after this many failed runs.
fn backoff_after(failures: u32) -> Micros {
    let factor = BACKOFF_FACTOR.saturating_pow(failures.saturating_sub(1).min(8));
    (FIRST_RETRY_BACKOFF * factor).min(MAX_RETRY_BACKOFF)
}

impl Queue {
    /// The record is durable here, or the message was adopted: it waits until it may run.
    pub(crate) fn begin_waiting(&mut self, key: MessageKey) {
        self.find_route(key);
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.stage = Stage::Waiting;
        message.stage_since = self.now;
        message.owned_since = self.now;
        if self.now >= message.expires_at {
            self.end(key, End::Expired);
            return;
        }
        if self.is_route_dropped(key) {
            self.end(key, End::RouteDropped);
            return;
        }
        if self.is_stopping {
            self.release(&[key]);
            return;
        }
        self.register_blockers(key);
        self.start_if_due(key);
    }

    /// Submits the message if nothing blocks it. If it is not due yet, sets a timer for its due time.
    pub(crate) fn start_if_due(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.stage != Stage::Waiting || !message.blockers.is_empty() || self.is_stopping {
            return;
        }
        let from = message.runs_from();
        if from > self.now {
            self.clock.set(from, Timer::Due(key));
            return;
        }
        let Some(policy) = self.routes.policy(message.route.as_ref()) else { return };
        message.stage = Stage::Running;
        message.stage_since = self.now;
        let submission = policy.submission(message.failures, message.first_run_due(self.now));
        self.effects.push(Effect::Submit { key, submission });
    }

    /// Handles the result of a run.
    pub fn run_finished(&mut self, now: Micros, key: MessageKey, result: RunResult) -> Vec<Effect> {
        self.now = now;
        let is_running = self.messages.get(&key).is_some_and(|message| message.stage == Stage::Running);
        match result {
            result if !is_running => self.effects.push(Effect::ResultDropped { key, result }),
            RunResult::Completed { signature } => self.end(key, End::Completed { signature }),
            RunResult::Refused => self.end(key, End::Refused),
            RunResult::Failed => self.run_failed(key),
            RunResult::NotRun => self.retry_after(key, NOT_RUN_RETRY_DELAY),
        }
        self.take_effects()
    }

    fn run_failed(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.failures += 1;
        let failures = message.failures;
        let policy = self.routes.policy(message.route.as_ref());
        if policy.is_some_and(|policy| policy.has_used_all_attempts(failures)) {
            self.end(key, End::AttemptsUsed);
            return;
        }
        let name = message.record.name.clone();
        let holders = message.written.clone();
        self.broadcast_fact(&holders, &Fact::Attempted { name, failures });
        self.retry_after(key, backoff_after(failures));
    }

    fn retry_after(&mut self, key: MessageKey, delay: Micros) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.stage = Stage::Waiting;
        message.confirmation = None;
        message.not_before = self.now + delay;
        self.clock.set(message.not_before, Timer::RetryRun(key));
        if self.is_stopping {
            self.release(&[key]);
        }
    }

    /// Ends a message whose retention (`retentionS`) has passed; a running message is withdrawn from the runner.
    pub(crate) fn expire(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        if self.now < message.expires_at {
            self.clock.set(message.expires_at, Timer::Expire(key));
            return;
        }
        match message.stage {
            Stage::Waiting => self.end(key, End::Expired),
            Stage::Running => {
                self.effects.push(Effect::Withdraw { key });
                self.end(key, End::Expired);
            }
            _ => {}
        }
    }
}
