//! From kept to ended: waiting for the due time and predecessors, running, and what a run's result means.

use pewterseam_wire::Micros;
use pewterseam_wire::record::{End, Fact};

use crate::clock::Timer;
use crate::io::{Effect, MessageKey, RunResult};
use crate::machine::Queue;
use crate::message::Stage;

/// The pause after the first failed run; each further one is `PAUSE_FACTOR` times as long, up to `MOST_PAUSE`.
const FIRST_PAUSE: Micros = 20_000;
const PAUSE_FACTOR: Micros = 4;
const MOST_PAUSE: Micros = 5_000_000;
/// The pause before a message that the runner gave back is handed to it again.
const GIVEN_BACK_PAUSE: Micros = 100_000;

/// How long to wait after so many failed runs.
fn pause_after(failures: u32) -> Micros {
    let factor = PAUSE_FACTOR.saturating_pow(failures.saturating_sub(1).min(8));
    (FIRST_PAUSE * factor).min(MOST_PAUSE)
}

impl Queue {
    /// The record is durable, or was taken over: from here on the message waits for its turn.
    pub(crate) fn begin_waiting(&mut self, key: MessageKey) {
        self.find_route(key);
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.stage = Stage::Waiting;
        message.since = self.now;
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

    /// Starts the message if nothing holds it back, else sees to it that it is looked at again.
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
        message.since = self.now;
        let submission = policy.submission(message.failures, message.first_run_due(self.now));
        self.effects.push(Effect::Submit { key, submission });
    }

    /// A run of a message is over.
    pub fn ran(&mut self, now: Micros, key: MessageKey, result: RunResult) -> Vec<Effect> {
        self.now = now;
        let is_running = self.messages.get(&key).is_some_and(|message| message.stage == Stage::Running);
        match result {
            result if !is_running => self.effects.push(Effect::ResultDropped { key, result }),
            RunResult::Completed { signature } => self.end(key, End::Completed { signature }),
            RunResult::Refused => self.end(key, End::Refused),
            RunResult::Failed => self.run_failed(key),
            RunResult::NotRun => self.pause(key, GIVEN_BACK_PAUSE),
        }
        self.take_effects()
    }

    fn run_failed(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.failures += 1;
        let failures = message.failures;
        let policy = self.routes.policy(message.route.as_ref());
        if policy.is_some_and(|policy| policy.is_used_up(failures)) {
            self.end(key, End::AttemptsUsed);
            return;
        }
        let name = message.record.name.clone();
        let holders = message.written.clone();
        self.post(&holders, &Fact::Attempted { name, failures });
        self.pause(key, pause_after(failures));
    }

    fn pause(&mut self, key: MessageKey, pause: Micros) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.stage = Stage::Waiting;
        message.confirmation = None;
        message.pause_until = self.now + pause;
        self.clock.set(message.pause_until, Timer::RetryRun(key));
        if self.is_stopping {
            self.release(&[key]);
        }
    }

    /// `retentionS` is over. One that is running is given its time to end.
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
