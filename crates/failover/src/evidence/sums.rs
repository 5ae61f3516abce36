//! What a home has heard of a destination, by the caller's zone and the hosts' zone.

use std::collections::BTreeMap;

use super::sight::{Sight, sight};
use super::tally::{SLOT, SLOTS_A_ROUND, Tally, Windows, slot};
use super::wire::Record;
use crate::interface::{Micros, SECOND, ZoneId, Zones};

/// Slots over which rates are taken, two rounds, and newest ones that are left out: each relay tells of its calls
/// once a round, so that the last round is not told in full yet. Danger: zones seem to need less than they do.
const SPAN: usize = 2 * SLOTS_A_ROUND;
const UNTOLD: usize = SLOTS_A_ROUND;
/// Factor on the highest rate served, each slot.
const FADE: f64 = 0.997;
/// Weight of a limit that is told anew.
const NEWEST: f64 = 0.2;
/// A zone that serves this part of the calls that are not lost, or of its limit, works: what it refuses tells of
/// no trouble, though perhaps of a lower limit. In so many slots.
const PRESSED: (f64, f64, usize) = (0.15, 0.3, 3);

/// Calls from one zone to the hosts of another.
#[derive(Clone, Debug, Default)]
pub struct Pair {
    pub windows: Windows,
    pub sight: Sight,
    /// Slots for which it was so without a break.
    pub slots: u32,
}

/// The hosts of a zone.
#[derive(Clone, Debug, Default)]
struct Hosts {
    told: Option<f64>,
    /// Highest rate served lately, in calls a second.
    peak: f64,
}

/// A destination.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub pairs: BTreeMap<(ZoneId, ZoneId), Pair>,
    handed: BTreeMap<ZoneId, Windows>,
    hosts: BTreeMap<ZoneId, Hosts>,
    since: Option<u64>,
    pub touched: Micros,
}

impl Sums {
    /// Takes in what a relay of a zone saw; how many zones of it are not known here.
    pub fn hear(&mut self, now: Micros, caller: ZoneId, record: &Record, zones: &Zones) -> u64 {
        let at = slot(now);
        self.touched = now;
        self.since.get_or_insert(at);
        let slots = usize::from(record.slots);
        let handed = Tally { served: record.handed, ..Tally::default() };
        self.handed.entry(caller).or_default().add_over(at, slots, &handed);
        let mut unknown = 0;
        for calls in &record.calls {
            let Some(host) = zones.by_key(calls.zone) else {
                unknown += 1;
                continue;
            };
            self.pairs.entry((caller, host)).or_default().windows.add_over(at, slots, &calls.tally);
            if let Some(limit) = calls.limit {
                let (hosts, limit) = (self.hosts.entry(host).or_default(), f64::from(limit) / 10.0);
                hosts.told = Some(hosts.told.map_or(limit, |told| told + NEWEST * (limit - told)));
            }
        }
        unknown
    }

    /// Moves on to a slot, with the limit of each zone's hosts as far as it is known.
    pub fn close(&mut self, now: Micros, limit: impl Fn(&Sums, ZoneId) -> f64) {
        let at = slot(now);
        self.handed.values_mut().for_each(|windows| windows.roll(at));
        self.pairs.values_mut().for_each(|pair| pair.windows.roll(at));
        let hosts: Vec<ZoneId> = self.pairs.keys().map(|(_, host)| *host).collect();
        for host in hosts.iter().copied() {
            let served = self.served(host);
            let entry = self.hosts.entry(host).or_default();
            entry.peak = served.max(entry.peak * FADE);
        }
        let pressed: BTreeMap<ZoneId, bool> =
            hosts.iter().map(|host| (*host, self.works(*host, limit(self, *host)))).collect();
        for ((_, host), pair) in &mut self.pairs {
            let now = sight(&pair.windows, pressed[host]);
            pair.slots = if now == pair.sight { pair.slots.saturating_add(1) } else { 0 };
            pair.sight = now;
        }
    }

    fn works(&self, host: ZoneId, limit: f64) -> bool {
        let calls = self.of_host(host, PRESSED.2);
        let served = f64::from(calls.served.saturating_sub(calls.probes));
        let seconds = (PRESSED.2 as u64 * SLOT) as f64 / SECOND as f64;
        served >= PRESSED.0 * (served + f64::from(calls.refused)) && served > 0.0
            || (limit > 0.0 && served / seconds >= PRESSED.1 * limit)
    }

    fn seconds(&self) -> f64 {
        let filled = self.since.map_or(SPAN as u64, |since| {
            let newest = self.handed.values().map(Windows::newest).max().unwrap_or(since);
            let whole = (newest - since.min(newest) + 1).saturating_sub(UNTOLD as u64);
            whole.clamp(1, SPAN as u64)
        });
        (filled * SLOT) as f64 / SECOND as f64
    }

    /// Messages a second handed in at a zone's relays.
    pub fn demand(&self, caller: ZoneId) -> f64 {
        self.handed.get(&caller).map_or(0.0, |windows| f64::from(windows.span(UNTOLD, SPAN).served))
            / self.seconds()
    }

    /// Calls a second that a zone's hosts serve, whoever calls; probes aside.
    pub fn served(&self, host: ZoneId) -> f64 {
        let of = self.pairs.iter().filter(|((_, to), _)| *to == host);
        let calls = of
            .map(|(_, pair)| pair.windows.span(UNTOLD, SPAN))
            .map(|of| f64::from((of.served + of.slow).saturating_sub(of.probes.min(of.served + of.slow))));
        calls.sum::<f64>() / self.seconds()
    }

    /// Calls a second that other zones' relays sent a zone's hosts.
    pub fn foreign(&self, host: ZoneId) -> f64 {
        let of = self.pairs.iter().filter(|((from, to), _)| *to == host && *from != host);
        let calls =
            of.map(|(_, pair)| pair.windows.span(UNTOLD, SPAN)).map(|of| f64::from(of.ended() - of.probes));
        calls.sum::<f64>() / self.seconds()
    }

    /// All that was seen of a zone's hosts in the last `slots`, whoever called.
    pub fn of_host(&self, host: ZoneId, slots: usize) -> Tally {
        let mut sum = Tally::default();
        let of = self.pairs.iter().filter(|((_, to), _)| *to == host);
        of.for_each(|(_, pair)| sum.add(&pair.windows.last(slots)));
        sum
    }

    /// Limit of a zone's hosts as answers told it, in calls a second.
    pub fn told(&self, host: ZoneId) -> Option<f64> {
        self.hosts.get(&host).and_then(|hosts| hosts.told)
    }

    /// Highest rate that a zone's hosts served lately.
    pub fn peak(&self, host: ZoneId) -> f64 {
        self.hosts.get(&host).map_or(0.0, |hosts| hosts.peak)
    }

    pub fn sight(&self, caller: ZoneId, host: ZoneId) -> Sight {
        self.pairs.get(&(caller, host)).map_or(Sight::Unknown, |pair| pair.sight)
    }

    /// Zones whose relays told anything.
    pub fn callers(&self) -> impl Iterator<Item = ZoneId> + '_ {
        self.handed.keys().copied()
    }
}
