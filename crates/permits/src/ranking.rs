//! Rendezvous hashing of limited services over relays: which relay is the home of a service, and which come next.

use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

/// The rank of a relay for a service. The highest rank comes first, and the name breaks ties.
pub type Rank<'a> = (u64, &'a NodeName);

/// The order of all relays for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ranking {
    seed: u64,
}

impl Ranking {
    /// The order for a service by its name.
    pub fn of(service: &str) -> Self {
        Ranking { seed: hash(service.as_bytes(), 0) }
    }

    /// The rank of one relay.
    pub fn rank<'a>(&self, relay: &'a NodeName) -> Rank<'a> {
        (hash(relay.0.as_bytes(), self.seed), relay)
    }

    /// The relay with the highest rank, found in one pass.
    pub fn first<'a>(&self, relays: impl IntoIterator<Item = &'a NodeName>) -> Option<&'a NodeName> {
        relays.into_iter().map(|relay| self.rank(relay)).max().map(|(_, relay)| relay)
    }

    /// The first few relays in their order, found in one pass.
    pub fn first_few<'a>(
        &self, count: usize, relays: impl IntoIterator<Item = &'a NodeName>,
    ) -> Vec<&'a NodeName> {
        let mut best: Vec<Rank<'a>> = Vec::with_capacity(count + 1);
        for relay in relays {
            let rank = self.rank(relay);
            let place = best.partition_point(|other| *other > rank);
            if place < count {
                best.insert(place, rank);
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, relay)| relay).collect()
    }
}

/// Difference between two relay lists, both sorted and without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayChanges {
    added: Vec<NodeName>,
    removed: Vec<NodeName>,
}

impl RelayChanges {
    /// The relays to add and remove to get from one list to the other.
    pub fn between(before: &[NodeName], after: &[NodeName]) -> Self {
        let missing_in = |list: &[NodeName], other: &[NodeName]| {
            list.iter().filter(|relay| other.binary_search(relay).is_err()).cloned().collect()
        };
        RelayChanges { added: missing_in(after, before), removed: missing_in(before, after) }
    }
}

/// The home of one service by the relay list, updated incrementally as the list changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHome {
    ranking: Ranking,
    home: Option<NodeName>,
}

impl ListedHome {
    /// Chooses the home of a service from a complete list.
    pub fn new(service: &str, relays: &[NodeName]) -> Self {
        let ranking = Ranking::of(service);
        ListedHome { ranking, home: ranking.first(relays).cloned() }
    }

    /// The order of the relays for this service.
    pub fn ranking(&self) -> Ranking {
        self.ranking
    }

    /// The listed home; `None` if the list is empty.
    pub fn get(&self) -> Option<&NodeName> {
        self.home.as_ref()
    }

    /// Applies changes of the list. All relays are compared only if the current home was removed.
    pub fn update(&mut self, changes: &RelayChanges, relays: &[NodeName]) {
        let has_gone = self.home.as_ref().is_some_and(|home| changes.removed.binary_search(home).is_ok());
        let first = if has_gone {
            self.ranking.first(relays)
        } else {
            self.ranking.first(self.home.iter().chain(&changes.added))
        };
        if first != self.home.as_ref() {
            self.home = first.cloned();
        }
    }
}
