//! Operators that change the configuration at the same time, through relays of their choice, and lose answers.

use bytes::Bytes;
use pewterseam_control::{OperatorRequest, Outcome, Token};
use pewterseam_wire::Micros;

use crate::configuration::{document, patch};
use crate::event::{Event, Input};
use crate::plan::{MILLISECOND, SECOND};
use crate::world::World;

/// Without an answer for so long, an operator asks another relay.
const SILENCE: Micros = SECOND;
/// Of a hundred answers, so many are lost.
const LOST_ANSWERS: usize = 15;
const LEAST_PAUSE_MS: usize = 300;
const MORE_PAUSE_MS: usize = 1_500;

/// A change that is sent until its fate is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub if_match: u64,
    pub version: u64,
    pub text: Bytes,
    pub is_patch: bool,
}

/// An operator.
#[derive(Default)]
pub struct Operator {
    based_on: u64,
    change: Option<Change>,
    token: u64,
    /// When it acts next.
    acts_at: Micros,
}

impl World {
    pub(crate) fn operator_acts(&mut self, index: usize) {
        if self.operators[index].acts_at != self.now {
            return;
        }
        let is_idle = self.operators[index].change.is_none();
        if is_idle && self.now >= self.traffic_ends {
            return;
        }
        if is_idle {
            let change = self.draw_change(index);
            self.operators[index].change = Some(change);
        }
        self.send_change(index);
        self.let_operator_act(index, self.now + SILENCE);
    }

    pub(crate) fn let_operator_act(&mut self, index: usize, at: Micros) {
        self.operators[index].acts_at = at;
        self.agenda.add(at, Event::OperatorActs { operator: index });
    }

    fn draw_change(&mut self, index: usize) -> Change {
        let if_match = self.operators[index].based_on;
        let version = if_match + 1 + self.random.below(3) as u64;
        let note = self.random.draw() >> 16;
        let is_patch = if_match > 0 && self.random.below(2) == 0;
        let text = if is_patch { patch(version, note) } else { document(version, note) };
        Change { if_match, version, text, is_patch }
    }

    fn send_change(&mut self, index: usize) {
        let Some(change) = self.operators[index].change.clone() else { return };
        let request = if change.is_patch {
            OperatorRequest::patch(change.if_match, change.text)
        } else {
            OperatorRequest::put(change.if_match, change.text)
        };
        let relays: Vec<usize> =
            (0..self.machines.len()).filter(|index| self.machines[*index].relay().is_some()).collect();
        let Some(relay) = relays.get(self.random.below(relays.len())).copied() else { return };
        self.last_token += 1;
        let operator = &mut self.operators[index];
        operator.token = self.last_token;
        self.operator_calls.insert(self.last_token, index);
        let arrival = self.now + self.network.delay();
        let input = Input::Operator { token: Token(self.last_token), request };
        self.agenda.add(arrival, Event::Process(self.life(relay), input));
    }

    /// A relay answers an operator.
    pub(crate) fn operator_answered(&mut self, token: Token, outcome: Outcome) {
        if let Outcome::Config(document) = &outcome {
            self.final_config = Some(document.clone());
            return;
        }
        let Some(operator) = self.operator_calls.remove(&token.0) else { return };
        let is_lost = self.random.below(100) < LOST_ANSWERS;
        let outcome = (!is_lost).then_some(outcome);
        let at = self.now + self.network.delay();
        self.agenda.add(at, Event::OperatorHears { operator, token, outcome });
    }

    pub(crate) fn operator_hears(&mut self, index: usize, token: Token, outcome: Option<Outcome>) {
        let operator = &mut self.operators[index];
        if operator.token != token.0 {
            return;
        }
        let Some(change) = operator.change.clone() else { return };
        match outcome {
            Some(Outcome::Accepted { version }) => {
                operator.based_on = operator.based_on.max(version);
                self.judge.acknowledged(self.now, &change);
            }
            Some(Outcome::Conflict { current }) => {
                operator.based_on = current;
                self.judge.refused(self.now, &change);
            }
            Some(Outcome::Invalid { errors }) => {
                self.judge.refused_as_invalid(self.now, &change, &errors);
            }
            _ => return,
        }
        operator.change = None;
        let pause = (LEAST_PAUSE_MS + self.random.below(MORE_PAUSE_MS)) as Micros * MILLISECOND;
        self.let_operator_act(index, self.now + pause);
    }
}
