//! What became of a broadcast, from the ends of its parts.

use pewterseam::interface::DestinationId;
use serde::{Deserialize, Serialize};

use super::Group;

/// The end of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartEnd {
    Delivered,
    Failed,
    /// Safe to hand in again, after so many milliseconds if above 0.
    Returned {
        after_ms: u64,
    },
}

/// The end of a broadcast: how many parts ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastEnd {
    pub delivered: u32,
    pub failed: u32,
    pub returned: u32,
    /// The longest wait that a returned part asks for, in milliseconds.
    pub after_ms: u64,
}

impl BroadcastEnd {
    pub fn parts(&self) -> u32 {
        self.delivered + self.failed + self.returned
    }
}

/// Adds up a broadcast's parts: two bits a destination.
#[derive(Clone, Debug)]
pub struct Sum {
    group: Group,
    /// Two bits a destination: 0 still open, then as [`PartEnd`] from 1.
    ends: Vec<u8>,
    so_far: BroadcastEnd,
}

impl Sum {
    pub fn new(group: Group) -> Self {
        let ends = vec![0; group.destinations().len().div_ceil(4)];
        Sum { group, ends, so_far: BroadcastEnd::default() }
    }

    /// Books the end of a part. The first one counts; false for another one, and for a destination that is
    /// not in the group.
    ///
    /// Danger: ends are told again after a lost answer; counted twice, the sum would be full too early and
    /// the parts still out would be forgotten.
    pub fn book(&mut self, destination: DestinationId, end: PartEnd) -> bool {
        let Some(place) = self.group.place(destination) else { return false };
        let shift = place % 4 * 2;
        if self.ends[place / 4] >> shift & 3 != 0 {
            return false;
        }
        let bits = match end {
            PartEnd::Delivered => {
                self.so_far.delivered += 1;
                1
            }
            PartEnd::Failed => {
                self.so_far.failed += 1;
                2
            }
            PartEnd::Returned { after_ms } => {
                self.so_far.returned += 1;
                self.so_far.after_ms = self.so_far.after_ms.max(after_ms);
                3
            }
        };
        self.ends[place / 4] |= bits << shift;
        true
    }

    pub fn so_far(&self) -> BroadcastEnd {
        self.so_far
    }

    /// The end, once no part is open.
    pub fn end(&self) -> Option<BroadcastEnd> {
        (self.so_far.parts() as usize == self.group.destinations().len()).then_some(self.so_far)
    }

    /// Destinations whose part is still open, in ascending order.
    pub fn open(&self) -> impl Iterator<Item = DestinationId> + '_ {
        let destinations = self.group.destinations().iter().enumerate();
        destinations.filter(|(place, _)| self.ends[place / 4] >> (place % 4 * 2) & 3 == 0).map(|(_, of)| *of)
    }
}
