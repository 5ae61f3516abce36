//! A whole list, with a digest of its content.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::frame;
use pewterseam_wire::placement::hash;
use serde::{Deserialize, Serialize};

use crate::interface::ListedInstance;

/// A whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    instances: BTreeMap<Arc<str>, Arc<ListedInstance>>,
    digest: u64,
}

/// What makes one list of another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Difference {
    pub(crate) changed: Vec<Arc<ListedInstance>>,
    pub(crate) removed: Vec<Arc<str>>,
}

/// The part of an entry in the digest; the digest of a list is the sum of them, whatever their order.
fn digest_of(instance: &ListedInstance) -> u64 {
    frame::encode(instance).map_or(0, |bytes| hash(&bytes, 0))
}

impl List {
    pub(crate) fn new(instances: impl IntoIterator<Item = Arc<ListedInstance>>) -> Self {
        let mut list = List::default();
        instances.into_iter().for_each(|instance| list.put(instance));
        list
    }

    /// All entries, by id.
    pub fn instances(&self) -> impl Iterator<Item = &Arc<ListedInstance>> {
        self.instances.values()
    }

    pub fn get(&self, id: &str) -> Option<&Arc<ListedInstance>> {
        self.instances.get(id)
    }

    pub fn len(&self) -> usize {
        self.instances.len()
    }

    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Equal for lists of equal content.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn put(&mut self, instance: Arc<ListedInstance>) {
        self.digest = self.digest.wrapping_add(digest_of(&instance));
        if let Some(before) = self.instances.insert(instance.id.clone(), instance) {
            self.digest = self.digest.wrapping_sub(digest_of(&before));
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(before) = self.instances.remove(id) {
            self.digest = self.digest.wrapping_sub(digest_of(&before));
        }
    }

    pub(crate) fn difference_to(&self, next: &List) -> Difference {
        let is_new = |instance: &&Arc<ListedInstance>| self.instances.get(&instance.id) != Some(*instance);
        let changed = next.instances.values().filter(is_new).cloned().collect();
        let removed = self.instances.keys().filter(|id| !next.instances.contains_key(*id)).cloned().collect();
        Difference { changed, removed }
    }

    pub(crate) fn with(&self, difference: &Difference) -> List {
        let mut list = self.clone();
        difference.removed.iter().for_each(|id| list.remove(id));
        difference.changed.iter().for_each(|instance| list.put(instance.clone()));
        list
    }
}
