//! Calls between members, both ways.

use serde::{Serialize, de::DeserializeOwned};

use super::Fleet;
use crate::calls::{self, AnswerTo, Asked, Purpose, Refused};
use crate::interface::{CallId, Effect, MemberId, Micros, Part, Ticket, Unanswered};
use crate::learn::Page;

/// A call that the driver says nothing of is given up so much later than it should have ended.
const SLACK: Micros = 1_000_000;
/// Calls of parts that may wait for the part's answer. Beyond it they are turned away.
const MOST_ASKED: usize = 4096;

/// What a call of this member was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Why {
    /// Messages to a voter; whether a snapshot was among them.
    Log {
        voter: crate::interface::VoterId,
        snapshot: bool,
    },
    Learn,
    Propose(Ticket),
    Marks,
    Part(Ticket),
}

#[derive(Clone, Debug)]
pub(super) struct Out {
    to: MemberId,
    answer: AnswerTo,
    why: Why,
    until: Micros,
}

impl Fleet {
    /// Makes a call; what becomes of it comes to [`Fleet::on_answer`], also if it can't be made.
    pub(super) fn call(&mut self, now: Micros, to: MemberId, purpose: Purpose, body: Vec<u8>, why: Why) {
        let Some(address) = self.view.members().get(to).map(|member| member.address) else {
            self.ended(now, to, why, Err(Unanswered::Unknown));
            return;
        };
        let sequence = self.call_sequences.entry(to).or_default();
        *sequence += 1;
        let (from, incarnation) = (self.config.me, self.swim.identity().incarnation);
        let asked = Asked { from, incarnation, sequence: *sequence, purpose, body };
        let Some(body) = calls::seal(&self.keys, to, &asked) else {
            self.ended(now, to, why, Err(Unanswered::TooLong));
            return;
        };
        let answer = AnswerTo { from, incarnation, sequence: asked.sequence, by: to };
        self.numbered += 1;
        let call = CallId(self.numbered);
        self.counters.calls_out += 1;
        self.counters.call_bytes_out += body.len() as u64;
        let rests = matches!(why, Why::Log { .. });
        let until = now + self.config.times.call + SLACK;
        self.calls.insert(call, Out { to, answer, why, until });
        let effect = Effect::Call { call, to, address, body };
        if rests { self.after.push(effect) } else { self.effects.push(effect) }
    }

    /// Calls that the driver forgot.
    pub(super) fn give_up_calls(&mut self, now: Micros) {
        let late: Vec<CallId> =
            self.calls.iter().filter(|(_, out)| out.until <= now).map(|(call, _)| *call).collect();
        for call in late {
            self.on_answer(now, call, Err(Unanswered::TooLate));
        }
    }

    pub(super) fn on_answer(&mut self, now: Micros, call: CallId, answer: Result<Vec<u8>, Unanswered>) {
        let Some(out) = self.calls.remove(&call) else { return };
        let answer = answer.map_err(|error| match error {
            Unanswered::Status(status) => Refused::unanswered(status),
            other => other,
        });
        let opened = answer.and_then(|bytes| {
            calls::open_answer(&self.keys, &out.answer, &bytes).map_err(|_| Unanswered::NotSealed)
        });
        self.counters.calls_unanswered += u64::from(opened.is_err());
        self.ended(now, out.to, out.why, opened);
    }

    fn ended(&mut self, now: Micros, by: MemberId, why: Why, answer: Result<Vec<u8>, Unanswered>) {
        match why {
            Why::Log { voter, snapshot } => {
                self.on_log_answer(now, voter, snapshot, answer.ok().and_then(|bytes| read(&bytes)));
            }
            Why::Learn => {
                let page = answer.ok().and_then(|bytes| read::<Page>(&bytes));
                self.on_page(now, by, page);
            }
            Why::Propose(ticket) => {
                let answer = answer.and_then(|bytes| read(&bytes).ok_or(Unanswered::NotSealed));
                self.on_proposed(now, by, ticket, answer);
            }
            Why::Marks => {
                if let Some(knows) = answer.ok().and_then(|bytes| read(&bytes)) {
                    self.on_knows(by, knows);
                }
            }
            Why::Part(ticket) => self.effects.push(Effect::Replied { ticket, answer }),
        }
    }

    /// A call came in.
    pub(super) fn on_call(&mut self, now: Micros, call: CallId, body: &[u8]) {
        self.counters.calls_in += 1;
        let opened = calls::open(&self.keys, self.config.me, body).and_then(|asked| {
            let within = asked.from.0 < self.config.peers && asked.from != self.config.me;
            if !within {
                return Err(Refused::Malformed);
            }
            let fresh = self.called.take(asked.from, asked.incarnation, asked.sequence);
            fresh.map(|()| asked).map_err(|_| Refused::Stale)
        });
        let asked = match opened {
            Ok(asked) => asked,
            Err(refused) => return self.refuse(call, refused),
        };
        let Asked { from, incarnation, sequence, purpose, body } = asked;
        let answer = AnswerTo { from, incarnation, sequence, by: self.config.me };
        match purpose {
            Purpose::LOG => match read(&body) {
                Some(said) => self.on_log_call(now, call, answer, said),
                None => self.refuse(call, Refused::Malformed),
            },
            Purpose::LEARN => match read(&body) {
                Some(after) => {
                    let page = Page::of(&self.known, after, self.voters.clone());
                    self.answer(call, answer, &page);
                }
                None => self.refuse(call, Refused::Malformed),
            },
            Purpose::PROPOSE => match read(&body) {
                Some(proposal) => self.on_proposal(now, call, answer, proposal),
                None => self.refuse(call, Refused::Malformed),
            },
            Purpose::MARKS => {
                let knows = self.knows_of(from);
                self.answer(call, answer, &knows);
            }
            Purpose(number) if number >> 8 == Purpose::PARTS >> 8 => {
                if self.asked.len() >= MOST_ASKED {
                    return self.refuse(call, Refused::NotNow);
                }
                self.asked.insert(call, (answer, now + self.config.times.call + SLACK));
                let part = Part((number & 0xFF) as u8);
                self.effects.push(Effect::Asked { call, from, part, body });
            }
            _ => self.refuse(call, Refused::NotUnderstood),
        }
    }

    pub(super) fn ask(&mut self, now: Micros, ticket: Ticket, to: MemberId, part: Part, body: Vec<u8>) {
        let purpose = Purpose(Purpose::PARTS | u16::from(part.0));
        self.call(now, to, purpose, body, Why::Part(ticket));
    }

    /// A part's answer.
    pub(super) fn reply(&mut self, call: CallId, body: &[u8]) {
        if let Some((to, _)) = self.asked.remove(&call) {
            self.answer_bytes(call, to, body);
        }
    }

    /// Calls whose part never answered.
    pub(super) fn forget_asked(&mut self, now: Micros) {
        let late: Vec<CallId> =
            self.asked.iter().filter(|(_, (_, until))| *until <= now).map(|(call, _)| *call).collect();
        for call in late {
            self.asked.remove(&call);
            self.refuse(call, Refused::NotNow);
        }
    }

    pub(super) fn answer<T: Serialize>(&mut self, call: CallId, to: AnswerTo, said: &T) {
        let body = postcard::to_stdvec(said).unwrap_or_default();
        self.answer_bytes(call, to, &body);
    }

    fn answer_bytes(&mut self, call: CallId, to: AnswerTo, body: &[u8]) {
        match calls::seal_answer(&self.keys, &to, body) {
            Some(body) => self.effects.push(Effect::Answer { call, status: 200, body }),
            None => self.refuse(call, Refused::NotNow),
        }
    }

    pub(super) fn refuse(&mut self, call: CallId, refused: Refused) {
        match refused {
            Refused::Malformed | Refused::Format => self.counters.calls_malformed += 1,
            Refused::Sealed => self.counters.calls_of_strangers += 1,
            Refused::Stale => self.counters.calls_replayed += 1,
            Refused::NotUnderstood => self.counters.calls_not_understood += 1,
            Refused::NotNow => {}
        }
        self.effects.push(Effect::Answer { call, status: refused.status(), body: Vec::new() });
    }
}

/// What stands behind what this version knows is left to newer ones.
pub(super) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().map(|(said, _)| said)
}
