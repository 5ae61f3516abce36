//! Elections: who leads, and on which state.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

use crate::entry::{CoreMember, Stamp};
use crate::leader::Leader;
use crate::machine::Control;
use crate::message::ControlMessage;

/// After a start, the first candidate waits this long.
const FIRST_ELECTION: Micros = 150_000;

/// Random parts of the delays before elections.
const JITTER: u64 = 150_000;

/// What a process does towards leading.
pub(crate) enum Role {
    /// Follows a leader, or waits for one.
    Follower {
        /// When a leader was last heard.
        heard: Option<Micros>,
        elect_at: Micros,
    },
    /// Asks whether an election would find promises.
    PreCandidate {
        epoch: u64,
        granted: BTreeSet<CoreMember>,
        deadline: Micros,
    },
    /// Gathers promises.
    Candidate(Candidate),
    Leader(Box<Leader>),
}

/// An election under way.
pub(crate) struct Candidate {
    epoch: u64,
    promises: BTreeMap<CoreMember, Stamp>,
    /// Members that were asked.
    asked: BTreeSet<CoreMember>,
    /// The member that the best state was asked of.
    reading: Option<CoreMember>,
    deadline: Micros,
}

impl Role {
    pub(crate) fn follower(elect_at: Micros) -> Self {
        Role::Follower { heard: None, elect_at }
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
    /// This process, if it is a member of the core.
    pub(crate) fn own_member(&self) -> Option<&CoreMember> {
        self.identity.as_ref().filter(|own| self.replica.accepted.core.is_voter(own))
    }

    /// How many members go before this one: first who led last, then by the hash of the name. The dead do not count.
    fn election_rank(&self) -> u64 {
        let accepted = &self.replica.accepted;
        let key = |name: &NodeName| (accepted.last_leader.as_ref() != Some(name), hash(name.0.as_bytes(), 0));
        let own = key(&self.name);
        let unseen_is_live = self.now < self.started + self.settings.leader_timeout;
        let goes_before = |member: &&CoreMember| {
            let seen = self.peers.get(&member.name).is_some();
            key(&member.name) < own && (self.peers.is_live_member(member) || (unseen_is_live && !seen))
        };
        accepted.core.voters().filter(goes_before).count() as u64
    }

    fn election_delay(&mut self, base: Micros) -> Micros {
        let jitter = self.random.draw() % JITTER;
        self.now + base + self.election_rank() * self.settings.candidate_step + jitter
    }

    pub(crate) fn schedule_election_at_start(&mut self) {
        if self.own_member().is_some() {
            let elect_at = self.election_delay(FIRST_ELECTION);
            self.role = Role::follower(elect_at);
        }
    }

    /// The node that led is gone: others need not wait for the timeout.
    pub(crate) fn leader_may_be_gone(&mut self, name: &NodeName) {
        if self.leader_hint.as_ref() == Some(name) {
            self.leader_hint = None;
            if matches!(self.role, Role::Follower { .. }) {
                self.schedule_election_at_start();
            }
        }
    }

    /// A leader of this epoch was heard.
    pub(crate) fn follow(&mut self, leader: &NodeName, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if *leader == self.name {
            return;
        }
        self.step_down();
        self.leader_hint = Some(leader.clone());
        let timeout = self.settings.leader_timeout;
        let elect_at = if self.own_member().is_some() { self.election_delay(timeout) } else { Micros::MAX };
        self.role = Role::Follower { heard: Some(self.now), elect_at };
    }

    /// Leads no longer, or gives an election up.
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
            self.abandon_orders(*leader);
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

    /// Whether the disk of this process has stood still for so long that it is no good for leading.
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

    /// Whether a leader was heard so lately that there is no need for another.
    fn has_leader(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                leader.has_majority(&self.replica.accepted, self.now, self.settings.leader_timeout)
            }
            Role::Follower { heard: Some(heard), .. } => {
                let fresh = self.now < heard + self.settings.leader_timeout * 2 / 3;
                fresh && self.leader_hint.as_ref().is_some_and(|leader| self.peers.is_live(leader))
            }
            _ => false,
        }
    }

    pub(crate) fn pre_vote(&mut self, from: &NodeName, epoch: u64) {
        let Some(member) = self.identity.clone() else { return };
        let may_promise = self.replica.may_promise(epoch) && !self.is_disk_stalled();
        let granted = *from == self.name || (!self.has_leader() && may_promise);
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
            reading: None,
            deadline: self.now + self.settings.attempt,
        });
        self.ask_for_promises();
    }

    /// Asks the members of the state that is accepted here, as far as they were not asked.
    fn ask_for_promises(&mut self) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let core = &self.replica.accepted.core;
        let new: Vec<CoreMember> =
            core.voters().filter(|member| candidate.asked.insert((*member).clone())).cloned().collect();
        let epoch = candidate.epoch;
        for member in new {
            self.send(member.name, ControlMessage::Prepare { epoch });
        }
    }

    pub(crate) fn prepare(&mut self, from: &NodeName, epoch: u64) {
        let Some(member) = self.identity.clone() else { return };
        self.highest_epoch = self.highest_epoch.max(epoch);
        if !self.replica.may_promise(epoch) {
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

    /// A member holds a higher epoch. What is under way here in a lower one is in vain.
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
            self.review_promises();
        }
    }

    /// Adopts the greatest state among the promises of a majority, and leads once the members of that state agree.
    ///
    /// The candidate's own promise must be among them: it is synced by then, so a later life of this process knows that
    /// the epoch is used, and whoever leads has a disk that works.
    fn review_promises(&mut self) {
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
        } else if candidate.reading.as_ref() != Some(&holder) {
            candidate.reading = Some(holder.clone());
            self.send(holder.name, ControlMessage::ReadAccepted { epoch });
        }
    }

    pub(crate) fn read_accepted(&mut self, from: &NodeName, epoch: u64) {
        if self.replica.promised.epoch == epoch {
            self.hand_out_accepted(from);
        }
    }

    /// A greater state was adopted.
    pub(crate) fn adopted_state(&mut self) {
        // Its members may be others than those that were asked.
        self.ask_for_promises();
        self.review_promises();
    }

    fn lead(&mut self, epoch: u64) {
        let leader = Leader::new(epoch, self.now, &self.replica.accepted);
        self.role = Role::Leader(Box::new(leader));
        self.leader_hint = Some(self.name.clone());
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.begin_epoch();
    }
}
