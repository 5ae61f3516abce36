//! What a leader does with calls: checks them, in the order in which they came, against the newest state.

use std::sync::Arc;

use pewterseam_config::{Checker, ConfigError};
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

use crate::election::Role;
use crate::entry::{Change, Command, RequestId};
use crate::leader::{InFlight, Leader};
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::operator::{CallId, OperatorRequest, Outcome};

/// Calls that may wait at a leader.
const MOST_QUEUED: usize = 64;

/// Who waits for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Asker {
    pub node: NodeName,
    pub call: CallId,
}

/// A call that may change the state.
#[derive(Clone)]
pub(crate) struct Order {
    request: OperatorRequest,
    /// What tells a change from others.
    id: Option<RequestId>,
    askers: Vec<Asker>,
}

/// What is answered once the leadership is confirmed.
#[derive(Clone)]
enum Question {
    Config,
    Index,
    /// The newest index, for one that can wait for the next heartbeat.
    Lease,
    Retire(NodeName),
    /// A refusal: a leader that was replaced may not know that it is wrong.
    Refusal(Outcome),
}

/// A question that waits for a round of heartbeats.
#[derive(Clone)]
pub(crate) struct Read {
    round: u64,
    asker: Asker,
    question: Question,
}

/// What follows from a call.
pub(crate) enum Decision {
    Answer(Outcome),
    Refuse(Outcome),
    Propose(Command, Option<(RequestId, u64)>),
}

impl Control {
    /// A call arrived from the relay that took it.
    pub(crate) fn order(&mut self, from: &NodeName, call: CallId, request: OperatorRequest) {
        let asker = Asker { node: from.clone(), call };
        let Role::Leader(leader) = &mut self.role else {
            let leader = self.leader_hint.clone();
            return self.send(from.clone(), ControlMessage::NotLeader { call, leader });
        };
        match request {
            OperatorRequest::ReadConfig => self.ask(asker, Question::Config),
            OperatorRequest::ReadIndex => self.ask(asker, Question::Index),
            OperatorRequest::RenewLease => self.ask(asker, Question::Lease),
            OperatorRequest::ReadRetire { node } => self.ask(asker, Question::Retire(node)),
            request => {
                let id = match &request {
                    OperatorRequest::Configure { if_match, change } => Some(RequestId::of(*if_match, change)),
                    _ => None,
                };
                if leader.attach(id, &asker) {
                    return;
                }
                if leader.queue.len() >= MOST_QUEUED {
                    return self.answer(asker, Outcome::Unknown);
                }
                leader.queue.push_back(Order { request, id, askers: vec![asker] });
                self.next_order();
            }
        }
    }

    fn ask(&mut self, asker: Asker, question: Question) {
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round + 1;
        leader.reads.push(Read { round, asker, question });
        self.start_round_for_reads();
    }

    pub(crate) fn work_off(&mut self, order: Order) {
        let decision = match &order.request {
            OperatorRequest::Configure { if_match, change } => {
                self.decide_change(order.id, *if_match, change)
            }
            OperatorRequest::Retire { node } => self.decide_retire(node),
            _ => Decision::Answer(Outcome::Unknown),
        };
        match decision {
            Decision::Propose(command, request) => self.propose(command, request, order.askers),
            Decision::Answer(outcome) => {
                for asker in order.askers {
                    self.answer(asker, outcome.clone());
                }
            }
            Decision::Refuse(outcome) => {
                for asker in order.askers {
                    self.ask(asker, Question::Refusal(outcome.clone()));
                }
            }
        }
    }

    fn decide_change(&mut self, id: Option<RequestId>, if_match: u64, change: &Change) -> Decision {
        let newest = &self.replica.accepted;
        let id = id.unwrap_or_else(|| RequestId::of(if_match, change));
        if let Some(version) = newest.version_of(id) {
            return Decision::Answer(Outcome::Accepted { version });
        }
        let current = newest.state.config.version;
        if if_match != current && newest.may_have_forgotten(if_match) {
            return Decision::Answer(Outcome::Unknown);
        }
        if if_match != current {
            return Decision::Refuse(Outcome::Conflict { current });
        }
        let live = newest.live();
        let checked = self.checker().and_then(|checker| match (change, live) {
            (Change::Whole(text), _) => checker.check(text, current),
            (Change::Patch(patch), Ok(live)) => checker.check_patch(&live, patch, current),
            (Change::Patch(_), Err(error)) => {
                Err(vec![ConfigError::Unreadable { reason: error.to_string() }])
            }
        });
        let checked = checked.and_then(|config| config.compiled().map(|compiled| (config, compiled.version)));
        match checked {
            Ok((config, version)) => {
                let digest = hash(config.text(), 0);
                let command = Command::Configure { request: id, version, digest, change: change.clone() };
                Decision::Propose(command, Some((id, version)))
            }
            Err(errors) => Decision::Refuse(Outcome::Invalid {
                errors: errors.iter().map(ToString::to_string).collect(),
            }),
        }
    }

    /// The schema is compiled where it is first needed: most processes never lead.
    fn checker(&mut self) -> Result<Arc<Checker>, Vec<ConfigError>> {
        if self.checker.is_none() {
            let unusable = |error: pewterseam_config::SchemaError| {
                vec![ConfigError::Unreadable { reason: error.to_string() }]
            };
            self.checker = Some(Arc::new(Checker::new().map_err(unusable)?));
        }
        self.checker.clone().ok_or_else(Vec::new)
    }

    pub(crate) fn answer_committed(&mut self, in_flight: &InFlight) {
        let outcome = match in_flight.request {
            Some((_, version)) => Outcome::Accepted { version },
            None => Outcome::Retiring,
        };
        for asker in &in_flight.askers {
            self.answer(asker.clone(), outcome.clone());
        }
    }

    /// Answers what waited for rounds that are confirmed by now.
    pub(crate) fn answer_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.reads.is_empty() {
            return;
        }
        let is_serving = leader.is_serving;
        let confirmed = leader.confirmed_round(&self.replica.accepted);
        let (ready, waiting): (Vec<Read>, Vec<Read>) = std::mem::take(&mut leader.reads)
            .into_iter()
            .partition(|read| is_serving && read.round <= confirmed);
        leader.reads = waiting;
        for read in ready {
            let state = &self.replica.committed.state;
            let outcome = match read.question {
                Question::Config => Outcome::Config(state.config.clone()),
                Question::Index | Question::Lease => Outcome::Index(state.index),
                Question::Retire(node) => self.retire_state(&node),
                Question::Refusal(outcome) => outcome,
            };
            self.answer(read.asker, outcome);
        }
        self.start_round_for_reads();
    }

    /// Questions that came while a round was under way share the next one.
    fn start_round_for_reads(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let is_round_done = leader.confirmed_round(&self.replica.accepted) >= leader.round;
        let is_due = |read: &Read| read.round > leader.round && !matches!(read.question, Question::Lease);
        if is_round_done && leader.reads.iter().any(is_due) {
            self.start_round();
        }
    }

    fn answer(&mut self, asker: Asker, outcome: Outcome) {
        self.send(asker.node, ControlMessage::OperatorAnswer { call: asker.call, outcome });
    }

    /// This process leads no longer: the relays ask the next leader, which knows what became of the changes.
    pub(crate) fn abandon_orders(&mut self, leader: Leader) {
        let in_flight = leader.in_flight.into_iter().flat_map(|in_flight| in_flight.askers);
        let queued = leader.queue.into_iter().flat_map(|order| order.askers);
        let reads = leader.reads.into_iter().map(|read| read.asker);
        let askers: Vec<Asker> = in_flight.chain(queued).chain(reads).collect();
        for asker in askers {
            self.send(asker.node, ControlMessage::NotLeader { call: asker.call, leader: None });
        }
    }
}

impl Leader {
    /// Adds an asker to a change that is waiting or on its way already.
    fn attach(&mut self, id: Option<RequestId>, asker: &Asker) -> bool {
        if id.is_none() {
            return false;
        }
        let in_flight =
            self.in_flight.as_mut().filter(|flying| flying.request.map(|(request, _)| request) == id);
        let queued = self.queue.iter_mut().find(|order| order.id == id);
        let askers = match (in_flight, queued) {
            (Some(in_flight), _) => &mut in_flight.askers,
            (None, Some(order)) => &mut order.askers,
            (None, None) => return false,
        };
        if !askers.contains(asker) {
            askers.push(asker.clone());
        }
        true
    }
}
