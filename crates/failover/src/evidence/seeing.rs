//! What a relay sees by itself, until it is told.

use std::collections::BTreeMap;

use super::sight::{Sight, sight};
use super::tally::{SLOTS_A_ROUND, Tally, Windows, slot};
use super::wire::{Calls, Record};
use crate::interface::{DestinationId, Micros, SECOND, Seen, ZoneId, Zones};

/// A served call is slow from this multiple of the mean on, and this much beyond: another zone's hosts are some
/// way off.
const SLOW: f64 = 4.0;
const FAR: f64 = 50_000.0;
/// Served calls after which a mean is heeded; weight of a new one; and of a slow one, so that a new usual time
/// is learnt in the end.
const KNOWN: u32 = 20;
const NEWEST: f64 = 1.0 / 32.0;
const SLOWEST: f64 = 1.0 / 512.0;
/// Slots in which a destination that had trouble is told of in each.
const ALERT: u64 = 2 * SLOTS_A_ROUND as u64;

/// The hosts of a zone.
#[derive(Clone, Debug, Default)]
struct Hosts {
    untold: Tally,
    windows: Windows,
    limit: Option<f64>,
    sight: Sight,
}

/// A destination.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    hosts: BTreeMap<ZoneId, Hosts>,
    handed: u32,
    /// Mean time of an answer, in microseconds, and how many were seen.
    mean: f64,
    means: u32,
    /// Slot of the last trouble, and when anything was seen at all.
    trouble: Option<u64>,
    touched: Micros,
    /// Slot in which it was told of last.
    told: u64,
}

impl Watch {
    /// Whether this relay sees the hosts of a zone fail just now: what few calls said long ago is not enough.
    pub fn sees_ill(&self, zone: ZoneId) -> bool {
        let ill =
            |hosts: &Hosts| hosts.sight == Sight::Ill && hosts.windows.last(SLOTS_A_ROUND).troubled() > 0;
        self.hosts.get(&zone).is_some_and(ill)
    }
}

/// All destinations that the relay calls.
#[derive(Clone, Debug, Default)]
pub struct Seeing {
    watches: BTreeMap<DestinationId, Watch>,
}

impl Seeing {
    pub fn get(&self, destination: DestinationId) -> Option<&Watch> {
        self.watches.get(&destination)
    }

    /// Makes room first: of more than `most` the one that was used least lately goes; whether one did.
    pub fn make_room(&mut self, destination: DestinationId, most: usize) -> bool {
        if self.watches.contains_key(&destination) || self.watches.len() < most {
            return false;
        }
        let oldest = self.watches.iter().min_by_key(|(_, watch)| watch.touched).map(|(id, _)| *id);
        oldest.is_some_and(|id| self.watches.remove(&id).is_some())
    }

    pub fn handed(&mut self, now: Micros, destination: DestinationId) {
        let watch = self.watches.entry(destination).or_default();
        watch.handed = watch.handed.saturating_add(1);
        watch.touched = now;
    }

    pub fn ended(&mut self, now: Micros, seen: &Seen) {
        let watch = self.watches.entry(seen.destination).or_default();
        watch.touched = now;
        let took = seen.took as f64;
        let usual = watch.means < KNOWN || took <= watch.mean * SLOW + FAR;
        let tally = Tally::of(seen.outcome, !usual, seen.probe);
        if tally.served + tally.slow > 0 && !seen.probe {
            watch.means = watch.means.saturating_add(1);
            let weight = if usual { NEWEST.max(1.0 / f64::from(watch.means)) } else { SLOWEST };
            watch.mean += weight * (took - watch.mean);
        }
        if tally.troubled() > 0 {
            watch.trouble = Some(slot(now));
        }
        let hosts = watch.hosts.entry(seen.zone).or_default();
        hosts.untold.add(&tally);
        hosts.windows.add(slot(now), &tally);
        hosts.limit = seen.limit.or(hosts.limit);
    }

    /// Closes a slot: what is told now, trouble first. All is told at a round's end; what has trouble, or is
    /// `watched`, in each slot.
    pub fn close(
        &mut self, now: Micros, round: bool, zones: &Zones, watched: impl Fn(DestinationId) -> bool,
    ) -> Vec<Record> {
        let at = slot(now);
        let mut records = Vec::new();
        for (destination, watch) in &mut self.watches {
            for hosts in watch.hosts.values_mut() {
                hosts.windows.roll(at);
                hosts.sight = sight(&hosts.windows, false);
            }
            let alert = watch.trouble.is_some_and(|trouble| at - trouble <= ALERT);
            let quiet = watch.handed == 0 && watch.hosts.values().all(|hosts| hosts.untold.ended() == 0);
            if quiet || !(round || alert || watched(*destination)) {
                continue;
            }
            let tenths = |rate: f64| (rate * 10.0).clamp(0.0, f64::from(u32::MAX)) as u32;
            let told = watch.hosts.iter_mut().filter(|(_, hosts)| hosts.untold.ended() > 0);
            let calls = told.map(|(zone, hosts)| Calls {
                zone: zones.key(*zone),
                tally: std::mem::take(&mut hosts.untold),
                limit: hosts.limit.map(tenths),
            });
            let calls: Vec<Calls> = calls.collect();
            let handed = std::mem::take(&mut watch.handed);
            let slots = (at - watch.told).min(2 * SLOTS_A_ROUND as u64) as u8;
            watch.told = at;
            records.push((alert, Record { destination: *destination, slots, handed, calls }));
        }
        records.sort_by_key(|(alert, _)| !alert);
        // Danger: a destination that is never called again would be kept for ever.
        self.watches.retain(|_, watch| now < watch.touched + 600 * SECOND);
        records.into_iter().map(|(_, record)| record).collect()
    }
}
