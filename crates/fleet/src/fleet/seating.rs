//! Who votes, as the leader sees it.

use super::{Fleet, Role};
use crate::interface::{Member, MemberId, MemberState, Micros, Severity, VoterId};
use crate::log::{Seat, Voters, next_change};

/// A voter that left is replaced after so long: it may only be started anew.
const AFTER_LEAVING: Micros = 10_000_000;

impl Fleet {
    pub(super) fn look_at_seats(&mut self, now: Micros) {
        let Role::Seated(voter) = &self.role else { return };
        let seats = voter.seats();
        let (voters, learners) = (seats.voters, seats.learners);
        let lives = voter.lives().clone();
        let me = self.config.me;
        let places: Vec<MemberId> = voters.iter().chain(&learners).map(|id| id.place).collect();
        self.away.retain(|place, _| places.contains(place));
        for place in places {
            let state = self.view.members().get(place).map(|member| member.state);
            match state {
                Some(MemberState::Alive | MemberState::Suspect) => drop(self.away.remove(&place)),
                _ if place == me => {}
                _ => drop(self.away.entry(place).or_insert(now)),
            }
        }
        let Role::Seated(voter) = &self.role else { return };
        let seat = |id: &VoterId| self.seat(now, *id, voter.caught_up(*id));
        let (seats, learning): (Vec<Seat>, Vec<Seat>) =
            (voters.iter().map(seat).collect(), learners.iter().map(seat).collect());
        let living: Vec<&Member> = self.view.members().living().collect();
        let wanted = self.config.voters.len();
        // Danger: a zone that comes and goes would have voters moved to and fro.
        let steady = now >= self.steady_since + self.config.times.replace;
        let change = next_change(&seats, &learning, wanted, me, &living, &lives, steady);
        if let Some(change) = change {
            self.log(Severity::Info, format!("the voters change: {change:?}"));
            if let Role::Seated(voter) = &mut self.role {
                voter.change(change);
            }
        }
    }

    fn seat(&self, now: Micros, id: VoterId, caught_up: bool) -> Seat {
        let member = self.view.members().get(id.place);
        let zone = member.map_or_else(String::new, |member| member.zone.clone());
        let left = member.is_some_and(|member| member.state == MemberState::Left);
        let most = if left { AFTER_LEAVING } else { self.config.times.replace };
        let away = self.away.get(&id.place).is_some_and(|since| now >= since + most);
        Seat { id, zone, away: away || self.gone_voters.contains(&id), caught_up }
    }

    /// Another member's word of who votes.
    pub(super) fn take_voters(&mut self, voters: &Voters) {
        if voters.at > self.voters.at {
            self.voters.clone_from(voters);
            self.look_whether_seated();
        }
    }

    /// A member that others say has no seat gives it up: a voter that was removed while it was away is not
    /// told so by the log.
    pub(super) fn look_whether_seated(&mut self) {
        let Role::Seated(voter) = &self.role else { return };
        if !self.voters.seats(voter.id()) && self.voters.at > voter.seats().at {
            self.log(Severity::Info, "another member votes in place of this one now".to_owned());
            self.give_up_seat();
        }
    }
}
