//! What a class asks of its messages, and the keys of one.

use pewterseam::interface::Micros;

use crate::rules::{Full, Key, Rule, Unsure};

/// A key of the message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Use {
    pub key: Key,
    /// Taken in its place where the key is that of several messages.
    pub narrow: Key,
    pub prints: Vec<Option<u64>>,
}

/// What the class says, and the message's own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Plan {
    pub handle: u64,
    pub class: String,
    pub unsure: Unsure,
    pub full: Full,
    pub window_s: u32,
    pub lease: Micros,
    pub patience: Micros,
    pub retry: Micros,
    pub deadline: Micros,
    pub resumed: bool,
    /// By the older rule first. Danger: messages that take keys in different orders wait for one another.
    pub keys: Vec<Use>,
}

impl Plan {
    pub fn new(
        handle: u64, class: &str, rule: &Rule, deadline: Micros, resumed: bool, keys: Vec<Use>,
    ) -> Self {
        let class = class.to_owned();
        let (lease, patience, retry) = (rule.lease(), rule.patience(), rule.retry());
        let Rule { unsure, full, window_s, .. } = *rule;
        Plan { handle, class, unsure, full, window_s, lease, patience, retry, deadline, resumed, keys }
    }

    pub(super) fn bold(&self) -> bool {
        self.unsure == Unsure::Deliver
    }
}
