//! Broadcasts that are on their way, and where their parts are.

use pewterseam::interface::{DestinationId, Micros};
use pewterseam_fleet::interface::{CallId, MemberId, Ticket, Unanswered};

use super::io::{BroadcastId, Effect, Refused};
use super::{Machine, PROPOSALS};
use crate::groups::{PartEnd, PartId, Sum};
use crate::lanes::{Lane, gateway};
use crate::passing;

/// Broadcasts that a relay has on their way, each two bits a subscriber and what of it is passed on.
const MOST_OPEN: usize = 1_000;

#[derive(Debug)]
pub(super) struct Open {
    sum: Sum,
    group: String,
    deadline: Micros,
}

/// A part that was passed on.
#[derive(Debug)]
pub(super) struct Out {
    id: BroadcastId,
    destination: DestinationId,
    /// The last gateway tried.
    to: MemberId,
}

impl Machine {
    pub(super) fn broadcast(
        &mut self, now: Micros, id: BroadcastId, group: &str, deadline: Micros, out: &mut Vec<Effect>,
    ) {
        let group = match self.config.groups.get(group) {
            Ok(group) if self.open.len() < MOST_OPEN || self.open.contains_key(&id) => group.clone(),
            refused => {
                self.counted.refused += 1;
                let why = refused.err().map_or(Refused::TooMany, Refused::Group);
                return out.push(Effect::Refused { id, why });
            }
        };
        // Handed in again: its parts are on their way.
        if self.open.contains_key(&id) {
            return;
        }
        self.counted.broadcasts += 1;
        let (sum, name) = (Sum::new(group.clone()), group.name.clone());
        self.open.insert(id.clone(), Open { sum, group: name, deadline });
        for destination in group.destinations().iter() {
            self.place(now, &id, *destination, out);
        }
    }

    /// Where a part that surely never ran goes. After a start it may be out, or over.
    pub(super) fn place(
        &mut self, now: Micros, id: &BroadcastId, destination: DestinationId, out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get(id) else { return };
        let (deadline, part) = (open.deadline, self.config.key.part(id, destination));
        let slow =
            self.slice(&open.group, destination).is_some_and(|slice| self.table.is_slow(slice, destination));
        if let Some(end) = self.passing.end_of(part) {
            return self.part_ended(id, destination, end, out);
        }
        let count = self.config.lanes.gateways;
        let to =
            gateway(&self.members, destination, count, &part.0).filter(|to| slow && *to != self.config.me);
        let is_out = self.passing.is_out(part);
        let last = self.out.get(&part).map(|out| out.to);
        // To one that it came back from it goes no second time.
        match to.filter(|to| last != Some(*to)) {
            Some(to) if !is_out => {
                self.counted.passed_on += 1;
                self.out.insert(part, Out { id: id.clone(), destination, to });
                self.pass(now, passing::Input::PassOn { part, to, deadline }, out);
            }
            None if !is_out => {
                let lane = if slow { Lane::Slow } else { Lane::Common };
                out.push(Effect::Deliver { part, destination: Some(destination), deadline, lane });
            }
            to => {
                let to = last.or(to).unwrap_or(self.config.me);
                self.out.insert(part, Out { id: id.clone(), destination, to });
            }
        }
    }

    pub(super) fn part_ended(
        &mut self, id: &BroadcastId, destination: DestinationId, end: PartEnd, out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(id) else { return };
        open.sum.book(destination, end);
        if let Some(end) = open.sum.end() {
            self.open.remove(id);
            self.out.retain(|_, out| out.id != *id);
            out.push(Effect::BroadcastOver { id: id.clone(), end });
        }
    }

    pub(super) fn pass(&mut self, now: Micros, input: passing::Input<'_>, out: &mut Vec<Effect>) {
        let effects = self.passing.handle(now, input);
        let back = self.carry(effects, out);
        for part in back {
            let Some((id, destination)) = self.out.get(&part).map(|out| (out.id.clone(), out.destination))
            else {
                continue;
            };
            self.counted.came_back += 1;
            self.place(now, &id, destination, out);
        }
    }

    /// Effects of passing on, as those of the whole; the parts that came back to this relay.
    pub(super) fn carry(&mut self, effects: Vec<passing::Effect>, out: &mut Vec<Effect>) -> Vec<PartId> {
        let mut back = Vec::new();
        for effect in effects {
            match effect {
                passing::Effect::Persist(records) => out.push(Effect::Persist(records)),
                passing::Effect::Hand { ticket, to, hand } => out.push(Effect::Hand { ticket, to, hand }),
                passing::Effect::Ask { ticket, to, ask } => {
                    let body = postcard::to_stdvec(&ask).unwrap_or_default();
                    out.push(Effect::Ask { ticket, to, body });
                }
                passing::Effect::Reply { call, answer } => {
                    let body = postcard::to_stdvec(&answer).unwrap_or_default();
                    out.push(Effect::Reply { call: CallId(call.0), body });
                }
                passing::Effect::Own { part, deadline } if self.passing.owns(part) => {
                    out.push(Effect::Deliver { part, destination: None, deadline, lane: Lane::Slow });
                }
                passing::Effect::Own { part, .. } => back.push(part),
                passing::Effect::Over { part, end } => {
                    if let Some(of) = self.out.remove(&part) {
                        self.part_ended(&of.id, of.destination, end, out);
                    }
                }
                passing::Effect::Wake(at) => self.passing_wake = Some(at),
                passing::Effect::Log { severity, line } => out.push(Effect::Log { severity, line }),
            }
        }
        back
    }

    pub(super) fn replied(
        &mut self, now: Micros, ticket: Ticket, answer: Result<Vec<u8>, Unanswered>, out: &mut Vec<Effect>,
    ) {
        debug_assert!(ticket.0 < PROPOSALS, "a proposal is answered by Proposed");
        // What can't be read may be any answer, so it is none.
        let answer = answer.and_then(|body| {
            postcard::from_bytes(&body).map_err(|_| {
                self.counted.unread += 1;
                Unanswered::NotUnderstood
            })
        });
        self.pass(now, passing::Input::Replied { ticket, answer }, out);
    }
}
