//! The counts of all homes, at the home of a class.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Place;

/// Pairs without one that differed before anything is proposed. If one in 25 differed, as many would hold
/// none with a chance of one in 3,500.
const ENOUGH: u32 = 200;
/// Places summed up; more are left out.
const MOST_PLACES: usize = 1_000;

/// Pairs of messages that differ in one place only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted {
    pub place: Place,
    /// Those that ended with the same answer, and those of them that differ in the form of a value only.
    pub same: u32,
    pub by_form: u32,
    /// Those that ended with different answers.
    pub differed: u32,
}

impl Counted {
    pub fn none(place: Place) -> Self {
        Counted { place, same: 0, by_form: 0, differed: 0 }
    }
}

#[derive(Debug, Default)]
pub struct Sums {
    sums: BTreeMap<Place, Counted>,
    settled: BTreeSet<Place>,
}

impl Sums {
    pub fn add(&mut self, counted: Counted) {
        if self.sums.len() >= MOST_PLACES && !self.sums.contains_key(&counted.place) {
            return;
        }
        let place = counted.place.clone();
        let sum = self.sums.entry(place.clone()).or_insert_with(|| Counted::none(place));
        sum.same = sum.same.saturating_add(counted.same);
        sum.by_form = sum.by_form.saturating_add(counted.by_form);
        sum.differed = sum.differed.saturating_add(counted.differed);
    }

    pub fn convincing(&self) -> impl Iterator<Item = &Counted> {
        let open = |counted: &&Counted| !self.settled.contains(&counted.place);
        self.sums.values().filter(|sum| sum.differed == 0 && sum.same >= ENOUGH).filter(open)
    }

    pub fn settled(&mut self, place: &Place) {
        if self.settled.len() < MOST_PLACES {
            self.settled.insert(place.clone());
        }
    }
}
