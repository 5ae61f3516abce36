//! How a leader processes calls: it checks them, in the order of their arrival, against the newest state.

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

/// The maximum number of calls that wait at a leader.
const MAX_QUEUED_CALLS: usize = 64;

/// A call that waits for an answer, and the node that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingCall {
    pub node: NodeName,
    pub call: CallId,
}

/// A call that may change the state.
#[derive(Clone)]
pub(crate) struct QueuedCall {
    request: OperatorRequest,
    /// The identifier of a configuration change, for deduplication.
    id: Option<RequestId>,
    pending_calls: Vec<PendingCall>,
}

/// An answer that is given only once the leadership is confirmed.
#[derive(Clone)]
enum ReadKind {
    Config,
    Index,
    /// The newest index, for a caller that can wait for the next heartbeat.
    Lease,
    Retire(NodeName),
    /// A rejection, which must be confirmed as well: a leader that was replaced without knowing it may reject wrongly.
    Rejection(Outcome),
}

/// A read that waits for a round of heartbeats.
#[derive(Clone)]
pub(crate) struct PendingRead {
    round: u64,
    pending_call: PendingCall,
    kind: ReadKind,
}

/// The leader's decision on a call.
pub(crate) enum Decision {
    Answer(Outcome),
    Refuse(Outcome),
    Propose(Command, Option<(RequestId, u64)>),
}

impl Control {
    /// Handles a call from the process that took it.
    pub(crate) fn receive_call(&mut self, from: &NodeName, call: CallId, request: OperatorRequest) {
        let pending_call = PendingCall { node: from.clone(), call };
        let Role::Leader(leader) = &mut self.role else {
            let leader = self.leader_hint.clone();
            return self.send(from.clone(), ControlMessage::NotLeader { call, leader });
        };
        match request {
            OperatorRequest::ReadConfig => self.queue_read(pending_call, ReadKind::Config),
            OperatorRequest::ReadIndex => self.queue_read(pending_call, ReadKind::Index),
            OperatorRequest::RenewLease => self.queue_read(pending_call, ReadKind::Lease),
            OperatorRequest::ReadRetire { node } => self.queue_read(pending_call, ReadKind::Retire(node)),
            request => {
                let id = match &request {
                    OperatorRequest::Configure { if_match, change } => Some(RequestId::of(*if_match, change)),
                    _ => None,
                };
                if leader.join_identical_change(id, &pending_call) {
                    return;
                }
                if leader.queue.len() >= MAX_QUEUED_CALLS {
                    return self.answer_call(pending_call, Outcome::Unknown);
                }
                leader.queue.push_back(QueuedCall { request, id, pending_calls: vec![pending_call] });
                self.propose_next();
            }
        }
    }

    fn queue_read(&mut self, pending_call: PendingCall, kind: ReadKind) {
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round + 1;
        leader.reads.push(PendingRead { round, pending_call, kind });
        self.start_round_for_reads();
    }

    pub(crate) fn process_order(&mut self, order: QueuedCall) {
        let decision = match &order.request {
            OperatorRequest::Configure { if_match, change } => {
                self.decide_change(order.id, *if_match, change)
            }
            OperatorRequest::Retire { node } => self.decide_retire(node),
            _ => Decision::Answer(Outcome::Unknown),
        };
        match decision {
            Decision::Propose(command, request) => self.propose(command, request, order.pending_calls),
            Decision::Answer(outcome) => {
                for pending_call in order.pending_calls {
                    self.answer_call(pending_call, outcome.clone());
                }
            }
            Decision::Refuse(outcome) => {
                for pending_call in order.pending_calls {
                    self.queue_read(pending_call, ReadKind::Rejection(outcome.clone()));
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

    /// Returns the checker. The schema is compiled when it is first needed, since most processes never lead.
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
        for pending_call in &in_flight.pending_calls {
            self.answer_call(pending_call.clone(), outcome.clone());
        }
    }

    /// Answers the reads whose rounds are confirmed.
    pub(crate) fn answer_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.reads.is_empty() {
            return;
        }
        let is_serving = leader.is_serving;
        let confirmed = leader.confirmed_round(&self.replica.accepted);
        let (ready, waiting): (Vec<PendingRead>, Vec<PendingRead>) = std::mem::take(&mut leader.reads)
            .into_iter()
            .partition(|read| is_serving && read.round <= confirmed);
        leader.reads = waiting;
        for read in ready {
            let state = &self.replica.committed.state;
            let outcome = match read.kind {
                ReadKind::Config => Outcome::Config(state.config.clone()),
                ReadKind::Index | ReadKind::Lease => Outcome::Index(state.index),
                ReadKind::Retire(node) => self.retire_state(&node),
                ReadKind::Rejection(outcome) => outcome,
            };
            self.answer_call(read.pending_call, outcome);
        }
        self.start_round_for_reads();
    }

    /// Starts the next round once the present one is confirmed. Reads that arrived during the present round share the
    /// next one.
    fn start_round_for_reads(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let is_round_done = leader.confirmed_round(&self.replica.accepted) >= leader.round;
        let is_due = |read: &PendingRead| read.round > leader.round && !matches!(read.kind, ReadKind::Lease);
        if is_round_done && leader.reads.iter().any(is_due) {
            self.start_round();
        }
    }

    fn answer_call(&mut self, pending_call: PendingCall, outcome: Outcome) {
        self.send(pending_call.node, ControlMessage::OperatorAnswer { call: pending_call.call, outcome });
    }

    /// Tells the callers that this process leads no longer. They ask the next leader, which knows the outcome of the
    /// changes.
    pub(crate) fn redirect_callers(&mut self, leader: Leader) {
        let in_flight = leader.in_flight.into_iter().flat_map(|in_flight| in_flight.pending_calls);
        let queued = leader.queue.into_iter().flat_map(|order| order.pending_calls);
        let reads = leader.reads.into_iter().map(|read| read.pending_call);
        let pending_calls: Vec<PendingCall> = in_flight.chain(queued).chain(reads).collect();
        for pending_call in pending_calls {
            self.send(pending_call.node, ControlMessage::NotLeader { call: pending_call.call, leader: None });
        }
    }
}

impl Leader {
    /// Adds a caller to an identical change that is queued or in flight. Returns whether there is one.
    fn join_identical_change(&mut self, id: Option<RequestId>, pending_call: &PendingCall) -> bool {
        if id.is_none() {
            return false;
        }
        let in_flight =
            self.in_flight.as_mut().filter(|in_flight| in_flight.request.map(|(request, _)| request) == id);
        let queued = self.queue.iter_mut().find(|order| order.id == id);
        let pending_calls = match (in_flight, queued) {
            (Some(in_flight), _) => &mut in_flight.pending_calls,
            (None, Some(order)) => &mut order.pending_calls,
            (None, None) => return false,
        };
        if !pending_calls.contains(pending_call) {
            pending_calls.push(pending_call.clone());
        }
        true
    }
}
