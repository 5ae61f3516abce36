//! Whether an owner knows what earlier owners knew.
//!
//! A claim is with two of the three owners of its key under the roster by which it was made. An owner may
//! speak for a key once, of each earlier roster that still counts, it was an owner of the key itself, or two
//! of the three owners have told it all that they know, or the same holds of a later roster whose owners
//! knew all by then. With it any two owners of today have a claim of any day: either one of them was told by
//! two, or both were owners then.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{Epoch, MemberId};

use super::roster::{OWNERS, Owners, Roster, Seat, quorum};
use crate::rules::Key;

const SECOND: Micros = 1_000_000;

#[derive(Clone, Debug)]
struct Earlier {
    epoch: Epoch,
    owners: Owners,
    /// Its claims are over then.
    ends: Micros,
}

/// What one process knows of the owners of all times.
#[derive(Clone, Debug)]
pub struct Handover {
    me: (MemberId, u32),
    epoch: Epoch,
    roster: Roster,
    owners: Owners,
    earlier: Vec<Earlier>,
    /// Who told all that it knows since it knew of this roster, and up to which roster it knew all itself.
    told: BTreeMap<(MemberId, u32), Epoch>,
    /// The newest roster of which this process knew all.
    complete: Epoch,
}

impl Handover {
    pub fn new(me: (MemberId, u32)) -> Self {
        let owners = Owners::new(&[], [0; 16]);
        let (epoch, roster) = (Epoch(0), Roster::default());
        Handover { me, epoch, roster, owners, earlier: Vec::new(), told: BTreeMap::new(), complete: Epoch(0) }
    }

    /// The epoch of the roster in force; 0 before the first.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    pub fn owners(&self, key: Key) -> Vec<Seat> {
        self.owners.of(key)
    }

    /// Who has a seat.
    pub fn seats(&self) -> &[Seat] {
        &self.owners.seats
    }

    pub fn complete(&self) -> Epoch {
        self.complete
    }

    pub fn is_complete(&self) -> bool {
        self.complete == self.epoch
    }

    /// A roster was decided.
    pub fn decided(&mut self, now: Micros, epoch: Epoch, roster: Roster) {
        if epoch <= self.epoch {
            return;
        }
        self.owners = Owners::new(&roster.seats, roster.salt);
        let ends = |age_s: u32| now + Micros::from(roster.keep_s.saturating_sub(age_s)) * SECOND;
        let earlier = roster.before.iter().map(|past| Earlier {
            epoch: past.epoch,
            owners: Owners::new(&past.seats, roster.salt),
            ends: ends(past.age_s),
        });
        self.earlier = earlier.collect();
        (self.epoch, self.roster) = (epoch, roster);
        self.told.clear();
        self.look(now);
    }

    /// Whom to ask for what they know: processes that had a seat once, and did not tell yet.
    pub fn to_ask(&self, now: Micros) -> BTreeSet<MemberId> {
        if self.is_complete() || !self.owners.has(self.me) {
            return BTreeSet::new();
        }
        let seats = self.earlier.iter().filter(|earlier| earlier.ends > now).flat_map(|of| &of.owners.seats);
        let others = seats.filter(|seat| seat.member != self.me.0);
        // A later process of a member has told what it knows, and the one that had the seat is gone.
        let told: BTreeSet<MemberId> = self.told.keys().map(|(member, _)| *member).collect();
        let silent = others.filter(|seat| !told.contains(&seat.member));
        silent.map(|seat| seat.member).collect()
    }

    /// A process told all, under this roster, to the end.
    pub fn told(&mut self, now: Micros, from: (MemberId, u32), complete: Epoch) {
        self.told.insert(from, complete);
        self.look(now);
    }

    /// Time passes: earlier rosters end.
    pub fn look(&mut self, now: Micros) {
        self.earlier.retain(|earlier| earlier.ends > now);
        let all = self.earlier.iter().all(|of| {
            let heard = missing(of, |seat| self.heard(seat)) <= spare(of);
            let mut later = self.earlier.iter().filter(|later| later.epoch >= of.epoch);
            heard || later.any(|of| missing(of, |seat| self.vouches(seat, of.epoch)) <= spare(of))
        });
        if all && self.owners.has(self.me) {
            self.complete = self.epoch;
        }
    }

    pub fn next_end(&self) -> Option<Micros> {
        if self.is_complete() { None } else { self.earlier.iter().map(|earlier| earlier.ends).min() }
    }

    /// Whether this process may speak for a key.
    pub fn is_ready(&self, key: Key) -> bool {
        let mine = |owners: &[Seat]| owners.iter().any(|seat| (seat.member, seat.incarnation) == self.me);
        let owners = self.owners(key);
        if !mine(&owners) {
            return false;
        }
        // Two owners of today who were owners then have all of then between them, one alone has not.
        let together = owners.len() > 1;
        let enough = |owners: &[Seat]| owners.len() + 1 - quorum(owners.len());
        let knows = |of: &Earlier| {
            let owners = of.owners.of(key);
            let heard = owners.iter().filter(|seat| self.heard(**seat)).count();
            together && mine(&owners) || heard >= enough(&owners)
        };
        let covers = |of: &Earlier| {
            let owners = of.owners.of(key);
            let vouching = owners.iter().filter(|seat| self.vouches(**seat, of.epoch)).count();
            together && mine(&owners) && self.complete >= of.epoch || vouching >= enough(&owners)
        };
        let known = |of: &Earlier| {
            knows(of) || self.earlier.iter().filter(|later| later.epoch >= of.epoch).any(covers)
        };
        self.is_complete() || self.earlier.iter().all(known)
    }

    fn heard(&self, seat: Seat) -> bool {
        (seat.member, seat.incarnation) == self.me || self.told.contains_key(&(seat.member, seat.incarnation))
    }

    fn vouches(&self, seat: Seat, epoch: Epoch) -> bool {
        let id = (seat.member, seat.incarnation);
        if id == self.me { self.complete >= epoch } else { self.told.get(&id).is_some_and(|up| *up >= epoch) }
    }

    /// Whether a process has to be told a claim: it owns the key, and did not always.
    pub fn wants(&self, member: MemberId, key: Key) -> bool {
        let has = |owners: &Owners| owners.of(key).into_iter().find(|seat| seat.member == member);
        let Some(seat) = has(&self.owners) else { return false };
        let same = |of: Seat| of.incarnation == seat.incarnation;
        !self.earlier.iter().all(|past| has(&past.owners).is_some_and(same))
    }
}

/// Owners of a roster that may be missing without any key lacking too many.
fn spare(of: &Earlier) -> usize {
    quorum(of.owners.seats.len().min(OWNERS)).saturating_sub(1)
}

fn missing(of: &Earlier, heard: impl Fn(Seat) -> bool) -> usize {
    of.owners.seats.iter().filter(|seat| !heard(**seat)).count()
}
