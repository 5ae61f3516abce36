//! What a day's own faults excuse: an end that nobody could tell while the relay stood still, bytes that a
//! link held back. Where a fault picks a part by chance, each that it may have picked is excused.

use pewterseam::interface::Micros;

use crate::plan::{How, Link, Pick, Plan, What, Who};
use crate::story::{HostFacts, RelayNumber};

/// What was under way when a link's fault ended may arrive for so long.
const AFTERMATH: Micros = 2_000_000;
/// A fault that makes a relay forget has begun so shortly before its death was seen, at the most.
const SEEN_WITHIN: Micros = 500_000;

/// When each fault of the plan began and ended.
#[derive(Debug)]
pub struct Excuses<'a> {
    plan: &'a Plan,
    began: Vec<Option<Micros>>,
    ended: Vec<Option<Micros>>,
}

/// How much later bytes between two parties may come than on a good day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lag {
    /// So much at the most, both ways together.
    Upto(Micros),
    /// No bound is known.
    Unbounded,
}

impl<'a> Excuses<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        let none = vec![None; plan.faults.len()];
        Excuses { plan, began: none.clone(), ended: none }
    }

    pub(super) fn fault(&mut self, place: usize, begins: bool, at: Micros) {
        let times = if begins { &mut self.began } else { &mut self.ended };
        if let Some(time) = times.get_mut(place) {
            *time = Some(at);
        }
    }

    /// Faults that are in force, or ended less than `after` ago, each with its end if it has one yet.
    fn in_force(&self, after: Micros, now: Micros) -> impl Iterator<Item = (&'a What, Option<Micros>)> {
        let began = self.began.iter().zip(&self.ended);
        let known = self.plan.faults.iter().zip(began);
        known.filter_map(move |(fault, (began, ended))| {
            let lasts = began.is_some() && ended.is_none_or(|ended| ended + after >= now);
            lasts.then_some((&fault.what, *ended))
        })
    }

    /// Until when a relay can't be asked to have told the ends due at `due`, as it stood still or was cut off
    /// from the platform then.
    pub fn silenced_until(
        &self, relay: RelayNumber, after: Micros, due: Micros, now: Micros,
    ) -> Option<Micros> {
        let silences = |what: &What| match what {
            What::Process(process) => {
                matches!(process.how, How::Stall | How::StartLate) && self.may_be(&process.who, relay)
            }
            What::Link(link) => self.touches(link, relay, |who| matches!(who, Who::Discovery)),
            _ => false,
        };
        let found = self.in_force(after, due).filter(|(what, _)| silences(what));
        found.map(|(_, ended)| ended.unwrap_or(now) + after).max()
    }

    /// Whether the relay that dies now loses what it had taken on, with its folder.
    pub fn forgets(&self, relay: RelayNumber, now: Micros) -> bool {
        self.plan.faults.iter().zip(&self.began).any(|(fault, began)| match &fault.what {
            What::Process(process) => {
                matches!(process.how, How::CrashAndForget | How::CrashAndRestore)
                    && began.is_some_and(|began| began + SEEN_WITHIN >= now)
                    && self.may_be(&process.who, relay)
            }
            _ => false,
        })
    }

    /// Whether a client's connection to this relay may have been broken by the link between them.
    pub fn clients_cut(&self, relay: RelayNumber, now: Micros) -> bool {
        let faults = self.in_force(AFTERMATH, now);
        faults.into_iter().any(|(what, _)| match what {
            What::Link(link) => self.touches(link, relay, |who| matches!(who, Who::Clients)),
            What::Process(process) => process.how == How::Stall && self.may_be(&process.who, relay),
            _ => false,
        })
    }

    /// How much later than on a good day bytes come between a relay and a host, there and back.
    pub fn lag(&self, relay: RelayNumber, host: &HostFacts, now: Micros) -> Lag {
        let mut sum = 0;
        // What is held back comes when its sender gives up: by the message's deadline.
        let deadlines = self.plan.load.classes.iter().map(|class| class.deadline_s);
        let longest = deadlines.fold(0.0, f64::max).max(0.0) * 1e6;
        for (what, _) in self.in_force(AFTERMATH + longest as Micros, now) {
            let one = match what {
                What::Link(link) if self.touches(link, relay, |who| self.may_be_host(who, host)) => lag(link),
                // What was written before a standstill is read after it.
                What::Process(process) if process.how == How::Stall && self.may_be(&process.who, relay) => {
                    Lag::Unbounded
                }
                _ => Lag::Upto(0),
            };
            match one {
                Lag::Upto(more) => sum += more,
                Lag::Unbounded => return Lag::Unbounded,
            }
        }
        Lag::Upto(sum)
    }

    /// One end of the link may be this relay, and the other is one of `others`.
    fn touches(&self, link: &Link, relay: RelayNumber, others: impl Fn(&Who) -> bool) -> bool {
        let is_relay = |who: &Who| matches!(who, Who::Relays(pick) if self.may_be(pick, relay));
        (is_relay(&link.from) && others(&link.to)) || (is_relay(&link.to) && others(&link.from))
    }

    /// Whether a relay may be among those picked.
    fn may_be(&self, pick: &Pick, relay: RelayNumber) -> bool {
        let zone = usize::from(relay) % self.plan.fleet.zones.len().max(1);
        match pick {
            Pick::All | Pick::Part(_) => true,
            Pick::Numbers(numbers) => numbers.contains(&relay),
            Pick::Zone(_) | Pick::Region(_) => self.is_zone(pick, zone),
            Pick::Destination(_) | Pick::DestinationIn { .. } => false,
        }
    }

    fn may_be_host(&self, who: &Who, host: &HostFacts) -> bool {
        let Who::Hosts(pick) = who else { return false };
        match pick {
            Pick::All | Pick::Part(_) | Pick::Numbers(_) => true,
            Pick::Zone(_) | Pick::Region(_) => self.is_zone(pick, host.zone),
            Pick::Destination(number) => host.destination == *number,
            Pick::DestinationIn { destination, zone } => {
                host.destination == *destination && self.is_zone(&Pick::Zone(zone.clone()), host.zone)
            }
        }
    }

    fn is_zone(&self, pick: &Pick, zone: usize) -> bool {
        let zone = self.plan.fleet.zones.get(zone);
        zone.is_some_and(|zone| match pick {
            Pick::Zone(name) => zone.name == *name,
            Pick::Region(name) => zone.region == *name,
            _ => false,
        })
    }
}

/// What a link's fault adds to both ways together.
fn lag(link: &Link) -> Lag {
    let unsure = [link.drop_part, link.half_open_part, link.late_part, link.reorder_part];
    if link.cut || link.crawl_bytes_a_second.is_some() || unsure.into_iter().any(|part| part > 0.0) {
        return Lag::Unbounded;
    }
    Lag::Upto(((link.delay_ms + link.jitter_ms).max(0.0) * 2_000.0) as Micros)
}
