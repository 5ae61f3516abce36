//! An owner's claims. Bounded: what is there stays until its time is over, and what has no room is refused.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::MemberId;

use super::claim::{Claim, End, Holder, Phase};
use super::wire::{ClaimOp, Item, Kept, Op, Said};
use crate::rules::Key;

/// Relays that are told of an end. Beyond these they ask again, after a while.
const MOST_WAITERS: usize = 4;
/// Expired claims that are dropped at a time, so that no step takes long.
const MOST_SWEPT: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    pub most_claims: usize,
    /// Of the answers kept, all together.
    pub most_answer_bytes: usize,
}

/// Mistakes that can be planted, to see that they are found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Faults {
    /// A claim whose holder is not heard of passes on, though it may have run and must not twice.
    pub forgets_runs: bool,
    /// An end frees the key.
    pub forgets_ends: bool,
}

/// What became of an item: the word for the asker, and whom else to tell that they may look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub said: Said,
    pub tell: Vec<MemberId>,
}

impl From<Said> for Outcome {
    fn from(said: Said) -> Self {
        Outcome { said, tell: Vec::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    limits: Limits,
    claims: BTreeMap<Key, Claim>,
    by_expiry: BTreeSet<(Micros, Key)>,
    answer_bytes: usize,
    faults: Faults,
}

impl Table {
    pub fn new(limits: Limits) -> Self {
        Self::with_faults(limits, Faults::default())
    }

    /// For tests only.
    pub fn with_faults(limits: Limits, faults: Faults) -> Self {
        let (claims, by_expiry) = (BTreeMap::new(), BTreeSet::new());
        Table { limits, claims, by_expiry, answer_bytes: 0, faults }
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub fn get(&self, key: Key) -> Option<&Claim> {
        self.claims.get(&key)
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Claims behind a key, in their order.
    pub fn behind(&self, key: Option<Key>) -> impl Iterator<Item = (Key, &Claim)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = key.map_or(Unbounded, Excluded);
        self.claims.range((from, Unbounded)).map(|(key, claim)| (*key, claim))
    }

    /// Takes an item of a relay's process. `ready` is whether all is known that earlier owners knew of the
    /// key, `lives` whether a process is thought to run.
    pub fn take(
        &mut self, now: Micros, from: (MemberId, u32), item: Item, ready: bool,
        lives: impl Fn(Holder) -> bool,
    ) -> Outcome {
        self.sweep(now);
        let Item { key, handle, ballot, op } = item;
        let holder = Holder { member: from.0, incarnation: from.1, handle };
        match op {
            Op::Claim(op) => self.claim(now, key, holder, ballot, op, ready, lives),
            Op::End { end, window_s } => {
                let window = Micros::from(window_s) * 1_000_000;
                self.end(now, key, holder, ballot, end, window)
            }
            Op::Release => self.release(key, holder, ballot),
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one item")]
    fn claim(
        &mut self, now: Micros, key: Key, holder: Holder, ballot: u32, op: ClaimOp, ready: bool,
        lives: impl Fn(Holder) -> bool,
    ) -> Outcome {
        let Some(claim) = self.claims.get_mut(&key) else {
            if !ready {
                return Said::NotReady.into();
            }
            if self.claims.len() >= self.limits.most_claims {
                return Said::Full.into();
            }
            let said = Said::Granted { may_have_run: false };
            self.insert(key, granted(now, holder, ballot, op));
            return said.into();
        };
        if let Some(differs) = compare(claim, holder, &op.prints) {
            return differs.into();
        }
        if let Phase::Done(end) = &claim.phase {
            return Said::Done(end.clone()).into();
        }
        if claim.contested {
            return Said::Uncertain.into();
        }
        let mine = claim.holder == holder;
        let theirs = claim.holder;
        let resumed = op.resumed && theirs.member == holder.member && theirs.incarnation < holder.incarnation;
        let left = claim.is_left(now, lives(theirs));
        let passes = left && (claim.bold || claim.phase == Phase::Claimed || self.faults.forgets_runs);
        if mine && ballot < claim.ballot {
            // Said late, of a try that was given up since.
            return Said::Held.into();
        }
        if !(mine || resumed || passes) {
            if !claim.waiters.contains(&holder.member) && claim.waiters.len() < MOST_WAITERS {
                claim.waiters.push(holder.member);
            }
            return if left { Said::Uncertain.into() } else { Said::Held.into() };
        }
        // Danger: another owner of old may know of another one that it granted.
        if !ready {
            return Said::NotReady.into();
        }
        let may_have_run = claim.phase == Phase::Running && !mine;
        let ran = claim.phase == Phase::Running || op.running;
        claim.phase = if ran { Phase::Running } else { Phase::Claimed };
        (claim.holder, claim.ballot, claim.lease) = (holder, ballot, now + op.lease());
        let (before, expires) = (claim.expires, claim.expires.max(now + op.keep()));
        claim.expires = expires;
        self.by_expiry.remove(&(before, key));
        self.by_expiry.insert((expires, key));
        Said::Granted { may_have_run }.into()
    }

    fn end(
        &mut self, now: Micros, key: Key, holder: Holder, ballot: u32, end: End, window: Micros,
    ) -> Outcome {
        let known = self.claims.get(&key);
        if known.is_some_and(Claim::is_done) {
            return Said::Noted.into();
        }
        if self.faults.forgets_ends {
            self.remove(key);
            return Said::Noted.into();
        }
        if known.is_none() && self.claims.len() >= self.limits.most_claims {
            return Said::Full.into();
        }
        let (mut end, _) = end.cut();
        // That it ended matters more than what was answered.
        if self.answer_bytes + end.answer().len() > self.limits.most_answer_bytes {
            end = end.without_answer();
        }
        // Danger: a claim that was to be kept for longer, since another message runs until its deadline,
        // must not be forgotten sooner.
        let expires = known.map_or(0, |claim| claim.expires).max(now + window);
        let mut claim = self.remove(key).unwrap_or_else(|| ended(holder, ballot, expires));
        let tell = std::mem::take(&mut claim.waiters);
        (claim.phase, claim.expires) = (Phase::Done(end), expires);
        self.insert(key, claim);
        Outcome { said: Said::Noted, tell }
    }

    fn release(&mut self, key: Key, holder: Holder, ballot: u32) -> Outcome {
        let mine = |claim: &&Claim| claim.holder == holder && claim.ballot <= ballot;
        let held =
            self.claims.get(&key).filter(mine).is_some_and(|claim| !claim.is_done() && !claim.contested);
        let tell = if held { self.remove(key).map(|claim| claim.waiters) } else { None };
        Outcome { said: Said::Noted, tell: tell.unwrap_or_default() }
    }

    /// Adds what an earlier owner knew. Taken beyond the bound of new claims, up to twice of it: it was
    /// promised.
    pub fn adopt(&mut self, now: Micros, kept: Kept) -> bool {
        let (key, mut claim) = kept.claim(now);
        if let Some(mine) = self.remove(key) {
            let theirs = std::mem::replace(&mut claim, mine);
            claim.join(theirs);
        } else if self.claims.len() >= 2 * self.limits.most_claims {
            return false;
        }
        self.insert(key, claim);
        true
    }

    /// Drops claims whose time is over, some at a time.
    pub fn sweep(&mut self, now: Micros) {
        for _ in 0..MOST_SWEPT {
            let Some((_, key)) = self.by_expiry.first().filter(|first| first.0 <= now).copied() else {
                break;
            };
            self.remove(key);
        }
    }

    pub fn next_expiry(&self) -> Option<Micros> {
        self.by_expiry.first().map(|first| first.0)
    }

    fn insert(&mut self, key: Key, claim: Claim) {
        self.answer_bytes += claim.answer_bytes();
        self.by_expiry.insert((claim.expires, key));
        self.claims.insert(key, claim);
    }

    fn remove(&mut self, key: Key) -> Option<Claim> {
        let claim = self.claims.remove(&key)?;
        self.answer_bytes -= claim.answer_bytes();
        self.by_expiry.remove(&(claim.expires, key));
        Some(claim)
    }
}

fn granted(now: Micros, holder: Holder, ballot: u32, op: ClaimOp) -> Claim {
    Claim {
        holder,
        ballot,
        phase: if op.running { Phase::Running } else { Phase::Claimed },
        bold: op.bold,
        contested: false,
        lease: now + op.lease(),
        expires: now + op.keep(),
        prints: op.prints.into(),
        blank: 0,
        differed: 0,
        waiters: Vec::new(),
    }
}

fn ended(holder: Holder, ballot: u32, expires: Micros) -> Claim {
    let phase = Phase::Running;
    let (contested, bold, prints, waiters) = (false, false, Box::default(), Vec::new());
    let (lease, blank, differed) = (0, 0, 0);
    Claim { holder, ballot, phase, bold, contested, lease, expires, prints, blank, differed, waiters }
}

/// What keeps a message apart from the claimed one; what it adds is noted otherwise.
fn compare(claim: &mut Claim, holder: Holder, prints: &[Option<u64>]) -> Option<Said> {
    let pairs = || claim.prints.iter().zip(prints).enumerate();
    let differs = pairs().find(|(_, (known, print))| known.is_some() && print.is_some() && known != print);
    if let Some((part, _)) = differs {
        claim.differed |= bit(part);
        let proof = claim.blank & bit(part) != 0;
        return Some(Said::Differs { part: part as u16, proof, ambiguous: false });
    }
    let unclear = pairs().find(|(part, (_, print))| print.is_none() && claim.differed & bit(*part) != 0);
    if let Some((part, _)) = unclear.filter(|_| claim.holder != holder) {
        return Some(Said::Differs { part: part as u16, proof: false, ambiguous: true });
    }
    for (part, (known, print)) in claim.prints.iter_mut().zip(prints).enumerate() {
        if known.is_some() != print.is_some() && claim.holder != holder {
            claim.blank |= bit(part);
        }
        *known = known.or(*print);
    }
    None
}

fn bit(part: usize) -> u32 {
    1u32.checked_shl(part as u32).unwrap_or(0)
}
