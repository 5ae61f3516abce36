//! Classifies the result of an attempt for its message and for its host.

use pewterseam::interface::Outcome as BrainOutcome;
use pewterseam_wire::Micros;

use crate::interface::{Answer, AttemptResult, Outcome};

/// The result for the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MessageResult {
    Finished(Outcome),
    /// The message did not run and may be retried at once.
    RetryNow,
    /// Rejected without being run, as the host is full or the rate limit of the service is reached.
    NoCapacity,
    /// The message may have run, and is retried with backoff.
    Unclear,
    /// The message is running at another host.
    RunningElsewhere,
}

/// The result for the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostResult {
    /// The host answered the message, with success or a failure.
    Answered { failed: bool },
    /// The host is full.
    Full { wait: Option<Micros> },
    /// Another host than the listed one answered.
    WrongInstance,
    /// An outcome that is passed to the brain unchanged.
    Passed(BrainOutcome),
}

/// Classifies the result of an attempt. `is_listed` is false for a static endpoint.
pub(crate) fn classify(result: &AttemptResult, is_listed: bool) -> (MessageResult, HostResult) {
    match result {
        // A static endpoint has no replacement on the list, so one wrong 421 must not remove it permanently.
        AttemptResult::Answered(answer) if answer.status == 421 && !is_listed => {
            (MessageResult::NoCapacity, HostResult::Full { wait: answer.retry_after })
        }
        AttemptResult::Answered(answer) => classify_answer(answer),
        AttemptResult::ConnectFailed => {
            (MessageResult::RetryNow, HostResult::Passed(BrainOutcome::ConnectFailed))
        }
        AttemptResult::Broken(_) => (MessageResult::Unclear, HostResult::Passed(BrainOutcome::Reset)),
        AttemptResult::TimedOut => (MessageResult::Unclear, HostResult::Passed(BrainOutcome::Timeout)),
        AttemptResult::Unsent => (MessageResult::RetryNow, HostResult::Passed(BrainOutcome::NotSent)),
    }
}

impl AttemptResult {
    /// Whether it is unknown if the message has run.
    pub fn is_unclear(&self) -> bool {
        // The result does not depend on whether the host is listed.
        matches!(classify(self, true), (MessageResult::Unclear, _))
    }
}

fn classify_answer(answer: &Answer) -> (MessageResult, HostResult) {
    let full = HostResult::Full { wait: answer.retry_after };
    match (answer.status, answer.not_executed, &answer.signature) {
        (421, ..) => (MessageResult::RetryNow, HostResult::WrongInstance),
        (200..=299, false, Some(signature)) => {
            let signature = signature.clone();
            (
                MessageResult::Finished(Outcome::Completed { signature }),
                HostResult::Answered { failed: false },
            )
        }
        (422, ..) => (MessageResult::Finished(Outcome::Refused), HostResult::Answered { failed: false }),
        (409, true, _) => (MessageResult::RunningElsewhere, HostResult::Answered { failed: false }),
        (429 | 503, true, _) => (MessageResult::NoCapacity, full),
        (_, true, _) => (MessageResult::Unclear, HostResult::Answered { failed: true }),
        (500, ..) => (MessageResult::Finished(Outcome::Failed), HostResult::Answered { failed: true }),
        // The message may have run: 504 at the deadline, success without a signature, or an unexpected answer.
        _ => (MessageResult::Unclear, HostResult::Answered { failed: true }),
    }
}
