//! Names of a broadcast's parts.

use std::fmt;

use pewterseam::interface::DestinationId;
use serde::{Deserialize, Serialize};

/// The id of a part: 32 lower-case hex digits on the wire.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub [u8; 16]);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Makes ids of parts: the same at all relays and after each start, so that a broadcast that is handed in
/// again, here or elsewhere, has the parts that it had.
///
/// Danger: without a secret a client could hand in a message under the id that another's part will have. The
/// secret has to stay while broadcasts are on their way, whatever becomes of the fleet's keys.
#[derive(Clone)]
pub struct PartKey([u8; 32]);

impl fmt::Debug for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PartKey(..)")
    }
}

impl PartKey {
    pub fn new(secret: &[u8; 32]) -> Self {
        PartKey(blake3::derive_key("pewterseam 2026 ids of the parts of a broadcast", secret))
    }

    /// The destination goes first and has a fixed length, so that no two pairs have the same bytes.
    pub fn part(&self, broadcast: &str, destination: DestinationId) -> PartId {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&destination.to_le_bytes()).update(broadcast.as_bytes());
        let mut id = [0; 16];
        hasher.finalize_xof().fill(&mut id);
        PartId(id)
    }
}
