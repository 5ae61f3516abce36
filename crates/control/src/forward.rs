//! Calls that this process took: passed on to the leader, and again to the next one, until they are answered.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::effect::Effect;
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::operator::{CallId, OperatorRequest, Outcome, Token};
use crate::transfer::time_to_carry;

/// A core member that knows no leader is asked again after this.
const NO_LEADER_PAUSE: Micros = 100_000;

/// An unanswered call goes out again after so many of the usual pauses, and the time that its body may take on the way,
/// if its receiver is alive; to the same receiver then after twice as long each time.
const PATIENCE: Micros = 3;

/// Who made a call, within this process.
#[derive(Clone, Copy)]
pub(crate) enum Caller {
    Operator(Token),
    /// This process renews its lease.
    Lease,
}

#[derive(Clone)]
struct Call {
    caller: Caller,
    request: OperatorRequest,
    deadline: Micros,
    send_at: Micros,
    sent_to: Option<NodeName>,
    /// Between the last sending and the next one.
    pause: Micros,
}

impl Call {
    /// Notes that the call goes out. The pause begins anew with another receiver.
    fn sent(&mut self, receiver: &NodeName, now: Micros, first_pause: Micros) {
        let is_repeat = self.sent_to.as_ref() == Some(receiver);
        self.pause = if is_repeat { self.pause * 2 } else { first_pause };
        self.send_at = now + self.pause;
        self.sent_to = Some(receiver.clone());
    }
}

/// The calls under way.
#[derive(Clone)]
pub(crate) struct Forwarder {
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// Rises with each choice among core members where no leader is known.
    turn: usize,
}

impl Forwarder {
    /// `first` is a number that no other process of this node counts from.
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
        let deadline = self.now + self.settings.call_timeout + time_to_carry(request.size());
        let call = Call { caller, request, deadline, send_at: self.now, sent_to: None, pause: 0 };
        self.forwarder.add(call)
    }

    pub(crate) fn run_forwarder(&mut self) {
        if self.forwarder.next_wake() > self.now {
            return;
        }
        let now = self.now;
        let over: Vec<CallId> =
            self.forwarder.calls.iter().filter(|(_, call)| call.deadline <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.answered(id, Outcome::Unknown);
        }
        let due: Vec<CallId> =
            self.forwarder.calls.iter().filter(|(_, call)| call.send_at <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.send_call(id);
        }
    }

    /// The leader, or a core member that may know it.
    fn receiver(&mut self) -> Option<NodeName> {
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

    /// Core members other than this process that are alive; before any are known, nodes that could be.
    pub(crate) fn live_core(&self) -> Vec<NodeName> {
        let core = &self.replica.committed.core;
        let could_be = |name: &NodeName| core.is_empty() || core.voters().any(|member| member.name == *name);
        let live =
            self.peers.live().filter(|peer| peer.core_member().is_some()).map(|peer| peer.info.name.clone());
        live.filter(|name| *name != self.name && could_be(name)).collect()
    }

    fn send_call(&mut self, id: CallId) {
        let receiver = self.receiver();
        let Some(call) = self.forwarder.calls.get_mut(&id) else { return };
        let Some(receiver) = receiver else {
            call.send_at = self.now + NO_LEADER_PAUSE;
            return;
        };
        let first_pause = self.settings.resend * PATIENCE + time_to_carry(call.request.size());
        call.sent(&receiver, self.now, first_pause);
        let request = call.request.clone();
        self.send(receiver, ControlMessage::Operator { call: id, request });
    }

    pub(crate) fn answered(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.forwarder.calls.remove(&id) else { return };
        match call.caller {
            Caller::Operator(token) => self.effects.push(Effect::Answer { token, outcome }),
            Caller::Lease => self.lease_answered(id, &outcome),
        }
    }

    /// A node cannot be reached: calls that wait for it are sent again soon.
    pub(crate) fn lost_contact(&mut self, name: &NodeName) {
        if self.leader_hint.as_ref() == Some(name) {
            self.leader_hint = None;
        }
        let again = self.now + NO_LEADER_PAUSE;
        for call in self.forwarder.calls.values_mut().filter(|call| call.sent_to.as_ref() == Some(name)) {
            call.sent_to = None;
            call.send_at = call.send_at.min(again);
        }
    }

    /// The receiver does not lead. It may know who does.
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
