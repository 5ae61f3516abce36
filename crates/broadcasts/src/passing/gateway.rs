//! The side that takes parts on.

use std::collections::BTreeMap;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Ticket, Unanswered};

use super::io::{Answer, Ask, CallNumber, Effect, Folder, Hand, Pass};
use super::record::Record;
use super::{ASK_AGAIN, KEEP, MOST_PARTS};
use crate::groups::{PartEnd, PartId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Taken,
    /// Over, and its taker is to be told.
    Ended(PartEnd),
    Told,
    /// No pass up to this one is taken on.
    Never(Pass),
}

#[derive(Clone, Copy, Debug)]
struct Part {
    state: State,
    /// Whom its end is told.
    from: MemberId,
    deadline: Micros,
    next: Micros,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Gateway {
    parts: BTreeMap<PartId, Part>,
    tickets: BTreeMap<Ticket, PartId>,
    last_ticket: u64,
}

impl Gateway {
    pub(super) fn replay(&mut self, record: &Record) {
        match *record {
            Record::Taken { hand, from } => self.put(hand.part, State::Taken, from, hand.deadline),
            Record::Never { part, pass, deadline } => {
                self.put(part, State::Never(pass), MemberId::default(), deadline);
            }
            Record::Ended { part, end } => self.set(part, State::Ended(end)),
            Record::Told { part } => self.set(part, State::Told),
            _ => {}
        }
    }

    fn put(&mut self, part: PartId, state: State, from: MemberId, deadline: Micros) {
        self.parts.insert(part, Part { state, from, deadline, next: 0 });
    }

    fn set(&mut self, part: PartId, state: State) {
        if let Some(known) = self.parts.get_mut(&part) {
            known.state = state;
        }
    }

    pub(super) fn again(&self, effects: &mut Vec<Effect>) {
        let taken = self.parts.iter().filter(|(_, part)| part.state == State::Taken);
        effects.extend(taken.map(|(part, of)| Effect::Own { part: *part, deadline: of.deadline }));
    }

    pub(super) fn owns(&self, part: PartId) -> bool {
        self.parts.get(&part).is_some_and(|part| part.state == State::Taken)
    }

    pub(super) fn handed(
        &mut self, now: Micros, mine: Folder, call: CallNumber, from: MemberId, hand: Hand,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match self.parts.get(&hand.part).map(|part| part.state) {
            _ if hand.folder != mine => Answer::OtherFolder(mine),
            Some(State::Taken | State::Ended(_) | State::Told) => Answer::Taken,
            Some(State::Never(up_to)) if hand.pass <= up_to => Answer::NeverTaken,
            // Danger: what is known of a part is forgotten some time after its deadline; taken on after that,
            // a request that comes late would have it run again.
            _ if now >= hand.deadline => Answer::Refused,
            None if self.parts.len() >= MOST_PARTS => Answer::Refused,
            Some(State::Never(_)) | None => {
                self.put(hand.part, State::Taken, from, hand.deadline);
                effects.push(Effect::Persist(vec![Record::Taken { hand, from }]));
                effects.push(Effect::Own { part: hand.part, deadline: hand.deadline });
                Answer::Taken
            }
        };
        effects.push(Effect::Reply { call, answer });
    }

    pub(super) fn withdraw(
        &mut self, now: Micros, mine: Folder, call: CallNumber, hand: Hand, effects: &mut Vec<Effect>,
    ) {
        let Hand { part, pass, deadline, .. } = hand;
        let answer = match self.parts.get(&part).map(|part| part.state) {
            _ if hand.folder != mine => Answer::OtherFolder(mine),
            Some(State::Taken | State::Ended(_) | State::Told) => Answer::Taken,
            Some(State::Never(up_to)) if pass <= up_to => Answer::NeverTaken,
            // It may have been taken on, ended and forgotten.
            None if now >= deadline => Answer::Refused,
            None if self.parts.len() >= MOST_PARTS => Answer::Refused,
            Some(State::Never(_)) | None => {
                self.put(part, State::Never(pass), MemberId::default(), deadline);
                effects.push(Effect::Persist(vec![Record::Never { part, pass, deadline }]));
                Answer::NeverTaken
            }
        };
        effects.push(Effect::Reply { call, answer });
    }

    pub(super) fn ended(&mut self, part: PartId, end: PartEnd, effects: &mut Vec<Effect>) {
        if self.owns(part) {
            self.set(part, State::Ended(end));
            effects.push(Effect::Persist(vec![Record::Ended { part, end }]));
        }
    }

    pub(super) fn due(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        // What is not over is kept whatever the time: it is owed an end.
        let kept = |of: &Part| of.state == State::Taken || now < of.deadline.saturating_add(KEEP);
        self.parts.retain(|_, of| kept(of));
        self.tickets.retain(|_, part| self.parts.contains_key(part));
        for (part, of) in &mut self.parts {
            if let (State::Ended(end), true) = (of.state, now >= of.next) {
                self.last_ticket += 1;
                // Those of the taker's side are even.
                let ticket = Ticket(self.last_ticket * 2 + 1);
                of.next = now + ASK_AGAIN;
                self.tickets.insert(ticket, *part);
                effects.push(Effect::Ask { ticket, to: of.from, ask: Ask::Ended { part: *part, end } });
            }
        }
    }

    pub(super) fn replied(
        &mut self, ticket: Ticket, answer: Result<Answer, Unanswered>, effects: &mut Vec<Effect>,
    ) {
        let Some(part) = self.tickets.remove(&ticket) else { return };
        let ended = matches!(self.parts.get(&part), Some(Part { state: State::Ended(_), .. }));
        if answer == Ok(Answer::Noted) && ended {
            self.set(part, State::Told);
            effects.push(Effect::Persist(vec![Record::Told { part }]));
        }
    }

    pub(super) fn len(&self) -> usize {
        self.parts.len()
    }
}
