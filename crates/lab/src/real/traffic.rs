//! The messages of a day, and their names on the wire.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use pewterseam::interface::Micros;
use rand::RngExt;

use super::draws::{Draws, between};
use crate::plan::{ClassPlan, DestinationPlan, EffectPlan, Load};
use crate::story::{CallNumber, MessageFacts, MessageNumber};

/// Bytes of a body, from so many to so many.
const BODY: (f64, f64) = (20.0, 600.0);
/// Digits of an id: a tag of the day, the message, and the occasion on which it is handed in.
const TAG: usize = 4;
const MESSAGE: usize = 8;
const TIMES: usize = 4;

#[derive(Clone, Debug)]
pub struct Message {
    pub number: MessageNumber,
    pub facts: MessageFacts,
    pub body: Bytes,
    /// Until when it may be delivered, from when its client first wanted it handed in.
    pub until: Micros,
}

/// All messages so far.
pub struct Traffic {
    tag: u16,
    load: Load,
    destinations: Vec<DestinationPlan>,
    messages: RefCell<Vec<Message>>,
    calls: Cell<CallNumber>,
}

impl Traffic {
    pub fn new(seed: u64, load: &Load, destinations: &[DestinationPlan]) -> Self {
        Traffic {
            tag: seed as u16,
            load: load.clone(),
            destinations: destinations.to_vec(),
            messages: RefCell::default(),
            calls: Cell::new(0),
        }
    }

    /// The next message. The same number of draws each time, whatever they come to.
    pub fn draw(&self, draws: &mut Draws, now: Micros) -> Message {
        let class = weighted(draws, self.load.classes.iter().map(|class| class.part));
        let place = weighted(draws, self.destinations.iter().map(|destination| destination.weight));
        let key = draws.random_range(0..self.load.keys.max(1));
        let length = between(draws, BODY.0, BODY.1) as usize;
        let plan = &self.load.classes[class];
        // A key belongs to one class and destination.
        let keys = (class * self.destinations.len() + place) as u32;
        let key = plan.in_order.then_some(keys * self.load.keys.max(1) + key);
        let number = self.messages.borrow().len() as MessageNumber;
        let mut body = format!("message {number} of class {} ", plan.name).into_bytes();
        body.extend((body.len()..length).map(|place| place as u8));
        let message = Message {
            number,
            facts: MessageFacts { class, destination: self.destinations[place].number, key },
            body: Bytes::from(body),
            until: now + super::clock::micros(plan.deadline_s),
        };
        self.messages.borrow_mut().push(message.clone());
        message
    }

    pub fn message(&self, number: MessageNumber) -> Option<Message> {
        self.messages.borrow().get(number as usize).cloned()
    }

    pub fn class_of(&self, number: MessageNumber) -> &ClassPlan {
        let class = self.messages.borrow()[number as usize].facts.class;
        &self.load.classes[class]
    }

    /// The id of a message on one occasion.
    pub fn id(&self, message: MessageNumber, times: u32) -> String {
        format!("{:0TAG$x}{message:0MESSAGE$x}{times:0TIMES$x}", self.tag)
    }

    /// The message and occasion of an id, if it is one of this day.
    pub fn find(&self, id: &str) -> Option<(MessageNumber, u32)> {
        let numbers = id.strip_prefix(&format!("{:0TAG$x}", self.tag))?;
        let (message, times) = (numbers.len() == MESSAGE + TIMES).then(|| numbers.split_at(MESSAGE))?;
        let message = u64::from_str_radix(message, 16).ok()?;
        let known = (message as usize) < self.messages.borrow().len();
        known.then_some((message, u32::from_str_radix(times, 16).ok()?))
    }

    /// The same on every occasion, for classes whose repeats are dropped.
    pub fn idempotency_key(&self, message: &Message) -> Option<String> {
        let keyed = |effect| matches!(effect, EffectPlan::GuardedS(_) | EffectPlan::GuardedInZoneS(_));
        let class = &self.load.classes[message.facts.class];
        keyed(class.effect).then(|| format!("{:04x}-key-{}", self.tag, message.number))
    }

    /// Whether what came to a host is what was handed in.
    pub fn is_whole(&self, number: MessageNumber, key: Option<&str>, body: &Bytes) -> bool {
        let message = self.message(number);
        message
            .is_some_and(|message| message.body == *body && self.idempotency_key(&message).as_deref() == key)
    }

    pub fn next_call(&self) -> CallNumber {
        self.calls.replace(self.calls.get() + 1)
    }
}

fn weighted(draws: &mut Draws, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let all: f64 = weights.clone().sum();
    let mut drawn = between(draws, 0.0, all);
    let count = weights.clone().count();
    let past = weights.take_while(|weight| {
        drawn -= weight;
        drawn >= 0.0
    });
    past.count().min(count.saturating_sub(1))
}
