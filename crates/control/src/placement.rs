//! Which stores hold messages: the leader's decisions.

use std::collections::BTreeSet;

use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{Placement, PlacementEpoch, StoreEntry, StoreId};

use crate::election::Role;
use crate::entry::Command;
use crate::machine::Control;
use crate::operator::Outcome;
use crate::orders::Decision;
use crate::peers::Peer;

fn entry_of(peer: &Peer) -> Option<StoreEntry> {
    Some(StoreEntry { id: peer.store()?, zone: peer.info.zone.clone() })
}

impl Control {
    /// The next change of the placement, if one is due. Nothing is in flight.
    pub(crate) fn next_placement(&self) -> Option<Command> {
        let placement = &self.replica.committed.state.placement;
        match placement.sets.as_slice() {
            [] => self.first_placement(),
            [current] => self.changed_set(current).map(|next| {
                let sets = vec![current.clone(), next];
                self.stores_command(sets)
            }),
            [.., target] => self.has_copied(target).then(|| self.stores_command(vec![target.clone()])),
        }
    }

    /// A command with these sets. Retiring stores that stand in none of them are retired.
    fn stores_command(&self, sets: Vec<Vec<StoreEntry>>) -> Command {
        let state = &self.replica.committed.state;
        let is_placed = |store: &StoreId| sets.iter().flatten().any(|entry| entry.id == *store);
        let (retiring, emptied): (Vec<StoreId>, Vec<StoreId>) =
            state.retiring.iter().cloned().partition(|store| is_placed(store));
        let mut retired = state.retired.clone();
        retired.extend(emptied);
        let epoch = PlacementEpoch(state.placement.epoch.0 + 1);
        Command::Stores {
            placement: Placement { epoch, tolerated: self.settings.tolerated, sets },
            retiring,
            retired,
        }
    }

    /// Stores of a full group.
    fn full_group(&self) -> usize {
        2 * usize::from(self.settings.tolerated) + 1
    }

    fn first_placement(&self) -> Option<Command> {
        let stores: Vec<StoreEntry> = self.peers.live().filter_map(entry_of).collect();
        let calm = self.now.saturating_sub(self.peers.stores_changed);
        let wait = if stores.len() >= self.full_group() {
            self.settings.first_placement
        } else {
            self.settings.short_placement
        };
        (!stores.is_empty() && calm >= wait).then(|| self.stores_command(vec![stores]))
    }

    /// The set that should follow the current one, if it is another.
    fn changed_set(&self, current: &[StoreEntry]) -> Option<Vec<StoreEntry>> {
        let state = &self.replica.committed.state;
        let is_given_up = |store: &StoreId| state.retiring.contains(store) || state.retired.contains(store);
        let new: Vec<StoreEntry> = self
            .peers
            .live()
            .filter(|peer| self.now >= peer.since + self.settings.settle)
            .filter_map(entry_of)
            .filter(|entry| !is_given_up(&entry.id) && current.iter().all(|placed| placed.id != entry.id))
            .collect();
        let placed = current.iter().filter(|entry| self.peers.is_live_store(&entry.id));
        let mut successors: Vec<&StoreEntry> = new.iter().chain(placed).collect();
        let mut next: Vec<StoreEntry> = Vec::with_capacity(current.len() + new.len());
        for entry in current {
            let is_leaving = state.retiring.contains(&entry.id)
                || self.take_successor(entry, &mut successors)
                || self.is_store_abandoned(entry, current);
            if !is_leaving {
                next.push(entry.clone());
            }
        }
        next.extend(new);
        (next != current && !next.is_empty()).then_some(next)
    }

    /// Whether a store is dead and a new one stands in for it: one of its name, or one of its zone that no other needs.
    fn take_successor(&self, entry: &StoreEntry, successors: &mut Vec<&StoreEntry>) -> bool {
        let Some(since) = self.peers.gone_since(&entry.id.name, entry.id.disk, self.started) else {
            return false;
        };
        let long_gone = self.now > since + self.settings.replace_after;
        let same_name = successors.iter().position(|new| new.id.name == entry.id.name);
        let came_for = |other: &StoreEntry| self.peers.came_for(&other.id.name, since, self.started);
        let same_zone =
            successors.iter().position(|new| long_gone && new.zone == entry.zone && came_for(new));
        let Some(position) = same_name.or(same_zone) else { return false };
        successors.remove(position);
        true
    }

    fn is_store_abandoned(&self, entry: &StoreEntry, current: &[StoreEntry]) -> bool {
        let Some(since) = self.peers.gone_since(&entry.id.name, entry.id.disk, self.started) else {
            return false;
        };
        let live = current.iter().filter(|placed| self.peers.is_live_store(&placed.id)).count();
        self.now > since + self.settings.abandon_after && live >= self.full_group()
    }

    /// Whether all live stores of a set hold what they must, and all but those that may be lost.
    fn has_copied(&self, target: &[StoreEntry]) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let epoch = self.replica.committed.state.placement.epoch;
        let has_copied = |store: &StoreId| leader.copied.get(store) == Some(&epoch);
        let live_done =
            target.iter().all(|entry| has_copied(&entry.id) || !self.peers.is_live_store(&entry.id));
        let count = target.iter().filter(|entry| has_copied(&entry.id)).count();
        live_done && count > 0 && count + usize::from(self.settings.tolerated) >= target.len()
    }

    pub(crate) fn store_copied(&mut self, store: StoreId, epoch: PlacementEpoch) {
        if let Role::Leader(leader) = &mut self.role {
            leader.copied.insert(store, epoch);
            self.next_order();
        }
    }

    pub(crate) fn decide_retire(&self, node: &NodeName) -> Decision {
        let state = &self.replica.accepted.state;
        let given_up = state.retiring.iter().chain(&state.retired);
        let given_up: BTreeSet<&StoreId> = given_up.collect();
        let target: &[StoreEntry] = state.placement.sets.last().map_or(&[], Vec::as_slice);
        let Some(entry) = target.iter().find(|entry| entry.id.name == *node && !given_up.contains(&entry.id))
        else {
            let is_known = given_up.iter().any(|store| store.name == *node);
            return if is_known {
                Decision::Answer(Outcome::Retiring)
            } else {
                Decision::Refuse(Outcome::UnknownStore)
            };
        };
        let is_left = |other: &&StoreEntry| {
            other.id != entry.id && !given_up.contains(&other.id) && self.peers.is_live_store(&other.id)
        };
        if target.iter().filter(is_left).count() < self.full_group().min(target.len()) {
            return Decision::Refuse(Outcome::TooFewStores);
        }
        let mut retiring = state.retiring.clone();
        retiring.push(entry.id.clone());
        let (placement, retired) = ((*state.placement).clone(), state.retired.clone());
        Decision::Propose(Command::Stores { placement, retiring, retired }, None)
    }

    pub(crate) fn retire_state(&self, node: &NodeName) -> Outcome {
        let state = &self.replica.committed.state;
        let in_list = |list: &[StoreId]| list.iter().any(|store| store.name == *node);
        if in_list(&state.retiring) {
            Outcome::RetireState { completed: false }
        } else if in_list(&state.retired) {
            Outcome::RetireState { completed: true }
        } else {
            Outcome::UnknownStore
        }
    }
}
