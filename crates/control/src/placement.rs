//! The leader's decisions on which stores hold messages.

use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{
    Group, PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId,
};

use crate::calls::Decision;
use crate::election::Role;
use crate::entry::Command;
use crate::machine::Control;
use crate::operator::Outcome;
use crate::peers::Peer;

fn entry_of(peer: &Peer) -> Option<StoreEntry> {
    Some(StoreEntry { id: peer.store()?, zone: peer.info.zone.clone() })
}

/// Whether a node is in a list of stores, with any disk.
///
/// The operator retires a machine. If its disk is replaced in the meantime, it is another store on the same machine:
/// it is removed with everything that it holds once it is reported to be empty.
fn is_listed(list: &[StoreId], node: &NodeName) -> bool {
    list.iter().any(|store| store.name == *node)
}

/// Whether a node is in one of these sets, with any disk.
fn is_placed(sets: &[Vec<StoreEntry>], node: &NodeName) -> bool {
    sets.iter().flatten().any(|entry| entry.id.name == *node)
}

/// Whether a node is being retired, or has been.
fn is_retiring_or_retired(state: &ControlState, node: &NodeName) -> bool {
    is_listed(&state.retiring, node) || is_listed(&state.retired, node)
}

/// Whether every group of the target that contains this store contained it before.
fn has_nothing_to_copy(
    store: &StoreId, current: &[StoreEntry], target: &[StoreEntry], in_force: &Placement,
) -> bool {
    if current.iter().all(|entry| entry.id != *store) {
        return false;
    }
    let sets = vec![current.to_vec(), target.to_vec()];
    let placement = Placement { sets, ..*in_force };
    (0..PARTITIONS).all(|partition| {
        let groups = placement.groups(Partition(partition));
        let is_in = |group: Option<&Group>| group.is_some_and(|group| group.stores.contains(store));
        is_in(groups.first()) || !is_in(groups.last())
    })
}

impl Control {
    /// The next change of the placement, if one is due. Must be called with nothing in flight.
    pub(crate) fn next_placement(&self) -> Option<Command> {
        let placement = &self.replica.committed.state.placement;
        match placement.sets.as_slice() {
            [] => self.first_placement(),
            [current] => self.next_store_set(current).map(|next| {
                let sets = vec![current.clone(), next];
                self.stores_command(sets)
            }),
            [current, .., target] => self.next_step(current, target),
        }
    }

    /// The next change while messages are being copied. The target alone comes into force once it holds all messages.
    /// If a store of the target that has not finished copying is gone, the move restarts without it: everything that
    /// was written is in the current set as well.
    fn next_step(&self, current: &[StoreEntry], target: &[StoreEntry]) -> Option<Command> {
        if self.is_copy_complete(current, target) {
            return Some(self.stores_command(vec![target.to_vec()]));
        }
        let is_gone = |entry: &StoreEntry| {
            let since = self.peers.gone_since(&entry.id.name, entry.id.disk, self.started);
            since.is_some_and(|since| self.now > since + self.settings.replace_after)
        };
        target.iter().find(|entry| !self.is_confirmed(entry) && is_gone(entry))?;
        match self.next_store_set(current) {
            Some(next) if next == target => None,
            Some(next) => Some(self.stores_command(vec![current.to_vec(), next])),
            None => Some(self.stores_command(vec![current.to_vec()])),
        }
    }

    /// A command that sets these store sets. Retiring stores whose nodes are in none of the sets become retired.
    fn stores_command(&self, sets: Vec<Vec<StoreEntry>>) -> Command {
        let state = &self.replica.committed.state;
        let (retiring, emptied): (Vec<StoreId>, Vec<StoreId>) =
            state.retiring.iter().cloned().partition(|store| is_placed(&sets, &store.name));
        let mut retired = state.retired.clone();
        retired.extend(emptied);
        let epoch = PlacementEpoch(state.placement.epoch.0 + 1);
        let is_first = state.placement.sets.is_empty();
        let spread = if is_first { self.settings.copy_spread } else { state.placement.spread };
        Command::Stores {
            placement: Placement { epoch, tolerated: self.settings.tolerated, sets, spread },
            retiring,
            retired,
        }
    }

    /// The number of stores in a full group.
    fn full_group_size(&self) -> usize {
        2 * usize::from(self.settings.tolerated) + 1
    }

    fn first_placement(&self) -> Option<Command> {
        let stores: Vec<StoreEntry> = self.peers.live().filter_map(entry_of).collect();
        let unchanged_for = self.now.saturating_sub(self.peers.stores_changed);
        let wait = if stores.len() >= self.full_group_size() {
            self.settings.first_placement
        } else {
            self.settings.short_placement
        };
        (!stores.is_empty() && unchanged_for >= wait).then(|| self.stores_command(vec![stores]))
    }

    /// The store set that should replace the current one, if it differs.
    fn next_store_set(&self, current: &[StoreEntry]) -> Option<Vec<StoreEntry>> {
        let state = &self.replica.committed.state;
        let new_stores: Vec<StoreEntry> = self
            .peers
            .live_for(self.now, self.settings.settle)
            .filter_map(entry_of)
            .filter(|entry| !is_retiring_or_retired(state, &entry.id.name))
            .filter(|entry| current.iter().all(|placed| placed.id != entry.id))
            .collect();
        let placed = current.iter().filter(|entry| self.peers.is_live_store(&entry.id));
        let mut successors: Vec<&StoreEntry> = new_stores.iter().chain(placed).collect();
        let mut next: Vec<StoreEntry> = Vec::with_capacity(current.len() + new_stores.len());
        for entry in current {
            let is_leaving = is_listed(&state.retiring, &entry.id.name)
                || self.take_successor(entry, &mut successors)
                || self.is_store_abandoned(entry, current);
            if !is_leaving {
                next.push(entry.clone());
            }
        }
        next.extend(new_stores);
        (next != current && !next.is_empty()).then_some(next)
    }

    /// Whether a store is dead and a new store replaces it: one of the same name, or one of the same zone that
    /// replaces no other store. Removes the successor from the list.
    fn take_successor(&self, entry: &StoreEntry, successors: &mut Vec<&StoreEntry>) -> bool {
        let Some(since) = self.peers.gone_since(&entry.id.name, entry.id.disk, self.started) else {
            return false;
        };
        let is_long_gone = self.now > since + self.settings.replace_after;
        let same_name = successors.iter().position(|new| new.id.name == entry.id.name);
        let can_replace = |other: &StoreEntry| self.peers.can_replace(&other.id.name, since, self.started);
        let same_zone =
            successors.iter().position(|new| is_long_gone && new.zone == entry.zone && can_replace(new));
        let Some(position) = same_name.or(same_zone) else { return false };
        successors.remove(position);
        true
    }

    fn is_store_abandoned(&self, entry: &StoreEntry, current: &[StoreEntry]) -> bool {
        let Some(since) = self.peers.gone_since(&entry.id.name, entry.id.disk, self.started) else {
            return false;
        };
        let live = current.iter().filter(|placed| self.peers.is_live_store(&placed.id)).count();
        self.now > since + self.settings.abandon_after && live >= self.full_group_size()
    }

    /// Whether a store has reported that it holds everything that the placement assigns to it.
    fn is_confirmed(&self, entry: &StoreEntry) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        leader.copied.get(&entry.id) == Some(&self.replica.committed.state.placement.epoch)
    }

    /// Whether the target holds all messages: each of its stores has reported so itself.
    ///
    /// No store that has something to copy may be missing. A durable write is at `f + 1` stores of a group, and up to
    /// `f` of the stores that stay in the group may lack it. The write is therefore at `f + 1` stores of the new group
    /// only once every store that is new to the group has copied it. A store that is gone and stays in the same groups
    /// has nothing to copy: it does not delay a repair, but a retirement waits for it.
    fn is_copy_complete(&self, current: &[StoreEntry], target: &[StoreEntry]) -> bool {
        let state = &self.replica.committed.state;
        let is_retirement = !state.retiring.is_empty();
        let has_nothing_to_do = |entry: &StoreEntry| {
            !is_retirement
                && !self.peers.is_live_store(&entry.id)
                && has_nothing_to_copy(&entry.id, current, target, &state.placement)
        };
        let has_any_confirmed = target.iter().any(|entry| self.is_confirmed(entry));
        has_any_confirmed && target.iter().all(|entry| self.is_confirmed(entry) || has_nothing_to_do(entry))
    }

    pub(crate) fn store_copied(&mut self, store: StoreId, epoch: PlacementEpoch) {
        if let Role::Leader(leader) = &mut self.role {
            leader.copied.insert(store, epoch);
            self.propose_next();
        }
    }

    pub(crate) fn decide_retire(&self, node: &NodeName) -> Decision {
        let state = &self.replica.accepted.state;
        if is_listed(&state.retiring, node) {
            return Decision::Answer(Outcome::Retiring);
        }
        let target: &[StoreEntry] = state.placement.sets.last().map_or(&[], Vec::as_slice);
        let Some(entry) = target.iter().find(|entry| entry.id.name == *node) else {
            return if is_listed(&state.retired, node) {
                Decision::Answer(Outcome::Retiring)
            } else {
                Decision::Refuse(Outcome::UnknownStore)
            };
        };
        let remains = |other: &&StoreEntry| {
            let is_other = other.id.name != *node && !is_listed(&state.retiring, &other.id.name);
            is_other && self.peers.is_live_store(&other.id)
        };
        if target.iter().filter(remains).count() < self.full_group_size().min(target.len()) {
            return Decision::Refuse(Outcome::TooFewStores);
        }
        let mut retiring = state.retiring.clone();
        retiring.push(entry.id.clone());
        let (placement, retired) = ((*state.placement).clone(), state.retired.clone());
        Decision::Propose(Command::Stores { placement, retiring, retired }, None)
    }

    /// A machine is reported to be empty only while no set contains it, with any disk.
    pub(crate) fn retire_state(&self, node: &NodeName) -> Outcome {
        let state = &self.replica.committed.state;
        if is_listed(&state.retiring, node) {
            Outcome::RetireState { completed: false }
        } else if is_listed(&state.retired, node) && !is_placed(&state.placement.sets, node) {
            Outcome::RetireState { completed: true }
        } else {
            Outcome::UnknownStore
        }
    }
}
