//! What happened in a script, and what of it breaks a rule.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pewterseam_delivery::{AttemptEnd, AttemptResult, BreakCause};
use tokio::time::Instant;

use crate::script::Reaction;
use crate::stream::Written;

/// What is given beyond its times to an attempt that ends.
const SLACK: Duration = Duration::from_millis(100);

/// A connection, as its host saw it.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    pub written: Written,
    pub reactions: Vec<(String, Reaction)>,
    /// When its caller could first tell that something is wrong.
    pub doubted_at: Option<Instant>,
    /// When the whole answer to an attempt was written.
    pub answered: Vec<(u64, Instant)>,
    /// Paths of health checks that the host answered with success.
    pub passed_checks: Vec<String>,
}

/// A request that was written, perhaps in part.
#[derive(Clone, Debug)]
struct Request {
    attempt: Option<u64>,
    first_byte_at: Instant,
}

impl Connection {
    /// The requests on it in their order.
    fn requests(&self) -> Vec<Request> {
        let written = self.written.bytes();
        let bytes: Vec<u8> = written.iter().map(|(_, byte)| *byte).collect();
        let (mut start, mut requests) = (0, Vec::new());
        while start < bytes.len() {
            let text = String::from_utf8_lossy(&bytes[start..]).into_owned();
            let length = request_length(&bytes[start..]).unwrap_or(bytes.len() - start);
            let head = text.split("\r\n\r\n").next().unwrap_or_default();
            let attempt = request_line(head, "x-attempt").and_then(|attempt| attempt.parse().ok());
            requests.push(Request { attempt, first_byte_at: written[start].0 });
            start += length;
        }
        requests
    }
}

/// The length of the request that bytes begin with, once its head is there.
pub fn request_length(bytes: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(bytes);
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let length = request_line(&text, "content-length").and_then(|length| length.parse::<usize>().ok());
    Some(head_end + length.unwrap_or(0))
}

/// The value of a header.
pub fn request_line<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let value = |line: &'a str| line.strip_prefix(name)?.strip_prefix(": ");
    text.split("\r\n").find_map(value)
}

/// An attempt as its caller made it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub message: Arc<str>,
    pub started_at: Instant,
    pub write_within: Duration,
    pub ends_within: Duration,
    pub is_withheld: bool,
    pub is_called_off: bool,
    pub ends: Vec<(Instant, AttemptEnd)>,
}

/// What happened in a script.
#[derive(Debug, Default)]
pub struct Journal {
    pub attempts: BTreeMap<u64, Attempt>,
    pub connections: Vec<Connection>,
    /// Health checks that were passed, by their paths.
    pub passed_checks: Vec<String>,
}

impl Journal {
    /// All that breaks a rule.
    pub fn breaches(&self) -> Vec<String> {
        let attempts = self.attempts.iter();
        let mut breaches: Vec<String> =
            attempts.flat_map(|(number, attempt)| self.check_end(*number, attempt)).collect();
        breaches.extend(self.check_writes());
        breaches.extend(self.connections.iter().enumerate().flat_map(|one| self.check_connection(one)));
        let passed: BTreeSet<&String> =
            self.connections.iter().flat_map(|connection| &connection.passed_checks).collect();
        let unfounded = self.passed_checks.iter().filter(|path| !passed.contains(path));
        breaches.extend(unfounded.map(|path| format!("the check {path} is passed without an answer to it")));
        breaches
    }

    /// Attempts whose answer came whole and did not count, whatever came before it.
    pub fn unheeded_answers(&self) -> Vec<String> {
        let answered: BTreeMap<u64, Instant> =
            self.connections.iter().flat_map(|connection| connection.answered.iter().copied()).collect();
        let mut unheeded = Vec::new();
        for (number, attempt) in &self.attempts {
            let Some((at, end)) = attempt.ends.first() else { continue };
            let is_there = answered.get(number).is_some_and(|answered| answered < at);
            let is_lost = match end.result {
                AttemptResult::Broken(BreakCause::UnmatchedResponse) => true,
                AttemptResult::Broken(BreakCause::Cancelled) => false,
                AttemptResult::Broken(_) | AttemptResult::TimedOut => is_there,
                _ => false,
            };
            if is_lost {
                unheeded.push(format!("attempt {number} ends as {:?} at {at:?}", end.result));
            }
        }
        unheeded
    }

    /// Each attempt ends once and in time, with its own answer if with any. One that is withheld does not end; where it
    /// was called off at the same moment, either word may be heard.
    fn check_end(&self, number: u64, attempt: &Attempt) -> Vec<String> {
        let least = usize::from(!attempt.is_withheld);
        let most = usize::from(!attempt.is_withheld || attempt.is_called_off);
        if !(least..=most).contains(&attempt.ends.len()) {
            return vec![format!("attempt {number} ends {} times: {attempt:?}", attempt.ends.len())];
        }
        let Some((at, end)) = attempt.ends.first() else { return Vec::new() };
        let mut breaches = Vec::new();
        let took = *at - attempt.started_at;
        if took > attempt.ends_within + SLACK {
            breaches.push(format!("attempt {number} takes {took:?}: {attempt:?}"));
        }
        let may_be_kept = matches!(end.result, AttemptResult::Answered(_) | AttemptResult::Unsent);
        if end.kept && (!may_be_kept || self.was_told_of_the_close(number)) {
            breaches.push(format!("the connection of attempt {number} is kept: {end:?}"));
        }
        if let AttemptResult::Answered(answer) = &end.result {
            let tag = answer.signature.as_deref().unwrap_or_default();
            if !tag.starts_with(&format!("t{number}-")) {
                breaches.push(format!("attempt {number} ends with the answer {tag}"));
            }
        }
        breaches
    }

    /// The answer to an attempt said that its connection closes.
    fn was_told_of_the_close(&self, number: u64) -> bool {
        let number = number.to_string();
        let mut reactions = self.connections.iter().flat_map(|connection| &connection.reactions);
        reactions.any(|(attempt, reaction)| *attempt == number && *reaction == Reaction::SaysThatItCloses)
    }

    /// An attempt is written at most once, within its right to send, and not if it is said that it was not.
    fn check_writes(&self) -> Vec<String> {
        let mut writes = BTreeMap::<u64, Vec<Instant>>::new();
        for request in self.connections.iter().flat_map(Connection::requests) {
            if let Some(attempt) = request.attempt {
                writes.entry(attempt).or_default().push(request.first_byte_at);
            }
        }
        let mut breaches = Vec::new();
        for (number, times) in writes {
            let attempt = &self.attempts[&number];
            if times.len() > 1 {
                breaches.push(format!("attempt {number} is written {} times", times.len()));
            }
            let until = attempt.started_at + attempt.write_within;
            if times.iter().any(|at| *at >= until) {
                breaches.push(format!("attempt {number} is written after its right to send"));
            }
            let ended_as_unsent = attempt
                .ends
                .iter()
                .any(|(_, end)| matches!(end.result, AttemptResult::Unsent | AttemptResult::ConnectFailed));
            if attempt.is_withheld || ended_as_unsent {
                breaches.push(format!("attempt {number} is written and is said not to be: {attempt:?}"));
            }
        }
        breaches
    }

    /// Nothing follows on a connection after a doubt.
    fn check_connection(&self, (number, connection): (usize, &Connection)) -> Vec<String> {
        let requests = connection.requests();
        let mut breaches = Vec::new();
        let late = |request: &&Request| connection.doubted_at.is_some_and(|at| request.first_byte_at > at);
        if let Some(request) = requests.iter().find(late) {
            let reactions = &connection.reactions;
            breaches.push(format!("connection {number} is used after a doubt: {request:?}, {reactions:?}"));
        }
        for earlier in requests.iter().take(requests.len().saturating_sub(1)) {
            let attempt = earlier.attempt.and_then(|attempt| self.attempts.get(&attempt));
            let Some((_, end)) = attempt.and_then(|attempt| attempt.ends.first()) else { continue };
            if !end.kept || !matches!(end.result, AttemptResult::Answered(_)) {
                breaches.push(format!("connection {number} is used after {earlier:?} ended as {end:?}"));
            }
        }
        breaches
    }

    /// Prints what happened.
    pub fn show(&self) {
        for (number, attempt) in &self.attempts {
            println!("attempt {number}: {attempt:?}");
        }
        for (number, connection) in self.connections.iter().enumerate() {
            let (requests, reactions) = (connection.requests(), &connection.reactions);
            println!("connection {number}: {requests:?} {reactions:?}, {:?}", connection.doubted_at);
        }
    }
}

/// How much was played.
#[derive(Debug, Default)]
pub struct Figures {
    attempts: usize,
    answered: usize,
    broken: usize,
    timed_out: usize,
    unsent: usize,
    unconnected: usize,
    withheld: usize,
    connections: usize,
    reused: usize,
    reactions: BTreeMap<String, usize>,
}

impl Figures {
    pub fn add(&mut self, journal: &Journal) {
        self.attempts += journal.attempts.len();
        for attempt in journal.attempts.values() {
            let count = match attempt.ends.first().map(|(_, end)| &end.result) {
                Some(AttemptResult::Answered(_)) => &mut self.answered,
                Some(AttemptResult::Broken(_)) => &mut self.broken,
                Some(AttemptResult::TimedOut) => &mut self.timed_out,
                Some(AttemptResult::Unsent) => &mut self.unsent,
                Some(AttemptResult::ConnectFailed) => &mut self.unconnected,
                None => &mut self.withheld,
            };
            *count += 1;
        }
        self.connections += journal.connections.len();
        for connection in &journal.connections {
            self.reused += connection.requests().len().saturating_sub(1);
            for (_, reaction) in &connection.reactions {
                *self.reactions.entry(format!("{reaction:?}")).or_default() += 1;
            }
        }
    }

    /// Fails where the scripts have not shown what they are for.
    pub fn assert_all_kinds(&self) {
        let ends = [self.answered, self.broken, self.timed_out, self.unsent, self.unconnected, self.withheld];
        assert!(ends.iter().all(|count| *count > 0), "an end that never came");
        assert!(self.reused * 10 > self.attempts, "connections are hardly used again");
    }
}
