//! Who owns keys, as it is decided in common. Members differ for seconds in whom they see alive, so that two
//! claimants could each find two owners that the other does not ask; what is decided has one epoch.

use std::collections::BTreeSet;

use pewterseam_fleet::interface::{Epoch, Kind, Matter, Member, MemberId, MemberState, Members};
use serde::{Deserialize, Serialize};

use crate::rules::Key;

/// Owners of a key.
pub const OWNERS: usize = 3;

/// Owners that make a claim, of so many that a key has (less than three only in the smallest fleets). Any two
/// such sets have an owner in common.
pub fn quorum(owners: usize) -> usize {
    owners / 2 + 1
}

/// Processes that own keys. More don't make a key safer, and each change of them has to fit into a decision
/// with those before it.
pub const MOST_SEATS: usize = 48;
/// Earlier rosters that are kept; with as many the next change waits until one is over.
pub const MOST_PAST: usize = 48;

/// A process that owns keys. A restarted one has another incarnation, and remembers nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub member: MemberId,
    pub incarnation: u32,
    /// The number of its zone in this roster.
    pub zone: u8,
}

/// Who owned keys before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    pub epoch: Epoch,
    pub seats: Vec<Seat>,
    /// How long it had been replaced when this was decided, in seconds.
    pub age_s: u32,
}

/// Who owns keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// In the order of members.
    pub seats: Vec<Seat>,
    /// For rendezvous hashing; stays the same.
    pub salt: [u8; 16],
    /// Those whose claims may still count, newest first.
    pub before: Vec<Past>,
    /// Claims last so long at the most, in seconds: earlier rosters count until then.
    pub keep_s: u32,
}

impl Matter for Roster {
    const KIND: Kind = Kind(Kind::VARIANTS.0 + 2);
    type Subject = ();

    fn subject(&self) {}
}

/// Seats ready for looking owners up.
#[derive(Clone, Debug)]
pub struct Owners {
    pub seats: Vec<Seat>,
    hashing: Members,
}

impl Owners {
    pub fn new(seats: &[Seat], salt: [u8; 16]) -> Self {
        let member = |seat: &Seat| Member {
            id: seat.member,
            name: String::new(),
            incarnation: seat.incarnation,
            zone: String::new(),
            region: String::new(),
            version: 0,
            address: ([127, 0, 0, 1], 0).into(),
            state: MemberState::Alive,
            doubt: 0,
        };
        let hashing = Members::of(MemberId::default(), salt, seats.iter().map(member));
        Owners { seats: seats.to_vec(), hashing }
    }

    /// The owners of a key, best first, in different zones as far as there are such, so that a zone that is
    /// lost takes one of them.
    pub fn of(&self, key: Key) -> Vec<Seat> {
        let ranked = self.hashing.owners(&key.0, self.seats.len());
        let seat = |id: MemberId| self.seats.iter().find(|seat| seat.member == id).copied();
        let ranked: Vec<Seat> = ranked.into_iter().filter_map(seat).collect();
        let mut zones = BTreeSet::new();
        let (mut first, rest): (Vec<Seat>, Vec<Seat>) =
            ranked.into_iter().partition(|seat| zones.len() < OWNERS && zones.insert(seat.zone));
        first.extend(rest);
        first.truncate(OWNERS);
        first
    }

    /// Whether a process, by member and incarnation, has a seat.
    pub fn has(&self, process: (MemberId, u32)) -> bool {
        self.seats.iter().any(|of| (of.member, of.incarnation) == process)
    }
}

impl Roster {
    /// The seats for these members: those that live, as many as may be, those that have a seat first, and
    /// evenly from all zones.
    pub fn seats_for(&self, members: &Members) -> Vec<Seat> {
        let zones: Vec<&str> = members.zones().into_iter().collect();
        let zone = |member: &Member| zones.iter().position(|zone| *zone == member.zone).unwrap_or(0) as u8;
        let seated = |member: &Member| {
            self.seats.iter().any(|seat| seat.member == member.id && seat.incarnation == member.incarnation)
        };
        let mut taken = vec![0usize; zones.len().max(1)];
        let mut ranked: Vec<(bool, usize, Seat)> = Vec::new();
        let mut living: Vec<&Member> = members.living().collect();
        living.sort_by_key(|member| (!seated(member), member.id));
        for member in living {
            let zone = zone(member);
            let place = &mut taken[usize::from(zone)];
            let seat = Seat { member: member.id, incarnation: member.incarnation, zone };
            ranked.push((!seated(member), *place, seat));
            *place += 1;
        }
        ranked.sort_unstable();
        let mut seats: Vec<Seat> = ranked.into_iter().map(|(_, _, seat)| seat).take(MOST_SEATS).collect();
        seats.sort_unstable();
        seats
    }
}
