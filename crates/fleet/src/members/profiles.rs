//! Who the members say they are. A profile is too long for the gossip; each member asks each other one for
//! its own.

use std::collections::BTreeMap;

use rand::Rng;

use crate::envelope::Profile;
use crate::interface::{MemberId, Micros};

/// An asking that has no answer is made again after so long, then after twice that, up to `LONGEST`.
const FIRST: Micros = 500_000;
const LONGEST: Micros = 8_000_000;
/// A new process is asked by all others: they spread over so long for each of them.
const SPREAD_EACH: Micros = 2_000;
/// At most so many are asked at a time.
const AT_ONCE: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Wanted {
    incarnation: u32,
    at: Micros,
    pause: Micros,
}

#[derive(Debug, Default)]
pub struct Profiles {
    known: BTreeMap<MemberId, (u32, Profile)>,
    wanted: BTreeMap<MemberId, Wanted>,
}

impl Profiles {
    /// The newest of a place, be it of an earlier process.
    pub fn of(&self, place: MemberId) -> Option<&Profile> {
        self.known.get(&place).map(|(_, profile)| profile)
    }

    /// A process was heard of.
    pub fn heard_of(
        &mut self, now: Micros, place: MemberId, incarnation: u32, peers: u16, rng: &mut impl Rng,
    ) {
        let known = self.known.get(&place).is_some_and(|(known, _)| *known >= incarnation);
        let asked = self.wanted.get(&place).is_some_and(|wanted| wanted.incarnation >= incarnation);
        if !known && !asked {
            let spread = rng.random_range(0..=SPREAD_EACH * Micros::from(peers));
            self.wanted.insert(place, Wanted { incarnation, at: now + spread, pause: FIRST });
        }
    }

    pub fn learn(&mut self, place: MemberId, incarnation: u32, profile: Profile) {
        let newer = self.known.get(&place).is_none_or(|(known, _)| *known <= incarnation);
        if newer {
            self.known.insert(place, (incarnation, profile));
            self.wanted.remove(&place);
        }
    }

    /// Who is to be asked now.
    pub fn due(&mut self, now: Micros) -> Vec<MemberId> {
        let due = self.wanted.iter_mut().filter(|(_, wanted)| wanted.at <= now).take(AT_ONCE);
        due.map(|(place, wanted)| {
            wanted.at = now + wanted.pause;
            wanted.pause = (wanted.pause * 2).min(LONGEST);
            *place
        })
        .collect()
    }
}
