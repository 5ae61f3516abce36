//! What `/status` shows.

use serde::Serialize;

use super::{Fleet, Role};
use crate::counters::Counters;
use crate::interface::{Decision, Epoch, InForce, Member, MemberId, Members, Micros, VoterId};

/// Of the log here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VoterStatus {
    pub id: VoterId,
    /// Its folder is still being proven: it neither votes nor acknowledges.
    pub proving: bool,
    /// Its folder can't be written: as above.
    pub halted: bool,
    pub leads: bool,
    pub term: u64,
    pub applied: u64,
    pub last: u64,
}

/// Who votes, as far as is known here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Seen {
    pub voters: Vec<VoterId>,
    pub learners: Vec<VoterId>,
    pub leader: Option<MemberId>,
}

/// One member's view of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    pub me: MemberId,
    /// How far this member doubts itself, 0 to 8; and whether it hears nobody at all.
    pub doubt: u8,
    pub deaf: bool,
    pub members: Vec<Member>,
    /// Living members, this one among them.
    pub living: usize,
    pub voter: Option<VoterStatus>,
    pub voters: Seen,
    /// Known here, and heard of.
    pub epoch: Epoch,
    pub newest: Epoch,
    pub in_force: Vec<Decision>,
    pub counters: Counters,
}

impl Fleet {
    pub fn members(&self) -> &Members {
        self.view.members()
    }

    /// The decisions in force here.
    pub fn in_force(&self) -> &InForce {
        &self.known
    }

    pub fn counters(&self) -> Counters {
        let confused = self.counters.datagrams_confused + self.swim.confused;
        Counters { stalls: self.swim.stalls, datagrams_confused: confused, ..self.counters }
    }

    pub fn status(&self, now: Micros) -> Status {
        let newest = self.pull.newest().max(self.known.epoch);
        Status {
            me: self.config.me,
            doubt: self.swim.doubt(),
            deaf: self.swim.deaf(now) && self.config.peers > 1,
            members: self.members().all().cloned().collect(),
            living: self.members().living().count(),
            voter: self.voter_status(),
            voters: Seen {
                voters: self.voters.voters.clone(),
                learners: self.voters.learners.clone(),
                leader: self.leader_known(),
            },
            epoch: self.known.epoch,
            newest,
            in_force: self.known.all().cloned().collect(),
            counters: self.counters(),
        }
    }

    pub fn voter_status(&self) -> Option<VoterStatus> {
        let halted = self.write_again.is_some();
        match &self.role {
            Role::Outside => None,
            Role::Proving(proof, saved) => Some(VoterStatus {
                id: VoterId { place: self.config.me, life: proof.claim().life },
                proving: true,
                halted,
                leads: false,
                term: saved.term,
                applied: 0,
                last: crate::log::last(saved).1,
            }),
            Role::Seated(voter) => Some(VoterStatus {
                id: voter.id(),
                proving: false,
                halted,
                leads: voter.leads(),
                term: voter.term(),
                applied: voter.applied(),
                last: voter.last().1,
            }),
        }
    }
}
