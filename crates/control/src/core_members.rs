//! Which change of the core's members comes next: one at a time, and only where a majority stays.

use pewterseam_wire::Micros;

use crate::election::Role;
use crate::entry::{Command, CoreMember};
use crate::machine::Control;

impl Control {
    /// The next change, if one is due. Nothing is in flight.
    pub(crate) fn next_core_change(&self) -> Option<Command> {
        let members: &[CoreMember] = &self.replica.committed.members;
        let new = self.joining();
        let leaving =
            members.iter().find(|member| self.is_replaced(member, &new) || self.is_abandoned(member));
        let next: Vec<CoreMember> = match (leaving, new.into_iter().next()) {
            (Some(leaving), _) => members.iter().filter(|member| *member != leaving).cloned().collect(),
            (None, Some(joining)) => members.iter().cloned().chain([joining]).collect(),
            (None, None) => return None,
        };
        self.majority_stays(&next).then_some(Command::Core { members: next })
    }

    /// Nodes that are no members, have been there for a moment and know the committed state.
    fn joining(&self) -> Vec<CoreMember> {
        let members: &[CoreMember] = &self.replica.committed.members;
        let settled = self.peers.live().filter(|peer| self.now >= peer.since + self.settings.settle);
        let candidates = settled.filter_map(|peer| peer.core_member());
        candidates.filter(|member| !members.contains(member) && self.follows(member)).collect()
    }

    fn follows(&self, member: &CoreMember) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let index = self.replica.committed.stamp.index;
        leader.is_caught_up(member, index, self.now, self.settings.leader_timeout)
    }

    fn gone_for(&self, member: &CoreMember) -> Micros {
        let since = self.peers.gone_since(&member.name, member.disk, self.started);
        since.map_or(0, |since| self.now.saturating_sub(since))
    }

    /// Its disk is lost, or it is dead and another has come for it.
    fn is_replaced(&self, member: &CoreMember, new: &[CoreMember]) -> bool {
        let same_name = new.iter().any(|joining| joining.name == member.name);
        let Some(since) = self.peers.gone_since(&member.name, member.disk, self.started) else {
            return same_name;
        };
        let members = &self.replica.committed.members;
        let has_successor =
            || members.iter().any(|other| self.peers.came_for(&other.name, since, self.started));
        let long_gone = self.now > since + self.settings.replace_after;
        same_name || (long_gone && (!new.is_empty() || has_successor()))
    }

    fn is_abandoned(&self, member: &CoreMember) -> bool {
        self.gone_for(member) > self.settings.abandon_after
    }

    /// Whether more than half of these answer and know the committed state, this process among them.
    fn majority_stays(&self, next: &[CoreMember]) -> bool {
        let count = next.iter().filter(|member| self.follows(member)).count();
        let is_member = self.identity.as_ref().is_some_and(|own| next.contains(own));
        is_member && count * 2 > next.len()
    }
}
