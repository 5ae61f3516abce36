//! The members of the core, and what makes a majority of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::CoreMember;

/// The members of the core, by joint consensus: while one set follows another, each agreement needs a majority of both.
///
/// All questions for a majority (commits, elections, heartbeats, reads) are asked of this type.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreMembership {
    current: Arc<Vec<CoreMember>>,
    /// The members before, until the current ones alone are committed.
    outgoing: Option<Arc<Vec<CoreMember>>>,
}

impl CoreMembership {
    /// These members alone.
    pub fn new(members: Vec<CoreMember>) -> Self {
        CoreMembership { current: Arc::new(members), outgoing: None }
    }

    /// The membership with which the way to these members begins. A single member that comes or goes needs no joint
    /// membership: every majority before it meets every majority after it.
    pub fn towards(&self, members: Vec<CoreMember>) -> Self {
        let added = members.iter().filter(|member| !self.current.contains(member)).count();
        let removed = self.current.iter().filter(|member| !members.contains(member)).count();
        let outgoing = (added + removed > 1).then(|| self.current.clone());
        CoreMembership { current: Arc::new(members), outgoing }
    }

    /// The membership after a joint one; none where this is not joint.
    pub fn completed(&self) -> Option<Self> {
        self.outgoing.as_ref().map(|_| CoreMembership { current: self.current.clone(), outgoing: None })
    }

    pub fn current(&self) -> &[CoreMember] {
        &self.current
    }

    /// The members before, while the membership is joint.
    pub fn outgoing(&self) -> Option<&[CoreMember]> {
        self.outgoing.as_ref().map(|members| members.as_slice())
    }

    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Everybody who may vote: the current members, then those of the outgoing ones that do not stay.
    pub fn voters(&self) -> impl Iterator<Item = &CoreMember> {
        let leaving = self.outgoing().unwrap_or_default().iter();
        self.current.iter().chain(leaving.filter(|member| !self.current.contains(member)))
    }

    pub fn is_voter(&self, member: &CoreMember) -> bool {
        self.voters().any(|voter| voter == member)
    }

    /// Whether these are more than half of the current members, and of the outgoing ones.
    pub fn is_majority<'a>(&self, members: impl Iterator<Item = &'a CoreMember>) -> bool {
        let members: Vec<&CoreMember> = members.collect();
        self.sets().all(|set| {
            let count = set.iter().filter(|member| members.contains(member)).count();
            count * 2 > set.len()
        })
    }

    /// The greatest value that more than half of the current members have reached, and of the outgoing ones.
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
