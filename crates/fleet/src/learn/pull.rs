//! When and whom to ask for decisions.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::interface::{Epoch, MemberId, Micros};

/// Members that hear of a decision at once ask within so long, each at a moment of its own.
const SPREAD: Micros = 30_000;
/// After an asking in vain the next one waits so long, then twice that, up to `LONGEST`.
const FIRST: Micros = 100_000;
const LONGEST: Micros = 2_000_000;

/// What others were heard to know, and the one asking that may be out.
#[derive(Debug, Default)]
pub struct Pull {
    heard: BTreeMap<MemberId, Epoch>,
    newest: Epoch,
    out: bool,
    at: Option<Micros>,
    pause: Micros,
}

impl Pull {
    /// Newest epoch that anyone was heard to know.
    pub fn newest(&self) -> Epoch {
        self.newest
    }

    pub fn heard(&mut self, now: Micros, from: MemberId, epoch: Epoch, known: Epoch, rng: &mut impl Rng) {
        if epoch > known {
            self.heard.insert(from, epoch);
            if self.at.is_none() && !self.out {
                self.at = Some(now + rng.random_range(0..=SPREAD));
            }
        }
        self.newest = self.newest.max(epoch);
    }

    pub fn wake(&self) -> Option<Micros> {
        self.at.filter(|_| !self.out)
    }

    /// Whom to ask now: one that knows more, by chance, so that no one is asked by all.
    pub fn due(&mut self, now: Micros, known: Epoch, rng: &mut impl Rng) -> Option<MemberId> {
        self.heard.retain(|_, epoch| *epoch > known);
        if self.heard.is_empty() {
            self.at = None;
        }
        self.at.filter(|at| *at <= now && !self.out)?;
        let whom = self.heard.keys().copied().choose(rng)?;
        self.out = true;
        Some(whom)
    }

    /// An asking was answered with something new, or was not.
    pub fn answered(&mut self, now: Micros, from: MemberId, well: bool) {
        self.out = false;
        if well {
            self.pause = 0;
            self.at = Some(now);
        } else {
            self.heard.remove(&from);
            self.pause = (self.pause * 2).clamp(FIRST, LONGEST);
            self.at = Some(now + self.pause);
        }
    }
}
