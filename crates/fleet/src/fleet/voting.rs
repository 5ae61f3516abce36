//! The log at a member that votes.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use super::posting::MOST_WAITING;
use super::writing::WRITE_AGAIN;
use super::{Fleet, Role};
use crate::interface::{Decision, Epoch, MemberId, Micros, Record, Severity, VoterId};
use crate::log::{Command, Step};

/// After a stall a voter ticks so often at most: what the others said meanwhile is heard first.
const MOST_TICKS: u64 = 2;
/// A leader of a log that decided nothing waits so long for a member that knows of decisions.
const LOOK_ROUND: Micros = 3_000_000;

impl Fleet {
    pub(super) fn on_voter_time(&mut self, now: Micros) {
        if self.write_again.is_some_and(|at| now >= at) {
            self.write_again = Some(now + WRITE_AGAIN);
            self.persist_anew = true;
        }
        match &mut self.role {
            Role::Outside => {}
            Role::Proving(..) => self.prove(now),
            Role::Seated(_) if self.write_again.is_some() => {}
            Role::Seated(voter) => {
                let tick = self.config.times.tick;
                let due = if now < self.next_tick { 0 } else { (now - self.next_tick) / tick + 1 };
                if due > 0 {
                    self.next_tick = now + tick;
                    let ran = catch_unwind(AssertUnwindSafe(|| {
                        (0..due.min(MOST_TICKS)).for_each(|_| voter.tick());
                    }));
                    if ran.is_err() {
                        return self.broken();
                    }
                    self.lead(now);
                    self.voter_step(now);
                    self.tell_mark(now);
                    self.prove_again(now);
                }
            }
        }
    }

    pub(super) fn voter_wake(&self) -> Option<Micros> {
        let role = match &self.role {
            Role::Outside => None,
            Role::Proving(proof, _) => Some(proof.wake()),
            Role::Seated(_) if self.write_again.is_some() => None,
            Role::Seated(_) => Some(self.next_tick),
        };
        role.into_iter().chain(self.write_again).min()
    }

    /// Danger: the library ends by a panic where its state contradicts itself. The relay has to deliver on;
    /// the seat is given up and filled anew.
    pub(super) fn broken(&mut self) {
        self.counters.broken += 1;
        let line = "the log's state contradicts itself, the seat is given up and comes back by the others"
            .to_owned();
        self.log(Severity::Error, line);
        self.give_up_seat();
    }

    /// Takes what the log gives: what is to be written, then messages; decisions come into force.
    pub(super) fn voter_step(&mut self, now: Micros) {
        let Role::Seated(voter) = &mut self.role else { return };
        if self.write_again.is_some() {
            return;
        }
        let Ok(step) = catch_unwind(AssertUnwindSafe(|| voter.step())) else { return self.broken() };
        let Step { batch, messages, applied, restored: _ } = step;
        if let Some(batch) = batch {
            self.records.push(Record::Voter(batch));
        }
        if voter.compact() {
            self.persist_anew = true;
        }
        let known = self.known.epoch;
        let upto = voter.in_force().epoch();
        let away = voter.in_force().forgotten > known;
        let all = away.then(|| voter.in_force().clone());
        let mut decisions: Vec<Decision> = Vec::new();
        if upto > known && !away {
            let newer = voter.in_force().newest.values().filter(|decision| decision.epoch > known);
            decisions.extend(newer.cloned());
            decisions.sort_unstable_by_key(|decision| decision.epoch);
        }
        let seats = voter.seats();
        if seats.at >= self.voters.at && !seats.voters.is_empty() {
            self.voters = seats;
        }
        if let Some(all) = all {
            self.replace_known(all);
        } else if upto > known {
            self.take_decisions(decisions, upto);
        }
        for (index, term, outcome) in applied {
            self.applied(index, term, outcome);
        }
        for message in messages {
            let waiting = &mut self.outboxes.entry(message.to).or_default().waiting;
            if waiting.len() >= MOST_WAITING {
                waiting.remove(0);
            }
            waiting.push(message);
        }
        let to: Vec<VoterId> = self.outboxes.keys().copied().collect();
        to.into_iter().for_each(|to| self.flush(now, to));
    }

    pub(super) fn leader_known(&self) -> Option<MemberId> {
        match &self.role {
            Role::Seated(voter) => voter.leader().map(|leader| leader.place),
            _ => self.voters.leader,
        }
    }

    /// Whether proposals may be appended here.
    pub(super) fn ready_to_lead(&self, now: Micros) -> bool {
        let Role::Seated(voter) = &self.role else { return false };
        let begun = voter.in_force().epoch() > Epoch(0)
            || self.pull.newest() == Epoch(0) && now >= self.led_since.unwrap_or(now) + LOOK_ROUND;
        self.write_again.is_none() && voter.leads() && begun
    }

    /// What a leader does beside appending: seats, and going on where all voters lost their folders.
    pub(super) fn lead(&mut self, now: Micros) {
        let Role::Seated(voter) = &mut self.role else { return };
        if !voter.leads() {
            self.led_since = None;
            self.gone_voters.clear();
            return;
        }
        let since = *self.led_since.get_or_insert(now);
        if !voter.settled() || now < self.next_seats {
            return;
        }
        self.next_seats = now + self.config.times.tick * 5;
        let fresh = voter.in_force().epoch() == Epoch(0);
        if fresh && self.known.epoch > Epoch(0) && now >= since + LOOK_ROUND {
            let _ = voter.propose(&Command::GoOn(self.known.clone()));
            self.log(
                Severity::Error,
                "all voters lost what was decided; goes on from what members know".to_owned(),
            );
            return;
        }
        self.look_at_seats(now);
    }
}

/// When each voter's member was first seen gone.
pub(super) type Away = BTreeMap<MemberId, Micros>;
