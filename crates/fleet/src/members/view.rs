//! What others see of the members: the gossip's states, told apart further, with the profiles.

use std::collections::BTreeMap;

use foca::State;

use super::profiles::Profiles;
use crate::identity::Identity;
use crate::interface::{Member, MemberId, MemberState, Members, Micros};

/// Who is heard so long after it was declared dead, and has not come back by its own word, does not hear.
/// What was on its way at that moment has come by then.
const STILL_HEARD: Micros = 1_000_000;
/// A deaf member that is not heard for so long is dead.
const FELL_SILENT: Micros = 15_000_000;

/// A member is seen otherwise than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub id: MemberId,
    pub incarnation: u32,
    pub before: Option<MemberState>,
    pub now: MemberState,
    /// It came back from the dead as the same process: it was stalled or cut off.
    pub same_process: bool,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    identity: Identity,
    state: MemberState,
    since: Micros,
    /// When a datagram of this process came in.
    heard: Option<Micros>,
    doubt: u8,
}

#[derive(Debug)]
pub struct View {
    seen: BTreeMap<MemberId, Seen>,
    /// What the gossip said of each place when all were looked at last.
    looked: Vec<Option<(Identity, State)>>,
    members: Members,
}

impl View {
    pub fn new(me: Member, key: [u8; 16]) -> Self {
        View { seen: BTreeMap::new(), looked: Vec::new(), members: Members::of(me.id, key, [me]) }
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// This member's own word of itself.
    pub fn myself(&mut self, incarnation: u32, doubt: u8) {
        let me = self.members.me;
        if let Some(member) = self.members.by_id.get_mut(&me) {
            (member.incarnation, member.doubt) = (incarnation, doubt);
        }
    }

    /// A datagram came from a member, whatever it said.
    pub fn heard(&mut self, now: Micros, place: MemberId, incarnation: u32, doubt: u8) {
        if let Some(seen) = self.seen.get_mut(&place).filter(|seen| seen.identity.incarnation == incarnation)
        {
            seen.heard = Some(now);
            if seen.doubt != doubt {
                seen.doubt = doubt;
                if let Some(member) = self.members.by_id.get_mut(&place) {
                    member.doubt = doubt;
                }
            }
        }
    }

    /// Brings one member up to date, if there is anything new of it since it was last looked at. Whoever
    /// was declared dead is looked at anew each time, since it may still be heard.
    pub fn look(
        &mut self, now: Micros, identity: Identity, state: State, profiles: &Profiles,
    ) -> Option<Change> {
        let place = usize::from(identity.place.0);
        if self.looked.len() <= place {
            self.looked.resize(place + 1, None);
        }
        let told = self.looked[place].replace((identity, state));
        if told == Some((identity, state)) && state != State::Down {
            return None;
        }
        self.update(now, identity, state, profiles)
    }

    /// Brings one member up to date with the gossip; a change, if it is one that others are told.
    pub fn update(
        &mut self, now: Micros, identity: Identity, state: State, profiles: &Profiles,
    ) -> Option<Change> {
        let id = identity.place;
        let before = self.seen.get(&id).copied();
        let same = before.filter(|seen| seen.identity.incarnation == identity.incarnation);
        let heard = same.and_then(|seen| seen.heard);
        let down = matches!(state, State::Down);
        // Since when it is what it is: a deaf member has been dead since it was declared so.
        let gone = same.filter(|seen| matches!(seen.state, MemberState::Dead | MemberState::Deaf));
        let since = gone.filter(|seen| down && seen.identity == identity).map_or(now, |seen| seen.since);
        let hears_not = heard.is_some_and(|at| at > since + STILL_HEARD && now < at + FELL_SILENT);
        let state = match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down if identity.leaves() => MemberState::Left,
            State::Down if hears_not => MemberState::Deaf,
            State::Down => MemberState::Dead,
        };
        let doubt = same.map_or(0, |seen| seen.doubt);
        self.seen.insert(id, Seen { identity, state, since, heard, doubt });
        let known = self.show(id, profiles);
        let shown = known?;
        let other =
            shown.is_none_or(|(shown, incarnation)| shown != state || incarnation != identity.incarnation);
        let was_gone = same.is_some_and(|seen| matches!(seen.state, MemberState::Dead | MemberState::Deaf));
        let same_process = was_gone && matches!(state, MemberState::Alive | MemberState::Suspect);
        let before = shown.map(|(shown, _)| shown);
        other.then_some(Change { id, incarnation: identity.incarnation, before, now: state, same_process })
    }

    /// Puts a member into the view if it has said who it is; what it was shown as before.
    fn show(&mut self, id: MemberId, profiles: &Profiles) -> Option<Option<(MemberState, u32)>> {
        let seen = self.seen.get(&id)?;
        let profile = profiles.of(id)?;
        if let Some(member) = self.members.by_id.get_mut(&id) {
            let before = (member.state, member.incarnation);
            (member.state, member.doubt) = (seen.state, seen.doubt);
            if member.incarnation != seen.identity.incarnation || member.name != profile.name {
                *member = shown(id, seen, profile);
            }
            return Some(Some(before));
        }
        self.members.by_id.insert(id, shown(id, seen, profile));
        Some(None)
    }

    /// A member said who it is.
    pub fn introduced(&mut self, id: MemberId, profiles: &Profiles) -> Option<Change> {
        let seen = *self.seen.get(&id)?;
        let new = !self.members.by_id.contains_key(&id);
        let profile = profiles.of(id)?;
        self.members.by_id.insert(id, shown(id, &seen, profile));
        let (incarnation, now) = (seen.identity.incarnation, seen.state);
        new.then_some(Change { id, incarnation, before: None, now, same_process: false })
    }
}

fn shown(id: MemberId, seen: &Seen, profile: &crate::envelope::Profile) -> Member {
    Member {
        id,
        name: profile.name.clone(),
        incarnation: seen.identity.incarnation,
        zone: profile.zone.clone(),
        region: profile.region.clone(),
        version: profile.version,
        address: profile.address,
        state: seen.state,
        doubt: seen.doubt,
    }
}
