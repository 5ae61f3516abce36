//! Slices of a group and their homes.

use pewterseam::interface::DestinationId;
use pewterseam_fleet::interface::{MemberId, Members};
use serde::{Deserialize, Serialize};

use crate::groups::Group;

/// Subscribers of a slice, about. Fewer make a poor sample of the group, more weigh upon a home.
pub const SLICE: usize = 256;
/// Homes of a slice: one may be stalled or gone.
const HOMES: usize = 2;

/// A group by its name's number, since names are long for a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId(pub u32);

impl GroupId {
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        GroupId(u32::from_le_bytes([a, b, c, d]))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceId {
    pub group: GroupId,
    pub number: u16,
}

impl SliceId {
    /// Where its subscribers' reports go: the living with the most weight, the first of whom speaks.
    pub fn homes(self, members: &Members) -> Vec<MemberId> {
        let [a, b, c, d] = self.group.0.to_le_bytes();
        let [e, f] = self.number.to_le_bytes();
        members.owners(&[b's', a, b, c, d, e, f], HOMES)
    }
}

/// A slice and its subscribers, in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slice {
    pub id: SliceId,
    pub subscribers: Vec<DestinationId>,
}

/// How many slices a group of so many subscribers has.
fn count(subscribers: usize) -> u64 {
    subscribers.div_ceil(SLICE).max(1) as u64
}

/// The slice of a subscriber. Numbers next to each other often belong to one firm, and must not be one slice.
pub fn slice_of(group: GroupId, subscribers: usize, destination: DestinationId) -> SliceId {
    let hash = blake3::hash(&destination.to_le_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    let number = (u64::from(u32::from_le_bytes([a, b, c, d])) * count(subscribers)) >> 32;
    SliceId { group, number: number as u16 }
}

/// All slices of a group.
pub fn slices(group: &Group) -> Vec<Slice> {
    let (id, subscribers) = (GroupId::of(&group.name), group.destinations().len());
    let empty = |number| Slice { id: SliceId { group: id, number }, subscribers: Vec::new() };
    let mut slices: Vec<Slice> = (0..count(subscribers) as u16).map(empty).collect();
    for destination in group.destinations().iter() {
        let number = slice_of(id, subscribers, *destination).number;
        slices[usize::from(number)].subscribers.push(*destination);
    }
    slices
}
