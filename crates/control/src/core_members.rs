//! Which change of the core's members comes next: one at a time, and only where a majority stays.

use pewterseam_wire::Micros;

use crate::election::Role;
use crate::entry::{Command, CoreMember};
use crate::machine::Control;

/// A member that did not answer a heartbeat within this does not count as staying.
const ANSWER_TIME: Micros = 200_000;

impl Control {
    /// The next change, if one is due. Nothing is in flight.
    ///
    /// A member whose node has another disk now is gone for certain: it goes first. One that only seems dead may come
    /// back and be needed: its successor is added before it goes.
    pub(crate) fn next_core_change(&self) -> Option<Command> {
        let members: &[CoreMember] = &self.replica.committed.members;
        let new = self.joining();
        let without =
            |leaving: &CoreMember| members.iter().filter(|member| *member != leaving).cloned().collect();
        let next: Vec<CoreMember> =
            if let Some(lost) = members.iter().find(|member| self.has_lost_disk(member, &new)) {
                without(lost)
            } else if let Some(joining) = new.into_iter().next() {
                members.iter().cloned().chain([joining]).collect()
            } else {
                without(members.iter().find(|member| self.is_replaced(member) || self.is_abandoned(member))?)
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
        leader.is_caught_up(member, index, self.now, self.settings.heartbeat + ANSWER_TIME)
    }

    fn gone_for(&self, member: &CoreMember) -> Micros {
        let since = self.peers.gone_since(&member.name, member.disk, self.started);
        since.map_or(0, |since| self.now.saturating_sub(since))
    }

    fn has_lost_disk(&self, member: &CoreMember, new: &[CoreMember]) -> bool {
        new.iter().any(|joining| joining.name == member.name)
    }

    /// It is dead, and another has come for it.
    fn is_replaced(&self, member: &CoreMember) -> bool {
        let Some(since) = self.peers.gone_since(&member.name, member.disk, self.started) else {
            return false;
        };
        let mut others = self.replica.committed.members.iter();
        let has_successor = others.any(|other| self.peers.came_for(&other.name, since, self.started));
        has_successor && self.now > since + self.settings.replace_after
    }

    fn is_abandoned(&self, member: &CoreMember) -> bool {
        self.gone_for(member) > self.settings.abandon_after
    }

    /// Whether more than half of these answer and know the committed state, this process among them.
    fn majority_stays(&self, next: &[CoreMember]) -> bool {
        let stays = |member: &&CoreMember| self.follows(member) && self.peers.is_live_member(member);
        let count = next.iter().filter(stays).count();
        let is_member = self.identity.as_ref().is_some_and(|own| next.contains(own));
        is_member && count * 2 > next.len()
    }
}
