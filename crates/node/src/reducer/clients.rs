//! What clients hand in and ask.

use pewterseam::interface::{Event, MessageId, Micros, Request as Order};
use pewterseam::state::chance;
use pewterseam_durable::message::Message;
use pewterseam_durable::record;
use pewterseam_durable::record::{Past, Record};

use super::Reducer;
use super::held::Held;
use crate::client::{Answer, Offer, Question, RequestId};
use crate::io::Effect;

impl Reducer {
    /// Takes a message on, or says why not; gives what is to be decided of it.
    pub(super) fn offer(&mut self, now: Micros, id: RequestId, offer: Offer) -> Option<Event> {
        self.counters.requests += 1;
        match self.hand_in(now, id, offer) {
            Ok(order) => Some(Event::Message(order)),
            Err(answer) => {
                self.answer(id, answer);
                None
            }
        }
    }

    pub(super) fn question(&mut self, id: RequestId, question: Question) {
        self.counters.requests += 1;
        let answer = match question {
            Question::Ready => Answer::Ready(self.is_ready() && !self.standby),
            Question::Counters => Answer::Counters(self.text()),
        };
        self.answer(id, answer);
    }

    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        self.counters.answered += 1;
        self.counters.bad_requests += u64::from(answer.is_fault_of_client());
        self.step.effects.push(Effect::Answer { id, answer });
    }

    pub(super) fn is_ready(&self) -> bool {
        !self.stopping && self.start.is_none() && self.names.has_list()
    }

    pub(super) fn hand_in(&mut self, now: Micros, id: RequestId, offer: Offer) -> Result<Order, Answer> {
        let message = offer.message(now);
        let number = MessageId(self.next);
        let order = self.names.request(number, &message).map_err(Answer::Unknown)?;
        if self.closed || self.start.is_some() {
            self.counters.refused_not_ready += 1;
            return Err(Answer::NotReady { last: self.closed });
        }
        // Danger: a client whose connection was closed sends the same request once more, and it would run twice.
        if self.by_client_id.contains_key(&message.id) {
            return Err(Answer::OnHand);
        }
        match self.ended.get(&message.id) {
            Some(true) => return Err(Answer::Delivered),
            Some(false) => return Err(Answer::GivenUp),
            None => {}
        }
        // Danger: the journal or the memory runs full, and what is on hand could not be brought to its end.
        if self.footprint + self.footprint_of(&message) > self.room {
            self.counters.refused_by_journal += 1;
            return Err(Answer::NoRoom);
        }
        if let Some(after) = self.without_place(now, &order) {
            self.counters.refused_without_place += 1;
            return Err(Answer::Refused { after_ms: after.div_ceil(1000) });
        }
        self.next += 1;
        let past = Past::default();
        self.step.records.push(Record::Taken { number: number.0, message: message.clone(), past });
        self.hold(number, message, past);
        self.asking.insert(number, id);
        Ok(order)
    }

    /// When to come back, if failover finds no place for a message.
    fn without_place(&mut self, now: Micros, order: &Order) -> Option<Micros> {
        let together = self.together.as_mut()?;
        let worth = self.names.settings().classes[order.class].value;
        let chance = chance(order.id.0, order.destination.into());
        let (effects, after) = together.handed(now, order.destination, worth, chance);
        self.step.effects.extend(effects);
        after
    }

    pub(super) fn footprint_of(&self, message: &Message) -> u64 {
        let zones = if self.names.is_zoned(&message.class) { record::ZONES } else { 0 };
        record::footprint(message) + zones
    }

    pub(super) fn hold(&mut self, id: MessageId, message: Message, past: Past) {
        let footprint = self.footprint_of(&message);
        self.footprint += footprint;
        self.by_client_id.insert(message.id.clone(), id);
        self.held.insert(id, Held { message, past, out: None, closing: None, footprint });
    }
}
