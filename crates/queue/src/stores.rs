//! Ranks the stores by health and distance, and decides which are asked first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Group, Partition, Placement, StoreId};

/// Bounds of the delay after which another store is asked.
const MIN_HEDGE_DELAY: Micros = 25_000;
const MAX_HEDGE_DELAY: Micros = 120_000;
/// The hedge delay is this multiple of the average response time.
const HEDGE_FACTOR: f64 = 4.0;
/// Weight of a new sample in the moving average of the response time.
const RESPONSE_TIME_SAMPLE_WEIGHT: f64 = 0.1;
/// A store that left this many requests in a row unanswered is unreachable for this relay, whatever membership says.
const MAX_UNANSWERED: u32 = 2;
/// A store that failed or declined is asked last for this long.
const AVOID_AFTER_FAILURE: Micros = 1_500_000;

/// Observed health of one store.
#[derive(Clone, Debug, Default)]
struct StoreHealth {
    average_response_time: f64,
    avoid_until: Micros,
    /// Consecutive requests without a response.
    unanswered_in_a_row: u32,
}

/// The stores of the placement in force, and their observed health.
#[derive(Clone, Debug)]
pub(crate) struct Stores {
    zone: Arc<str>,
    pub placement: Arc<Placement>,
    zones: BTreeMap<StoreId, Arc<str>>,
    live: BTreeSet<StoreId>,
    health: BTreeMap<StoreId, StoreHealth>,
}

impl Stores {
    pub fn new(zone: Arc<str>) -> Self {
        Stores {
            zone,
            placement: Arc::default(),
            zones: BTreeMap::new(),
            live: BTreeSet::new(),
            health: BTreeMap::new(),
        }
    }

    pub fn set_placement(&mut self, placement: Arc<Placement>) {
        self.zones =
            placement.sets.iter().flatten().map(|entry| (entry.id.clone(), entry.zone.clone())).collect();
        self.health.retain(|id, _| self.zones.contains_key(id));
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

    pub fn answered(&mut self, store: &StoreId, response_time: Micros) {
        let health = self.health.entry(store.clone()).or_default();
        health.avoid_until = 0;
        health.unanswered_in_a_row = 0;
        health.average_response_time +=
            RESPONSE_TIME_SAMPLE_WEIGHT * (response_time as f64 - health.average_response_time);
    }

    /// Records that the store did not respond.
    pub fn failed(&mut self, store: &StoreId, now: Micros) {
        let health = self.health.entry(store.clone()).or_default();
        health.avoid_until = now + AVOID_AFTER_FAILURE;
        health.unanswered_in_a_row += 1;
    }

    /// Records that the store declined a request.
    pub fn declined(&mut self, store: &StoreId, now: Micros) {
        let health = self.health.entry(store.clone()).or_default();
        health.avoid_until = now + AVOID_AFTER_FAILURE;
        health.unanswered_in_a_row = 0;
    }

    /// Stores that are live according to membership but do not respond to this relay.
    pub fn unreachable_stores(&self) -> Vec<StoreId> {
        let is_silent = |health: &StoreHealth| health.unanswered_in_a_row >= MAX_UNANSWERED;
        self.live.iter().filter(|store| self.health.get(store).is_some_and(is_silent)).cloned().collect()
    }

    /// The number of reachable stores of the newest set, and the size of that set.
    pub fn reachable(&self) -> (usize, usize) {
        let Some(set) = self.placement.sets.last() else { return (0, 0) };
        let unreachable = self.unreachable_stores();
        let is_reachable = |id: &StoreId| self.is_live(id) && !unreachable.contains(id);
        (set.iter().filter(|entry| is_reachable(&entry.id)).count(), set.len())
    }

    /// Whether the store failed or declined recently.
    pub fn is_avoided(&self, store: &StoreId, now: Micros) -> bool {
        self.health.get(store).is_some_and(|health| health.avoid_until > now)
    }

    /// The stores of the partition in the order in which to ask them: live ones first, then those without recent
    /// failures, then those in the zone of this relay, then by rank.
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

    /// The first stores in that order that together form the quorum of every group.
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

    /// The partitions to try, in order, for a message without an ordering key.
    pub fn candidates<'a>(&'a self, id: &'a str) -> impl Iterator<Item = Partition> + 'a {
        self.placement.candidates(id, &self.zone)
    }

    /// Whether enough stores are reachable for a write to this partition.
    pub fn can_write(&self, partition: Partition) -> bool {
        let unreachable = self.unreachable_stores();
        if unreachable.is_empty() {
            return self.placement.is_write_quorum(partition, &self.live);
        }
        let reachable = self.live.iter().filter(|store| !unreachable.contains(store)).cloned().collect();
        self.placement.is_write_quorum(partition, &reachable)
    }

    /// How long to wait for a response before another store is asked.
    pub fn hedge_after(&self, asked: &BTreeSet<StoreId>) -> Micros {
        let averages = asked
            .iter()
            .filter_map(|store| self.health.get(store))
            .map(|health| health.average_response_time);
        let slowest = averages.fold(0.0, f64::max);
        ((slowest * HEDGE_FACTOR) as Micros).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
    }
}
