//! What is wrong with a host now: all troubles that are active, taken together.

use crate::plan::Trouble;

/// Computed from the active troubles, whatever came and went before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    pub silent: bool,
    pub refusing: bool,
    /// Another has taken its place.
    pub gone: bool,
    /// Parts of calls.
    pub failing: f64,
    pub answers_lost: f64,
    /// Times as long.
    pub slow: f64,
}

impl Default for Condition {
    fn default() -> Self {
        Condition { silent: false, refusing: false, gone: false, failing: 0.0, answers_lost: 0.0, slow: 1.0 }
    }
}

impl Condition {
    /// Of all troubles that are active; `turn` says whether a flapping host has its silent turn.
    pub fn of<'a>(troubles: impl Iterator<Item = (&'a Trouble, bool)>) -> Self {
        let either = |one: f64, other: f64| 1.0 - (1.0 - one) * (1.0 - other.clamp(0.0, 1.0));
        troubles.fold(Condition::default(), |mut condition, (trouble, turn)| {
            match trouble {
                Trouble::Silent => condition.silent = true,
                Trouble::Flapping(_) => condition.silent |= turn,
                Trouble::Refusing => condition.refusing = true,
                Trouble::Failing(part) => condition.failing = either(condition.failing, *part),
                Trouble::AnswersLost(part) => {
                    condition.answers_lost = either(condition.answers_lost, *part);
                }
                Trouble::Slow(times) => condition.slow *= times.max(1.0),
            }
            condition
        })
    }

    /// It does nothing for its callers.
    pub fn is_out(&self) -> bool {
        self.silent || self.refusing || self.gone
    }

    pub fn takes_no_connections(&self) -> bool {
        self.refusing || self.gone
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn troubles_overlap() {
        let troubles = [
            (Trouble::Slow(2.0), false),
            (Trouble::Slow(5.0), false),
            (Trouble::Failing(0.5), false),
            (Trouble::Failing(0.5), false),
            (Trouble::Flapping(1.0), false),
        ];
        let condition = Condition::of(troubles.iter().map(|(trouble, turn)| (trouble, *turn)));
        assert_eq!((condition.slow, condition.failing, condition.is_out()), (10.0, 0.75, false));
        assert!(Condition::of([(&Trouble::Flapping(1.0), true)].into_iter()).is_out());
    }
}
