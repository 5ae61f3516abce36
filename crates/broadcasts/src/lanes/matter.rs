//! What is decided of a slice.

use pewterseam::interface::DestinationId;
use pewterseam_fleet::interface::{Kind, Matter};
use serde::{Deserialize, Serialize};

use crate::detection::SliceId;

/// A subscriber in a slow lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slow {
    pub destination: DestinationId,
    /// It did not answer most calls when it was moved.
    pub silent: bool,
    /// How often it went back before.
    pub returns: u8,
}

/// One that went back: the next time it has to prove more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returned {
    pub destination: DestinationId,
    pub times: u8,
}

/// The slow ones of a slice. All others are in the common lane.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lanes {
    pub slice: SliceId,
    /// In the order of destinations.
    pub slow: Vec<Slow>,
    /// The last that went back, newest last.
    pub returned: Vec<Returned>,
}

impl Lanes {
    pub fn none(slice: SliceId) -> Self {
        Lanes { slice, slow: Vec::new(), returned: Vec::new() }
    }

    pub fn is_slow(&self, destination: DestinationId) -> bool {
        self.slow.binary_search_by_key(&destination, |slow| slow.destination).is_ok()
    }

    /// Subscribers that are in a slow lane in one of both and not in the other: moved in, moved back.
    pub fn moves(&self, after: &Lanes) -> (Vec<DestinationId>, Vec<DestinationId>) {
        let only = |one: &Lanes, other: &Lanes| {
            let all = one.slow.iter().map(|slow| slow.destination);
            all.filter(|destination| !other.is_slow(*destination)).collect()
        };
        (only(after, self), only(self, after))
    }
}

impl Matter for Lanes {
    const KIND: Kind = Kind::BROADCASTS;
    type Subject = SliceId;

    fn subject(&self) -> SliceId {
        self.slice
    }
}
