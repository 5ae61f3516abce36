//! Clients: messages come into being whatever became of those before, and are handed in.

use std::collections::VecDeque;

use bytes::Bytes;
use pewterseam::interface::Micros;
use pewterseam_node::client::{Offer, RequestId};
use pewterseam_node::io::Input;

use super::super::event::Event;
use super::super::links::Party;
use super::{Engine, micros};
use crate::story::{Happened, MessageFacts, RelayNumber};

/// A client waits so long for its answer, and 50 ms more, as every limit is that much longer.
const PATIENCE: Micros = 450_000;
/// It looks so much later for a relay where it finds none, and hands nothing in so shortly before its time is
/// up.
const LOOKS_AGAIN: Micros = 250_000;
pub(super) const TOO_LATE: Micros = 200_000;
/// Bytes of a message, and of a request beside it.
const BODY: &[u8] = &[b'x'; 64];
const HEAD: usize = 240;
/// Relays that a client tries, where connections are refused.
const TRIES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum State {
    /// Not handed in yet.
    Waiting,
    Out,
    Answered,
    /// Its client has left, or was left.
    Gone,
}

/// One occasion on which a message is handed in.
#[derive(Clone, Debug)]
pub(in super::super) struct RequestState {
    pub(super) message: (u64, u32),
    pub(super) class: usize,
    pub(super) destination: u32,
    pub(super) key: Option<u32>,
    /// From its first hand-in.
    pub(super) deadline: Option<Micros>,
    pub(super) relay: RelayNumber,
    pub(super) state: State,
    pub(super) retries: u32,
}

impl RequestState {
    pub(super) fn is_gone(&self) -> bool {
        self.state == State::Gone
    }
}

/// A key's messages are handed to one relay, each once the one before has its answer.
#[derive(Clone, Debug)]
pub(in super::super) struct Key {
    destination: u32,
    relay: RelayNumber,
    waiting: VecDeque<usize>,
    busy: bool,
}

impl Engine<'_> {
    pub(super) fn open_keys(&mut self) {
        for _ in 0..self.plan.load.keys.max(1) {
            let destination = self.draw_destination();
            let relay = self.message_dice.one_of(usize::from(self.plan.fleet.relays)) as RelayNumber;
            self.keys.push(Key { destination, relay, waiting: VecDeque::new(), busy: false });
        }
    }

    fn draw_destination(&mut self) -> u32 {
        let plans = &self.plan.destinations;
        let place = self.message_dice.weighted(plans.iter().map(|destination| destination.weight));
        plans.get(place).map_or(0, |destination| destination.number)
    }

    pub(super) fn enter_first_message(&mut self) {
        let gap = self.message_dice.gap(self.plan.load.messages_a_second);
        self.enter_message(gap);
    }

    fn enter_message(&mut self, gap: Micros) {
        if self.now + gap < micros(self.plan.length_s) {
            self.enter_in(gap, Event::Message);
        }
    }

    pub(super) fn message(&mut self) {
        let classes = &self.plan.load.classes;
        let class = self.message_dice.weighted(classes.iter().map(|class| class.part));
        let key = self.message_dice.one_of(self.keys.len()) as u32;
        let key = classes[class].in_order.then_some(key);
        // Drawn whether or not it is used, so that one class more changes no other message.
        let drawn = self.draw_destination();
        let destination = key.map_or(drawn, |key| self.keys[key as usize].destination);
        let message = (self.messages, 0);
        self.messages += 1;
        let retries = self.plan.load.retries;
        self.new_request(
            RequestState {
                message,
                class,
                destination,
                key,
                deadline: None,
                relay: 0,
                state: State::Waiting,
                retries,
            },
            0,
        );
        let times: f64 = self.load_times.iter().map(|(_, times)| times).product();
        let gap = self.message_dice.gap(self.plan.load.messages_a_second * times);
        self.enter_message(gap);
    }

    pub(super) fn new_request(&mut self, request: RequestState, pause: Micros) {
        let (place, key) = (self.requests.len(), request.key);
        self.requests.push(request);
        match key {
            Some(key) => {
                self.keys[key as usize].waiting.push_back(place);
                self.next_of_key(key);
            }
            None => self.enter_in(pause, Event::HandIn(place)),
        }
    }

    fn next_of_key(&mut self, key: u32) {
        let key = &mut self.keys[key as usize];
        if !key.busy
            && let Some(request) = key.waiting.pop_front()
        {
            key.busy = true;
            self.enter_in(0, Event::HandIn(request));
        }
    }

    /// The occasion is over for the client, whatever the relay does with the message.
    pub(super) fn settle(&mut self, request: usize, state: State) {
        self.requests[request].state = state;
        if let Some(key) = self.requests[request].key {
            self.keys[key as usize].busy = false;
            self.next_of_key(key);
        }
    }

    /// A relay that takes connections, of those to which clients are led.
    fn choose_relay(&mut self, key: Option<u32>) -> Option<RelayNumber> {
        let takes = |engine: &Self, relay: RelayNumber| {
            engine.relays[usize::from(relay)].machine.is_some() && engine.in_use.contains(&relay)
        };
        if let Some(key) = key {
            return Some(self.keys[key as usize].relay).filter(|relay| takes(self, *relay));
        }
        for _ in 0..TRIES {
            if self.in_use.is_empty() {
                return None;
            }
            let relay = self.in_use[self.retry_dice.one_of(self.in_use.len())];
            if self.relays[usize::from(relay)].machine.is_some() {
                return Some(relay);
            }
        }
        None
    }

    pub(super) fn hand_in(&mut self, request: usize) {
        let RequestState { message, class, destination, key, deadline, .. } = self.requests[request];
        let deadline = deadline.unwrap_or(self.now + micros(self.plan.load.classes[class].deadline_s));
        self.requests[request].deadline = Some(deadline);
        if self.now + TOO_LATE > deadline {
            return self.settle(request, State::Gone);
        }
        let Some(relay) = self.choose_relay(key) else {
            return self.enter_in(LOOKS_AGAIN, Event::HandIn(request));
        };
        (self.requests[request].relay, self.requests[request].state) = (relay, State::Out);
        let facts = MessageFacts { class, destination, key };
        let (message, times) = message;
        self.tell(Happened::HandedIn { message, times, relay, deadline, facts });
        let base = self.links.between(0, 0);
        let way = self.links.stream(Party::Clients, Party::Relay(relay), base, HEAD + BODY.len());
        self.calendar.enter(way.at(self.now), Event::Offers(request));
        self.enter_in(PATIENCE, Event::GivesUp(request));
    }

    pub(super) fn offers(&mut self, request: usize) {
        let RequestState { relay, class, destination, key, deadline, state, message, .. } =
            self.requests[request];
        if state != State::Out {
            return;
        }
        if self.process(relay).machine.is_none() {
            return self.left_without_answer(request);
        }
        self.process(relay).open.insert(request);
        let handed_at = self.now;
        let offer = Offer {
            id: format!("r{request}"),
            class: self.plan.load.classes[class].name.clone(),
            tenant: String::new(),
            key: key.map(|key| format!("k{key}")),
            destination,
            lifetime: deadline.unwrap_or(handed_at).saturating_sub(handed_at),
            idempotency_key: Some(format!("{}.{}", message.0, message.1).into_bytes()),
            body: Bytes::from_static(BODY),
        };
        self.put(relay, Input::Offer { id: RequestId(request as u64), offer });
    }

    /// The request that a relay's id names.
    pub(super) fn read_id(&self, id: &str) -> Option<usize> {
        let place = id.strip_prefix('r')?.parse::<usize>().ok()?;
        (place < self.requests.len()).then_some(place)
    }

    /// Has clients led to a relay, or not any more.
    pub(super) fn lead_clients(&mut self, relay: RelayNumber, to_it: bool) {
        if std::mem::replace(&mut self.process(relay).in_use, to_it) != to_it {
            self.in_use.retain(|other| *other != relay);
            if to_it {
                self.in_use.push(relay);
            }
        }
    }
}
