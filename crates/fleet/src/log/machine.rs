//! What the log's entries do: the same at all voters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{
    Decision, Epoch, InForce, MOST_DECISION_BYTES, MOST_IN_FORCE_BYTES, MemberId, Proposal, Refusal,
};

/// Ended subjects that are remembered, so that learners hear of it; half of them are forgotten beyond.
const MOST_ENDED: usize = 512;
/// Epochs that are left out when a fleet goes on whose voters lost all: those that nobody left knows of.
const GAP: u64 = 1 << 20;

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Decide(Proposal),
    /// All voters lost their folders, and this is what a member still knew. It does nothing in a log that
    /// has decided anything.
    GoOn(InForce),
}

/// What became of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Decided(Decision),
    Refused(Refusal),
    Nothing,
}

/// All that follows from the entries up to one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    pub in_force: InForce,
    /// How often each place was given a seat.
    pub lives: BTreeMap<MemberId, u32>,
    /// The life under which the first voters began; 0 where nothing is known yet.
    pub begun: u32,
    /// Of all that is in force, for the bound.
    bytes: usize,
}

fn size(decision: &Decision) -> usize {
    /// What a decision takes beside its strings.
    const REST: usize = 32;
    decision.subject.len() * 2 + decision.what.as_ref().map_or(0, Vec::len) + decision.grounds.len() + REST
}

impl Machine {
    /// Of a log that begins with these seats.
    pub fn beginning(lives: BTreeMap<MemberId, u32>) -> Self {
        let begun = lives.values().copied().max().unwrap_or(0);
        Machine { lives, begun, ..Machine::default() }
    }

    pub fn apply(&mut self, data: &[u8]) -> Outcome {
        match postcard::from_bytes(data) {
            Ok(Command::Decide(proposal)) => self.decide(proposal),
            Ok(Command::GoOn(known)) => {
                if self.in_force.epoch == Epoch(0) {
                    self.bytes = known.newest.values().map(size).sum();
                    self.in_force = known;
                    self.in_force.epoch.0 += GAP;
                }
                Outcome::Nothing
            }
            // A leader's first entry is empty. One that this version can't read is one that no decision
            // comes from; a later version therefore proposes new commands only once all voters know them.
            Err(_) => Outcome::Nothing,
        }
    }

    fn decide(&mut self, proposal: Proposal) -> Outcome {
        let key = (proposal.kind, proposal.subject.clone());
        let before = self.in_force.newest.get(&key);
        let newest = before.map_or(Epoch(0), |decision| decision.epoch);
        if proposal.unless_after.is_some_and(|after| newest > after) {
            return Outcome::Refused(Refusal::Overtaken);
        }
        let decision = Decision {
            epoch: Epoch(self.in_force.epoch.0 + 1),
            kind: proposal.kind,
            subject: proposal.subject,
            what: proposal.what,
            grounds: proposal.grounds,
        };
        let bytes = self.bytes + size(&decision) - before.map_or(0, size);
        if size(&decision) > MOST_DECISION_BYTES || bytes > MOST_IN_FORCE_BYTES {
            return Outcome::Refused(Refusal::TooLong);
        }
        self.bytes = bytes;
        self.in_force.take(decision.clone());
        self.forget();
        Outcome::Decided(decision)
    }

    fn forget(&mut self) {
        let forgotten = self.in_force.forget(MOST_ENDED);
        self.bytes -= forgotten.iter().map(size).sum::<usize>();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Kind;

    fn proposal(subject: u8, what: Option<u8>) -> Proposal {
        Proposal {
            kind: Kind::FAILOVER,
            subject: vec![subject],
            what: what.map(|what| vec![what]),
            grounds: "for a test".to_owned(),
            unless_after: None,
        }
    }

    fn apply(machine: &mut Machine, command: &Command) -> Outcome {
        machine.apply(&postcard::to_stdvec(command).expect("bytes"))
    }

    /// Danger: two members that propose from the same evidence would both be heeded, or one that lost would
    /// believe that it had won.
    #[test]
    fn a_proposal_that_was_overtaken_is_refused_and_takes_no_epoch() {
        let mut machine = Machine::default();
        let first = proposal(1, Some(1)).unless_after(Epoch(0));
        assert!(matches!(apply(&mut machine, &Command::Decide(first.clone())), Outcome::Decided(_)));
        assert_eq!(apply(&mut machine, &Command::Decide(first)), Outcome::Refused(Refusal::Overtaken));
        assert_eq!(machine.in_force.epoch(), Epoch(1));
        let next = proposal(1, Some(2)).unless_after(Epoch(1));
        assert!(matches!(apply(&mut machine, &Command::Decide(next)), Outcome::Decided(_)));
    }

    /// Danger: decisions that come and go for years would fill all voters' memory and no longer fit a
    /// snapshot.
    #[test]
    fn what_is_kept_is_bounded_and_its_size_is_counted_right() {
        let mut machine = Machine::default();
        for round in 0..2000u32 {
            let mut end = proposal(0, None);
            end.subject = round.to_le_bytes().to_vec();
            apply(&mut machine, &Command::Decide(end));
        }
        assert!(machine.in_force.newest.len() <= MOST_ENDED && machine.in_force.forgotten > Epoch(0));
        let mut long = proposal(7, None);
        long.what = Some(vec![0; MOST_DECISION_BYTES + 1]);
        assert_eq!(apply(&mut machine, &Command::Decide(long)), Outcome::Refused(Refusal::TooLong));
        for subject in 0..60 {
            let mut large = proposal(subject, None);
            large.what = Some(vec![0; MOST_DECISION_BYTES - 200]);
            apply(&mut machine, &Command::Decide(large));
        }
        assert!(machine.bytes <= MOST_IN_FORCE_BYTES);
        assert_eq!(machine.bytes, machine.in_force.newest.values().map(size).sum::<usize>());
    }
}
