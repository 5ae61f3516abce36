//! A rule that is proposed.

use pewterseam_fleet::interface::{Kind, Matter};
use serde::{Deserialize, Serialize};

/// What an operator may change. Nothing of it is in force by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Leave the part out of the key.
    LeaveOut,
    /// Bring the part to one form: case, white space, numbers, times.
    Form,
}

/// A part of a class's key that never made a difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suggestion {
    pub class: String,
    /// Its place in the rule's key.
    pub part: u16,
    /// A pointer, where it is a member of a body.
    pub field: Option<String>,
    /// Of which rule.
    pub rule: [u8; 16],
    pub change: Change,
    /// Messages, two by two, that differed in it only and ended with the same answer; none ended otherwise.
    pub pairs: u32,
}

impl Matter for Suggestion {
    const KIND: Kind = Kind(Kind::VARIANTS.0 + 3);
    type Subject = (String, u16, Option<String>);

    fn subject(&self) -> Self::Subject {
        (self.class.clone(), self.part, self.field.clone())
    }
}
