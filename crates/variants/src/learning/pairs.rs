//! Pairs of messages that differ in one part only.

use std::collections::{BTreeMap, VecDeque};

use super::sums::Counted;
use super::{Observed, Place};

/// Samples that one home remembers; the oldest go first.
const MOST_SAMPLES: usize = 20_000;
/// Places whose pairs are counted.
const MOST_PLACES: usize = 1_000;

#[derive(Debug, Default)]
pub struct Pairs {
    last: BTreeMap<(Place, u64), (u32, u32, u32)>,
    order: VecDeque<(Place, u64)>,
    counted: BTreeMap<Place, Counted>,
}

impl Pairs {
    pub fn heard(&mut self, observed: Observed) {
        let Observed { place, without, value, loose, answer } = observed;
        let at = (place, without);
        let Some(last) = self.last.insert(at.clone(), (value, loose, answer)) else {
            self.order.push_back(at);
            if self.order.len() > MOST_SAMPLES
                && let Some(oldest) = self.order.pop_front()
            {
                self.last.remove(&oldest);
            }
            return;
        };
        if last.0 == value || self.counted.len() >= MOST_PLACES && !self.counted.contains_key(&at.0) {
            return;
        }
        let counted = self.counted.entry(at.0.clone()).or_insert_with(|| Counted::none(at.0));
        if last.2 == answer {
            counted.same += 1;
            counted.by_form += u32::from(last.1 == loose);
        } else {
            counted.differed += 1;
        }
    }

    pub fn counts(&mut self) -> Vec<Counted> {
        std::mem::take(&mut self.counted).into_values().collect()
    }
}
