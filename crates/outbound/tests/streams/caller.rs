//! A caller that makes attempts, withholds, calls off and makes them again, by seed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pewterseam_delivery::{AttemptId, AttemptResult, Effect, HostKey, Target};
use pewterseam_outbound::{CallTimes, DeliveryRequest, Outbound, OutboundEvent, OutboundSettings};
use pewterseam_wire::random::Random;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use crate::host::{Connections, MemoryDialer};
use crate::judge::{Attempt, Journal};
use crate::script::Reaction;

const LEAST_STEPS: usize = 6;
const MORE_STEPS: usize = 20;
const LEAST_TIMEOUT_MS: usize = 30;
const MORE_TIMEOUT_MS: usize = 400;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const LONG_RIGHT: Duration = Duration::from_secs(20);
const MOST_SHORT_RIGHT_MS: usize = 600;
const MOST_WORD_DELAY_MS: usize = 600;
const MOST_BODY: usize = 3_000;
/// At the end of a script all must have ended by then.
const END: Duration = Duration::from_secs(30);
const CHECK_TIMEOUT: u64 = 300_000;

/// A message that may be tried again.
struct Message {
    id: Arc<str>,
    address: SocketAddr,
}

/// The caller of one script.
pub struct Caller {
    random: Random,
    outbound: Outbound,
    events: UnboundedReceiver<OutboundEvent>,
    connections: Connections,
    journal: Journal,
    messages: Vec<Message>,
    running: BTreeSet<u64>,
    /// Words to write that are said later.
    words: BTreeSet<(Instant, u64)>,
    checks: u64,
}

impl Caller {
    pub fn new(seed: u64) -> Self {
        let (sender, events) = unbounded_channel();
        let connections = Connections::default();
        let mut random = Random::new(seed.wrapping_mul(0x9e37_79b9));
        let favourite = Reaction::draw(&mut random);
        let dialer = MemoryDialer { seed, favourite, connections: connections.clone() };
        let outbound = Outbound::with_dialer(OutboundSettings::default(), sender, Box::new(dialer));
        Caller {
            random,
            outbound,
            events,
            connections,
            journal: Journal::default(),
            messages: Vec::new(),
            running: BTreeSet::new(),
            words: BTreeSet::new(),
            checks: 0,
        }
    }

    pub async fn play(mut self) -> Journal {
        for _ in 0..LEAST_STEPS + self.random.below(MORE_STEPS) {
            self.act();
            let pause_ms = [0, 0, 5, 150, 400, 3_000][self.random.below(6)];
            let pause = Duration::from_millis(self.random.below(1 + pause_ms) as u64);
            self.listen_until(Instant::now() + pause).await;
        }
        let end = Instant::now() + END;
        while !self.running.is_empty() && Instant::now() < end {
            self.listen_until(Instant::now() + Duration::from_secs(1)).await;
        }
        // What comes twice comes soon.
        self.listen_until(Instant::now() + Duration::from_secs(5)).await;
        self.journal.connections = self.connections.all().clone();
        self.journal
    }

    fn act(&mut self) {
        match self.random.below(20) {
            0 | 4 => self.check(),
            1 => self.outbound.close_idle(address(0)),
            2 => self.outbound.sweep(),
            3 => self.call_off(),
            _ => self.start(),
        }
    }

    fn call_off(&mut self) {
        let running: Vec<u64> = self.running.iter().copied().collect();
        let Some(number) = running.get(self.random.below(running.len())) else { return };
        self.outbound.carry_out(&Effect::Abort { attempt: AttemptId(*number) });
        self.attempt(*number).is_called_off = true;
    }

    fn attempt(&mut self, number: u64) -> &mut Attempt {
        self.journal.attempts.get_mut(&number).expect("an attempt that was made")
    }

    fn check(&mut self) {
        self.checks += 1;
        let target = Target { address: address(self.random.below(2)), instance: Some(Arc::from("i-1")) };
        let path = Arc::from(check_path(self.checks));
        self.outbound.carry_out(&Effect::Probe {
            host: HostKey(self.checks),
            target,
            path,
            timeout: CHECK_TIMEOUT,
        });
    }

    /// Starts an attempt of a new message, or another one of a message that may run again.
    fn start(&mut self) {
        let is_retry = !self.messages.is_empty() && self.random.below(2) == 0;
        let message = if is_retry {
            self.take_message()
        } else {
            let id = Arc::from(format!("m{}", self.journal.attempts.len() + 1));
            Message { id, address: address(self.random.below(2)) }
        };
        let number = self.journal.attempts.len() as u64 + 1;
        let is_short = self.random.below(8) == 0;
        let short = Duration::from_millis(self.random.below(MOST_SHORT_RIGHT_MS) as u64);
        let times = CallTimes {
            timeout: Duration::from_millis((LEAST_TIMEOUT_MS + self.random.below(MORE_TIMEOUT_MS)) as u64),
            connect_timeout: CONNECT_TIMEOUT,
            write_within: if is_short { short } else { LONG_RIGHT },
        };
        let word_delay = Duration::from_millis(MOST_WORD_DELAY_MS as u64);
        let grace = OutboundSettings::default().answer_grace;
        let attempt = Attempt {
            message: message.id.clone(),
            started_at: Instant::now(),
            write_within: times.write_within,
            ends_within: times.connect_timeout + word_delay + times.timeout + grace,
            is_withheld: false,
            is_called_off: false,
            ends: Vec::new(),
        };
        self.journal.attempts.insert(number, attempt);
        self.running.insert(number);
        let request = self.request(&message.id, number);
        let target = Target { address: message.address, instance: Some(Arc::from("i-1")) };
        let confirm = self.random.below(2) == 0;
        self.outbound.start(AttemptId(number), target, request, times, confirm);
        self.messages.push(message);
    }

    /// Most often the message that was tried last.
    fn take_message(&mut self) -> Message {
        let last = self.messages.len() - 1;
        let place = if self.random.below(3) > 0 { last } else { self.random.below(last + 1) };
        self.messages.remove(place)
    }

    fn request(&mut self, id: &Arc<str>, attempt: u64) -> Arc<DeliveryRequest> {
        let attempt = Arc::from(attempt.to_string());
        let headers = vec![(Arc::from("X-Request-Id"), id.clone()), (Arc::from("X-Attempt"), attempt)];
        Arc::new(DeliveryRequest {
            request_id: id.clone(),
            method: Arc::from("POST"),
            host: Arc::from("h.example"),
            target: Arc::from("/x"),
            headers,
            body: Bytes::from(vec![b'b'; self.random.below(MOST_BODY)]),
        })
    }

    /// Hears what comes, and says words that are due, until a moment.
    async fn listen_until(&mut self, until: Instant) {
        loop {
            let next_word = self.words.first().map_or(until, |(at, _)| *at).min(until);
            match tokio::time::timeout_at(next_word, self.events.recv()).await {
                Ok(Some(event)) => self.heard(event),
                Ok(None) => return,
                Err(_) => {}
            }
            while let Some((at, attempt)) = self.words.first().copied()
                && at <= Instant::now()
            {
                self.words.pop_first();
                self.outbound.carry_out(&Effect::Write { attempt: AttemptId(attempt) });
            }
            if Instant::now() >= until && self.events.is_empty() {
                return;
            }
        }
    }

    fn heard(&mut self, event: OutboundEvent) {
        self.outbound.heard(&event);
        match event {
            OutboundEvent::Opened { attempt } => self.opened(attempt),
            OutboundEvent::Ended { attempt, end, .. } => {
                self.running.remove(&attempt.0);
                if matches!(&end.result, AttemptResult::Answered(answer) if answer.status == 200) {
                    self.may_not_run_again(attempt.0);
                }
                self.attempt(attempt.0).ends.push((Instant::now(), end));
            }
            OutboundEvent::Probed { host, healthy: true } => {
                self.journal.passed_checks.push(check_path(host.0));
            }
            OutboundEvent::Probed { .. } => {}
        }
    }

    fn may_not_run_again(&mut self, attempt: u64) {
        let id = self.attempt(attempt).message.clone();
        self.messages.retain(|message| message.id != id);
    }

    fn opened(&mut self, attempt: AttemptId) {
        match self.random.below(12) {
            0 => {
                self.outbound.carry_out(&Effect::Withhold { attempt });
                self.running.remove(&attempt.0);
                self.attempt(attempt.0).is_withheld = true;
            }
            1 => {
                let delay = Duration::from_millis(self.random.below(MOST_WORD_DELAY_MS) as u64);
                self.words.insert((Instant::now() + delay, attempt.0));
            }
            _ => self.outbound.carry_out(&Effect::Write { attempt }),
        }
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 9_000 + number as u16))
}

fn check_path(number: u64) -> String {
    format!("/health/{number}")
}
