//! The leader's decisions on which relays may grant permits of limited services.
//!
//! A relay that becomes the home of a service must know every relay that may have granted permits of it before. Once
//! all of these have reported that they grant none any more, the new home need not wait for permits that an
//! unreachable relay may still grant. This requires that the core agrees on the list: a relay grants permits only
//! while it knows that it is on the list, and it is removed only after it has been gone for longer than it may act
//! without contact with the core.

use std::collections::BTreeSet;

use pewterseam_wire::identity::{NodeName, Role as NodeRole};

use crate::entry::Command;
use crate::machine::Control;

impl Control {
    /// The next change of the list, if one is due. Must be called with nothing in flight.
    pub(crate) fn next_homes(&self) -> Option<Command> {
        if !self.settings.agrees_on_homes {
            return None;
        }
        let listed: BTreeSet<&NodeName> = self.replica.committed.state.homes.iter().collect();
        let joining = self.joining_homes(&listed);
        let leaving = self.leaving_homes(&listed);
        let is_due = !joining.is_empty() || !leaving.is_empty();
        is_due.then_some(Command::Homes { joining, leaving })
    }

    /// Relays that have been alive for the settling time and are not on the list.
    fn joining_homes(&self, listed: &BTreeSet<&NodeName>) -> Vec<NodeName> {
        let is_joining = |name: &NodeName| !listed.contains(name);
        let live_for_settling_time = self.peers.live_for(self.now, self.settings.settle);
        let relays = live_for_settling_time.filter(|peer| peer.info.role == NodeRole::Relay);
        relays.map(|peer| peer.info.name.clone()).filter(is_joining).collect()
    }

    /// Relays on the list that have been gone for so long that no permit of theirs is still valid.
    fn leaving_homes(&self, listed: &BTreeSet<&NodeName>) -> Vec<NodeName> {
        let is_gone = |name: &NodeName| {
            let since = self.peers.node_gone_since(name, self.started);
            since.is_some_and(|since| self.now > since + self.settings.abandon_after)
        };
        listed.iter().copied().filter(|name| is_gone(name)).cloned().collect()
    }
}
