//! Lives of nodes that are known to be over.

use std::collections::{BTreeSet, VecDeque};

use pewterseam_wire::identity::Owner;

/// Lives that are remembered; older ones no longer own messages anywhere.
const MOST_REMEMBERED: usize = 4_096;

/// The latest lives that ended.
#[derive(Debug, Default)]
pub struct EndedLives {
    lives: BTreeSet<Owner>,
    order: VecDeque<Owner>,
}

impl EndedLives {
    pub fn add(&mut self, owner: Owner) {
        if self.lives.insert(owner.clone()) {
            self.order.push_back(owner);
        }
        if self.order.len() > MOST_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.lives.remove(&oldest);
        }
    }

    /// It lives after all.
    pub fn remove(&mut self, owner: &Owner) {
        if self.lives.remove(owner) {
            self.order.retain(|known| known != owner);
        }
    }

    pub fn all(&self) -> Vec<Owner> {
        self.lives.iter().cloned().collect()
    }
}
