//! The table `[failover]` of the operator's file.

use pewterseam_errors::Advice;
use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, Micros, SECOND};

/// What an operator sets. The same at all members.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Numbers of the destinations that are moved; all, where it is left out.
    pub destinations: Option<Vec<DestinationId>>,
    /// Zones with hosts of a destination that calls never leave, however ill they look.
    pub least_zones: u16,
    /// Changes of a destination's zones in any 60 s.
    pub moves_a_minute: u16,
    /// Seconds for which a destination stays as decided before evidence changes it again.
    pub least_time_s: f64,
    /// Part of a limit up to which other zones' calls are let in.
    pub headroom: f64,
    /// Seconds in which all looks must be well before a return begins; doubled with each that failed.
    pub proof_s: f64,
    /// Seconds that the steps of a return take together.
    pub return_s: f64,
    /// Seconds after which those who are turned away are asked to come back, half as long to half as long
    /// again by chance.
    pub come_back_s: f64,
    /// Destinations watched at most: each costs a home about 1 KiB for each pair of zones.
    pub most_destinations: usize,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            destinations: None,
            least_zones: 1,
            moves_a_minute: 4,
            least_time_s: 4.0,
            headroom: 0.9,
            proof_s: 2.0,
            return_s: 3.6,
            come_back_s: 10.0,
            most_destinations: 2000,
        }
    }
}

/// Something wrong in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub place: String,
    pub wrong: String,
    pub right: String,
}

/// A table that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    #[error("[failover] can't be read: {0}")]
    Unreadable(#[from] toml::de::Error),
    #[error("{}", .0.iter().map(|of| format!("{}: {}", of.place, of.wrong)).collect::<Vec<_>>().join("; "))]
    Wrong(Vec<Problem>),
}

impl Advice for OperatorError {
    fn code(&self) -> &'static str {
        match self {
            OperatorError::Unreadable(_) => "failover-unreadable",
            OperatorError::Wrong(_) => "failover-settings",
        }
    }

    fn help(&self) -> String {
        match self {
            OperatorError::Unreadable(_) => {
                "keys and their types are in docs/failover.md; unknown ones are refused".to_owned()
            }
            OperatorError::Wrong(problems) => {
                let right = problems.iter().map(|of| format!("{} {}", of.place, of.right));
                right.collect::<Vec<_>>().join("; ")
            }
        }
    }
}

impl Operator {
    /// The table by itself.
    ///
    /// # Errors
    /// [`OperatorError`] with all that is wrong.
    pub fn read(text: &str) -> Result<Self, OperatorError> {
        let read: Operator = toml::from_str(text)?;
        let problems = read.problems();
        if problems.is_empty() { Ok(read) } else { Err(OperatorError::Wrong(problems)) }
    }

    /// All that is wrong, at once.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut bound = |key: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                problems.push(Problem {
                    place: format!("failover.{key}"),
                    wrong: format!("{value} is out of bounds"),
                    right: format!("is from {least} to {most}"),
                });
            }
        };
        bound("least_zones", f64::from(self.least_zones), 1.0, 16.0);
        bound("moves_a_minute", f64::from(self.moves_a_minute), 2.0, 30.0);
        bound("least_time_s", self.least_time_s, 1.0, 600.0);
        bound("headroom", self.headroom, 0.1, 1.0);
        bound("proof_s", self.proof_s, 1.0, 600.0);
        bound("return_s", self.return_s, 0.0, 600.0);
        bound("come_back_s", self.come_back_s, 1.0, 3600.0);
        bound("most_destinations", self.most_destinations as f64, 1.0, 4000.0);
        if self.destinations.as_ref().is_some_and(Vec::is_empty) {
            problems.push(Problem {
                place: "failover.destinations".to_owned(),
                wrong: "it is empty, and nothing would ever be moved".to_owned(),
                right: "names destinations, or is left out for all of them".to_owned(),
            });
        }
        problems
    }

    pub fn moves(&self, destination: DestinationId) -> bool {
        self.destinations.as_ref().is_none_or(|those| those.contains(&destination))
    }

    pub fn least_time(&self) -> Micros {
        micros(self.least_time_s)
    }

    pub fn proof(&self) -> Micros {
        micros(self.proof_s)
    }

    pub fn return_time(&self) -> Micros {
        micros(self.return_s)
    }

    pub fn come_back(&self) -> Micros {
        micros(self.come_back_s)
    }
}

fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a misspelt bound is silently the default, or an operator is told one fault a start.
    #[test]
    fn unknown_keys_are_refused_and_all_faults_are_told_at_once() {
        assert!(matches!(Operator::read("least_zone = 2"), Err(OperatorError::Unreadable(_))));
        let wrong = Operator::read("headroom = 1.2\nmoves_a_minute = 0\ndestinations = []");
        let Err(OperatorError::Wrong(problems)) = wrong else { panic!("{wrong:?}") };
        assert_eq!(problems.len(), 3);
    }

    /// Danger: the page shows a file that is refused.
    #[test]
    fn the_example_in_the_documents_is_read() {
        let page = include_str!("../../../../docs/failover.md");
        let text = page.split("```toml\n[failover]\n").nth(1).expect("an example").split("```").next();
        assert!(Operator::read(text.expect("its end")).is_ok());
    }
}
