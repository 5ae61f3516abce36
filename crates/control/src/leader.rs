//! What a leader does: it proposes entries, commits them, and keeps its leadership confirmed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{PlacementEpoch, StoreId};

use crate::agreed::Agreed;
use crate::election::Role;
use crate::entry::{Command, CoreMember, Entry, RequestId, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::orders::{Asker, Order, Read};
use crate::transfer::time_to_carry;

/// An entry on its way to a majority.
#[derive(Clone)]
pub(crate) struct InFlight {
    entry: Entry,
    accepted: BTreeSet<CoreMember>,
    /// The change that it carries, and who waits for it.
    pub request: Option<(RequestId, u64)>,
    pub askers: Vec<Asker>,
    resend_at: Micros,
}

/// The last answer of a member to a heartbeat.
#[derive(Clone)]
struct Answered {
    round: u64,
    at: Micros,
    committed: u64,
}

/// The state of a leader.
#[derive(Clone)]
pub(crate) struct Leader {
    pub epoch: u64,
    /// An entry of its own epoch is committed: it may serve.
    pub is_serving: bool,
    pub in_flight: Option<InFlight>,
    pub queue: VecDeque<Order>,
    pub reads: Vec<Read>,
    pub round: u64,
    answers: BTreeMap<CoreMember, Answered>,
    pub copied: BTreeMap<StoreId, PlacementEpoch>,
    next_heartbeat: Micros,
    next_housekeeping: Micros,
}

impl Leader {
    pub(crate) fn new(epoch: u64, now: Micros, accepted: &Agreed) -> Self {
        let answered = |member: &CoreMember| (member.clone(), Answered { round: 0, at: now, committed: 0 });
        Leader {
            epoch,
            is_serving: false,
            in_flight: None,
            queue: VecDeque::new(),
            reads: Vec::new(),
            round: 0,
            answers: accepted.core.voters().map(answered).collect(),
            copied: BTreeMap::new(),
            next_heartbeat: now,
            next_housekeeping: now,
        }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        let resend = self.in_flight.as_ref().map_or(Micros::MAX, |in_flight| in_flight.resend_at);
        self.next_heartbeat.min(self.next_housekeeping).min(resend)
    }

    /// Whether more than half of the core answered lately.
    pub(crate) fn has_majority(&self, accepted: &Agreed, now: Micros, within: Micros) -> bool {
        let fresh = self.answers.iter().filter(|(_, answered)| now < answered.at + within);
        accepted.core.is_majority(fresh.map(|(member, _)| member))
    }

    /// The last round of heartbeats that more than half of the core answered.
    pub(crate) fn confirmed_round(&self, accepted: &Agreed) -> u64 {
        accepted.core.majority_value(|member| self.answers.get(member).map_or(0, |answered| answered.round))
    }

    /// Whether a node answered lately and knows this index.
    pub(crate) fn is_caught_up(&self, member: &CoreMember, index: u64, now: Micros, within: Micros) -> bool {
        self.answers
            .get(member)
            .is_some_and(|answered| now < answered.at + within && answered.committed >= index)
    }
}

impl Control {
    /// The first entry of an epoch.
    pub(crate) fn begin_epoch(&mut self) {
        self.propose(Command::Lead { leader: self.name.clone() }, None, Vec::new());
        self.start_round();
    }

    /// Proposes the next entry. Nothing may be in flight.
    pub(crate) fn propose(
        &mut self, command: Command, request: Option<(RequestId, u64)>, askers: Vec<Asker>,
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
        leader.in_flight = Some(InFlight { entry, accepted: BTreeSet::new(), request, askers, resend_at });
        if let Some(member) = self.identity.clone() {
            let answer = ControlMessage::AcceptAnswer { epoch: stamp.epoch, member, stamp };
            self.replica.send_after_sync(self.name.clone(), answer);
        }
        self.send_proposal();
    }

    /// Sends what is in flight to the members that have not accepted it.
    fn send_proposal(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(in_flight) = &mut leader.in_flight else { return };
        in_flight.resend_at = self.now + self.settings.resend + time_to_carry(in_flight.entry.size());
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
            self.hand_out_accepted(from);
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
            self.spread_commit(&in_flight.entry);
            return self.step_down();
        }
        // The members learn of the commit before links are busy with the entry.
        self.start_round();
        self.spread_commit(&in_flight.entry);
        self.next_order();
    }

    /// A new round of heartbeats, to the core and to those that could join it.
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
        leader.answers.insert(member, Answered { round, at, committed });
        self.answer_reads();
    }

    pub(crate) fn run_leader(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        if !leader.has_majority(&self.replica.accepted, self.now, self.settings.leader_timeout) {
            return self.step_down();
        }
        if self.is_disk_stalled() {
            // A member whose disk works leads better.
            return self.step_down();
        }
        let resend = leader.in_flight.as_ref().is_some_and(|in_flight| self.now >= in_flight.resend_at);
        let (heartbeat, housekeeping) =
            (self.now >= leader.next_heartbeat, self.now >= leader.next_housekeeping);
        if resend {
            self.send_proposal();
        }
        if heartbeat {
            self.start_round();
        }
        if housekeeping {
            if let Role::Leader(leader) = &mut self.role {
                leader.next_housekeeping = self.now + self.settings.housekeeping;
            }
            self.next_order();
        }
    }

    /// The next change that follows from who is there, if one is due.
    fn next_membership_change(&self) -> Option<Command> {
        self.next_core_change().or_else(|| self.next_placement()).or_else(|| self.next_homes())
    }

    /// The next thing to propose, if nothing is in flight.
    pub(crate) fn next_order(&mut self) {
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
            self.work_off(order);
        }
    }
}
