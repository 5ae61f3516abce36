//! How often a destination may be moved.

use std::collections::VecDeque;

use crate::interface::{Micros, SECOND};

/// The span in which moves are counted.
const MINUTE: Micros = 60 * SECOND;
/// Moves remembered; more than any bound.
const MOST: usize = 64;

/// Moves of a destination within the last minute.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Moves {
    at: VecDeque<Micros>,
}

impl Moves {
    /// One was decided; `before` are those that the decision tells of, by their age in tenths of a second.
    pub fn decided(&mut self, now: Micros, before: &[u16]) {
        if self.at.len() < before.len() {
            let ages = before.iter().map(|tenths| Micros::from(*tenths) * SECOND / 10);
            let mut at: Vec<Micros> = ages.map(|age| now.saturating_sub(age)).collect();
            at.sort_unstable();
            self.at = at.into();
        }
        self.at.push_back(now);
        self.count(now);
        while self.at.len() > MOST {
            self.at.pop_front();
        }
    }

    pub fn count(&mut self, now: Micros) -> usize {
        while self.at.front().is_some_and(|at| *at + MINUTE <= now) {
            self.at.pop_front();
        }
        self.at.len()
    }

    pub fn ages(&self, now: Micros) -> Vec<u16> {
        let age = |at: &Micros| (now.saturating_sub(*at) * 10 / SECOND) as u16;
        self.at.iter().filter(|at| **at + MINUTE > now).map(age).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a home that learnt of the last decision only moves on as if there had been none before.
    #[test]
    fn moves_that_were_told_count_and_old_ones_do_not() {
        let mut moves = Moves::default();
        moves.decided(100 * SECOND, &[50, 300]);
        assert_eq!(moves.count(100 * SECOND), 3);
        assert_eq!(moves.count(131 * SECOND), 2);
        assert_eq!(moves.count(160 * SECOND), 0);
    }
}
