//! Who should vote: one change at a time, from how the voters are seen.

use std::collections::{BTreeMap, BTreeSet};

use super::wire::Change;
use crate::interface::{Member, MemberId, VoterId};

/// A voter or learner, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    pub id: VoterId,
    pub zone: String,
    /// It has been away for longer than it may, or said that it lost its folder.
    pub away: bool,
    /// It has nearly all of the log.
    pub caught_up: bool,
}

/// The next change, if there should be one. A new voter first gets the log as a learner, then one that is
/// away goes, then the new one votes: so no step needs more voters than are there. Zones are
/// evened out only while the fleet is `steady`.
pub fn next_change(
    voters: &[Seat], learners: &[Seat], wanted: usize, leader: MemberId, living: &[&Member],
    lives: &BTreeMap<MemberId, u32>, steady: bool,
) -> Option<Change> {
    let away = voters.iter().find(|seat| seat.away);
    if let Some(gone) = learners.iter().find(|seat| seat.away) {
        return Some(Change::Remove(gone.id));
    }
    // One is too many where a zone has several voters and another that has members has none.
    let crowded = (steady && away.is_none()).then(|| crowded(voters, leader, living)).flatten();
    if let Some(ready) = learners.iter().find(|seat| seat.caught_up) {
        if voters.len() < wanted {
            return Some(Change::Voter(ready.id));
        }
        // Danger: of two voters that are left, none may go before the log is where it is to go on.
        let goes = away.map(|seat| seat.id).or(crowded);
        return Some(Change::Remove(goes.unwrap_or(ready.id)));
    }
    if !learners.is_empty() || away.is_none() && crowded.is_none() && voters.len() >= wanted {
        return None;
    }
    let id = candidate(voters, away, living)?;
    let life = lives.get(&id).copied().unwrap_or(0) + 1;
    Some(Change::Learner(VoterId { place: id, life }))
}

/// Who is to get a seat: first whoever had it, then of the zone with the fewest voters, the least in doubt.
fn candidate(voters: &[Seat], away: Option<&Seat>, living: &[&Member]) -> Option<MemberId> {
    let here = |id: MemberId| living.iter().any(|member| member.id == id);
    let staying = || voters.iter().filter(|seat| !seat.away);
    // Danger: a place that has its next seat already would be given one after the other.
    let once = |id: MemberId| voters.iter().filter(|seat| seat.id.place == id).count() == 1;
    if let Some(seat) = away.filter(|seat| here(seat.id.place) && once(seat.id.place)) {
        return Some(seat.id.place);
    }
    let seated: BTreeSet<MemberId> = voters.iter().map(|seat| seat.id.place).collect();
    let free = living.iter().filter(|member| !seated.contains(&member.id));
    let in_zone = |member: &Member| staying().filter(|seat| seat.zone == member.zone).count();
    free.min_by_key(|member| (in_zone(member), member.doubt, member.id)).map(|member| member.id)
}

/// A voter that another zone should have; never the leader, which would have to be elected anew.
fn crowded(voters: &[Seat], leader: MemberId, living: &[&Member]) -> Option<VoterId> {
    let count = |zone: &str| voters.iter().filter(|seat| seat.zone == zone).count();
    let lacking = living.iter().any(|member| count(&member.zone) == 0);
    let most = voters.iter().filter(|seat| seat.id.place != leader).max_by_key(|seat| count(&seat.zone))?;
    (lacking && count(&most.zone) > 1).then_some(most.id)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::MemberState;

    fn member(id: u16) -> Member {
        Member {
            id: MemberId(id),
            name: String::new(),
            incarnation: 1,
            zone: format!("zone-{}", id % 3),
            region: String::new(),
            version: 1,
            address: ([127, 0, 0, 1], 1).into(),
            state: MemberState::Alive,
            doubt: 0,
        }
    }

    fn seat(place: u16, life: u32, away: bool, caught_up: bool) -> Seat {
        let id = VoterId { place: MemberId(place), life };
        Seat { id, zone: format!("zone-{}", place % 3), away, caught_up }
    }

    fn change(voters: &[Seat], learners: &[Seat], living: &[u16], steady: bool) -> Option<Change> {
        let members: Vec<Member> = living.iter().copied().map(member).collect();
        let living: Vec<&Member> = members.iter().collect();
        let lives = [(MemberId(2), 1)].into();
        next_change(voters, learners, 3, MemberId(0), &living, &lives, steady)
    }

    fn id(place: u16, life: u32) -> VoterId {
        VoterId { place: MemberId(place), life }
    }

    #[test]
    fn a_seat_is_filled_before_the_one_that_is_away_goes_and_votes_after() {
        let voters = [seat(0, 1, false, true), seat(1, 1, false, true), seat(2, 1, true, false)];
        let living = [0, 1, 3, 4, 5];
        // Zone 2 lacks a voter once the one that is away is gone.
        assert_eq!(change(&voters, &[], &living, true), Some(Change::Learner(id(5, 1))));
        let behind = [seat(5, 1, false, false)];
        assert_eq!(change(&voters, &behind, &living, true), None);
        let ready = [seat(5, 1, false, true)];
        assert_eq!(change(&voters, &ready, &living, true), Some(Change::Remove(id(2, 1))));
        assert_eq!(change(&voters[..2], &ready, &living, true), Some(Change::Voter(id(5, 1))));
    }

    #[test]
    fn a_place_that_is_there_and_lost_its_folder_gets_its_own_seat_anew_but_once() {
        let voters = [seat(0, 1, false, true), seat(1, 1, false, true), seat(2, 1, true, false)];
        assert_eq!(change(&voters, &[], &[0, 1, 2, 3], true), Some(Change::Learner(id(2, 2))));
        let twice = [seat(0, 1, false, true), seat(2, 1, true, false), seat(2, 2, false, true)];
        assert_eq!(change(&twice, &[], &[0, 1, 2, 3], true), Some(Change::Learner(id(1, 1))));
    }

    #[test]
    fn zones_are_evened_out_only_while_the_fleet_is_steady_and_the_leader_stays() {
        let voters = [seat(0, 1, false, true), seat(3, 1, false, true), seat(1, 1, false, true)];
        assert_eq!(change(&voters, &[], &[0, 1, 3, 5], false), None);
        assert_eq!(change(&voters, &[], &[0, 1, 3, 5], true), Some(Change::Learner(id(5, 1))));
        let ready = [seat(5, 1, false, true)];
        assert_eq!(change(&voters, &ready, &[0, 1, 3, 5], true), Some(Change::Remove(id(3, 1))));
    }
}
