//! Which relays serve a slow subscriber.

use std::hash::Hasher;

use pewterseam::interface::DestinationId;
use pewterseam_fleet::interface::{MemberId, Members};
use siphasher::sip::SipHasher13;

/// The relays that serve a slow subscriber: its connections and permits lie with these few. Each of its
/// places is hashed by itself, so that a gateway that goes moves its own places and no other; now and then
/// two places fall to one relay.
pub fn gateways(members: &Members, destination: DestinationId, count: u16) -> Vec<MemberId> {
    (0..count).filter_map(|place| holder(members, destination, place)).collect()
}

/// The one of them for a part; `key` is the key of its order, or its own id where it has none.
///
/// Danger: parts of one key at two gateways overtake each other, so the key alone chooses the place.
pub fn gateway(members: &Members, destination: DestinationId, count: u16, key: &[u8]) -> Option<MemberId> {
    let mut hasher = SipHasher13::new();
    hasher.write(key);
    let place = hasher.finish() % u64::from(count.max(1));
    holder(members, destination, place as u16)
}

fn holder(members: &Members, destination: DestinationId, place: u16) -> Option<MemberId> {
    let ([a, b, c, d], [e, f]) = (destination.to_le_bytes(), place.to_le_bytes());
    members.owners(&[b'l', a, b, c, d, e, f], 1).first().copied()
}
