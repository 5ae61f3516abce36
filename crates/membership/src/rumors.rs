//! Rumors that are still to be spread, least transmitted first.

use std::collections::{BTreeMap, HashMap};

use pewterseam_wire::identity::NodeName;
use serde_bytes::ByteBuf;

/// Each rumor is sent this many times the base-2 logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 3.0;

/// A rumor that was sent fewer times is fresh: it is sent without waiting for probes.
const FRESH_TRANSMISSIONS: u32 = 6;

/// Bytes of the length prefix of a rumor in a datagram.
const LENGTH_BYTES: usize = 3;

/// Minimum size of a rumor. The search for rumors ends when less room is left.
const MIN_RUMOR_BYTES: usize = 40;

/// Send order of rumors: by number of transmissions, then newest first.
type SendOrder = (u32, u64);

struct Pending {
    encoded: ByteBuf,
    order: SendOrder,
}

/// The newest rumor about each member, until it was sent often enough.
#[derive(Default)]
pub(crate) struct Rumors {
    pending: HashMap<NodeName, Pending>,
    queue: BTreeMap<SendOrder, NodeName>,
    added: u64,
}

impl Rumors {
    /// Adds a rumor, which replaces an older one about the same member.
    pub(crate) fn add(&mut self, about: NodeName, encoded: ByteBuf) {
        self.added += 1;
        let order = (0, u64::MAX - self.added);
        self.queue.insert(order, about.clone());
        if let Some(replaced) = self.pending.insert(about, Pending { encoded, order }) {
            self.queue.remove(&replaced.order);
        }
    }

    /// Whether a fresh rumor is queued.
    pub(crate) fn has_fresh(&self) -> bool {
        self.queue.first_key_value().is_some_and(|((sent, _), _)| *sent < FRESH_TRANSMISSIONS)
    }

    /// Takes rumors for a datagram with this much room, least transmitted first.
    pub(crate) fn take(&mut self, room: usize, members: usize) -> Vec<ByteBuf> {
        let max_transmissions = (RETRANSMIT_FACTOR * ((members + 1) as f64).log2()).ceil().max(2.0) as u32;
        let (mut names, mut left) = (Vec::new(), room);
        for name in self.queue.values() {
            if left < MIN_RUMOR_BYTES {
                break;
            }
            let length =
                self.pending.get(name).map_or(usize::MAX, |rumor| rumor.encoded.len() + LENGTH_BYTES);
            if length <= left {
                left -= length;
                names.push(name.clone());
            }
        }
        names.into_iter().filter_map(|name| self.count_transmission(name, max_transmissions)).collect()
    }

    /// Counts a transmission of a rumor, and drops the rumor after the last one.
    fn count_transmission(&mut self, about: NodeName, max_transmissions: u32) -> Option<ByteBuf> {
        let rumor = self.pending.get_mut(&about)?;
        self.queue.remove(&rumor.order);
        rumor.order.0 += 1;
        if rumor.order.0 >= max_transmissions {
            return self.pending.remove(&about).map(|rumor| rumor.encoded);
        }
        self.queue.insert(rumor.order, about);
        Some(rumor.encoded.clone())
    }
}
