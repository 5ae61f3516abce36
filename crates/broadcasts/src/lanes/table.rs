//! The decisions in force on lanes, as a relay holds them.

use std::collections::BTreeMap;

use pewterseam::interface::DestinationId;
use pewterseam_fleet::interface::{Decision, Epoch, Kind};

use super::matter::Lanes;
use crate::detection::{SLICE, SliceId};

/// Slices that decisions are kept of; those beyond belong to a file with more destinations than are allowed.
const MOST_SLICES: usize = 4_096;
/// Slow ones of a slice, above what any file's limits allow.
const MOST_SLOW: usize = SLICE * 4;

/// What a decision changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub slice: SliceId,
    pub moved: Vec<DestinationId>,
    pub back: Vec<DestinationId>,
}

/// Decisions without an effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ignored {
    /// Not newer than what is in force.
    pub old: u64,
    /// Of a later version, or beyond a bound.
    pub unknown: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    by_slice: BTreeMap<SliceId, (Epoch, Lanes)>,
    ignored: Ignored,
}

impl Table {
    /// Takes a decision of any kind; none if it changes nothing here.
    pub fn take(&mut self, decision: &Decision) -> Option<Change> {
        if decision.kind != Kind::BROADCASTS {
            return None;
        }
        let Some(slice) = decision.subject::<Lanes>() else {
            self.ignored.unknown += 1;
            return None;
        };
        let after = match &decision.what {
            None => Lanes::none(slice),
            Some(_) => match decision.read::<Lanes>().filter(|lanes| Table::fits(lanes, slice)) {
                Some(lanes) => lanes,
                None => {
                    self.ignored.unknown += 1;
                    return None;
                }
            },
        };
        if self.by_slice.len() >= MOST_SLICES && !self.by_slice.contains_key(&slice) {
            self.ignored.unknown += 1;
            return None;
        }
        let before = self.by_slice.entry(slice).or_insert_with(|| (Epoch(0), Lanes::none(slice)));
        if decision.epoch <= before.0 {
            self.ignored.old += 1;
            return None;
        }
        let (moved, back) = before.1.moves(&after);
        *before = (decision.epoch, after);
        (!moved.is_empty() || !back.is_empty()).then_some(Change { slice, moved, back })
    }

    /// Danger: looked up by halving, an unsorted list would hide its slow ones.
    fn fits(lanes: &Lanes, slice: SliceId) -> bool {
        let sorted = lanes.slow.windows(2).all(|pair| pair[0].destination < pair[1].destination);
        lanes.slice == slice && lanes.slow.len() <= MOST_SLOW && sorted
    }

    /// Whether a subscriber is in a slow lane.
    pub fn is_slow(&self, slice: SliceId, destination: DestinationId) -> bool {
        self.by_slice.get(&slice).is_some_and(|(_, lanes)| lanes.is_slow(destination))
    }

    /// What is in force of a slice, and since when.
    pub fn of(&self, slice: SliceId) -> (Epoch, Lanes) {
        self.by_slice.get(&slice).cloned().unwrap_or_else(|| (Epoch(0), Lanes::none(slice)))
    }

    pub fn slow(&self) -> usize {
        self.by_slice.values().map(|(_, lanes)| lanes.slow.len()).sum()
    }

    pub fn ignored(&self) -> Ignored {
        self.ignored
    }
}
