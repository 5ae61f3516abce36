//! Rumors that still have to be spread, fewest transmissions first.

use std::collections::{BTreeMap, HashMap};

use pewterseam_wire::identity::NodeName;
use serde_bytes::ByteBuf;

/// Each rumor goes out this many times the logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 3.0;

/// A rumor that went out less often is sent without waiting for probes.
const FRESH: u32 = 6;

/// Bytes that the length of a rumor takes in a datagram.
const LENGTH_BYTES: usize = 3;

/// No rumor is shorter: with less room left, none is looked for.
const SHORTEST: usize = 40;

/// The order in which rumors go out: how often they did, then the newest first.
type Place = (u32, u64);

struct Pending {
    encoded: ByteBuf,
    place: Place,
}

/// The newest rumor about each member, until it was sent often enough.
#[derive(Default)]
pub(crate) struct Rumors {
    pending: HashMap<NodeName, Pending>,
    queue: BTreeMap<Place, NodeName>,
    added: u64,
}

impl Rumors {
    /// Replaces an older rumor about the same member.
    pub(crate) fn add(&mut self, about: NodeName, encoded: ByteBuf) {
        self.added += 1;
        let place = (0, u64::MAX - self.added);
        self.queue.insert(place, about.clone());
        if let Some(replaced) = self.pending.insert(about, Pending { encoded, place }) {
            self.queue.remove(&replaced.place);
        }
    }

    /// Whether some rumor was hardly sent yet.
    pub(crate) fn has_fresh(&self) -> bool {
        self.queue.first_key_value().is_some_and(|((sent, _), _)| *sent < FRESH)
    }

    /// The rumors for one datagram with this much room, the least sent first.
    pub(crate) fn take(&mut self, room: usize, members: usize) -> Vec<ByteBuf> {
        let most = (RETRANSMIT_FACTOR * ((members + 1) as f64).log2()).ceil().max(2.0) as u32;
        let (mut names, mut left) = (Vec::new(), room);
        for name in self.queue.values() {
            if left < SHORTEST {
                break;
            }
            let length =
                self.pending.get(name).map_or(usize::MAX, |rumor| rumor.encoded.len() + LENGTH_BYTES);
            if length <= left {
                left -= length;
                names.push(name.clone());
            }
        }
        names.into_iter().filter_map(|name| self.sent(name, most)).collect()
    }

    /// Counts one sending of a rumor, and drops it after the last.
    fn sent(&mut self, about: NodeName, most: u32) -> Option<ByteBuf> {
        let rumor = self.pending.get_mut(&about)?;
        self.queue.remove(&rumor.place);
        rumor.place.0 += 1;
        if rumor.place.0 >= most {
            return self.pending.remove(&about).map(|rumor| rumor.encoded);
        }
        self.queue.insert(rumor.place, about);
        Some(rumor.encoded.clone())
    }
}
