//! What a textbook would do at a relay's place: hosts in turn, a fixed time-out, exponential backoff with
//! jitter, a circuit breaker for each host, waits heeded, classes and keys kept. It hears no peers and paces
//! nothing.

mod hosts;
mod machine;
mod messages;
mod sends;

use std::collections::{BTreeMap, VecDeque};

use pewterseam::interface::{Effect as Repeats, Micros, Outcome};
use pewterseam_durable::message::End;
use pewterseam_durable::record::{Over, Record};
use pewterseam_node::client::{Answer, Offer, Question, RequestId};
use pewterseam_node::io::{Effect, Input, Step};
use pewterseam_node::pool::ConnectionId;
use pewterseam_node::reducer::Room;
use pewterseam_settings::Deployment;

use self::hosts::Hosts;
use self::messages::Held;
use crate::sim::{Machine, Variant};

/// A call is given up after so long.
const TIME_OUT: Micros = 1_500_000;
/// First pause after a failure, doubled with each, up to the longest.
const BACKOFF: (Micros, Micros) = (100_000, 3_000_000);
/// It looks at what is due so often, and asks for the list again after so long.
const LOOK: Micros = 25_000;
const ASKS_AGAIN: Micros = 1_000_000;
/// A refusal tells clients to come again after so long, in milliseconds.
const AFTER_MS: u64 = 1_000;

/// The variant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Textbook;

impl Variant for Textbook {
    fn name(&self) -> &'static str {
        "textbook"
    }

    fn machine(&self, deployment: Deployment, seed: u64, _room: Room) -> Box<dyn Machine> {
        Box::new(ByTheBook::new(deployment, seed))
    }
}

pub(super) struct ByTheBook {
    deployment: Deployment,
    /// Scatters pauses.
    seed: u64,
    hosts: Hosts,
    held: BTreeMap<u64, Held>,
    /// Of each key, in the order taken.
    keys: BTreeMap<String, VecDeque<u64>>,
    carried: BTreeMap<ConnectionId, u64>,
    next: u64,
    follow_at: Option<Micros>,
    stops_at: Option<Micros>,
    closed: bool,
    step: Step,
}

impl ByTheBook {
    fn new(deployment: Deployment, seed: u64) -> Self {
        ByTheBook {
            hosts: Hosts::new(deployment.settings.idle_close),
            deployment,
            seed,
            held: BTreeMap::new(),
            keys: BTreeMap::new(),
            carried: BTreeMap::new(),
            next: 1,
            follow_at: Some(0),
            stops_at: None,
            closed: false,
            step: Step::default(),
        }
    }

    fn take(&mut self, now: Micros, input: Input) {
        match input {
            Input::Offer { id, offer } => self.offer(now, id, offer),
            Input::Question { id, question: Question::Ready } => {
                let ready = self.stops_at.is_none() && self.hosts.has_list();
                self.step.effects.push(Effect::Answer { id, answer: Answer::Ready(ready) });
            }
            Input::Opened(connection) => self.write(now, connection),
            Input::NotOpened(connection) | Input::Closed(connection) => {
                self.hosts.lost(connection);
                self.concluded(now, connection, Outcome::ConnectFailed);
            }
            Input::Called { connection, reply } => {
                if reply.kept {
                    self.hosts.keep(connection, now);
                } else {
                    self.hosts.lost(connection);
                }
                self.concluded(now, connection, reply.outcome);
            }
            Input::Listed(list) => self.hosts.list(&list),
            Input::ListFailed | Input::ListRefused => self.follow_at = Some(now + ASKS_AGAIN),
            Input::Told { numbers, .. } => numbers.into_iter().for_each(|number| self.forget(number)),
            Input::Stop { by } => self.stops_at = Some(by),
            Input::Close => self.closed = true,
            _ => {}
        }
    }

    fn offer(&mut self, now: Micros, id: RequestId, offer: Offer) {
        let known = self.deployment.classes.contains(&offer.class);
        let answer = if !known {
            Answer::Unknown("the class is not known")
        } else if self.closed || !self.hosts.has_list() {
            Answer::NotReady { last: self.closed }
        } else if self.held.len() >= self.deployment.settings.max_held {
            Answer::Refused { after_ms: AFTER_MS }
        } else {
            let (number, message) = (self.next, offer.message(now));
            self.next += 1;
            self.step.records.push(Record::Taken {
                number,
                message: message.clone(),
                past: Default::default(),
            });
            self.hold(number, Held::new(message));
            Answer::Taken
        };
        self.step.effects.push(Effect::Answer { id, answer });
    }

    fn hold(&mut self, number: u64, held: Held) {
        if let Some(key) = &held.message.key {
            self.keys.entry(key.clone()).or_default().push_back(number);
        }
        self.held.insert(number, held);
    }

    /// Nothing is owed for it any more.
    fn forget(&mut self, number: u64) {
        let Some(held) = self.held.remove(&number) else { return };
        self.step.records.push(Record::Ended { number });
        if let Some(key) = held.message.key
            && let Some(queue) = self.keys.get_mut(&key)
        {
            queue.retain(|other| *other != number);
            if queue.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    fn concluded(&mut self, now: Micros, connection: ConnectionId, outcome: Outcome) {
        let Some(number) = self.carried.remove(&connection) else { return };
        let pause = self.backoff(number);
        let Some(held) = self.held.get_mut(&number) else { return };
        let Some(out) = held.out.take() else { return };
        if outcome == Outcome::Ok {
            self.hosts.served(out.host);
            return self.forget(number);
        }
        let over = match outcome {
            Outcome::ConnectFailed => Over::Failed,
            outcome if outcome.may_have_run() => Over::MayHaveRun,
            _ => Over::Unseen,
        };
        held.past.book(out.at, out.zone, over);
        if out.written {
            self.step.records.push(Record::Over { number, how: over });
        }
        held.not_before = now + pause;
        if outcome.may_still_run() {
            held.not_before = held.not_before.max(now + self.deployment.settings.order_cooldown);
        }
        match outcome {
            Outcome::Rejected { wait } => self.hosts.wait(out.host, now + wait + LOOK),
            _ => self.hosts.failed(out.host, now),
        }
    }

    /// A pause by the attempts so far, by chance half as long to whole.
    fn backoff(&self, number: u64) -> Micros {
        let attempts = self.held.get(&number).map_or(0, |held| held.past.attempts);
        let pause = (BACKOFF.0 << attempts.min(8)).min(BACKOFF.1);
        let chance = pewterseam::state::chance(number.wrapping_mul(31) + u64::from(attempts), self.seed);
        (pause as f64 * (0.5 + 0.5 * chance)) as Micros
    }

    /// Gives up what is out of time, out of attempts, or must not go again.
    fn expire(&mut self, now: Micros) {
        let settings = &self.deployment.settings;
        let mut over = Vec::new();
        for (number, held) in self.held.iter().filter(|(_, held)| held.closing.is_none()) {
            let repeats = self.repeats(held);
            let ran = held.past.ran.is_some();
            let spent =
                held.past.attempts >= settings.max_attempts || (ran && repeats == Repeats::SingleShot);
            let lapsed = held.window_end(repeats).is_some_and(|end| now + LOOK >= end);
            if (held.out.is_none() && (spent || lapsed)) || now + LOOK >= held.message.deadline {
                let harmless = match repeats {
                    Repeats::Free => true,
                    _ => !ran && held.out.is_none(),
                };
                over.push((*number, if harmless { End::Returned { after_ms: 0 } } else { End::Failed }));
            }
        }
        for (number, end) in over {
            let Some(held) = self.held.get_mut(&number) else { continue };
            held.closing = Some(end);
            let notice = held.notice(number, end);
            if let Some(out) = held.out.take() {
                self.carried.remove(&out.connection);
                self.hosts.lost(out.connection);
                self.step.effects.push(Effect::Abandon(out.connection));
            }
            self.step.records.push(Record::Closing { number, end });
            self.step.effects.push(Effect::Notify(notice));
        }
    }

    fn repeats(&self, held: &Held) -> Repeats {
        let place = self.deployment.classes.iter().position(|class| *class == held.message.class);
        place.map_or(Repeats::SingleShot, |place| self.deployment.settings.classes[place].effect)
    }

    fn finish(&mut self, now: Micros) -> Step {
        self.expire(now);
        self.dispatch(now);
        if self.follow_at.take_if(|at| *at <= now).is_some() {
            self.step.effects.push(Effect::Follow);
        }
        let look = if self.held.is_empty() { None } else { Some(now + LOOK) };
        if let Some(at) = look.into_iter().chain(self.follow_at).min() {
            self.step.effects.push(Effect::Wake(at));
        }
        std::mem::take(&mut self.step)
    }
}
