//! How the limits of the configuration are split: descriptors and memory.

use crate::config::Limits;
use crate::ring::RING;
use pewterseam_http1::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Descriptors for all but clients and hosts: standard streams, reactor, signals, listener, peers, discovery,
/// notices, the journal's segments, and some to spare.
const OWN: usize = 32;
/// Client connections beyond the limit that are being turned away or closed at the same time.
const LEAVING: usize = 16;
/// Bytes that a client's connection may take at most: both rings, a whole request as it comes in, and the
/// same as a message.
const CLIENT: u64 = (2 * RING + MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES) as u64;

/// What each part may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Client connections that are served, and those that may be leaving beside them.
    pub clients: usize,
    pub leaving: usize,
    /// Idle connections to hosts.
    pub idle: usize,
    /// Bytes of messages on hand.
    pub held: u64,
}

impl Budget {
    /// Half of the memory is for clients' connections, a quarter for messages on hand, the rest for all else.
    /// None where the descriptors do not even do for the calls that may be out.
    pub fn split(limits: &Limits, slots: usize) -> Option<Budget> {
        let memory = limits.memory_mb.saturating_mul(1_000_000);
        let descriptors = usize::try_from(limits.sockets).ok()?;
        let shared = descriptors.checked_sub(OWN + LEAVING + slots).filter(|shared| *shared >= 2)?;
        let by_memory = usize::try_from(memory / 2 / CLIENT).unwrap_or(usize::MAX).max(1);
        let idle = shared / 3;
        Some(Budget { clients: (shared - idle).min(by_memory), leaving: LEAVING, idle, held: memory / 4 })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits(memory_mb: u64, sockets: u64) -> Limits {
        Limits { memory_mb, sockets, disk_mb: 3.0 }
    }

    #[test]
    fn all_parts_together_stay_within_the_descriptors() {
        for sockets in [128, 1024, 65_536] {
            let budget = Budget::split(&limits(192, sockets), 18).expect("enough");
            let all = budget.clients + budget.leaving + budget.idle + 18 + OWN;
            assert!(all as u64 <= sockets, "{all} of {sockets}");
        }
    }

    #[test]
    fn clients_full_of_bytes_stay_within_half_of_the_memory() {
        let budget = Budget::split(&limits(192, 65_536), 18).expect("enough");
        assert!(budget.clients as u64 * CLIENT <= 96_000_000);
        assert!(budget.clients > 400);
    }

    #[test]
    fn too_few_descriptors_are_told_at_once() {
        assert_eq!(Budget::split(&limits(192, 40), 18), None);
    }
}
