//! What clients hear, or don't, and what they hand in again for it.

use pewterseam_node::client::{Answer, RequestId};

use super::super::event::Event;
use super::super::links::Party;
use super::clients::{State, TOO_LATE};
use super::relays::HEALTH;
use super::{Engine, RequestState};
use crate::story::{Happened, RelayNumber};

/// A client that was not told when to come again does so after a time between these.
const COMES_AGAIN_MS: [f64; 2] = [300.0, 700.0];
/// Bytes of an answer.
const ANSWER: usize = 90;

fn status(answer: &Answer) -> (u16, u64) {
    match answer {
        Answer::Taken => (202, 0),
        Answer::OnHand | Answer::Delivered | Answer::Ready(true) | Answer::Counters(_) => (200, 0),
        Answer::GivenUp => (409, 0),
        Answer::Refused { after_ms } => (429, *after_ms),
        Answer::Failed => (500, 0),
        Answer::NotReady { .. } | Answer::NoRoom | Answer::NotKept | Answer::Ready(false) => (503, 0),
        Answer::Unknown(_) => (422, 0),
        // Clients make no calls of members.
        Answer::Member { status, .. } => (*status, 0),
        Answer::NoFleet => (404, 0),
    }
}

impl Engine<'_> {
    pub(super) fn answer(&mut self, relay: RelayNumber, id: RequestId, answer: Answer) {
        if id == HEALTH {
            return self.health_answered(relay, answer == Answer::Ready(true));
        }
        let request = id.0 as usize;
        if !self.process(relay).open.remove(&request) {
            return;
        }
        let (status, after_ms) = status(&answer);
        let base = self.links.between(0, 0);
        let way = self.links.stream(Party::Relay(relay), Party::Clients, base, ANSWER);
        if !way.late {
            let event = Event::Replies { request, status, after_ms, cut_short: way.reset };
            self.calendar.enter(way.at(self.now), event);
        }
    }

    pub(super) fn replies(&mut self, request: usize, status: u16, after_ms: u64, cut_short: bool) {
        let RequestState { state, message: (message, times), relay, .. } = self.requests[request];
        if state != State::Out {
            return;
        }
        if cut_short {
            return self.left_without_answer(request);
        }
        self.tell(Happened::Answered { message, times, relay, status });
        if matches!(status, 429 | 503) {
            self.comes_again(request, after_ms);
        }
        self.settle(request, State::Answered);
    }

    pub(super) fn gives_up(&mut self, request: usize) {
        self.ends_unanswered(request, false);
    }

    pub(super) fn left_without_answer(&mut self, request: usize) {
        self.ends_unanswered(request, true);
    }

    fn ends_unanswered(&mut self, request: usize, broken: bool) {
        let RequestState { state, message: (message, times), relay, .. } = self.requests[request];
        if state != State::Out {
            return;
        }
        self.tell(Happened::Unanswered { message, times, relay, broken });
        self.comes_again(request, 0);
        self.settle(request, State::Gone);
    }

    /// A notice hands a message back.
    pub(super) fn returned(&mut self, request: usize, after_ms: u64) {
        self.comes_again(request, after_ms);
    }

    fn comes_again(&mut self, request: usize, after_ms: u64) {
        let RequestState { message: (message, times), deadline, retries, .. } = self.requests[request];
        let pause = if after_ms > 0 { after_ms * 1000 } else { self.retry_dice.between_ms(COMES_AGAIN_MS) };
        let in_time = deadline.is_some_and(|deadline| self.now + pause + TOO_LATE < deadline);
        if retries == 0 || !in_time {
            return;
        }
        let again = self.requests[request].clone();
        // It may come again only once, whatever is heard of the same occasion later.
        self.requests[request].retries = 0;
        let state = State::Waiting;
        self.new_request(
            RequestState { message: (message, times + 1), state, retries: retries - 1, ..again },
            pause,
        );
    }
}
