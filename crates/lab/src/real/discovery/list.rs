//! The list of hosts and its versions.

use std::collections::BTreeMap;

use crate::story::{HostNumber, Listed};

/// One host of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub host: HostNumber,
    pub state: Listed,
    /// Its last start, as Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
    /// The version that changed it last.
    pub changed: u64,
}

/// What discovery knows. Hosts that are gone stay, for those that have to be told.
#[derive(Clone, Debug)]
pub struct List {
    rev: u64,
    entries: BTreeMap<HostNumber, Entry>,
}

impl List {
    pub fn of(hosts: impl Iterator<Item = HostNumber>) -> Self {
        let entry = |host| (host, Entry { host, state: Listed::Ready, boot_ms: 0, changed: 1 });
        List { rev: 1, entries: hosts.map(entry).collect() }
    }

    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Hosts change together, in one version.
    pub fn change(&mut self, hosts: impl IntoIterator<Item = (HostNumber, Listed, u64)>) {
        self.rev += 1;
        for (host, state, boot_ms) in hosts {
            self.entries.insert(host, Entry { host, state, boot_ms, changed: self.rev });
        }
    }

    /// All that are there.
    pub fn whole(&self) -> Vec<Entry> {
        self.entries.values().filter(|entry| entry.state != Listed::Gone).copied().collect()
    }

    /// What is newer than a version; none where that version is not one of these.
    pub fn since(&self, rev: u64) -> Option<Vec<Entry>> {
        let newer = self.entries.values().filter(|entry| entry.changed > rev).copied();
        (rev <= self.rev).then(|| newer.collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_since_a_version_hold_what_went_and_the_whole_list_does_not() {
        let mut list = List::of(0..3);
        list.change([(1, Listed::Draining, 0), (3, Listed::Ready, 9)]);
        list.change([(1, Listed::Gone, 0)]);
        let states = |entries: Vec<Entry>| entries.iter().map(|entry| (entry.host, entry.state)).collect();
        let since: Vec<_> = states(list.since(1).expect("known"));
        assert_eq!(since, [(1, Listed::Gone), (3, Listed::Ready)]);
        assert_eq!(list.since(3).map(states), Some(Vec::new()));
        assert_eq!(list.since(4), None);
        let whole: Vec<_> = states(list.whole());
        assert_eq!(whole, [(0, Listed::Ready), (2, Listed::Ready), (3, Listed::Ready)]);
    }
}
