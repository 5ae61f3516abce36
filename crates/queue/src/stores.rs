//! Which stores are asked first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Group, Partition, Placement, StoreId};

/// The least and the most time after which a further store is asked.
const LEAST_HEDGE: Micros = 25_000;
const MOST_HEDGE: Micros = 120_000;
/// Multiple of the usual answer time after which a further store is asked.
const HEDGE_FACTOR: f64 = 4.0;
/// Weight of a new sample in the usual answer time.
const SAMPLE: f64 = 0.1;
/// A store that left so many requests in a row unanswered is out of this relay's reach, whatever others see of it.
const MOST_SILENCES: u32 = 2;
/// A store that failed to answer is asked last for this long.
const AVOID: Micros = 1_500_000;

/// What is known of one store.
#[derive(Clone, Debug, Default)]
struct Known {
    answer_time: f64,
    avoid_until: Micros,
    /// Requests that went unanswered since the last answer.
    silences: u32,
}

/// The stores in force, and how they answer.
#[derive(Clone, Debug)]
pub(crate) struct Stores {
    zone: Arc<str>,
    pub placement: Arc<Placement>,
    zones: BTreeMap<StoreId, Arc<str>>,
    live: BTreeSet<StoreId>,
    known: BTreeMap<StoreId, Known>,
}

impl Stores {
    pub fn new(zone: Arc<str>) -> Self {
        Stores {
            zone,
            placement: Arc::default(),
            zones: BTreeMap::new(),
            live: BTreeSet::new(),
            known: BTreeMap::new(),
        }
    }

    pub fn set_placement(&mut self, placement: Arc<Placement>) {
        self.zones =
            placement.sets.iter().flatten().map(|entry| (entry.id.clone(), entry.zone.clone())).collect();
        self.known.retain(|id, _| self.zones.contains_key(id));
        self.placement = placement;
    }

    pub fn set_live(&mut self, live: BTreeSet<StoreId>) {
        self.live = live;
    }

    /// Whether the placement in force names the store.
    pub fn is_placed(&self, store: &StoreId) -> bool {
        self.zones.contains_key(store)
    }

    pub fn is_live(&self, store: &StoreId) -> bool {
        self.live.contains(store)
    }

    pub fn answered(&mut self, store: &StoreId, took: Micros) {
        let known = self.known.entry(store.clone()).or_default();
        known.avoid_until = 0;
        known.silences = 0;
        known.answer_time += SAMPLE * (took as f64 - known.answer_time);
    }

    /// The store did not answer.
    pub fn failed(&mut self, store: &StoreId, now: Micros) {
        let known = self.known.entry(store.clone()).or_default();
        known.avoid_until = now + AVOID;
        known.silences += 1;
    }

    /// The store answered that it does nothing.
    pub fn declined(&mut self, store: &StoreId, now: Micros) {
        let known = self.known.entry(store.clone()).or_default();
        known.avoid_until = now + AVOID;
        known.silences = 0;
    }

    /// Stores that live by membership's word and do not answer this relay.
    pub fn out_of_reach(&self) -> Vec<StoreId> {
        let silent = |known: &Known| known.silences >= MOST_SILENCES;
        self.live.iter().filter(|store| self.known.get(store).is_some_and(silent)).cloned().collect()
    }

    /// Stores of the newest set that live and answer, and all of that set.
    pub fn reachable(&self) -> (usize, usize) {
        let Some(set) = self.placement.sets.last() else { return (0, 0) };
        let out = self.out_of_reach();
        let is_reachable = |id: &StoreId| self.is_live(id) && !out.contains(id);
        (set.iter().filter(|entry| is_reachable(&entry.id)).count(), set.len())
    }

    /// Whether the store failed or declined a moment ago.
    pub fn is_avoided(&self, store: &StoreId, now: Micros) -> bool {
        self.known.get(store).is_some_and(|known| known.avoid_until > now)
    }

    /// The partition's stores, those to ask first in front: live, answering, of the own zone, by rank.
    pub fn ranked(&self, partition: Partition, now: Micros) -> Vec<StoreId> {
        let mut ranked: Vec<StoreId> = Vec::new();
        for group in self.placement.groups(partition).into_iter().rev() {
            for store in group.stores {
                if !ranked.contains(&store) {
                    ranked.push(store);
                }
            }
        }
        ranked.sort_by_key(|store| {
            (!self.is_live(store), self.is_avoided(store, now), self.zones.get(store) != Some(&self.zone))
        });
        ranked
    }

    /// The first stores by rank that together make the quorum of every group.
    pub fn first_choice(
        &self, partition: Partition, now: Micros, quorum: fn(&Group) -> usize,
    ) -> Vec<StoreId> {
        let groups = self.placement.groups(partition);
        let mut missing: Vec<usize> = groups.iter().map(quorum).collect();
        let mut chosen = Vec::new();
        for store in self.ranked(partition, now) {
            let mut helps = false;
            for (group, missing) in groups.iter().zip(&mut missing) {
                if *missing > 0 && group.stores.contains(&store) {
                    *missing -= 1;
                    helps = true;
                }
            }
            if helps {
                chosen.push(store);
            }
        }
        chosen
    }

    /// The partitions to try in turn for a message without an ordering key.
    pub fn candidates<'a>(&'a self, id: &'a str) -> impl Iterator<Item = Partition> + 'a {
        self.placement.candidates(id, &self.zone)
    }

    /// Whether enough stores are alive for a write to this partition.
    pub fn can_write(&self, partition: Partition) -> bool {
        let out = self.out_of_reach();
        if out.is_empty() {
            return self.placement.is_written(partition, &self.live);
        }
        let reachable = self.live.iter().filter(|store| !out.contains(store)).cloned().collect();
        self.placement.is_written(partition, &reachable)
    }

    /// How long an answer may take before a further store is asked.
    pub fn hedge_after(&self, asked: &BTreeSet<StoreId>) -> Micros {
        let usual = asked.iter().filter_map(|store| self.known.get(store)).map(|known| known.answer_time);
        let slowest = usual.fold(0.0, f64::max);
        ((slowest * HEDGE_FACTOR) as Micros).clamp(LEAST_HEDGE, MOST_HEDGE)
    }
}
