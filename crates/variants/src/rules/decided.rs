//! Rules as they are agreed by epoch.

use std::collections::BTreeSet;

use pewterseam_fleet::interface::{Kind, Matter};
use serde::{Deserialize, Serialize};

use super::rule::Rule;

/// The rule of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassRule {
    pub class: String,
    /// Of the file that it came from. Danger: without it, relays with an old and a new file would decide in
    /// turns for ever.
    pub revision: u64,
    /// Keys the hashes, so that nobody outside can make keys.
    pub salt: [u8; 32],
    /// None: the class has no rule any more. It is kept, so that an older file does not bring it back.
    pub rule: Option<Rule>,
}

impl Matter for ClassRule {
    const KIND: Kind = Kind(Kind::VARIANTS.0);
    type Subject = String;

    fn subject(&self) -> String {
        self.class.clone()
    }
}

/// Parts that keep apart and belong to the key by now, since messages that were merged without them proved
/// to differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Narrowed {
    pub class: String,
    /// Which rule, whatever revision brought it: another one starts afresh.
    pub rule: [u8; 16],
    /// Places in the rule's `apart`.
    pub parts: BTreeSet<u16>,
}

impl Matter for Narrowed {
    const KIND: Kind = Kind(Kind::VARIANTS.0 + 1);
    type Subject = String;

    fn subject(&self) -> String {
        self.class.clone()
    }
}
