//! Which owners are alive, and which relays take over the messages of owners that have ended.

use std::collections::{HashMap, HashSet};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{Life, NodeName, Owner, Role};
use pewterseam_wire::placement::{StoreId, hash};
use pewterseam_wire::record::MessageName;

use crate::interface::Members;

/// An owner that is unknown to membership is considered dead after this time.
pub(crate) const UNKNOWN_OWNER_GRACE: Micros = 2_000_000;

/// The state of an owner, as far as membership knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerState {
    Alive,
    Ended,
    /// Membership does not know the owner yet.
    Unknown,
}

/// A relay that can take over messages.
#[derive(Debug)]
struct TakeoverRelay {
    seed: u64,
    owner: Owner,
}

/// The part of cluster membership that concerns owners.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    known_since: Option<Micros>,
    lives: HashMap<NodeName, Life>,
    ended: HashMap<NodeName, Life>,
    takeover_relays: Vec<TakeoverRelay>,
    live_stores: HashSet<StoreId>,
}

impl Owners {
    pub fn set(&mut self, members: Members, now: Micros) {
        self.known_since.get_or_insert(now);
        self.lives.clear();
        self.ended.clear();
        self.takeover_relays.clear();
        self.live_stores.clear();
        for owner in members.ended {
            let life = self.ended.entry(owner.name).or_insert(owner.life);
            *life = (*life).max(owner.life);
        }
        for node in members.live {
            match node.role {
                Role::Relay => {
                    if node.ready {
                        let seed = hash(node.name.0.as_bytes(), 0);
                        let owner = Owner { name: node.name.clone(), life: node.life };
                        self.takeover_relays.push(TakeoverRelay { seed, owner });
                    }
                    self.lives.insert(node.name, node.life);
                }
                Role::Store => {
                    if let Some(disk) = node.disk {
                        self.live_stores.insert(StoreId { name: node.name, disk });
                    }
                }
            }
        }
    }

    pub fn live_stores(&self) -> &HashSet<StoreId> {
        &self.live_stores
    }

    /// Returns the state of an owner whose messages this store has held since `first_seen`.
    pub fn owner_state(&self, owner: &Owner, first_seen: Micros, now: Micros) -> OwnerState {
        let Some(known_since) = self.known_since else { return OwnerState::Unknown };
        if self.ended.get(&owner.name).is_some_and(|life| *life >= owner.life) {
            return OwnerState::Ended;
        }
        match self.lives.get(&owner.name) {
            Some(life) if *life > owner.life => OwnerState::Ended,
            Some(life) if *life == owner.life => OwnerState::Alive,
            // A live process with a smaller life number does not show that the owner is alive: the time of day may have
            // been set back, and a power loss of all nodes may have erased the owner's life. Membership knows as little
            // of this owner as of one that it never saw.
            Some(_) | None if now >= known_since.max(first_seen) + UNKNOWN_OWNER_GRACE => OwnerState::Ended,
            Some(_) | None => OwnerState::Unknown,
        }
    }

    /// Whether a later life of the owner's node is known, which means that the owner's process has ended.
    pub fn is_superseded(&self, owner: &Owner) -> bool {
        let lives = [self.lives.get(&owner.name), self.ended.get(&owner.name)];
        lives.into_iter().flatten().any(|life| *life > owner.life)
    }

    /// The relay that is to take a message over, by rendezvous hashing: all stores with the same members choose the same
    /// one. The previous owner is excluded.
    pub fn takeover_relay(&self, name: &MessageName, previous_owner: &Owner) -> Option<&Owner> {
        let message = hash(name.0.as_bytes(), 0).to_le_bytes();
        let candidates = self.takeover_relays.iter().filter(|relay| relay.owner != *previous_owner);
        candidates.map(|relay| (hash(&message, relay.seed), &relay.owner)).max().map(|(_, owner)| owner)
    }
}
