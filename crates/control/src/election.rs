//! Leader elections: which member leads, and from which state.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

use crate::entry::{CoreMember, Stamp};
use crate::leader::Leader;
use crate::machine::Control;
use crate::message::ControlMessage;

/// The delay of the first candidate after a start.
const FIRST_ELECTION_DELAY: Micros = 150_000;

/// The bound of the random part of election delays.
const ELECTION_JITTER: u64 = 150_000;

/// The role of a process in an epoch.
#[derive(Clone)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower {
        /// When a message of a leader was last received.
        last_heard: Option<Micros>,
        elect_at: Micros,
    },
    /// Asks the members whether they would promise an epoch, before it disturbs a working leader.
    PreCandidate {
        epoch: u64,
        granted: BTreeSet<CoreMember>,
        deadline: Micros,
    },
    /// Collects promises for its epoch.
    Candidate(Candidate),
    Leader(Box<Leader>),
}

/// The state of a candidate.
#[derive(Clone)]
pub(crate) struct Candidate {
    epoch: u64,
    promises: BTreeMap<CoreMember, Stamp>,
    /// The members that were asked for a promise.
    asked: BTreeSet<CoreMember>,
    /// The member that was asked for the greatest state.
    reading_from: Option<CoreMember>,
    deadline: Micros,
}

impl Role {
    pub(crate) fn follower(elect_at: Micros) -> Self {
        Role::Follower { last_heard: None, elect_at }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        match self {
            Role::Follower { elect_at, .. } => *elect_at,
            Role::PreCandidate { deadline, .. } => *deadline,
            Role::Candidate(candidate) => candidate.deadline,
            Role::Leader(leader) => leader.next_wake(),
        }
    }
}

impl Control {
    /// The identity of this process, if it is a member of the core.
    pub(crate) fn own_member(&self) -> Option<&CoreMember> {
        self.identity.as_ref().filter(|own| self.replica.accepted.core.is_voter(own))
    }

    /// The number of members that precede this one in the order of candidates: the previous leader first, then by the
    /// hash of the name. Dead members do not count.
    fn election_rank(&self) -> u64 {
        let accepted = &self.replica.accepted;
        let order_key =
            |name: &NodeName| (accepted.last_leader.as_ref() != Some(name), hash(name.0.as_bytes(), 0));
        let own = order_key(&self.name);
        let is_start_period = self.now < self.started + self.settings.leader_timeout;
        let precedes = |member: &&CoreMember| {
            let is_known = self.peers.get(&member.name).is_some();
            order_key(&member.name) < own
                && (self.peers.is_live_member(member) || (is_start_period && !is_known))
        };
        accepted.core.voters().filter(precedes).count() as u64
    }

    fn election_delay(&mut self, base: Micros) -> Micros {
        let jitter = self.random.draw() % ELECTION_JITTER;
        self.now + base + self.election_rank() * self.settings.candidate_step + jitter
    }

    pub(crate) fn schedule_election_at_start(&mut self) {
        if self.own_member().is_some() {
            let elect_at = self.election_delay(FIRST_ELECTION_DELAY);
            self.role = Role::follower(elect_at);
        }
    }

    /// Handles the failure of a node: if it led, other members need not wait for the leader timeout.
    pub(crate) fn leader_may_be_gone(&mut self, name: &NodeName) {
        if self.leader_hint.as_ref() == Some(name) {
            self.leader_hint = None;
            if matches!(self.role, Role::Follower { .. }) {
                self.schedule_election_at_start();
            }
        }
    }

    /// Follows a leader of this epoch after a message from it.
    pub(crate) fn follow(&mut self, leader: &NodeName, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if *leader == self.name {
            return;
        }
        self.step_down();
        self.leader_hint = Some(leader.clone());
        let timeout = self.settings.leader_timeout;
        let elect_at = if self.own_member().is_some() { self.election_delay(timeout) } else { Micros::MAX };
        self.role = Role::Follower { last_heard: Some(self.now), elect_at };
    }

    /// Ends the leadership or candidacy of this process.
    pub(crate) fn step_down(&mut self) {
        let elect_at = if self.own_member().is_some() {
            let attempt = self.settings.attempt;
            self.election_delay(attempt)
        } else {
            Micros::MAX
        };
        let role = std::mem::replace(&mut self.role, Role::follower(elect_at));
        if let Role::Leader(leader) = role {
            if self.leader_hint.as_ref() == Some(&self.name) {
                self.leader_hint = None;
            }
            self.redirect_callers(*leader);
        }
    }

    pub(crate) fn run_election(&mut self) {
        if self.role.next_wake() > self.now {
            return;
        }
        match &self.role {
            Role::Follower { .. } => self.start_pre_vote(),
            Role::PreCandidate { .. } | Role::Candidate(_) => self.step_down(),
            Role::Leader(_) => {}
        }
    }

    /// Whether the disk of this process has stalled for too long for it to lead.
    pub(crate) fn is_disk_stalled(&self) -> bool {
        self.replica.is_disk_stalled(self.now, self.settings.disk_timeout)
    }

    fn start_pre_vote(&mut self) {
        if self.own_member().is_none() {
            self.role = Role::follower(Micros::MAX);
            return;
        }
        if self.is_disk_stalled() {
            return self.step_down();
        }
        let epoch = self.highest_epoch.max(self.replica.promised.epoch) + 1;
        self.role = Role::PreCandidate {
            epoch,
            granted: BTreeSet::new(),
            deadline: self.now + self.settings.attempt,
        };
        for member in self.replica.accepted.core.clone().voters() {
            self.send(member.name.clone(), ControlMessage::PreVote { epoch });
        }
    }

    /// Whether a leader is known to be working, so that no other is needed.
    fn has_leader(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                leader.has_majority(&self.replica.accepted, self.now, self.settings.leader_timeout)
            }
            Role::Follower { last_heard: Some(last_heard), .. } => {
                let is_recent = self.now < last_heard + self.settings.leader_timeout * 2 / 3;
                is_recent && self.leader_hint.as_ref().is_some_and(|leader| self.peers.is_live(leader))
            }
            _ => false,
        }
    }

    pub(crate) fn pre_vote(&mut self, from: &NodeName, epoch: u64) {
        let Some(member) = self.identity.clone() else { return };
        let can_promise = self.replica.can_promise(epoch) && !self.is_disk_stalled();
        let granted = *from == self.name || (!self.has_leader() && can_promise);
        if !granted {
            self.send(from.clone(), ControlMessage::Refused { promised: self.replica.promised.epoch });
        }
        self.send(from.clone(), ControlMessage::PreVoteAnswer { epoch, member, granted });
    }

    pub(crate) fn pre_vote_answer(&mut self, epoch: u64, member: CoreMember, granted: bool) {
        let Role::PreCandidate { epoch: asked, granted: members, .. } = &mut self.role else { return };
        if *asked != epoch || !granted {
            return;
        }
        members.insert(member);
        if self.replica.accepted.core.is_majority(members.iter()) {
            self.start_election(epoch);
        }
    }

    fn start_election(&mut self, epoch: u64) {
        self.role = Role::Candidate(Candidate {
            epoch,
            promises: BTreeMap::new(),
            asked: BTreeSet::new(),
            reading_from: None,
            deadline: self.now + self.settings.attempt,
        });
        self.ask_for_promises();
    }

    /// Asks the members of the accepted state for promises, except those that were asked already.
    fn ask_for_promises(&mut self) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let core = &self.replica.accepted.core;
        let unasked: Vec<CoreMember> =
            core.voters().filter(|member| candidate.asked.insert((*member).clone())).cloned().collect();
        let epoch = candidate.epoch;
        for member in unasked {
            self.send(member.name, ControlMessage::Prepare { epoch });
        }
    }

    pub(crate) fn prepare(&mut self, from: &NodeName, epoch: u64) {
        let Some(member) = self.identity.clone() else { return };
        self.highest_epoch = self.highest_epoch.max(epoch);
        if !self.replica.can_promise(epoch) {
            self.send(from.clone(), ControlMessage::Refused { promised: self.replica.promised.epoch });
            return;
        }
        if *from != self.name {
            self.step_down();
        }
        self.replica.promise(epoch, from.clone(), &mut self.effects);
        let stamp = self.replica.accepted.stamp;
        self.replica.send_after_sync(from.clone(), ControlMessage::Promise { epoch, member, stamp });
    }

    /// Handles a rejection by a member that promised a higher epoch: an election or leadership in a lower epoch cannot
    /// succeed any more.
    pub(crate) fn refused(&mut self, promised: u64) {
        self.highest_epoch = self.highest_epoch.max(promised);
        let epoch = match &self.role {
            Role::Candidate(candidate) => candidate.epoch,
            Role::Leader(leader) => leader.epoch,
            Role::Follower { .. } | Role::PreCandidate { .. } => return,
        };
        if promised > epoch {
            self.step_down();
        }
    }

    pub(crate) fn promise(&mut self, epoch: u64, member: CoreMember, stamp: Stamp) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.epoch == epoch {
            candidate.promises.insert(member, stamp);
            self.evaluate_promises();
        }
    }

    /// Adopts the greatest state among the promises of a majority, and leads once a majority of the members of that
    /// state has promised.
    ///
    /// The candidate's own promise must be among them: it is synced by then, so this process knows after a restart
    /// that the epoch is used, and the leader's disk is known to work.
    fn evaluate_promises(&mut self) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let own_is_synced = self.identity.as_ref().is_some_and(|own| candidate.promises.contains_key(own));
        if !own_is_synced || !self.replica.accepted.core.is_majority(candidate.promises.keys()) {
            return;
        }
        let best = candidate.promises.iter().max_by_key(|(_, stamp)| **stamp);
        let Some((holder, stamp)) = best.map(|(holder, stamp)| (holder.clone(), *stamp)) else { return };
        let epoch = candidate.epoch;
        if stamp <= self.replica.accepted.stamp {
            self.lead(epoch);
        } else if candidate.reading_from.as_ref() != Some(&holder) {
            candidate.reading_from = Some(holder.clone());
            self.send(holder.name, ControlMessage::ReadAccepted { epoch });
        }
    }

    pub(crate) fn read_accepted(&mut self, from: &NodeName, epoch: u64) {
        if self.replica.promised.epoch == epoch {
            self.send_accepted_state(from);
        }
    }

    /// Continues the election after a greater state was adopted.
    pub(crate) fn state_adopted(&mut self) {
        // The members of the adopted state may differ from those that were asked.
        self.ask_for_promises();
        self.evaluate_promises();
    }

    fn lead(&mut self, epoch: u64) {
        let leader = Leader::new(epoch, self.now, &self.replica.accepted);
        self.role = Role::Leader(Box::new(leader));
        self.leader_hint = Some(self.name.clone());
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.begin_epoch();
    }
}
