//! Counts of calls by how they ended, in windows.

use serde::{Deserialize, Serialize};

use crate::interface::{Micros, Outcome, SECOND};

/// The design's round: evidence is of this span where there is enough of it.
pub const ROUND: Micros = 2 * SECOND;
/// Steps in which windows move on, and in which trouble is told. Shorter ones gain little: news takes as long to
/// spread.
pub const SLOT: Micros = ROUND / SLOTS_A_ROUND as Micros;
pub const SLOTS_A_ROUND: usize = 8;
/// Slots kept, of three rounds, and rounds kept: what few calls say counts for longer.
const SLOTS: usize = 24;
const ROUNDS: usize = 8;

/// The number of the slot that a moment lies in.
pub fn slot(now: Micros) -> u64 {
    now / SLOT
}

/// Calls and probes that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// In the usual time.
    pub served: u32,
    /// Served, in far more than the usual time.
    pub slow: u32,
    /// No answer in time.
    pub silent: u32,
    /// Errors and broken connections.
    pub broken: u32,
    pub unconnected: u32,
    /// Turned away as full.
    pub refused: u32,
    /// Of all the above, probes.
    pub probes: u32,
}

impl Tally {
    /// One that ended so; empty for one that says nothing of its host.
    pub fn of(outcome: Outcome, slow: bool, probe: bool) -> Self {
        let mut one = Tally { probes: u32::from(probe), ..Tally::default() };
        match outcome {
            Outcome::Ok if slow => one.slow = 1,
            Outcome::Ok => one.served = 1,
            Outcome::Rejected { .. } => one.refused = 1,
            Outcome::Timeout => one.silent = 1,
            Outcome::ConnectFailed => one.unconnected = 1,
            Outcome::Error | Outcome::Reset => one.broken = 1,
            Outcome::Cancelled | Outcome::NotSent => return Tally::default(),
        }
        one
    }

    pub fn ended(&self) -> u32 {
        self.served + self.slow + self.failed() + self.refused
    }

    /// Those that tell of hosts that are out of order. A slow answer earns little and holds a slot.
    pub fn failed(&self) -> u32 {
        self.silent + self.broken + self.unconnected
    }

    pub fn troubled(&self) -> u32 {
        self.failed() + self.slow + self.refused
    }

    pub fn add(&mut self, other: &Tally) {
        let add = |into: &mut u32, more: u32| *into = into.saturating_add(more);
        add(&mut self.served, other.served);
        add(&mut self.slow, other.slow);
        add(&mut self.silent, other.silent);
        add(&mut self.broken, other.broken);
        add(&mut self.unconnected, other.unconnected);
        add(&mut self.refused, other.refused);
        add(&mut self.probes, other.probes);
    }
}

/// Tallies of the last slots, and of the last rounds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Windows {
    slots: [Tally; SLOTS],
    rounds: [Tally; ROUNDS],
    /// The newest slot.
    at: u64,
}

impl Windows {
    /// Moves on to a slot; what is too old is forgotten.
    pub fn roll(&mut self, to: u64) {
        if to <= self.at {
            return;
        }
        let (was, is) = (self.at, to);
        let slots = SLOTS as u64;
        (was + 1..=is).take(SLOTS).for_each(|slot| self.slots[(slot % slots) as usize] = Tally::default());
        if is - was > slots {
            self.slots = [Tally::default(); SLOTS];
        }
        let (was, is) = (was / SLOTS_A_ROUND as u64, is / SLOTS_A_ROUND as u64);
        let rounds = ROUNDS as u64;
        (was + 1..=is).take(ROUNDS).for_each(|of| self.rounds[(of % rounds) as usize] = Tally::default());
        self.at = to;
    }

    pub fn add(&mut self, slot: u64, tally: &Tally) {
        self.roll(slot);
        self.slots[(self.at % SLOTS as u64) as usize].add(tally);
        let round = self.at / SLOTS_A_ROUND as u64;
        self.rounds[(round % ROUNDS as u64) as usize].add(tally);
    }

    /// Adds what was served in the last `slots`, evenly, and all else to the newest: trouble is told at once, and
    /// what went well is told late. Danger: a zone that begins to tell at once seems to serve half as much again.
    pub fn add_over(&mut self, slot: u64, slots: usize, tally: &Tally) {
        self.add(slot, &Tally { served: 0, ..*tally });
        let slots = slots.clamp(1, SLOTS) as u32;
        for back in 0..slots {
            let served = tally.served / slots + u32::from(back < tally.served % slots);
            let of = self.at.saturating_sub(u64::from(back));
            self.slots[(of % SLOTS as u64) as usize].add(&Tally { served, ..Tally::default() });
        }
        let round = self.at / SLOTS_A_ROUND as u64;
        self.rounds[(round % ROUNDS as u64) as usize]
            .add(&Tally { served: tally.served, ..Tally::default() });
    }

    /// Of the last `count` slots, the newest one among them.
    pub fn last(&self, count: usize) -> Tally {
        self.span(0, count)
    }

    /// Of `count` slots, leaving out as many as `skipped` newest ones.
    pub fn span(&self, skipped: usize, count: usize) -> Tally {
        let mut sum = Tally::default();
        let those = skipped as u64..(skipped + count).min(SLOTS) as u64;
        let slots = those.filter_map(|back| self.at.checked_sub(back));
        slots.for_each(|slot| sum.add(&self.slots[(slot % SLOTS as u64) as usize]));
        sum
    }

    /// Of all rounds that are kept.
    pub fn long(&self) -> Tally {
        let mut sum = Tally::default();
        self.rounds.iter().for_each(|round| sum.add(round));
        sum
    }

    /// The slot that it has moved on to.
    pub fn newest(&self) -> u64 {
        self.at
    }
}
