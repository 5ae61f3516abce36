//! Who is in the fleet, as one member sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// A member's place among the peers of the relays' configuration. It stays the same when the process is
/// started anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// What is known of whether a member works. Local: two members may differ for a few seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    /// Somebody had no answer from it. It counts as living until it is dead, since most who are suspected
    /// are not.
    Suspect,
    /// It was declared dead, yet is still heard here: it sends and does not hear. It is given nothing to do.
    Deaf,
    /// It had no answer for anyone for longer than the time in which a suspicion can be refuted.
    Dead,
    /// It said that it goes. Nothing is wrong with it.
    Left,
}

/// What a member tells of itself, and what is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: MemberId,
    pub name: String,
    /// Grows with each start of its process.
    pub incarnation: u32,
    pub zone: String,
    pub region: String,
    /// What it knows of this package: a member of a lower version takes part in what it knows.
    pub version: u16,
    /// Of its HTTP listener, for calls.
    pub address: SocketAddr,
    pub state: MemberState,
    /// How far it doubts itself, from 0 (sound) to 8: it is slow, or hears little. Told by itself.
    pub doubt: u8,
}

impl Member {
    /// Whether it may be given work: alive, or suspected and not yet dead.
    pub fn lives(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// Members that live, in the order of their places.
pub type Living<'a> = Box<dyn Iterator<Item = &'a Member> + 'a>;

/// All members that were heard of, whatever became of them; those that told who they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    pub(crate) me: MemberId,
    /// For rendezvous hashing; the same at all members, from the fleet's key.
    pub(crate) key: [u8; 16],
    pub(crate) by_id: BTreeMap<MemberId, Member>,
}

impl Members {
    /// A view of its own, for parts that are tried without a fleet.
    pub fn of(me: MemberId, key: [u8; 16], members: impl IntoIterator<Item = Member>) -> Self {
        Members { me, key, by_id: members.into_iter().map(|member| (member.id, member)).collect() }
    }

    pub fn me(&self) -> MemberId {
        self.me
    }

    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.by_id.get(&id)
    }

    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    pub fn living(&self) -> Living<'_> {
        Box::new(self.by_id.values().filter(|member| member.lives()))
    }

    pub fn lives(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(Member::lives)
    }

    /// The living of a zone.
    pub fn of_zone<'a>(&'a self, zone: &'a str) -> Living<'a> {
        Box::new(self.living().filter(move |member| member.zone == zone))
    }

    /// Zones of all members that were ever heard of, so that a zone whose members are all gone is still one.
    pub fn zones(&self) -> BTreeSet<&str> {
        self.all().map(|member| member.zone.as_str()).collect()
    }

    /// Regions, each with its zones.
    pub fn regions(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let mut regions = BTreeMap::<_, BTreeSet<_>>::new();
        for member in self.all() {
            regions.entry(member.region.as_str()).or_default().insert(member.zone.as_str());
        }
        regions
    }

    /// The `count` living members that own a key, best first, by rendezvous hashing: when one goes only its
    /// keys move. Who sees other members alive names other owners, for as long as news of a member takes to
    /// spread (seconds); what must not have two owners even then is decided in common. One hash for each
    /// living member.
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<MemberId> {
        self.best(key, count, self.living())
    }

    /// As [`Members::owners`], among some of the members.
    pub fn best<'a>(
        &self, key: &[u8], count: usize, among: impl Iterator<Item = &'a Member>,
    ) -> Vec<MemberId> {
        let mut weighed: Vec<(u64, MemberId)> =
            among.map(|member| (self.weight(key, member.id), member.id)).collect();
        weighed.sort_unstable_by(|one, other| other.cmp(one));
        weighed.truncate(count);
        weighed.into_iter().map(|(_, id)| id).collect()
    }

    fn weight(&self, key: &[u8], id: MemberId) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.key);
        hasher.write(&id.0.to_le_bytes());
        hasher.write(key);
        hasher.finish()
    }
}
