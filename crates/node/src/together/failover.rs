//! Failover between zones at this relay: what it sees goes to the machine, what that places goes to the decisions.

use std::collections::BTreeMap;

use pewterseam::interface::{DestinationId, Event, Micros, Outcome};
use pewterseam_failover::Machine;
use pewterseam_failover::interface::{
    Config, Effect as Wish, Input as Seen, Seen as End, TurnedAway, ZoneHosts,
};
use pewterseam_fleet::interface::{Input as Asked, Members, Part, Severity};

/// What follows from an input.
#[derive(Debug, Default)]
pub(super) struct Wishes {
    /// For the fleet's machine.
    pub asked: Vec<Asked>,
    pub events: Vec<Event>,
    /// So many probes of a destination's hosts in a zone.
    pub looks: Vec<(DestinationId, u16, u32)>,
    pub lines: Vec<(Severity, String)>,
}

pub(super) struct Failover {
    machine: Machine,
    pub wake_at: Option<Micros>,
    listed: BTreeMap<DestinationId, Vec<ZoneHosts>>,
    turned: Vec<TurnedAway>,
}

impl Failover {
    pub fn new(now: Micros, config: Config, seed: u64) -> Self {
        let machine = Machine::new(now, config, seed);
        Failover { machine, wake_at: Some(now), listed: BTreeMap::new(), turned: Vec::new() }
    }

    pub fn take(&mut self, now: Micros, seen: Seen<'_>, wishes: &mut Wishes) {
        for wish in self.machine.handle(now, seen) {
            match wish {
                Wish::Propose { ticket, proposal } => wishes.asked.push(Asked::Propose { ticket, proposal }),
                Wish::Tell { to, body } => {
                    wishes.asked.push(Asked::Tell { to, part: Part::FAILOVER, body });
                }
                Wish::Place { placements, turned } => {
                    self.turned = turned;
                    wishes.events.push(Event::PlacementsChanged(placements));
                }
                Wish::Look { destination, zone, calls } => wishes.looks.push((destination, zone, calls)),
                Wish::Wake(at) => self.wake_at = Some(at),
                Wish::Log { severity, line } => wishes.lines.push((severity, line)),
            }
        }
    }

    pub fn look(&mut self, now: Micros, wishes: &mut Wishes) {
        if self.wake_at.take_if(|at| *at <= now).is_some() {
            self.take(now, Seen::Timer, wishes);
        }
    }

    pub fn members(&mut self, now: Micros, members: &Members, wishes: &mut Wishes) {
        self.take(now, Seen::Members(members), wishes);
    }

    /// The hosts of all destinations by zone: tells the machine what is otherwise than before.
    pub fn listed(
        &mut self, now: Micros, listed: BTreeMap<DestinationId, Vec<ZoneHosts>>, wishes: &mut Wishes,
    ) {
        let before = std::mem::replace(&mut self.listed, listed);
        let gone = before.keys().filter(|destination| !self.listed.contains_key(destination));
        let mut changed: Vec<_> = gone.map(|destination| (*destination, Vec::new())).collect();
        let differs = |(of, zones): &(&DestinationId, &Vec<ZoneHosts>)| before.get(of) != Some(*zones);
        changed.extend(self.listed.iter().filter(differs).map(|(of, zones)| (*of, zones.clone())));
        for (destination, zones) in changed {
            self.take(now, Seen::Listed { destination, zones }, wishes);
        }
    }

    pub fn ended(&mut self, now: Micros, end: End, wishes: &mut Wishes) {
        // What was never sent, or called off here, says nothing of a zone.
        if !matches!(end.outcome, Outcome::NotSent | Outcome::Cancelled) {
            self.take(now, Seen::Ended(end), wishes);
        }
    }

    /// When to come back, if a message has no place anywhere; `chance` is the message's own, from 0 to 1.
    pub fn turns_away(&self, destination: DestinationId, worth: f64, chance: f64) -> Option<Micros> {
        let turned = self.turned.iter().find(|turned| turned.destination == destination)?;
        let away = worth < turned.below || (worth == turned.below && chance < turned.part);
        away.then_some(turned.retry_after)
    }
}
