//! Decisions in force, what becomes of proposals, and an operator's pins.

use pewterseam_fleet::interface::{Decision, Epoch, Matter, Proposal, Refusal};

use super::Machine;
use crate::decision::{Pin, Plan};
use crate::interface::{DestinationId, Effect, Micros, SECOND, Severity, Ticket};

/// A proposal that found no quorum is made again after so long.
const AGAIN: Micros = SECOND;
/// Longest pin, in seconds: a day. One that is meant to stay is set again.
const LONGEST_PIN: u64 = 86_400;

impl Machine {
    pub(super) fn on_decided(&mut self, now: Micros, decision: &Decision) {
        if decision.kind == Plan::KIND {
            let Some(destination) = decision.subject::<Plan>() else {
                self.counters.not_understood += 1;
                return;
            };
            let plan = decision.read::<Plan>();
            let held = self.held.entry(destination).or_default();
            if plan.is_none() && decision.what.is_some() {
                // The next proposal has to be made from there all the same.
                held.epoch = decision.epoch;
                self.counters.not_understood += 1;
                return;
            }
            held.take(now, decision.epoch, plan, &self.zones);
            self.dirty.insert(destination);
            let line = format!("failover of {destination}: {}", decision.grounds);
            self.log(Severity::Info, line);
            if let Some(home) = self.homes.get_mut(&destination) {
                home.decided();
            }
        } else if decision.kind == Pin::KIND {
            let Some(subject) = decision.subject::<Pin>() else { return };
            match decision.read::<Pin>() {
                Some(pin) => self.pins.insert(subject, pin),
                None => self.pins.remove(&subject),
            };
        }
    }

    pub(super) fn on_proposed(&mut self, now: Micros, ticket: Ticket, outcome: Result<Epoch, Refusal>) {
        match outcome {
            Ok(_) => self.counters.decided += 1,
            Err(Refusal::Overtaken) => self.counters.overtaken += 1,
            Err(_) => self.counters.undecided += 1,
        }
        let Some(destination) = self.tickets.remove(&ticket) else {
            if let Err(refusal) = outcome {
                self.log(Severity::Warning, format!("a pin was not decided: {refusal}"));
            }
            return;
        };
        if let Some(home) = self.homes.get_mut(&destination) {
            let again = if outcome.is_ok() { now } else { now + AGAIN };
            home.proposed(again);
        }
    }

    pub(super) fn propose(&mut self, destination: DestinationId, proposal: Proposal) -> Ticket {
        self.numbered += 1;
        let ticket = Ticket(self.numbered);
        self.counters.proposed += 1;
        self.tickets.insert(ticket, destination);
        self.effects.push(Effect::Propose { ticket, proposal });
        ticket
    }

    fn propose_pin(&mut self, proposal: Result<Proposal, impl std::fmt::Display>) {
        match proposal {
            Ok(proposal) => {
                self.numbered += 1;
                self.counters.proposed += 1;
                self.effects.push(Effect::Propose { ticket: Ticket(self.numbered), proposal });
            }
            Err(error) => self.log(Severity::Error, format!("a pin can't be written: {error}")),
        }
    }

    pub(super) fn on_pin(
        &mut self, now: Micros, destination: DestinationId, zone: String, away: bool, seconds: u64,
    ) {
        if self.zones.number(&zone).is_none() {
            let line = format!("no pin: zone {zone} is not in the settings; their names are in /status");
            return self.log(Severity::Warning, line);
        }
        let until = self.wall(now) + seconds.min(LONGEST_PIN);
        let side = if away { "away from" } else { "near" };
        let grounds = format!("an operator pins {destination} {side} {zone} for {seconds} s");
        let pin = Pin { destination, zone, away, until };
        self.propose_pin(Proposal::of(&pin, grounds));
    }

    pub(super) fn on_unpin(&mut self, destination: DestinationId, zone: String) {
        let grounds = format!("an operator unpins {destination} at {zone}");
        self.propose_pin(Proposal::end::<Pin>(&(destination, zone), grounds));
    }

    /// Pins that ran out hold no more here; the destination's first home has them ended for all, once a second.
    pub(super) fn end_pins(&mut self, now: Micros) {
        let wall = self.wall(now);
        let over: Vec<(DestinationId, String)> =
            self.pins.iter().filter(|(_, pin)| pin.until <= wall).map(|(of, _)| of.clone()).collect();
        for subject in over {
            self.pins.remove(&subject);
            let me = self.config.me;
            if self.homes(subject.0).first() == Some(&me) {
                let grounds = format!("the pin of {} at {} ran out", subject.0, subject.1);
                self.propose_pin(Proposal::end::<Pin>(&subject, grounds));
            }
        }
    }
}
