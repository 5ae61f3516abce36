//! What members would have decided: to the leader, and its answer back.

use serde::{Deserialize, Serialize};

use super::calling::Why;
use super::{Fleet, Role};
use crate::calls::{AnswerTo, Purpose};
use crate::interface::{
    CallId, Effect, Epoch, MOST_DECISION_BYTES, MemberId, Micros, Proposal, Refusal, Ticket, Unanswered,
};
use crate::log::{Command, Outcome};

/// Proposals of this member that may be out.
const MOST_OUT: usize = 256;
/// A proposal that found no leader is brought again after so long, for `FOR` in all.
const AGAIN: Micros = 200_000;
const FOR: Micros = 5_000_000;

/// A proposal of this member.
#[derive(Clone, Debug)]
pub(super) struct Mine {
    proposal: Proposal,
    since: Micros,
    /// When to bring it again; none while it is out.
    at: Option<Micros>,
    tries: usize,
}

/// Who waits for an entry of the log.
#[derive(Clone, Debug)]
pub(super) enum Waiter {
    Here(Ticket),
    There(CallId, AnswerTo),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Said {
    Decided(Result<Epoch, Refusal>),
    /// This member does not lead; it may know who does.
    Elsewhere(Option<MemberId>),
}

impl Fleet {
    pub(super) fn on_propose(&mut self, now: Micros, ticket: Ticket, proposal: Proposal) {
        let long =
            proposal.what.as_ref().map_or(0, Vec::len) + proposal.grounds.len() + proposal.subject.len();
        if long > MOST_DECISION_BYTES {
            return self.proposed(ticket, Err(Refusal::TooLong));
        }
        if self.mine.len() >= MOST_OUT {
            return self.proposed(ticket, Err(Refusal::TooMany));
        }
        self.mine.insert(ticket, Mine { proposal, since: now, at: Some(now), tries: 0 });
        self.on_proposal_time(now);
    }

    /// Brings what is to be brought, and gives up what nobody took.
    pub(super) fn on_proposal_time(&mut self, now: Micros) {
        let due: Vec<Ticket> = self
            .mine
            .iter()
            .filter(|(_, mine)| mine.at.is_some_and(|at| at <= now))
            .map(|(of, _)| *of)
            .collect();
        for ticket in due {
            let Some(mine) = self.mine.get_mut(&ticket) else { continue };
            if now >= mine.since + FOR {
                self.proposed(ticket, Err(Refusal::NoQuorum));
                continue;
            }
            mine.at = None;
            mine.tries += 1;
            let (proposal, tries) = (mine.proposal.clone(), mine.tries);
            if self.ready_to_lead(now) {
                self.append(now, proposal, Waiter::Here(ticket));
                continue;
            }
            let Some(whom) = self.leader_to_try(tries) else {
                self.again(now, ticket);
                continue;
            };
            let body = postcard::to_stdvec(&proposal).unwrap_or_default();
            self.call(now, whom, Purpose::PROPOSE, body, Why::Propose(ticket));
        }
        self.give_up_waiters(now);
    }

    pub(super) fn proposals_wake(&self) -> Option<Micros> {
        let mine = self.mine.values().filter_map(|mine| mine.at).min();
        let waiting = self.waiters.values().map(|(_, _, until)| *until).min();
        mine.into_iter().chain(waiting).min()
    }

    /// The leader if it is known, else one voter after the other.
    fn leader_to_try(&self, tries: usize) -> Option<MemberId> {
        let me = self.config.me;
        let places: Vec<MemberId> = match &self.voters.voters[..] {
            [] => self.config.voters.clone(),
            known => known.iter().map(|voter| voter.place).collect(),
        };
        let lives = |place: &MemberId| *place != me && self.view.members().lives(*place);
        let others: Vec<MemberId> = places.into_iter().filter(lives).collect();
        let hint = self.voters.leader.filter(|leader| tries % 2 == 1 && lives(leader));
        hint.or_else(|| others.get((usize::from(me.0) + tries) % others.len().max(1)).copied())
    }

    fn again(&mut self, now: Micros, ticket: Ticket) {
        if let Some(mine) = self.mine.get_mut(&ticket) {
            mine.at = Some(now + AGAIN);
        }
    }

    pub(super) fn on_proposed(
        &mut self, now: Micros, by: MemberId, ticket: Ticket, said: Result<Said, Unanswered>,
    ) {
        match said {
            Ok(Said::Decided(Err(Refusal::NoQuorum))) => self.again(now, ticket),
            Ok(Said::Decided(outcome)) => self.proposed(ticket, outcome),
            Ok(Said::Elsewhere(leader)) => {
                self.voters.leader = leader.filter(|leader| *leader != by);
                self.again(now, ticket);
            }
            // Danger: it may have been decided, and would be again.
            Err(Unanswered::TooLate | Unanswered::NotSealed) => self.proposed(ticket, Err(Refusal::Unknown)),
            Err(_) => {
                self.voters.leader = self.voters.leader.filter(|leader| *leader != by);
                self.again(now, ticket);
            }
        }
    }

    fn proposed(&mut self, ticket: Ticket, outcome: Result<Epoch, Refusal>) {
        self.mine.remove(&ticket);
        match outcome {
            Ok(_) => self.counters.proposals_decided += 1,
            Err(_) => self.counters.proposals_refused += 1,
        }
        self.effects.push(Effect::Proposed { ticket, outcome });
    }

    /// Another member's proposal.
    pub(super) fn on_proposal(&mut self, now: Micros, call: CallId, answer: AnswerTo, proposal: Proposal) {
        if self.ready_to_lead(now) {
            self.append(now, proposal, Waiter::There(call, answer));
            self.voter_step(now);
        } else {
            let leader = self.leader_known();
            self.answer(call, answer, &Said::Elsewhere(leader));
        }
    }

    fn append(&mut self, now: Micros, proposal: Proposal, waiter: Waiter) {
        let Role::Seated(voter) = &mut self.role else { return };
        match voter.propose(&Command::Decide(proposal)) {
            Some((index, term)) => {
                let until = now + self.config.times.call * 3 / 4;
                if let Some((_, before, _)) = self.waiters.insert(index, (term, waiter, until)) {
                    // An entry of an earlier term stood there and was overwritten.
                    self.resolve(before, Err(Refusal::NoQuorum));
                }
            }
            None => self.resolve(waiter, Err(Refusal::TooMany)),
        }
    }

    fn resolve(&mut self, waiter: Waiter, outcome: Result<Epoch, Refusal>) {
        match waiter {
            Waiter::Here(ticket) => self.proposed(ticket, outcome),
            Waiter::There(call, to) => self.answer(call, to, &Said::Decided(outcome)),
        }
    }

    /// An entry was applied.
    pub(super) fn applied(&mut self, index: u64, term: u64, outcome: Outcome) {
        let Some((expected, waiter, _)) = self.waiters.remove(&index) else { return };
        let outcome = match outcome {
            // Another leader's entry stands there: this one's is in no log that counts.
            _ if expected != term => Err(Refusal::NoQuorum),
            Outcome::Decided(decision) => Ok(decision.epoch),
            Outcome::Refused(refusal) => Err(refusal),
            Outcome::Nothing => Err(Refusal::Unknown),
        };
        self.resolve(waiter, outcome);
    }

    fn give_up_waiters(&mut self, now: Micros) {
        let late: Vec<u64> =
            self.waiters.iter().filter(|(_, (_, _, until))| *until <= now).map(|(index, _)| *index).collect();
        for index in late {
            if let Some((_, waiter, _)) = self.waiters.remove(&index) {
                self.resolve(waiter, Err(Refusal::Unknown));
            }
        }
    }
}
