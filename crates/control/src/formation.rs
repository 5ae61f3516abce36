//! The first start: the seeds agree on the members of the core.
//!
//! Paxos with one decree among the seeds, each known by its peer address, in memory: a process that starts again is not
//! in its first start and takes no part. Whoever is among the members that were decided on starts from the state that
//! follows from the list, whether it is told by the seeds or by the first leader.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::entry::CoreMember;
use crate::machine::Control;
use crate::message::{ControlMessage, FormationMessage};

/// The core must not have changed for this long before its list is proposed.
const STABLE: Micros = 400_000;

/// The list is proposed after so many formation delays even if it still changes.
const PATIENCE: Micros = 2;

/// The pause before the next ballot, and its random part.
const RETRY: Micros = 300_000;
const RETRY_JITTER: u64 = 400_000;

/// Ballots of one seed are this far apart, so that no two seeds share one.
const BALLOT_STEP: u64 = 16;

/// How often the decision is told to members that do not show that they know it.
const TELL_PERIOD: Micros = 300_000;

/// Acceptor and proposer of one seed.
pub(crate) struct Formation {
    started_at: Micros,
    next: Micros,
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
            next: first + random % RETRY_JITTER / 4,
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
        self.next
    }
}

impl Control {
    /// The seeds that are alive, by name.
    fn live_seeds(&self) -> Vec<NodeName> {
        let seeds: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        seeds.into_iter().filter_map(|address| self.peers.at(address).cloned()).collect()
    }

    fn is_seed_majority(&self, count: usize) -> bool {
        let seeds: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        count * 2 > seeds.len()
    }

    fn is_live_seed(&self, name: &NodeName) -> bool {
        self.live_seeds().contains(name)
    }

    pub(crate) fn run_formation(&mut self) {
        let Some(formation) = &mut self.formation else { return };
        if formation.next > self.now {
            return;
        }
        if let Some(members) = formation.decided.clone() {
            formation.next = self.now + TELL_PERIOD;
            return self.tell_formed(&members);
        }
        formation.next = self.now + RETRY + self.random.draw() % RETRY_JITTER;
        if !self.replica.accepted.core.is_empty() {
            // A leader's state came first: there is nothing left to form.
            self.formation = None;
            return;
        }
        let settled = self.now >= self.peers.core_changed + STABLE;
        let patient = self.now >= formation.started_at + self.settings.formation_delay * PATIENCE;
        if !settled && !patient {
            formation.next = self.now + STABLE / 2;
            return;
        }
        self.start_ballot();
    }

    /// The place of this seed among the seeds, which makes its ballots its own.
    fn seed_place(&self) -> u64 {
        let own = self.peers.get(&self.name).map(|peer| peer.info.peer_address);
        self.settings.seeds.iter().position(|seed| Some(*seed) == own).unwrap_or(0) as u64
    }

    fn start_ballot(&mut self) {
        let place = self.seed_place();
        let Some(formation) = &mut self.formation else { return };
        formation.ballot = (formation.promised.max(formation.ballot) / BALLOT_STEP + 1) * BALLOT_STEP + place;
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
            return self.formed(members);
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
        if proposed.is_empty() || !self.is_seed_majority(count) {
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
        let Some(members) = proposed.filter(|_| self.is_seed_majority(count)) else { return };
        if let Some(formation) = &mut self.formation {
            formation.decided = Some(members.clone());
            formation.next = self.now + TELL_PERIOD;
        }
        self.tell_formed(&members);
    }

    /// Tells the members and the seeds, until a leader has begun.
    fn tell_formed(&mut self, members: &[CoreMember]) {
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

    /// The core is decided on.
    fn formed(&mut self, members: Vec<CoreMember>) {
        if let Some(formation) = &mut self.formation {
            formation.decided.get_or_insert_with(|| members.clone());
        }
        let is_member = self.identity.as_ref().is_some_and(|own| members.contains(own));
        if is_member && self.replica.accepted.core.is_empty() {
            let agreed = Agreed::formed(members);
            let own = self.name.clone();
            self.replica.install(agreed, 0, &own, &mut self.effects);
            self.schedule_election_at_start();
        }
    }
}
