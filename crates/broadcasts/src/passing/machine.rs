//! Both sides of one relay.

use std::collections::BTreeMap;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Members, Severity};

use super::gateway::Gateway;
use super::io::{Answer, Ask, Effect, Folder, Input};
use super::record::Record;
use super::taker::Taker;
use crate::groups::{PartEnd, PartId};

/// Between looks at all parts: a third of the shortest time that is waited for.
const TICK: Micros = 100_000;

/// Who lives, and in which incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen(BTreeMap<MemberId, (bool, u32)>);

impl Seen {
    fn of(members: &Members) -> Self {
        Seen(members.all().map(|member| (member.id, (member.lives(), member.incarnation))).collect())
    }

    pub(super) fn lives(&self, id: MemberId) -> bool {
        self.0.get(&id).is_some_and(|(lives, _)| *lives)
    }

    pub(super) fn incarnation(&self, id: MemberId) -> u32 {
        self.0.get(&id).map_or(0, |(_, incarnation)| *incarnation)
    }
}

#[derive(Clone, Debug)]
pub struct Passing {
    folder: Folder,
    seen: Seen,
    taker: Taker,
    gateway: Gateway,
    wake: Option<Micros>,
    /// Records could not be written: what is known here may not be known to the next process.
    broken: bool,
}

impl Passing {
    /// From the records of the folder, in their order. `drawn` names the folder if it is new.
    pub fn new(now: Micros, saved: &[Record], drawn: u64) -> (Self, Vec<Effect>) {
        let known = saved.iter().find_map(|record| match record {
            Record::Folder(folder) => Some(*folder),
            _ => None,
        });
        let (mut taker, mut gateway) = (Taker::default(), Gateway::default());
        for record in saved {
            taker.replay(now, record);
            gateway.replay(record);
        }
        let folder = known.unwrap_or(Folder(drawn));
        let mut effects = Vec::new();
        if known.is_none() {
            effects.push(Effect::Persist(vec![Record::Folder(folder)]));
        }
        taker.again(&mut effects);
        gateway.again(&mut effects);
        effects.push(Effect::Wake(now));
        let wake = Some(now);
        (Passing { folder, seen: Seen::default(), taker, gateway, wake, broken: false }, effects)
    }

    pub fn handle(&mut self, now: Micros, input: Input<'_>) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.broken {
            return effects;
        }
        match input {
            Input::Timer => {
                self.wake = None;
                self.taker.due(now, &self.seen, &mut effects);
                self.gateway.due(now, &mut effects);
            }
            Input::Members(members) => {
                self.seen = Seen::of(members);
                self.taker.members(&self.seen);
                self.taker.due(now, &self.seen, &mut effects);
            }
            Input::PassOn { part, to, deadline } => {
                self.taker.pass_on(now, part, to, deadline, &mut effects);
                self.taker.due_of(now, part, &self.seen, &mut effects);
            }
            Input::Ended { part, end } => self.gateway.ended(part, end, &mut effects),
            Input::Handed { call, from, hand } => {
                self.gateway.handed(now, self.folder, call, from, hand, &mut effects);
            }
            Input::Asked { call, ask: Ask::Withdraw(hand), .. } => {
                self.gateway.withdraw(now, self.folder, call, hand, &mut effects);
            }
            Input::Asked { call, ask: Ask::Folder, .. } => {
                effects.push(Effect::Reply { call, answer: Answer::Folder(self.folder) });
            }
            Input::Asked { call, ask: Ask::Ended { part, end }, .. } => {
                self.taker.ended(part, end, &mut effects);
                effects.push(Effect::Reply { call, answer: Answer::Noted });
            }
            Input::Replied { ticket, answer } if ticket.0 % 2 == 1 => {
                self.gateway.replied(ticket, answer, &mut effects);
            }
            Input::Replied { ticket, answer } => {
                if let Some(part) = self.taker.replied(ticket, answer, &mut effects) {
                    self.taker.due_of(now, part, &self.seen, &mut effects);
                }
            }
            Input::Unwritten => {
                self.broken = true;
                let line = "records of passing parts on could not be written; no part is passed on or \
                taken on until the relay is started again, free room in its folder first";
                effects.push(Effect::Log { severity: Severity::Error, line: line.to_owned() });
                return effects;
            }
        }
        if self.wake.is_none() && self.kept() > 0 {
            self.wake = Some(now + TICK);
            effects.push(Effect::Wake(now + TICK));
        }
        effects
    }

    /// Whether a part is passed on: neither this relay's own nor over.
    pub fn is_out(&self, part: PartId) -> bool {
        self.taker.out(part)
    }

    /// The end of a part that was passed on, if it is known.
    pub fn end_of(&self, part: PartId) -> Option<PartEnd> {
        self.taker.end_of(part)
    }

    /// Whether a part was taken on here and is not over.
    pub fn owns(&self, part: PartId) -> bool {
        self.gateway.owns(part)
    }

    /// Parts that are known of, on either side.
    pub fn kept(&self) -> usize {
        self.taker.len() + self.gateway.len()
    }
}
