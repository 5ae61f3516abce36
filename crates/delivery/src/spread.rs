//! Which hosts of a service the decisions choose among: an even spread over all relays with few connections.
//!
//! The hosts of a service stand in a ring, and the relays begin at even distances on it. A relay uses the nearest few
//! of those to which it has the fewest calls out, in turns. So each host is used by about equally many relays, a
//! connection is used often enough to stay open, and a relay with much to send reaches all hosts.

use std::collections::BTreeSet;

use pewterseam::interface::HostId;

/// The least number of hosts among which a relay chooses, and of relays that choose a host.
const LEAST_HOSTS: usize = 3;
const LEAST_RELAYS: usize = 6;

/// A host as the spread sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) id: HostId,
    /// It takes another message now.
    pub(crate) takes_now: bool,
    /// The decisions found it out of order.
    pub(crate) is_out: bool,
    pub(crate) calls: usize,
}

/// The hosts of one service.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// Those that were chosen in this turn.
    used: BTreeSet<HostId>,
}

impl Spread {
    pub(crate) fn began(&mut self, id: HostId) {
        self.used.insert(id);
    }

    /// The hosts that are to be chosen among now, `most` at the most; `ring` holds all of the service in the order that
    /// all relays have.
    pub(crate) fn choose(&mut self, ring: &[Candidate], place: Place, most: usize) -> BTreeSet<HostId> {
        let first = ring.len() * place.rank / place.relays.max(1);
        let from_here = || ring.iter().cycle().skip(first).take(ring.len()).filter(|host| host.takes_now);
        let healthy = from_here().any(|host| !host.is_out);
        let in_order = || from_here().filter(|host| host.is_out != healthy);
        let Some(fewest) = in_order().map(|host| host.calls).min() else { return BTreeSet::new() };
        let count = (LEAST_RELAYS * ring.len()).div_ceil(place.relays.max(1)).max(LEAST_HOSTS).min(most);
        let near: BTreeSet<_> =
            in_order().filter(|host| host.calls == fewest).take(count).map(|host| host.id).collect();
        if near.is_subset(&self.used) {
            self.used.clear();
            return near;
        }
        near.difference(&self.used).copied().collect()
    }
}

/// Where a relay stands among all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Place {
    pub(crate) rank: usize,
    pub(crate) relays: usize,
}
