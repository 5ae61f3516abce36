//! Log lines on attempts that ended without a clear answer, behind answers to other messages, or left late.

use std::time::Duration;

use pewterseam_delivery::{AttemptEnd, AttemptResult, Target};
use pewterseam_outbound::CallNotes;

use crate::clock::MICROS_A_MILLISECOND;

/// Lines between two calls of [`AttemptLog::begin_period`]; an outage ends hundreds of attempts a second.
const MOST_LINES: u32 = 20;
/// A request that took so long from the word to write until it had gone is told of.
const LATE_WRITE: Duration = Duration::from_millis(100);

/// An attempt that was handed to a host's connection.
#[derive(Debug)]
pub struct SentAttempt {
    /// The queue's number of its message.
    pub message: u64,
    pub request_id: String,
    pub target: Target,
}

/// Writes the lines, so many in a period, and counts the rest.
#[derive(Debug, Default)]
pub struct AttemptLog {
    written: u32,
    left_out: u32,
}

impl AttemptLog {
    /// A new period: tells how much was left out of the last one.
    pub fn begin_period(&mut self) {
        if self.left_out > 0 {
            log::info!(
                "{} more attempts ended without a clear answer, behind answers to other messages, or left late",
                self.left_out
            );
        }
        *self = AttemptLog::default();
    }

    /// An attempt is over.
    pub fn ended(&mut self, attempt: &SentAttempt, end: &AttemptEnd, notes: &CallNotes) {
        let is_usual = notes.passed_over == 0 && notes.write_delay < LATE_WRITE;
        if is_usual && !end.result.is_unclear() {
            return;
        }
        if self.written >= MOST_LINES {
            self.left_out += 1;
            return;
        }
        self.written += 1;
        let SentAttempt { request_id, target, .. } = attempt;
        let host = target.instance.as_deref().unwrap_or("static");
        let after = end.took / MICROS_A_MILLISECOND;
        let connection = if end.idle_for.is_some() { "a used" } else { "a new" };
        let reason = reason(&end.result);
        let (behind, late) = (behind(notes.passed_over), late(notes.write_delay));
        log::info!(
            "attempt of {request_id} at {host} ({}), on {connection} connection, ended after {after} ms: {reason}{behind}{late}",
            target.address
        );
    }
}

fn behind(passed_over: u32) -> String {
    match passed_over {
        0 => String::new(),
        count => format!(", behind answers to other messages ({count})"),
    }
}

fn late(write_delay: Duration) -> String {
    if write_delay < LATE_WRITE {
        return String::new();
    }
    format!(", had gone {} ms after the word to write", write_delay.as_millis())
}

/// What is to be told of an end.
fn reason(result: &AttemptResult) -> String {
    match result {
        AttemptResult::Broken(reason) => reason.to_string(),
        AttemptResult::TimedOut => "no answer in time".to_owned(),
        AttemptResult::Answered(answer) if result.is_unclear() => {
            format!("answered {} without a word whether it ran", answer.status)
        }
        AttemptResult::Answered(_) => "answered".to_owned(),
        AttemptResult::ConnectFailed | AttemptResult::Unsent => "nothing was written".to_owned(),
    }
}
