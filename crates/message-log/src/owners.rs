//! Which owners live, and who inherits from those that do not.

use std::collections::{HashMap, HashSet};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{Life, NodeName, Owner, Role};
use pewterseam_wire::placement::{StoreId, hash};
use pewterseam_wire::record::MessageName;

use crate::interface::Members;

/// An owner of whom membership knows nothing is taken for dead after this time.
pub(crate) const UNKNOWN_OWNER_GRACE: Micros = 2_000_000;

/// How an owner stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Judgement {
    Alive,
    Over,
    /// Membership does not tell yet.
    Unknown,
}

/// A relay that can inherit.
#[derive(Debug)]
struct Heir {
    seed: u64,
    owner: Owner,
}

/// Membership, as far as it concerns owners.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    known_since: Option<Micros>,
    lives: HashMap<NodeName, Life>,
    ended: HashMap<NodeName, Life>,
    heirs: Vec<Heir>,
    live_stores: HashSet<StoreId>,
}

impl Owners {
    pub fn set(&mut self, members: Members, now: Micros) {
        self.known_since.get_or_insert(now);
        self.lives.clear();
        self.ended.clear();
        self.heirs.clear();
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
                        self.heirs.push(Heir { seed, owner });
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

    /// Judges an owner from whom this store first held messages at `first_seen`.
    pub fn judge(&self, owner: &Owner, first_seen: Micros, now: Micros) -> Judgement {
        let Some(known_since) = self.known_since else { return Judgement::Unknown };
        if self.ended.get(&owner.name).is_some_and(|life| *life >= owner.life) {
            return Judgement::Over;
        }
        match self.lives.get(&owner.name) {
            Some(life) if *life > owner.life => Judgement::Over,
            Some(life) if *life == owner.life => Judgement::Alive,
            // Danger: a life below the owner's is no later one where the time of day was set back and a loss of all power
            // has made everyone forget the owner's. Membership knows as little of this owner as of a stranger.
            Some(_) | None if now >= known_since.max(first_seen) + UNKNOWN_OWNER_GRACE => Judgement::Over,
            Some(_) | None => Judgement::Unknown,
        }
    }

    /// Whether a later life of the owner's node is known: the process of this one is gone.
    pub fn is_superseded(&self, owner: &Owner) -> bool {
        let lives = [self.lives.get(&owner.name), self.ended.get(&owner.name)];
        lives.into_iter().flatten().any(|life| *life > owner.life)
    }

    /// The relay that takes a message over: the same at all stores with the same members. The owner that gave it up
    /// is left out.
    pub fn heir(&self, name: &MessageName, but: &Owner) -> Option<&Owner> {
        let message = hash(name.0.as_bytes(), 0).to_le_bytes();
        let candidates = self.heirs.iter().filter(|heir| heir.owner != *but);
        candidates.map(|heir| (hash(&message, heir.seed), &heir.owner)).max().map(|(_, owner)| owner)
    }
}
