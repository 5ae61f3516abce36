//! Rumors that still have to be spread, fewest transmissions first.

use std::collections::HashMap;

use pewterseam_wire::identity::NodeName;
use serde_bytes::ByteBuf;

/// Each rumor goes out this many times the logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 3.0;

/// A rumor that went out less often is sent without waiting for probes.
const FRESH: u32 = 4;

/// Bytes that the length of a rumor takes in a datagram.
const LENGTH_BYTES: usize = 3;

struct Pending {
    encoded: ByteBuf,
    sent: u32,
    order: u64,
}

/// The newest rumor about each member, until it was sent often enough.
#[derive(Default)]
pub(crate) struct Rumors {
    pending: HashMap<NodeName, Pending>,
    added: u64,
}

impl Rumors {
    /// Replaces an older rumor about the same member.
    pub(crate) fn add(&mut self, about: NodeName, encoded: ByteBuf) {
        self.added += 1;
        self.pending.insert(about, Pending { encoded, sent: 0, order: self.added });
    }

    /// Whether some rumor was hardly sent yet.
    pub(crate) fn has_fresh(&self) -> bool {
        self.pending.values().any(|rumor| rumor.sent < FRESH)
    }

    /// The rumors for one datagram with this much room, the least sent first.
    pub(crate) fn take(&mut self, room: usize, members: usize) -> Vec<ByteBuf> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        let most = (RETRANSMIT_FACTOR * ((members + 1) as f64).log2()).ceil().max(2.0) as u32;
        let mut order: Vec<(u32, u64, NodeName)> = self
            .pending
            .iter()
            .map(|(name, rumor)| (rumor.sent, u64::MAX - rumor.order, name.clone()))
            .collect();
        order.sort_unstable();
        let (mut chosen, mut left) = (Vec::new(), room);
        for (_, _, name) in order {
            let Some(rumor) = self.pending.get_mut(&name) else { continue };
            let length = rumor.encoded.len() + LENGTH_BYTES;
            if length > left {
                continue;
            }
            left -= length;
            chosen.push(rumor.encoded.clone());
            rumor.sent += 1;
            if rumor.sent >= most {
                self.pending.remove(&name);
            }
        }
        chosen
    }
}
