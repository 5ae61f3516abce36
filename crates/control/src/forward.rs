//! Forwards the calls that this process took to the leader, and again to the next leader, until they are answered.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::effect::Effect;
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::operator::{CallId, OperatorRequest, Outcome, Token};
use crate::transfer::transfer_timeout;

/// The delay before a core member is asked again when no leader is known.
const NO_LEADER_PAUSE: Micros = 100_000;

/// An unanswered call to a live receiver is sent again after this many resend periods plus the transfer time of its
/// body. For repeats to the same receiver the pause doubles each time.
const RESEND_PERIODS: Micros = 3;

/// The source of a call within this process.
#[derive(Clone, Copy)]
pub(crate) enum Caller {
    Operator(Token),
    /// The lease of this process.
    Lease,
}

#[derive(Clone)]
struct Call {
    caller: Caller,
    request: OperatorRequest,
    deadline: Micros,
    send_at: Micros,
    sent_to: Option<NodeName>,
    /// The time between the last sending and the next one.
    pause: Micros,
}

impl Call {
    /// Notes that the call is sent. The pause is reset when the receiver changes.
    fn mark_sent(&mut self, receiver: &NodeName, now: Micros, first_pause: Micros) {
        let is_repeat = self.sent_to.as_ref() == Some(receiver);
        self.pause = if is_repeat { self.pause * 2 } else { first_pause };
        self.send_at = now + self.pause;
        self.sent_to = Some(receiver.clone());
    }
}

/// The calls that are not answered yet.
#[derive(Clone)]
pub(crate) struct Forwarder {
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// Counts the choices of a core member while no leader is known, so that they rotate.
    turn: usize,
}

impl Forwarder {
    /// `first` must be a number from which no other process of this node counts.
    pub(crate) fn new(first: CallId) -> Self {
        Forwarder { calls: BTreeMap::new(), next_call: first, turn: 0 }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        self.calls.values().map(|call| call.deadline.min(call.send_at)).min().unwrap_or(Micros::MAX)
    }

    fn add(&mut self, call: Call) -> CallId {
        let id = self.next_call;
        self.next_call = CallId(id.0.wrapping_add(1));
        self.calls.insert(id, call);
        id
    }
}

impl Control {
    pub(crate) fn forward(&mut self, caller: Caller, request: OperatorRequest) -> CallId {
        let deadline = self.now + self.settings.call_timeout + transfer_timeout(request.size());
        let call = Call { caller, request, deadline, send_at: self.now, sent_to: None, pause: 0 };
        self.forwarder.add(call)
    }

    pub(crate) fn run_forwarder(&mut self) {
        if self.forwarder.next_wake() > self.now {
            return;
        }
        let now = self.now;
        let expired_calls: Vec<CallId> =
            self.forwarder.calls.iter().filter(|(_, call)| call.deadline <= now).map(|(id, _)| *id).collect();
        for id in expired_calls {
            self.call_answered(id, Outcome::Unknown);
        }
        let due_calls: Vec<CallId> =
            self.forwarder.calls.iter().filter(|(_, call)| call.send_at <= now).map(|(id, _)| *id).collect();
        for id in due_calls {
            self.send_call(id);
        }
    }

    /// The leader, or a core member that may know the leader.
    fn next_receiver(&mut self) -> Option<NodeName> {
        if self.is_leader() {
            return Some(self.name.clone());
        }
        if let Some(leader) = self.leader_hint.clone().filter(|leader| self.peers.is_live(leader)) {
            return Some(leader);
        }
        let core = self.live_core();
        if core.is_empty() {
            return None;
        }
        self.forwarder.turn += 1;
        core.get(self.forwarder.turn % core.len()).cloned()
    }

    /// The live core members other than this process. Before any members are known, all live nodes that could become
    /// members.
    pub(crate) fn live_core(&self) -> Vec<NodeName> {
        let core = &self.replica.committed.core;
        let may_be_member =
            |name: &NodeName| core.is_empty() || core.voters().any(|member| member.name == *name);
        let live =
            self.peers.live().filter(|peer| peer.core_member().is_some()).map(|peer| peer.info.name.clone());
        live.filter(|name| *name != self.name && may_be_member(name)).collect()
    }

    fn send_call(&mut self, id: CallId) {
        let receiver = self.next_receiver();
        let Some(call) = self.forwarder.calls.get_mut(&id) else { return };
        let Some(receiver) = receiver else {
            call.send_at = self.now + NO_LEADER_PAUSE;
            return;
        };
        let first_pause = self.settings.resend * RESEND_PERIODS + transfer_timeout(call.request.size());
        call.mark_sent(&receiver, self.now, first_pause);
        let request = call.request.clone();
        self.send(receiver, ControlMessage::Operator { call: id, request });
    }

    pub(crate) fn call_answered(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.forwarder.calls.remove(&id) else { return };
        match call.caller {
            Caller::Operator(token) => self.effects.push(Effect::Answer { token, outcome }),
            Caller::Lease => self.lease_answered(id, &outcome),
        }
    }

    /// Handles a node that cannot be reached: calls that wait for it are sent again soon.
    pub(crate) fn node_unreachable(&mut self, name: &NodeName) {
        if self.leader_hint.as_ref() == Some(name) {
            self.leader_hint = None;
        }
        let resend_at = self.now + NO_LEADER_PAUSE;
        for call in self.forwarder.calls.values_mut().filter(|call| call.sent_to.as_ref() == Some(name)) {
            call.sent_to = None;
            call.send_at = call.send_at.min(resend_at);
        }
    }

    /// Handles the answer of a receiver that does not lead. It may name the leader.
    pub(crate) fn not_leader(&mut self, from: &NodeName, id: CallId, leader: Option<NodeName>) {
        if self.leader_hint.as_ref() == Some(from) || self.leader_hint.is_none() {
            self.leader_hint = leader.clone().filter(|leader| leader != from && *leader != self.name);
        }
        let now = self.now;
        let Some(call) = self.forwarder.calls.get_mut(&id) else { return };
        if call.sent_to.as_ref() != Some(from) {
            return;
        }
        call.send_at = if leader.is_some() { now } else { now + NO_LEADER_PAUSE };
        call.sent_to = None;
    }
}
