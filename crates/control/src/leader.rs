//! The leader: proposes entries, commits them, and keeps its leadership confirmed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{PlacementEpoch, StoreId};

use crate::agreed::Agreed;
use crate::calls::{PendingCall, PendingRead, QueuedCall};
use crate::election::Role;
use crate::entry::{Command, CoreMember, Entry, RequestId, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::transfer::transfer_timeout;

/// An entry that is proposed and not yet accepted by a majority.
#[derive(Clone)]
pub(crate) struct InFlight {
    entry: Entry,
    accepted: BTreeSet<CoreMember>,
    /// The identifier of the operator's change in the entry and the version that results from it, and the calls that
    /// wait for it.
    pub request: Option<(RequestId, u64)>,
    pub pending_calls: Vec<PendingCall>,
    resend_at: Micros,
}

/// A member's last heartbeat answer.
#[derive(Clone)]
struct HeartbeatAnswer {
    round: u64,
    at: Micros,
    committed: u64,
}

/// The state of a leader.
#[derive(Clone)]
pub(crate) struct Leader {
    pub epoch: u64,
    /// Whether an entry of this epoch is committed, so that the leader may serve requests.
    pub is_serving: bool,
    pub in_flight: Option<InFlight>,
    pub queue: VecDeque<QueuedCall>,
    pub reads: Vec<PendingRead>,
    pub round: u64,
    answers: BTreeMap<CoreMember, HeartbeatAnswer>,
    pub copied: BTreeMap<StoreId, PlacementEpoch>,
    next_heartbeat: Micros,
    next_housekeeping: Micros,
}

impl Leader {
    pub(crate) fn new(epoch: u64, now: Micros, accepted: &Agreed) -> Self {
        let initial_answer =
            |member: &CoreMember| (member.clone(), HeartbeatAnswer { round: 0, at: now, committed: 0 });
        Leader {
            epoch,
            is_serving: false,
            in_flight: None,
            queue: VecDeque::new(),
            reads: Vec::new(),
            round: 0,
            answers: accepted.core.voters().map(initial_answer).collect(),
            copied: BTreeMap::new(),
            next_heartbeat: now,
            next_housekeeping: now,
        }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        let resend_at = self.in_flight.as_ref().map_or(Micros::MAX, |in_flight| in_flight.resend_at);
        self.next_heartbeat.min(self.next_housekeeping).min(resend_at)
    }

    /// Whether a majority of the core answered within this time.
    pub(crate) fn has_majority(&self, accepted: &Agreed, now: Micros, timeout: Micros) -> bool {
        let recent = self.answers.iter().filter(|(_, answered)| now < answered.at + timeout);
        accepted.core.is_majority(recent.map(|(member, _)| member))
    }

    /// The last round of heartbeats that a majority of the core answered.
    pub(crate) fn confirmed_round(&self, accepted: &Agreed) -> u64 {
        accepted.core.majority_value(|member| self.answers.get(member).map_or(0, |answered| answered.round))
    }

    /// Whether a node answered within this time and knows this index.
    pub(crate) fn is_caught_up(&self, member: &CoreMember, index: u64, now: Micros, timeout: Micros) -> bool {
        self.answers
            .get(member)
            .is_some_and(|answered| now < answered.at + timeout && answered.committed >= index)
    }
}

impl Control {
    /// Proposes the first entry of an epoch.
    pub(crate) fn begin_epoch(&mut self) {
        self.propose(Command::Lead { leader: self.name.clone() }, None, Vec::new());
        self.start_round();
    }

    /// Proposes the next entry. Must be called with nothing in flight.
    pub(crate) fn propose(
        &mut self, command: Command, request: Option<(RequestId, u64)>, pending_calls: Vec<PendingCall>,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let previous = self.replica.accepted.stamp;
        let stamp = Stamp { epoch: leader.epoch, index: previous.index + 1 };
        let entry = Entry { previous, stamp, command };
        if self.replica.accept(entry.clone(), &self.name, &mut self.effects).is_err() {
            return;
        }
        self.announce(&entry);
        let Role::Leader(leader) = &mut self.role else { return };
        let resend_at = self.now + self.settings.resend;
        leader.in_flight =
            Some(InFlight { entry, accepted: BTreeSet::new(), request, pending_calls, resend_at });
        if let Some(member) = self.identity.clone() {
            let answer = ControlMessage::AcceptAnswer { epoch: stamp.epoch, member, stamp };
            self.replica.send_after_sync(self.name.clone(), answer);
        }
        self.send_proposal();
    }

    /// Sends the entry in flight to the members that have not accepted it.
    fn send_proposal(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(in_flight) = &mut leader.in_flight else { return };
        in_flight.resend_at = self.now + self.settings.resend + transfer_timeout(in_flight.entry.size());
        let (epoch, committed) = (leader.epoch, self.replica.committed.stamp);
        let message = ControlMessage::Accept { epoch, entry: in_flight.entry.clone(), committed };
        let members = self.replica.accepted.core.voters();
        let waiting =
            members.filter(|member| !in_flight.accepted.contains(member) && member.name != self.name);
        let names: Vec<NodeName> = waiting.map(|member| member.name.clone()).collect();
        for name in names {
            self.send(name, message.clone());
        }
    }

    pub(crate) fn need_state(&mut self, from: &NodeName, epoch: u64) {
        let Role::Leader(leader) = &self.role else { return };
        if leader.epoch == epoch && leader.in_flight.is_some() {
            self.send_accepted_state(from);
        }
    }

    pub(crate) fn accept_answer(&mut self, epoch: u64, member: CoreMember, stamp: Stamp) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(in_flight) = &mut leader.in_flight else { return };
        if leader.epoch != epoch || in_flight.entry.stamp != stamp {
            return;
        }
        in_flight.accepted.insert(member);
        if self.replica.accepted.core.is_majority(in_flight.accepted.iter()) {
            self.commit_in_flight();
        }
    }

    fn commit_in_flight(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(in_flight) = leader.in_flight.take() else { return };
        leader.is_serving = true;
        self.replica.commit(in_flight.entry.stamp, &mut self.effects);
        self.answer_committed(&in_flight);
        if self.own_member().is_none() {
            self.distribute_commit(&in_flight.entry);
            return self.step_down();
        }
        // The heartbeat comes first, so that the members learn of the commit before the entry occupies the links.
        self.start_round();
        self.distribute_commit(&in_flight.entry);
        self.propose_next();
    }

    /// Starts a round of heartbeats to the core members and to the nodes that could join the core.
    pub(crate) fn start_round(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.next_heartbeat = self.now + self.settings.heartbeat;
        let message = ControlMessage::Heartbeat {
            epoch: leader.epoch,
            round: leader.round,
            committed: self.replica.committed.stamp,
        };
        let members = self.replica.accepted.core.voters().map(|member| member.name.clone());
        let others =
            self.peers.live().filter(|peer| peer.core_member().is_some()).map(|peer| peer.info.name.clone());
        let names: BTreeSet<NodeName> = members.chain(others).collect();
        for name in names {
            self.send(name, message.clone());
        }
    }

    pub(crate) fn heartbeat_answer(&mut self, epoch: u64, round: u64, member: CoreMember, committed: u64) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.epoch != epoch {
            return;
        }
        let at = self.now;
        leader.answers.insert(member, HeartbeatAnswer { round, at, committed });
        self.answer_reads();
    }

    pub(crate) fn run_leader(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        if !leader.has_majority(&self.replica.accepted, self.now, self.settings.leader_timeout) {
            return self.step_down();
        }
        if self.is_disk_stalled() {
            // A member with a working disk should lead instead.
            return self.step_down();
        }
        let is_resend_due =
            leader.in_flight.as_ref().is_some_and(|in_flight| self.now >= in_flight.resend_at);
        let (is_heartbeat_due, is_housekeeping_due) =
            (self.now >= leader.next_heartbeat, self.now >= leader.next_housekeeping);
        if is_resend_due {
            self.send_proposal();
        }
        if is_heartbeat_due {
            self.start_round();
        }
        if is_housekeeping_due {
            if let Role::Leader(leader) = &mut self.role {
                leader.next_housekeeping = self.now + self.settings.housekeeping;
            }
            self.propose_next();
        }
    }

    /// The next change that the membership calls for, if one is due.
    fn next_membership_change(&self) -> Option<Command> {
        self.next_core_change().or_else(|| self.next_placement()).or_else(|| self.next_homes())
    }

    /// Proposes the next change, or processes queued calls, until an entry is in flight.
    pub(crate) fn propose_next(&mut self) {
        loop {
            let Role::Leader(leader) = &mut self.role else { return };
            if leader.in_flight.is_some() || !leader.is_serving {
                return;
            }
            if let Some(command) = self.next_membership_change() {
                return self.propose(command, None, Vec::new());
            }
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(order) = leader.queue.pop_front() else { return };
            self.process_order(order);
        }
    }
}
