//! What is wrong with `[broadcasts]`, and what would be right.

use std::fmt;

use pewterseam_errors::Advice;

/// One thing that is wrong with the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The key, as `broadcasts.groups.prices.destinations`.
    pub place: String,
    pub wrong: String,
    pub right: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; right would be {}", self.place, self.wrong, self.right)
    }
}

/// Why there is no such group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupsError {
    #[error("[broadcasts] of the operator's file: {}", list(.0))]
    File(Vec<Problem>),
    #[error("no group is named {0:?}")]
    Unknown(String),
}

fn list(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join(", and ")
}

impl Advice for GroupsError {
    fn code(&self) -> &'static str {
        match self {
            GroupsError::File(_) => "broadcasts-file",
            GroupsError::Unknown(_) => "broadcasts-unknown-group",
        }
    }

    fn help(&self) -> String {
        match self {
            GroupsError::File(problems) => {
                format!("correct the {} places and start the relay again", problems.len())
            }
            GroupsError::Unknown(name) => {
                format!("add [broadcasts.groups.{name:?}] at all relays, or have the client name another")
            }
        }
    }
}
