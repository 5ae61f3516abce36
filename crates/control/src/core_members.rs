//! Chooses the next change of the core members: one change at a time, and only if a majority remains available.
//!
//! No change lowers the number of further losses that the core survives. A core with an odd number of members keeps a
//! lost member until its successor has caught up as a learner; then one joint change swaps the two. A core with an
//! even number of members drops a lost member at once: this leaves one member fewer, and a majority that is smaller by
//! one.

use pewterseam_wire::Micros;

use crate::core_membership::CoreMembership;
use crate::election::Role;
use crate::entry::{Command, CoreMember};
use crate::machine::Control;

/// A member that has not answered a heartbeat within this time does not count as available.
const HEARTBEAT_ANSWER_TIMEOUT: Micros = 200_000;

/// A learner that is at most this many entries behind counts as caught up: the history of any member covers that many.
const MAX_LEARNER_LAG: u64 = 16;

/// A core is not shrunk below this size for a lost member without a successor: a smaller core survives no loss.
const MIN_ODD_CORE: usize = 3;

/// The kind of a member's loss, from the most to the least certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// The node is alive with another disk, and will take the member's place.
    DiskReplaced,
    /// The member has been gone for longer than `abandon_after`.
    Abandoned,
    /// The member is gone, and a node that appeared since can replace it.
    Replaced,
    /// The member has been gone for so long that another may replace it, but it may come back.
    Presumed,
}

impl Control {
    /// The next core change, if one is due. Must be called with nothing in flight.
    pub(crate) fn next_core_change(&self) -> Option<Command> {
        let core = &self.replica.committed.core;
        let next = match core.completed() {
            Some(completed) => completed,
            None => core.towards(self.next_core_members()?),
        };
        self.keeps_majority(&next).then_some(Command::Core { core: next })
    }

    /// The members that should replace the current ones, if they differ.
    fn next_core_members(&self) -> Option<Vec<CoreMember>> {
        let members = self.replica.committed.core.current();
        let mut joining = self.joining_members().into_iter();
        let next = self.replace_lost(members, &mut joining);
        if next != members {
            return Some(next);
        }
        let is_complete =
            members.iter().all(|member| self.peers.is_live_member(member) && self.is_in_sync(member));
        let joining = joining
            .find(|joining| is_complete && self.has_been_live_for(joining, self.settings.grow_after))?;
        Some(members.iter().cloned().chain([joining]).collect())
    }

    /// The members without the lost ones, as far as the core gets no weaker by it.
    fn replace_lost(
        &self, members: &[CoreMember], joining: &mut impl Iterator<Item = CoreMember>,
    ) -> Vec<CoreMember> {
        let mut next = members.to_vec();
        for (loss, leaving) in self.lost_members(members) {
            let successor = if next.len().is_multiple_of(2) { None } else { joining.next() };
            let is_needed = next.len() <= MIN_ODD_CORE || matches!(loss, Loss::DiskReplaced | Loss::Presumed);
            if !next.len().is_multiple_of(2) && successor.is_none() && is_needed {
                continue;
            }
            next.retain(|member| *member != leaving);
            next.extend(successor);
        }
        next
    }

    /// The lost members, the most certain losses first.
    fn lost_members(&self, members: &[CoreMember]) -> Vec<(Loss, CoreMember)> {
        let lost = |member: &CoreMember| Some((self.loss_of(member)?, member.clone()));
        let mut lost: Vec<(Loss, CoreMember)> = members.iter().filter_map(lost).collect();
        lost.sort_by_key(|(loss, _)| *loss);
        lost
    }

    fn loss_of(&self, member: &CoreMember) -> Option<Loss> {
        if self.has_lost_disk(member) {
            return Some(Loss::DiskReplaced);
        }
        let since = self.peers.gone_since(&member.name, member.disk, self.started)?;
        let gone_for = self.now.saturating_sub(since);
        if gone_for > self.settings.abandon_after {
            return Some(Loss::Abandoned);
        }
        let mut members = self.replica.committed.core.current().iter();
        let has_successor = members.any(|other| self.peers.can_replace(&other.name, since, self.started));
        let loss = if has_successor { Loss::Replaced } else { Loss::Presumed };
        (gone_for > self.settings.replace_member_after).then_some(loss)
    }

    /// Whether the member's node is alive with another disk.
    fn has_lost_disk(&self, member: &CoreMember) -> bool {
        let peer = self.peers.get(&member.name).filter(|peer| peer.is_live);
        let disk = peer.and_then(|peer| peer.info.disk);
        disk.is_some_and(|disk| disk != member.disk)
    }

    /// Nodes that are not members, have been alive for the settling time and know the committed state. A member's node
    /// that came back with another disk goes first, since it can only take its own place.
    fn joining_members(&self) -> Vec<CoreMember> {
        let members = self.replica.committed.core.current();
        let candidates = self.peers.live().filter_map(|peer| peer.core_member());
        let is_joining = |member: &CoreMember| {
            !members.contains(member)
                && self.has_been_live_for(member, self.settings.settle)
                && self.is_in_sync(member)
        };
        let mut joining: Vec<CoreMember> = candidates.filter(is_joining).collect();
        let is_node_of_member =
            |joining: &CoreMember| members.iter().any(|member| member.name == joining.name);
        joining.sort_by_key(|member| !is_node_of_member(member));
        joining
    }

    fn has_been_live_for(&self, member: &CoreMember, span: Micros) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| peer.is_live && self.now >= peer.since + span)
    }

    /// Whether the member answers heartbeats and lacks at most a few entries of the committed state.
    fn is_in_sync(&self, member: &CoreMember) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let index = self.replica.committed.stamp.index.saturating_sub(MAX_LEARNER_LAG);
        leader.is_caught_up(member, index, self.now, self.settings.heartbeat + HEARTBEAT_ANSWER_TIMEOUT)
    }

    /// Whether a majority of the new membership, with this process as a member, answers and knows the committed state.
    fn keeps_majority(&self, next: &CoreMembership) -> bool {
        let is_available =
            |member: &&CoreMember| self.is_in_sync(member) && self.peers.is_live_member(member);
        let is_member = self.identity.as_ref().is_some_and(|own| next.current().contains(own));
        is_member && next.is_majority(next.voters().filter(is_available))
    }
}
