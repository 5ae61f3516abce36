//! What the links between two parties do to what goes over them.

use pewterseam::interface::Micros;

use crate::plan::{Link, Plan};
use crate::story::{HostNumber, RelayNumber};

use super::dice::{Dice, Purpose};

/// A stream whose packet is lost sends it again after so long, and then after twice that.
const REPEAT: Micros = 200_000;
/// Repeats of one packet at the most; a link that loses all is a cut.
const MOST_REPEATS: u32 = 6;
/// What comes out of order comes so much later, at the most.
const OUT_OF_ORDER_MS: f64 = 20.0;
/// From a relay to the agent on its own machine, in milliseconds.
const TO_AGENT_MS: f64 = 0.1;

/// One end of a link, and the zone where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Party {
    Relay(RelayNumber),
    Host(HostNumber),
    Discovery,
    Clients,
}

/// Some parties.
#[derive(Clone, Debug, Default)]
pub(super) struct Side {
    pub(super) relays: Vec<bool>,
    pub(super) hosts: Vec<bool>,
    pub(super) discovery: bool,
    pub(super) clients: bool,
}

impl Side {
    fn has(&self, party: Party) -> bool {
        let at = |list: &[bool], place: usize| list.get(place).copied().unwrap_or(false);
        match party {
            Party::Relay(number) => at(&self.relays, usize::from(number)),
            Party::Host(number) => at(&self.hosts, number as usize),
            Party::Discovery => self.discovery,
            Party::Clients => self.clients,
        }
    }
}

/// A fault in force.
#[derive(Clone, Debug)]
pub(super) struct Bad {
    pub(super) place: usize,
    pub(super) from: Side,
    pub(super) to: Side,
    pub(super) until: Micros,
    pub(super) link: Link,
}

impl Bad {
    fn acts(&self, from: Party, to: Party) -> bool {
        let one_way = self.from.has(from) && self.to.has(to);
        one_way || (self.link.both_ways && self.from.has(to) && self.to.has(from))
    }

    /// What concerns a stream as a whole acts whoever opened it.
    fn acts_on_stream(&self, from: Party, to: Party) -> bool {
        self.acts(from, to) || self.acts(to, from)
    }
}

/// How bytes get over a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Way {
    pub(super) delay: Micros,
    /// A cut holds them back until then.
    pub(super) held_until: Option<Micros>,
    /// They were lost and are sent again: not by a sender that has given up, as its connection ended by a
    /// reset.
    pub(super) resent: bool,
    /// They are held back until their sender gives up.
    pub(super) late: bool,
    /// The stream is reset instead of the last byte.
    pub(super) reset: bool,
}

impl Way {
    /// When they arrive, if their sender still waits.
    pub(super) fn at(&self, now: Micros) -> Micros {
        self.held_until.map_or(now, |until| until.max(now)) + self.delay
    }
}

#[derive(Debug)]
pub(super) struct Links {
    delays_ms: [f64; 3],
    /// Of each zone, a number for its region.
    regions: Vec<usize>,
    bad: Vec<Bad>,
    dice: Dice,
}

impl Links {
    pub(super) fn new(plan: &Plan) -> Self {
        let zones = &plan.fleet.zones;
        let region_of = |name: &str| zones.iter().position(|zone| zone.region == name).unwrap_or(0);
        Links {
            delays_ms: plan.fleet.delays_ms,
            regions: zones.iter().map(|zone| region_of(&zone.region)).collect(),
            bad: Vec::new(),
            dice: Dice::new(plan.seed, Purpose::Links),
        }
    }

    pub(super) fn break_down(&mut self, bad: Bad) {
        self.bad.push(bad);
    }

    pub(super) fn mend(&mut self, place: usize) {
        self.bad.retain(|bad| bad.place != place);
    }

    /// A host takes another's place, and its part in the faults in force.
    pub(super) fn replace(&mut self, old: HostNumber, new: HostNumber) {
        for bad in &mut self.bad {
            for side in [&mut bad.from, &mut bad.to] {
                let has = side.has(Party::Host(old));
                side.hosts.resize((new as usize + 1).max(side.hosts.len()), false);
                side.hosts[new as usize] = has;
            }
        }
    }

    /// Between two zones on a good day.
    pub(super) fn between(&self, one: usize, other: usize) -> Micros {
        let region = |zone: usize| self.regions.get(zone);
        let distance = match (one == other, region(one) == region(other)) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        (self.delays_ms[distance].max(0.0) * 1e3) as Micros
    }

    pub(super) fn to_agent(&self) -> Micros {
        (TO_AGENT_MS * 1e3) as Micros
    }

    /// Until when nothing comes through, where that is so now.
    pub(super) fn cut_until(&self, from: Party, to: Party) -> Option<Micros> {
        let cuts = self.bad.iter().filter(|bad| bad.link.cut && bad.acts(from, to));
        cuts.map(|bad| bad.until).max()
    }

    /// Whether a new connection opens and stays silent.
    pub(super) fn is_mute(&mut self, from: Party, to: Party) -> bool {
        let bad = self.bad.iter().filter(|bad| bad.acts_on_stream(from, to));
        let part = bad.map(|bad| bad.link.half_open_part).fold(0.0, f64::max);
        self.dice.chance(part)
    }

    /// How so many bytes of a stream get over, that take `base` on a good day.
    pub(super) fn stream(&mut self, from: Party, to: Party, base: Micros, bytes: usize) -> Way {
        let mut way = Way { delay: base, ..Way::default() };
        for bad in &self.bad {
            if bad.acts_on_stream(from, to) {
                way.reset |= self.dice.chance(bad.link.reset_part);
            }
            if !bad.acts(from, to) {
                continue;
            }
            let link = &bad.link;
            if link.cut {
                way.held_until = way.held_until.max(Some(bad.until));
            }
            way.late |= self.dice.chance(link.late_part);
            way.delay += self.dice.between_ms([link.delay_ms, link.delay_ms + link.jitter_ms]);
            let mut repeat = REPEAT;
            for _ in 0..MOST_REPEATS {
                if !self.dice.chance(link.drop_part) {
                    break;
                }
                way.delay += repeat;
                way.resent = true;
                repeat *= 2;
            }
            if let Some(pace) = link.crawl_bytes_a_second {
                way.delay += (bytes as f64 / pace.max(1.0) * 1e6) as Micros;
            }
        }
        way
    }

    /// After how long each copy of a datagram comes; none of one that is lost.
    pub(super) fn datagram(&mut self, from: Party, to: Party, base: Micros) -> [Option<Micros>; 2] {
        let (mut first, mut second) = (Some(base), None);
        for bad in self.bad.iter().filter(|bad| bad.acts(from, to)) {
            let link = &bad.link;
            if link.cut || self.dice.chance(link.drop_part) {
                first = None;
            }
            let mut delay = self.dice.between_ms([link.delay_ms, link.delay_ms + link.jitter_ms]);
            if self.dice.chance(link.reorder_part) {
                delay += self.dice.between_ms([0.0, OUT_OF_ORDER_MS]);
            }
            first = first.map(|at| at + delay);
            if self.dice.chance(link.duplicate_part) {
                second = first.map(|at| at + self.dice.between_ms([0.0, OUT_OF_ORDER_MS]));
            }
        }
        // A cut takes both copies.
        [first, second.filter(|_| first.is_some())]
    }
}
