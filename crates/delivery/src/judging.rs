//! What the end of an attempt says of its message and of its host.

use pewterseam::interface::Outcome as Seen;
use pewterseam_wire::Micros;

use crate::interface::{Answer, AttemptResult, Outcome};

/// What follows for the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Finished(Outcome),
    /// It may go again at once; nothing ran.
    Again,
    /// Turned away unseen, as the host or the service's limit has no room.
    TurnedAway,
    /// It may have run; it goes again, after a pause that grows.
    Unknown,
    /// It runs elsewhere just now.
    Running,
}

/// What follows for the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It served, or failed at a message of its own accord.
    Answered { failed: bool },
    /// It has no room.
    Full { wait: Option<Micros> },
    /// It is another host than the one that was listed.
    Mistaken,
    /// Seen as the decisions see it.
    Seen(Seen),
}

/// Reads the end of an attempt at a host that stands on the platform's list, or at a static endpoint.
pub(crate) fn judge(result: &AttemptResult, is_listed: bool) -> (Fate, Health) {
    match result {
        // An endpoint that stands on no list has no successor there: one mistaken answer must not take it out for good.
        AttemptResult::Answered(answer) if answer.status == 421 && !is_listed => {
            (Fate::TurnedAway, Health::Full { wait: answer.retry_after })
        }
        AttemptResult::Answered(answer) => judge_answer(answer),
        AttemptResult::ConnectFailed => (Fate::Again, Health::Seen(Seen::ConnectFailed)),
        AttemptResult::Broken(_) => (Fate::Unknown, Health::Seen(Seen::Reset)),
        AttemptResult::TimedOut => (Fate::Unknown, Health::Seen(Seen::Timeout)),
        AttemptResult::Unsent => (Fate::Again, Health::Seen(Seen::Moot)),
    }
}

impl AttemptResult {
    /// Whether it leaves open if the message has run.
    pub fn is_unclear(&self) -> bool {
        // Whether the host is listed makes no difference to that.
        matches!(judge(self, true), (Fate::Unknown, _))
    }
}

fn judge_answer(answer: &Answer) -> (Fate, Health) {
    let full = Health::Full { wait: answer.retry_after };
    match (answer.status, answer.not_executed, &answer.signature) {
        (421, ..) => (Fate::Again, Health::Mistaken),
        (200..=299, false, Some(signature)) => {
            let signature = signature.clone();
            (Fate::Finished(Outcome::Completed { signature }), Health::Answered { failed: false })
        }
        (422, ..) => (Fate::Finished(Outcome::Refused), Health::Answered { failed: false }),
        (409, true, _) => (Fate::Running, Health::Answered { failed: false }),
        (429 | 503, true, _) => (Fate::TurnedAway, full),
        (_, true, _) => (Fate::Unknown, Health::Answered { failed: true }),
        (500, ..) => (Fate::Finished(Outcome::Failed), Health::Answered { failed: true }),
        // No promise that it did not run: 504 at the deadline, success without a signature, anything unusual.
        _ => (Fate::Unknown, Health::Answered { failed: true }),
    }
}
