//! Whether a voter's folder is the one it had: asked of the others before it votes or acknowledges anything.
//!
//! A folder that was lost, or put back from yesterday, does not know what the voter promised since. Two
//! things guard against it. Each batch of promises has a mark that grows, and others remember the newest
//! mark they saw: a folder with a lower one is an old one, and the seat is given up. And what a voter
//! promised counted only together with a majority: of any majority with it, one of the others is among the
//! `n - q + 1` that have to answer (`n` voters, `q` a majority). It knows the term and the entries. So the
//! voter takes the highest term that it is told as one in which it has voted, and until its log goes as far
//! as the longest it is told of, it votes only for logs that do.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::voter::Voters;
use crate::interface::{MemberId, Micros, VoterId};

/// Between two askings of the same member.
const AGAIN: Micros = 250_000;
const LONGEST: Micros = 5_000_000;
/// After so long a folder is taken for what it says if too few voters answer for a proof, but enough for a
/// majority with this one, and no member knows better: with two of three voters there, one that was started
/// anew has to be taken at its word, or the fleet decides nothing until the third is back.
const TRUST: Micros = 10_000_000;
/// How many members beside the voters are asked for marks.
pub const WITNESSES: usize = 8;

/// What a folder says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub me: MemberId,
    pub life: u32,
    pub mark: u64,
    /// The folder has nothing of a voter: it is new, or it was lost.
    pub blank: bool,
    /// The seat of this life is known to be lost: only a seat of a later one is to be had.
    pub lost: bool,
    pub voters: Vec<MemberId>,
}

/// What a member answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knows {
    /// Newest life and mark of the asker that it saw.
    pub of_you: Option<(u32, u64)>,
    /// If it is a voter, proven or not: its term, and its last entry's term and index.
    pub voter: Option<(u64, (u64, u64))>,
    /// It is to be a voter by its file, and its folder has nothing, or is not the one it had.
    pub blank: bool,
    /// Of the voters that its file names: those of one fleet must agree on who began it.
    pub file: u64,
    /// Who votes, as far as it knows.
    pub voters: Voters,
}

/// What the others' word bounds a voter's votes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    pub term: u64,
    pub last: (u64, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Wait,
    Proven(Floor),
    /// The folder is not the one it had. Others know this life, and a later one has to follow.
    Lost {
        life: u32,
    },
    /// All voters lost their folders: they begin anew under this life.
    Anew {
        life: u32,
    },
}

/// Until a member is asked again.
fn pause(often: u32) -> Micros {
    (AGAIN << often.min(5)).min(LONGEST)
}

#[derive(Debug)]
pub struct Proof {
    claim: Claim,
    since: Micros,
    looked: Option<Micros>,
    /// When a member was asked last, and how often.
    asked: BTreeMap<MemberId, (Micros, u32)>,
    answers: BTreeMap<MemberId, Knows>,
}

impl Proof {
    pub fn new(now: Micros, claim: Claim) -> Self {
        Proof { claim, since: now, looked: None, asked: BTreeMap::new(), answers: BTreeMap::new() }
    }

    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    fn others(&self) -> impl Iterator<Item = MemberId> {
        self.claim.voters.iter().copied().filter(|place| *place != self.claim.me)
    }

    /// Whom to ask now: the other voters and some members.
    pub fn ask(&mut self, now: Micros, witnesses: impl Iterator<Item = MemberId>) -> Vec<MemberId> {
        if self.looked.is_some_and(|at| now < at + AGAIN) {
            return Vec::new();
        }
        self.looked = Some(now);
        let all: Vec<MemberId> = self.others().chain(witnesses.take(WITNESSES)).collect();
        // Answers grow old while a seat is to be had only if all others lost theirs too.
        let voter = |place: &MemberId| self.claim.voters.contains(place);
        let told = |place: &MemberId| {
            self.answers.get(place).is_some_and(|knows| knows.voter.is_some() || !voter(place))
        };
        let wanted = |place: &MemberId| self.claim.lost || !told(place);
        let due =
            |place: &MemberId| self.asked.get(place).is_none_or(|(at, often)| now >= at + pause(*often));
        let due: Vec<MemberId> = all.into_iter().filter(wanted).filter(due).collect();
        for place in &due {
            let asked = self.asked.entry(*place).or_insert((now, 0));
            *asked = (now, asked.1 + 1);
        }
        due
    }

    /// When to look again.
    pub fn wake(&self) -> Micros {
        self.looked.map_or(self.since, |at| at + AGAIN)
    }

    pub fn answered(&mut self, from: MemberId, knows: Knows) {
        self.answers.insert(from, knows);
    }

    /// A newer mark of this place was heard of by another way.
    pub fn heard(&mut self, life: u32, mark: u64) {
        let of_you = Some((life, mark));
        let knows = Knows { of_you, voter: None, blank: false, file: 0, voters: Voters::default() };
        if (life, mark) > (self.claim.life, self.claim.mark) {
            self.answers.insert(self.claim.me, knows);
        }
    }

    /// Whether all voters lost what they had, and nobody knows of others.
    fn anew(&self, file: u64) -> Verdict {
        let blank = |place: MemberId| {
            self.answers
                .get(&place)
                .is_some_and(|knows| knows.blank && knows.voter.is_none() && knows.file == file)
        };
        // Voters that the file does not name: the log lives on with them.
        let named = |voter: &VoterId| self.claim.voters.contains(&voter.place);
        let elsewhere = self.answers.values().any(|knows| !knows.voters.voters.iter().all(named));
        if elsewhere || !self.others().all(blank) {
            return Verdict::Wait;
        }
        // All of them were told of the same lives by now, or the first that begins is followed by the others.
        let known = self.answers.values().filter_map(|knows| knows.of_you).map(|(life, _)| life).max();
        Verdict::Anew { life: known.unwrap_or(0).max(self.claim.life) + 1 }
    }

    /// Whether a seat that the log gave this place may be taken with nothing in the folder: no earlier
    /// process of it can have promised anything as that voter. Danger: a voter that lost its folder twice
    /// would take the seat that it had, and vote again. As many answer as decide, so that who votes by the
    /// newest of them is what was decided, and none of them saw a mark of that life or a later one.
    pub fn may_sit(&self, seat: VoterId) -> bool {
        let newest = self.answers.values().map(|knows| &knows.voters).max_by_key(|voters| voters.at);
        let Some(voters) = newest.filter(|voters| !voters.voters.is_empty()) else { return false };
        // A log that begins anew begins with all its voters.
        let begins = voters.at.0 == seat.life;
        let counted = |knows: &&Knows| knows.voter.is_some() || begins && knows.blank;
        let places = voters.voters.iter().map(|voter| voter.place).filter(|place| *place != seat.place);
        let told = places.filter_map(|place| self.answers.get(&place)).filter(counted).count();
        let held = voters.voters.iter().any(|voter| voter.place == seat.place && voter.life >= seat.life);
        let seen = self.answers.values().filter_map(|knows| knows.of_you).any(|(life, _)| life >= seat.life);
        told > voters.voters.len() / 2 && (begins || !held) && !seen
    }

    pub fn since(&self) -> Micros {
        self.since
    }

    pub fn verdict(&self, now: Micros, file: u64) -> Verdict {
        let known = self.answers.values().filter_map(|knows| knows.of_you).max();
        let newer = known.filter(|known| *known > (self.claim.life, self.claim.mark));
        if let Some((life, _)) = newer.filter(|(life, _)| !self.claim.lost || *life > self.claim.life) {
            return Verdict::Lost { life };
        }
        if self.claim.lost {
            return self.anew(file);
        }
        let voters: Vec<&Knows> = self.others().filter_map(|place| self.answers.get(&place)).collect();
        // Danger: two groups of voters in one fleet would both decide.
        if self.claim.blank && voters.iter().any(|knows| knows.file != file) {
            return Verdict::Wait;
        }
        let all = self.claim.voters.len();
        let majority = all / 2 + 1;
        let told: Vec<(u64, (u64, u64))> = voters.iter().filter_map(|knows| knows.voter).collect();
        let proven = told.len() > all - majority;
        let trusted = !self.claim.blank && told.len() + 1 >= majority && now >= self.since + TRUST;
        if !(proven || trusted) {
            return Verdict::Wait;
        }
        let term = told.iter().map(|(term, _)| *term).max().unwrap_or(0);
        let last = told.iter().map(|(_, last)| *last).max().unwrap_or((0, 0));
        Verdict::Proven(Floor { term, last })
    }
}

#[cfg(test)]
mod tests;
