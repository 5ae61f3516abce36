//! What differences never mattered: messages that have all of a key but one part in common, were delivered
//! apart and ended with the same answer. Counted by the fleet on samples; a wider rule is proposed with its
//! grounds, and is in force only if the operator writes it into the file.
//!
//! A relay tells what it saw of a sample to the sample's home, which finds the pairs; homes tell their counts
//! to the class's home, which proposes.

mod pairs;
mod suggestion;
mod sums;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use suggestion::{Change, Suggestion};
pub use sums::Counted;

use crate::claims::End;
use crate::rules::{Candidate, Rule, Seen, candidates};
use pairs::Pairs;
use sums::Sums;

/// One of so many samples is looked at.
const SAMPLED: u64 = 16;
/// Messages on their way that are watched; more are not.
const MOST_WATCHED: usize = 10_000;
/// Observations that wait to be told; more are dropped.
const MOST_READY: usize = 2_000;

/// Which candidate of which class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The first bytes of a hash of the class's name.
    pub class: u32,
    pub part: u16,
    pub field: Option<String>,
}

/// A message seen by one candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    pub place: Place,
    pub without: u64,
    pub value: u32,
    pub loose: u32,
    pub answer: u32,
}

/// The number of a class in [`Place`].
pub fn class_print(class: &str) -> u32 {
    let hash = blake3::hash(class.as_bytes());
    u32::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1], hash.as_bytes()[2], hash.as_bytes()[3]])
}

#[derive(Debug, Default)]
pub struct Learning {
    watched: BTreeMap<u64, (u32, Vec<Candidate>)>,
    ready: Vec<Observed>,
    pairs: Pairs,
    sums: Sums,
    pub observed: u64,
}

impl Learning {
    pub fn offered(&mut self, handle: u64, rule: &Rule, salt: &[u8; 32], seen: Seen<'_>) {
        if self.watched.len() >= MOST_WATCHED {
            return;
        }
        let mut found = candidates(rule, salt, seen);
        found.retain(|candidate| candidate.without.is_multiple_of(SAMPLED));
        if !found.is_empty() {
            self.watched.insert(handle, (class_print(seen.class), found));
        }
    }

    /// It was delivered by this relay, and ended so.
    pub fn ended(&mut self, handle: u64, end: &End) {
        let Some((class, found)) = self.watched.remove(&handle) else { return };
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(matches!(end, End::Delivered { .. }))]).update(end.answer());
        let answer = hasher.finalize();
        let answer = u32::from_le_bytes([
            answer.as_bytes()[0],
            answer.as_bytes()[1],
            answer.as_bytes()[2],
            answer.as_bytes()[3],
        ]);
        for Candidate { part, field, without, value, loose } in found {
            if self.ready.len() < MOST_READY {
                let place = Place { class, part, field };
                let (value, loose) = (value as u32, loose as u32);
                self.ready.push(Observed { place, without, value, loose, answer });
            }
        }
    }

    /// It was not delivered by this relay.
    pub fn dropped(&mut self, handle: u64) {
        self.watched.remove(&handle);
    }

    /// What is to be told to the homes of its samples.
    pub fn ready(&mut self) -> Vec<Observed> {
        std::mem::take(&mut self.ready)
    }

    /// As the home of samples.
    pub fn heard(&mut self, observed: Vec<Observed>) {
        for observed in observed {
            self.observed += 1;
            self.pairs.heard(observed);
        }
    }

    /// Counts since the last time, for the homes of their classes.
    pub fn counts(&mut self) -> Vec<Counted> {
        self.pairs.counts()
    }

    /// As the home of a class.
    pub fn counted(&mut self, counted: Counted) {
        self.sums.add(counted);
    }

    /// What may be proposed.
    pub fn convincing(&self) -> impl Iterator<Item = &Counted> {
        self.sums.convincing()
    }

    /// It was proposed or is no matter any more.
    pub fn settled(&mut self, place: &Place) {
        self.sums.settled(place);
    }
}
