//! Which relays may hand out permits of limited services: the leader's decisions.
//!
//! A relay that becomes the home of a service has to know whoever may have granted permits of it before. Once all of these
//! have told that they grant none any more, it need not wait for what one that is silent may still do. So their list is
//! agreed: a relay hands permits out only while it knows that it stands on the list, and leaves the list only when it has
//! been gone for longer than it may act without the core's word.

use std::collections::BTreeSet;

use pewterseam_wire::identity::{NodeName, Role as NodeRole};

use crate::entry::Command;
use crate::machine::Control;

impl Control {
    /// The next change of the list, if one is due. Nothing is in flight.
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

    /// Relays that have been there for a moment and are not on the list.
    fn joining_homes(&self, listed: &BTreeSet<&NodeName>) -> Vec<NodeName> {
        let is_joining = |name: &NodeName| !listed.contains(name);
        let settled = self.peers.settled(self.now, self.settings.settle);
        let relays = settled.filter(|peer| peer.info.role == NodeRole::Relay);
        relays.map(|peer| peer.info.name.clone()).filter(is_joining).collect()
    }

    /// Relays on the list that have been gone for so long that nothing of theirs is in force.
    fn leaving_homes(&self, listed: &BTreeSet<&NodeName>) -> Vec<NodeName> {
        let is_gone = |name: &NodeName| {
            let since = self.peers.node_gone_since(name, self.started);
            since.is_some_and(|since| self.now > since + self.settings.abandon_after)
        };
        listed.iter().copied().filter(|name| is_gone(name)).cloned().collect()
    }
}
