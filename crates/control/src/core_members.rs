//! Which change of the core's members comes next: one at a time, and only where a majority stays.
//!
//! No change lowers the number of further losses that the core survives. A core with an odd number of members keeps a
//! lost one until its successor has caught up as a learner; then one joint change puts the successor in its place. A
//! core with an even number drops it at once: one member fewer, and a majority of one fewer.

use pewterseam_wire::Micros;

use crate::core_membership::CoreMembership;
use crate::election::Role;
use crate::entry::{Command, CoreMember};
use crate::machine::Control;

/// A member that did not answer a heartbeat within this does not count as staying.
const ANSWER_TIME: Micros = 200_000;

/// A learner that is at most so many entries behind is caught up: the history of any member covers them.
const LEARNER_LAG: u64 = 16;

/// A core is not made smaller than this for a lost member without a successor: with fewer, no loss is survived.
const SMALLEST_ODD_CORE: usize = 3;

/// How a member was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// Its node is there with another disk, and will take its place.
    Emptied,
    /// It has been gone for very long.
    Abandoned,
    /// It is gone, and another member came for it.
    Replaced,
    /// It has been gone for so long that another may stand in for it. It may come back.
    Presumed,
}

impl Control {
    /// The next change, if one is due. Nothing is in flight.
    pub(crate) fn next_core_change(&self) -> Option<Command> {
        let core = &self.replica.committed.core;
        let next = match core.completed() {
            Some(completed) => completed,
            None => core.towards(self.next_core_members()?),
        };
        self.majority_stays(&next).then_some(Command::Core { core: next })
    }

    /// The members that should follow the current ones, if they are others.
    fn next_core_members(&self) -> Option<Vec<CoreMember>> {
        let members = self.replica.committed.core.current();
        let mut joining = self.joining().into_iter();
        let next = self.replace_lost(members, &mut joining);
        if next != members {
            return Some(next);
        }
        let is_whole = members.iter().all(|member| self.peers.is_live_member(member) && self.follows(member));
        let joining =
            joining.find(|joining| is_whole && self.is_there_for(joining, self.settings.grow_after))?;
        Some(members.iter().cloned().chain([joining]).collect())
    }

    /// The members without lost ones, as far as that is no weaker than before.
    fn replace_lost(
        &self, members: &[CoreMember], joining: &mut impl Iterator<Item = CoreMember>,
    ) -> Vec<CoreMember> {
        let mut next = members.to_vec();
        for (loss, leaving) in self.lost_members(members) {
            let successor = if next.len().is_multiple_of(2) { None } else { joining.next() };
            let is_needed = next.len() <= SMALLEST_ODD_CORE || matches!(loss, Loss::Emptied | Loss::Presumed);
            if !next.len().is_multiple_of(2) && successor.is_none() && is_needed {
                continue;
            }
            next.retain(|member| *member != leaving);
            next.extend(successor);
        }
        next
    }

    /// Members that were lost, the surest losses first.
    fn lost_members(&self, members: &[CoreMember]) -> Vec<(Loss, CoreMember)> {
        let lost = |member: &CoreMember| Some((self.loss_of(member)?, member.clone()));
        let mut lost: Vec<(Loss, CoreMember)> = members.iter().filter_map(lost).collect();
        lost.sort_by_key(|(loss, _)| *loss);
        lost
    }

    fn loss_of(&self, member: &CoreMember) -> Option<Loss> {
        if self.has_lost_disk(member) {
            return Some(Loss::Emptied);
        }
        let since = self.peers.gone_since(&member.name, member.disk, self.started)?;
        let gone = self.now.saturating_sub(since);
        if gone > self.settings.abandon_after {
            return Some(Loss::Abandoned);
        }
        let mut members = self.replica.committed.core.current().iter();
        let has_successor = members.any(|other| self.peers.came_for(&other.name, since, self.started));
        let loss = if has_successor { Loss::Replaced } else { Loss::Presumed };
        (gone > self.settings.replace_member_after).then_some(loss)
    }

    /// Its node has come back with another disk.
    fn has_lost_disk(&self, member: &CoreMember) -> bool {
        let peer = self.peers.get(&member.name).filter(|peer| peer.is_live);
        let disk = peer.and_then(|peer| peer.info.disk);
        disk.is_some_and(|disk| disk != member.disk)
    }

    /// Nodes that are no members, have been there for a moment and know the committed state. One that came back with
    /// another disk goes first: it has no other place.
    fn joining(&self) -> Vec<CoreMember> {
        let members = self.replica.committed.core.current();
        let candidates = self.peers.live().filter_map(|peer| peer.core_member());
        let is_joining = |member: &CoreMember| {
            !members.contains(member)
                && self.is_there_for(member, self.settings.settle)
                && self.follows(member)
        };
        let mut joining: Vec<CoreMember> = candidates.filter(is_joining).collect();
        let has_place = |joining: &CoreMember| members.iter().any(|member| member.name == joining.name);
        joining.sort_by_key(|member| !has_place(member));
        joining
    }

    fn is_there_for(&self, member: &CoreMember, span: Micros) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| peer.is_live && self.now >= peer.since + span)
    }

    /// Whether it answers, and knows the committed state or lacks but little of it.
    fn follows(&self, member: &CoreMember) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let index = self.replica.committed.stamp.index.saturating_sub(LEARNER_LAG);
        leader.is_caught_up(member, index, self.now, self.settings.heartbeat + ANSWER_TIME)
    }

    /// Whether a majority answers and knows the committed state, this process among it.
    fn majority_stays(&self, next: &CoreMembership) -> bool {
        let stays = |member: &&CoreMember| self.follows(member) && self.peers.is_live_member(member);
        let is_member = self.identity.as_ref().is_some_and(|own| next.current().contains(own));
        is_member && next.is_majority(next.voters().filter(stays))
    }
}
