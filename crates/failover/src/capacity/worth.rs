//! Which messages go when not all can: those of least worth.

use crate::interface::TurnedAway;

/// Kinds of worth that are told apart; a further one counts as the nearest.
const MOST: usize = 32;
/// Factor on all counts each round: the mix of about a quarter of a minute counts.
const FADE: f64 = 0.85;

/// How many messages of each worth were handed in lately.
#[derive(Clone, Debug, Default)]
pub struct Worths {
    /// Ascending by worth.
    counts: Vec<(f64, f64)>,
}

impl Worths {
    pub fn handed(&mut self, worth: f64) {
        let at = self.counts.partition_point(|(of, _)| *of < worth);
        if self.counts.get(at).is_some_and(|(of, _)| *of == worth) {
            self.counts[at].1 += 1.0;
        } else if self.counts.len() < MOST && worth.is_finite() {
            self.counts.insert(at, (worth, 1.0));
        } else {
            let nearest = at.min(self.counts.len().saturating_sub(1));
            self.counts.get_mut(nearest).into_iter().for_each(|(_, count)| *count += 1.0);
        }
    }

    pub fn end_round(&mut self) {
        self.counts.iter_mut().for_each(|(_, count)| *count *= FADE);
        self.counts.retain(|(_, count)| *count > 0.01);
    }

    /// The worth below which messages go, and the part of those of just this worth, so that `part` of all do.
    pub fn least(&self, part: f64) -> (f64, f64) {
        let all: f64 = self.counts.iter().map(|(_, count)| count).sum();
        let mut left = all * part;
        for (worth, count) in &self.counts {
            if left < *count {
                return (*worth, left / count);
            }
            left -= count;
        }
        // Nothing is known, or all go: by the part alone.
        let most = self.counts.last().map_or(0.0, |(worth, _)| *worth);
        (most, part)
    }
}

impl TurnedAway {
    /// Whether a message of this worth is turned away; `chance` is its own, from 0 to 1.
    pub fn takes(&self, worth: f64, chance: f64) -> bool {
        worth < self.below || (worth == self.below && chance < self.part)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: payments are turned away while newsletters go.
    #[test]
    fn the_least_worth_goes_first_and_just_as_much_as_must() {
        let mut worths = Worths::default();
        (0..600).for_each(|at| worths.handed([1.0, 2.0, 9.0][at % 3]));
        assert_eq!(worths.least(0.0), (1.0, 0.0));
        let (below, part) = worths.least(0.5);
        assert!(below == 2.0 && (part - 0.5).abs() < 1e-9);
        let (below, part) = worths.least(1.0);
        assert!(below == 9.0 && part == 1.0);
    }
}
