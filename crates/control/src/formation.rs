//! Bootstrap: the seeds agree on the first members of the core.
//!
//! The seeds run single-decree Paxos. Each seed is identified by its peer address and keeps its acceptor state in
//! memory only: a process that restarts is no longer in its first start and takes no part. Every chosen member starts
//! from the state that follows from the list, whether it learns the list from the seeds or from the first leader.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::entry::CoreMember;
use crate::machine::Control;
use crate::message::{ControlMessage, FormationMessage};

/// The set of possible core members must be unchanged for this long before it is proposed.
const STABLE_PERIOD: Micros = 400_000;

/// After this many formation delays the list is proposed even if it still changes.
const MAX_FORMATION_DELAYS: Micros = 2;

/// The delay before the next ballot, and the bound of its random part.
const BALLOT_RETRY_PAUSE: Micros = 300_000;
const BALLOT_RETRY_JITTER: u64 = 400_000;

/// Distance between the ballots of one seed, so that no two seeds share a ballot.
const BALLOT_STEP: u64 = 16;

/// How often the decision is sent again until a leader has started.
const DECISION_PERIOD: Micros = 300_000;

/// The Paxos acceptor and proposer of one seed.
#[derive(Clone)]
pub(crate) struct Formation {
    started_at: Micros,
    next_attempt_at: Micros,
    promised: u64,
    accepted: Option<(u64, Vec<CoreMember>)>,
    ballot: u64,
    promises: BTreeMap<NodeName, Option<(u64, Vec<CoreMember>)>>,
    proposed: Option<Vec<CoreMember>>,
    accepts: BTreeSet<NodeName>,
    decided: Option<Vec<CoreMember>>,
}

impl Formation {
    pub(crate) fn new(first: Micros, random: u64) -> Self {
        Formation {
            started_at: first,
            next_attempt_at: first + random % BALLOT_RETRY_JITTER / 4,
            promised: 0,
            accepted: None,
            ballot: 0,
            promises: BTreeMap::new(),
            proposed: None,
            accepts: BTreeSet::new(),
            decided: None,
        }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        self.next_attempt_at
    }
}

impl Control {
    /// The seeds that are alive, by name.
    fn live_seeds(&self) -> Vec<NodeName> {
        let seeds: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        seeds.into_iter().filter_map(|address| self.peers.live_at_address(address).cloned()).collect()
    }

    fn is_majority_of_seeds(&self, count: usize) -> bool {
        let seeds: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        count * 2 > seeds.len()
    }

    fn is_live_seed(&self, name: &NodeName) -> bool {
        self.live_seeds().contains(name)
    }

    pub(crate) fn run_formation(&mut self) {
        let Some(formation) = &mut self.formation else { return };
        if formation.next_attempt_at > self.now {
            return;
        }
        if let Some(members) = formation.decided.clone() {
            formation.next_attempt_at = self.now + DECISION_PERIOD;
            return self.send_decision(&members);
        }
        formation.next_attempt_at = self.now + BALLOT_RETRY_PAUSE + self.random.draw() % BALLOT_RETRY_JITTER;
        if !self.replica.accepted.core.is_empty() {
            // A state from a leader arrived first, so the core is already formed.
            self.formation = None;
            return;
        }
        let is_stable = self.now >= self.peers.core_changed + STABLE_PERIOD;
        let has_waited_long =
            self.now >= formation.started_at + self.settings.formation_delay * MAX_FORMATION_DELAYS;
        if !is_stable && !has_waited_long {
            formation.next_attempt_at = self.now + STABLE_PERIOD / 2;
            return;
        }
        self.start_ballot();
    }

    /// The index of this seed among the seeds, which makes its ballots unique.
    fn seed_index(&self) -> u64 {
        let own = self.peers.get(&self.name).map(|peer| peer.info.peer_address);
        self.settings.seeds.iter().position(|seed| Some(*seed) == own).unwrap_or(0) as u64
    }

    fn start_ballot(&mut self) {
        let seed_index = self.seed_index();
        let Some(formation) = &mut self.formation else { return };
        formation.ballot =
            (formation.promised.max(formation.ballot) / BALLOT_STEP + 1) * BALLOT_STEP + seed_index;
        formation.promises.clear();
        formation.accepts.clear();
        formation.proposed = None;
        let ballot = formation.ballot;
        self.send_to_seeds(&FormationMessage::Prepare { ballot });
    }

    fn send_to_seeds(&mut self, message: &FormationMessage) {
        for seed in self.live_seeds() {
            self.send(seed, ControlMessage::Formation(message.clone()));
        }
    }

    pub(crate) fn formation_message(&mut self, from: &NodeName, message: FormationMessage) {
        if let FormationMessage::Formed { members } = message {
            return self.core_decided(members);
        }
        if !self.is_live_seed(from) {
            return;
        }
        let Some(formation) = &mut self.formation else { return };
        let answer = match message {
            FormationMessage::Prepare { ballot } if ballot > formation.promised => {
                formation.promised = ballot;
                FormationMessage::Promise { ballot, accepted: formation.accepted.clone() }
            }
            FormationMessage::Accept { ballot, members } if ballot >= formation.promised => {
                formation.promised = ballot;
                formation.accepted = Some((ballot, members));
                FormationMessage::Accepted { ballot }
            }
            FormationMessage::Prepare { .. } | FormationMessage::Accept { .. } => {
                FormationMessage::Refused { promised: formation.promised }
            }
            FormationMessage::Promise { ballot, accepted } => {
                return self.seed_promised(from, ballot, accepted);
            }
            FormationMessage::Accepted { ballot } => return self.seed_accepted(from, ballot),
            FormationMessage::Refused { promised } => {
                formation.promised = formation.promised.max(promised);
                return;
            }
            FormationMessage::Formed { .. } => return,
        };
        self.send(from.clone(), ControlMessage::Formation(answer));
    }

    fn seed_promised(&mut self, from: &NodeName, ballot: u64, accepted: Option<(u64, Vec<CoreMember>)>) {
        let members: Vec<CoreMember> = self.peers.live().filter_map(|peer| peer.core_member()).collect();
        let Some(formation) = &mut self.formation else { return };
        if formation.ballot != ballot || formation.proposed.is_some() {
            return;
        }
        formation.promises.insert(from.clone(), accepted);
        let count = formation.promises.len();
        let earlier = formation.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let proposed = earlier.map_or(members, |(_, members)| members.clone());
        if proposed.is_empty() || !self.is_majority_of_seeds(count) {
            return;
        }
        if let Some(formation) = &mut self.formation {
            formation.proposed = Some(proposed.clone());
        }
        self.send_to_seeds(&FormationMessage::Accept { ballot, members: proposed });
    }

    fn seed_accepted(&mut self, from: &NodeName, ballot: u64) {
        let Some(formation) = &mut self.formation else { return };
        if formation.ballot != ballot || formation.decided.is_some() {
            return;
        }
        formation.accepts.insert(from.clone());
        let (count, proposed) = (formation.accepts.len(), formation.proposed.clone());
        let Some(members) = proposed.filter(|_| self.is_majority_of_seeds(count)) else { return };
        if let Some(formation) = &mut self.formation {
            formation.decided = Some(members.clone());
            formation.next_attempt_at = self.now + DECISION_PERIOD;
        }
        self.send_decision(&members);
    }

    /// Sends the decision to the members and the seeds, until a leader has committed a state.
    fn send_decision(&mut self, members: &[CoreMember]) {
        if self.replica.committed.stamp.epoch > 0 {
            self.formation = None;
            return;
        }
        let names: BTreeSet<NodeName> =
            members.iter().map(|member| member.name.clone()).chain(self.live_seeds()).collect();
        for name in names {
            let message = FormationMessage::Formed { members: members.to_vec() };
            self.send(name, ControlMessage::Formation(message));
        }
    }

    /// Handles the decision on the members of the core.
    fn core_decided(&mut self, members: Vec<CoreMember>) {
        if let Some(formation) = &mut self.formation {
            formation.decided.get_or_insert_with(|| members.clone());
        }
        let is_member = self.identity.as_ref().is_some_and(|own| members.contains(own));
        if is_member && self.replica.accepted.core.is_empty() {
            let agreed = Agreed::initial(members);
            let own = self.name.clone();
            self.replica.install(agreed, 0, &own, &mut self.effects);
            self.schedule_election_at_start();
        }
    }
}
