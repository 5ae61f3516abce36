//! The members of the core and the majority rule.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::CoreMember;

/// The members of the core, changed by joint consensus: while one set replaces another, each decision needs a majority
/// of both.
///
/// All majority decisions (commits, elections, heartbeats, reads) use this type.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreMembership {
    current: Arc<Vec<CoreMember>>,
    /// The previous members, until a membership of the current ones alone is committed.
    outgoing: Option<Arc<Vec<CoreMember>>>,
}

impl CoreMembership {
    /// A membership of exactly these members.
    pub fn new(members: Vec<CoreMember>) -> Self {
        CoreMembership { current: Arc::new(members), outgoing: None }
    }

    /// The first membership of a change to these members. Adding or removing a single member needs no joint
    /// membership: every majority of the old members overlaps every majority of the new ones.
    pub fn towards(&self, members: Vec<CoreMember>) -> Self {
        let added = members.iter().filter(|member| !self.current.contains(member)).count();
        let removed = self.current.iter().filter(|member| !members.contains(member)).count();
        let outgoing = (added + removed > 1).then(|| self.current.clone());
        CoreMembership { current: Arc::new(members), outgoing }
    }

    /// The membership that completes a joint one; none if this one is not joint.
    pub fn completed(&self) -> Option<Self> {
        self.outgoing.as_ref().map(|_| CoreMembership { current: self.current.clone(), outgoing: None })
    }

    pub fn current(&self) -> &[CoreMember] {
        &self.current
    }

    /// The previous members, while the membership is joint.
    pub fn outgoing(&self) -> Option<&[CoreMember]> {
        self.outgoing.as_ref().map(|members| members.as_slice())
    }

    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// All members that may vote: the current ones, then the outgoing ones that do not stay.
    pub fn voters(&self) -> impl Iterator<Item = &CoreMember> {
        let leaving = self.outgoing().unwrap_or_default().iter();
        self.current.iter().chain(leaving.filter(|member| !self.current.contains(member)))
    }

    pub fn is_voter(&self, member: &CoreMember) -> bool {
        self.voters().any(|voter| voter == member)
    }

    /// Whether these members are more than half of the current members and, in a joint membership, more than half of
    /// the outgoing ones.
    pub fn is_majority<'a>(&self, members: impl Iterator<Item = &'a CoreMember>) -> bool {
        let members: Vec<&CoreMember> = members.collect();
        self.sets().all(|set| {
            let count = set.iter().filter(|member| members.contains(member)).count();
            count * 2 > set.len()
        })
    }

    /// The greatest value that more than half of the current members have reached and, in a joint membership, more
    /// than half of the outgoing ones.
    pub fn majority_value(&self, value: impl Fn(&CoreMember) -> u64) -> u64 {
        let reached = |set: &[CoreMember]| {
            let mut values: Vec<u64> = set.iter().map(&value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(set.len() / 2).copied().unwrap_or(0)
        };
        self.sets().map(reached).min().unwrap_or(0)
    }

    fn sets(&self) -> impl Iterator<Item = &[CoreMember]> {
        std::iter::once(self.current()).chain(self.outgoing())
    }
}
