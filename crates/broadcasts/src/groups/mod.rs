//! Named groups of destinations, the parts of a broadcast, and the sum of their ends.

mod file;
mod part_id;
mod problem;
mod sum;

pub use file::{BroadcastsFile, GroupFile, LanesFile, MOST_DESTINATIONS};
pub use part_id::{PartId, PartKey};
pub use problem::{GroupsError, Problem};
pub use sum::{BroadcastEnd, PartEnd, Sum};

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam::interface::DestinationId;

/// The destinations of a group, each once, in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    pub name: String,
    destinations: Arc<[DestinationId]>,
}

impl Group {
    /// Sorts them and takes each once.
    pub fn new(name: impl Into<String>, mut destinations: Vec<DestinationId>) -> Self {
        destinations.sort_unstable();
        destinations.dedup();
        Group { name: name.into(), destinations: destinations.into() }
    }

    pub fn destinations(&self) -> &Arc<[DestinationId]> {
        &self.destinations
    }

    /// Where a destination stands in the group.
    pub fn place(&self, destination: DestinationId) -> Option<usize> {
        self.destinations.binary_search(&destination).ok()
    }
}

/// The groups of the operator's file, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Groups {
    by_name: BTreeMap<String, Group>,
}

impl Groups {
    /// # Errors
    /// [`GroupsError::File`] with all that is wrong with the file.
    pub fn of(file: &BroadcastsFile) -> Result<Self, GroupsError> {
        let problems = file.problems();
        if !problems.is_empty() {
            return Err(GroupsError::File(problems));
        }
        let group = |(name, of): (&String, &GroupFile)| (name.clone(), Group::new(name, of.expand()));
        Ok(Groups { by_name: file.groups.iter().map(group).collect() })
    }

    /// # Errors
    /// [`GroupsError::Unknown`] for a name that the file does not have.
    pub fn get(&self, name: &str) -> Result<&Group, GroupsError> {
        self.by_name.get(name).ok_or_else(|| GroupsError::Unknown(name.to_owned()))
    }

    pub fn all(&self) -> impl Iterator<Item = &Group> {
        self.by_name.values()
    }
}

#[cfg(test)]
mod tests;
