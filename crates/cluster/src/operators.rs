//! Operators that change the configuration at the same time, through relays of their choice, and lose answers.

use bytes::Bytes;
use pewterseam_control::{OperatorRequest, Outcome, Token};
use pewterseam_wire::Micros;

use crate::configuration::{Naming, PASSING, document, patch, retention};
use crate::event::{Event, Input};
use crate::history::{Interval, Write};
use crate::plan::{MILLISECOND, SECOND, Scenario};
use crate::world::World;

/// Of a hundred answers, so many are lost.
const LOST_ANSWERS: usize = 15;
/// Of a hundred acts without a change under way, so many are reads.
const READS: usize = 15;
/// Of a hundred acts without a change under way, so many send one again that was acknowledged.
const REPEATS: usize = 5;
/// Of the runs with many changes one of so many has large configurations.
const LARGE_EACH: u64 = 25;
const MANY_ROUTES: usize = 250;
/// Of the runs with changes of routes one of so many has them named anew with each change.
const NUMBERED_EACH: u64 = 2;
/// Where changes mostly move routes, one of so many drops a passing route.
const SELDOM_DROPPED: usize = 6;
/// All operators of a run together make so many changes where changes are many.
const MANY_CHANGES: usize = 300;

/// Asks, but hears no answer itself.
pub(crate) const NOBODY: usize = usize::MAX;

/// How fast operators are.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Without an answer for so long, an operator asks another relay.
    silence: Micros,
    least_pause_ms: usize,
    more_pause_ms: usize,
}

const USUAL_PACE: Pace = Pace { silence: SECOND, least_pause_ms: 300, more_pause_ms: 1_500 };
/// Changes that last for longer than `configApplyMs` now and then.
const SLOW_PACE: Pace = Pace { silence: SECOND, least_pause_ms: 500, more_pause_ms: 8_000 };
const QUICK_PACE: Pace = Pace { silence: 150 * MILLISECOND, least_pause_ms: 1, more_pause_ms: 40 };

/// A change that is sent until its fate is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub if_match: u64,
    pub version: u64,
    /// Tells it from all others.
    pub mark: u64,
    pub text: Bytes,
    pub is_patch: bool,
    /// The passing routes that stand after it.
    pub passing: Vec<&'static str>,
}

impl Change {
    /// It, as the history of the configuration knows it.
    pub fn write(&self) -> Write {
        Write { if_match: self.if_match, version: self.version, mark: self.mark }
    }

    fn request(&self) -> OperatorRequest {
        if self.is_patch {
            OperatorRequest::patch(self.if_match, self.text.clone())
        } else {
            OperatorRequest::put(self.if_match, self.text.clone())
        }
    }
}

/// What an operator asks of a relay.
#[derive(Clone, Debug)]
pub(crate) enum Question {
    Change(Change),
    Read,
    /// To empty the store of a machine.
    Retire {
        machine: usize,
    },
    /// Whether that store is empty.
    RetireState {
        machine: usize,
    },
}

/// A call that a relay has not answered.
#[derive(Clone, Debug)]
pub struct OperatorCall {
    operator: usize,
    question: Question,
    sent_at: Micros,
}

/// An operator.
#[derive(Default)]
pub struct Operator {
    based_on: u64,
    change: Option<Change>,
    acknowledged: Vec<Change>,
    token: u64,
    /// When it acts next.
    acts_at: Micros,
}

impl World {
    fn pace(&self) -> Pace {
        match self.plan.scenario {
            Scenario::ManyChanges => QUICK_PACE,
            Scenario::OutagesAndChanges => SLOW_PACE,
            _ => USUAL_PACE,
        }
    }

    /// Changes that may still begin.
    fn may_change(&self) -> bool {
        let is_over = self.now >= self.traffic_ends;
        let most = if self.plan.scenario == Scenario::ManyChanges { MANY_CHANGES } else { usize::MAX };
        !is_over && (self.last_mark as usize) < most
    }

    pub(crate) fn operator_acts(&mut self, index: usize) {
        if self.operators[index].acts_at != self.now {
            return;
        }
        if self.operators[index].change.is_none() {
            if !self.may_change() {
                return;
            }
            match self.random.below(100) {
                draw if draw < READS => self.ask_relay(index, Question::Read),
                draw if draw < READS + REPEATS => self.repeat_change(index),
                _ => {
                    let change = self.draw_change(index);
                    self.operators[index].change = Some(change);
                }
            }
        }
        if let Some(change) = self.operators[index].change.clone() {
            self.judge.change_sent(self.now, &change);
            self.ask_relay(index, Question::Change(change));
        }
        self.let_operator_act(index, self.now + self.pace().silence);
    }

    pub(crate) fn let_operator_act(&mut self, index: usize, at: Micros) {
        self.operators[index].acts_at = at;
        self.agenda.add(at, Event::OperatorActs { operator: index });
    }

    fn draw_change(&mut self, index: usize) -> Change {
        let if_match = self.operators[index].based_on;
        let version = if_match + 1 + self.random.below(3) as u64;
        self.last_mark += 1;
        let mark = self.last_mark;
        let naming = self.naming();
        let is_patch = if_match > 0 && self.random.below(2) == 0 && naming == Naming::ByPrefix;
        let passing = self.draw_passing();
        let retention = retention(self.plan.scenario);
        let text = if is_patch {
            patch(version, mark, &passing, retention)
        } else {
            document(version, mark, &passing, self.unused_routes(), retention, naming)
        };
        Change { if_match, version, mark, text, is_patch, passing }
    }

    /// Where routes change, every second run has operators who write whole configurations and number their routes.
    fn naming(&self) -> Naming {
        let is_numbered =
            self.plan.scenario == Scenario::ChangingRoutes && self.plan.seed.is_multiple_of(NUMBERED_EACH);
        if is_numbered { Naming::Numbered } else { Naming::ByPrefix }
    }

    /// Routes that make a configuration large, so that states go in pieces.
    fn unused_routes(&self) -> usize {
        let is_large =
            self.plan.scenario == Scenario::ManyChanges && self.plan.seed.is_multiple_of(LARGE_EACH);
        if is_large { MANY_ROUTES } else { 0 }
    }

    fn draw_passing(&mut self) -> Vec<&'static str> {
        let dropped_of = match self.plan.scenario {
            Scenario::ChangingRoutes => 2,
            Scenario::OutagesAndChanges => SELDOM_DROPPED,
            _ => return Vec::new(),
        };
        PASSING.into_iter().filter(|_| self.random.below(dropped_of) > 0).collect()
    }

    /// Sends a change again that was acknowledged, as if its answer had not come.
    fn repeat_change(&mut self, index: usize) {
        let known = &self.operators[index].acknowledged;
        if let Some(change) = known.get(self.random.below(known.len())).cloned() {
            self.ask_relay(index, Question::Change(change));
        }
    }

    pub(crate) fn ask_relay(&mut self, index: usize, question: Question) {
        let is_there = |index: &usize| self.machines[*index].relay().is_some();
        let relays: Vec<usize> = (0..self.machines.len()).filter(is_there).collect();
        let Some(relay) = relays.get(self.random.below(relays.len())).copied() else { return };
        let request = match &question {
            Question::Change(change) => change.request(),
            Question::Read => OperatorRequest::ReadConfig,
            Question::Retire { machine } => {
                OperatorRequest::Retire { node: self.machines[*machine].name.clone() }
            }
            Question::RetireState { machine } => {
                OperatorRequest::ReadRetire { node: self.machines[*machine].name.clone() }
            }
        };
        self.last_token += 1;
        if let Some(operator) = self.operators.get_mut(index) {
            operator.token = self.last_token;
        }
        let call = OperatorCall { operator: index, question, sent_at: self.now };
        self.operator_calls.insert(self.last_token, call);
        let arrival = self.now + self.network.delay();
        let input = Input::Operator { token: Token(self.last_token), request };
        self.agenda.add(arrival, Event::Process(self.life(relay), input));
    }

    /// Reads the configuration through a relay when all is over.
    pub(crate) fn read_last_config(&mut self, relay: usize) {
        self.last_token += 1;
        let call = OperatorCall { operator: NOBODY, question: Question::Read, sent_at: self.now };
        self.operator_calls.insert(self.last_token, call);
        let input = Input::Operator { token: Token(self.last_token), request: OperatorRequest::ReadConfig };
        self.agenda.add(self.now, Event::Process(self.life(relay), input));
    }

    /// A relay answers an operator. What it answers is judged also if the operator does not hear it.
    pub(crate) fn operator_answered(&mut self, token: Token, outcome: Outcome) {
        let Some(call) = self.operator_calls.remove(&token.0) else { return };
        let interval = Interval { sent_at: call.sent_at, answered_at: self.now };
        match (&call.question, &outcome) {
            (Question::Read, Outcome::Config(config)) => {
                self.judge.config_read(interval, config);
                self.is_config_read |= call.operator == NOBODY;
            }
            (Question::Read, _) => {}
            (Question::Retire { machine }, outcome) => self.retire_answered(*machine, outcome),
            (Question::RetireState { machine }, outcome) => self.retire_state_answered(*machine, outcome),
            (Question::Change(change), outcome) => self.judge.change_answered(interval, change, outcome),
        }
        let is_lost = call.operator == NOBODY || self.random.below(100) < LOST_ANSWERS;
        if !is_lost {
            let at = self.now + self.network.delay();
            let event = Event::OperatorHears { operator: call.operator, token, outcome };
            self.agenda.add(at, event);
        }
    }

    pub(crate) fn operator_hears(&mut self, index: usize, token: Token, outcome: Outcome) {
        let operator = &mut self.operators[index];
        if operator.token != token.0 {
            return;
        }
        match outcome {
            Outcome::Config(config) => operator.based_on = operator.based_on.max(config.version),
            Outcome::Accepted { version } => {
                operator.based_on = operator.based_on.max(version);
                operator.acknowledged.extend(operator.change.take());
            }
            Outcome::Conflict { current } => {
                operator.based_on = current;
                operator.change = None;
            }
            Outcome::Invalid { .. } => operator.change = None,
            _ => return,
        }
        let pace = self.pace();
        let pause = (pace.least_pause_ms + self.random.below(pace.more_pause_ms)) as Micros * MILLISECOND;
        self.let_operator_act(index, self.now + pause);
    }
}
