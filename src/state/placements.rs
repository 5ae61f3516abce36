//! Placement: which zones a destination's messages may go to.

use super::{Host, Message, State};
use crate::interface::{DestinationId, Lifecycle, Placement};

impl State {
    /// Replaces all placements.
    pub fn set_placements(&mut self, placements: Vec<Placement>) {
        let placed = |place: Placement| ((place.destination, place.zone), (place.rank, place.part));
        self.placements = placements.into_iter().map(placed).collect();
    }

    pub fn rank(&self, host: &Host) -> u8 {
        self.placements.get(&(host.route.0, host.zone)).map_or(0, |(rank, _)| *rank)
    }

    /// Whether a message may go to a host's zone, given its pseudo-random `chance` from 0 to 1. Without the
    /// fallback, a message for which all zones with hosts are closed waits for its deadline.
    pub fn is_placed(&self, message: &Message, host: &Host, chance: f64) -> bool {
        let open = |destination: DestinationId, host: &Host| {
            self.placements.get(&(destination, host.zone)).is_none_or(|(_, part)| chance < *part)
        };
        let destination = message.request.destination;
        let ready = |other: &Host| other.lifecycle == Lifecycle::Ready && open(destination, other);
        open(destination, host) || !self.hosts_of(destination).any(|(_, other)| ready(other))
    }
}
