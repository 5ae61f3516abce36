//! Who hands in what.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Clients with open-loop load: what comes does not wait for what went before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub messages_a_second: f64,
    pub classes: Vec<ClassPlan>,
    /// Different keys in use.
    #[serde(default = "keys")]
    pub keys: u32,
    /// Times that a client hands a refused message in again.
    #[serde(default)]
    pub retries: u32,
}

fn keys() -> u32 {
    50
}

/// A class of message; its meaning is that of the settings object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    pub name: String,
    /// Of all messages.
    pub part: f64,
    pub effect: EffectPlan,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub value: f64,
    /// Of the value, at the deadline.
    #[serde(default)]
    pub late_share: f64,
    #[serde(default)]
    pub in_order: bool,
}

impl ClassPlan {
    /// The class as the settings object has it.
    pub fn settings(&self) -> Value {
        let (effect, group, window) = match self.effect {
            EffectPlan::Free => ("free", "all", 0.0),
            EffectPlan::GuardedS(window) => ("guarded", "all", window),
            EffectPlan::GuardedInZoneS(window) => ("guarded", "zone", window),
            EffectPlan::Once => ("single_shot", "all", 0.0),
        };
        json!({"name": self.name, "effect": effect, "group": group, "window_s": window, "value": self.value,
            "late_share": self.late_share, "goal_time_s": self.aim_s, "deadline_s": self.deadline_s,
            "in_order": self.in_order})
    }
}

/// What a repeated attempt may do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EffectPlan {
    Free,
    /// Repeats are dropped for so many seconds from the first that may have run.
    GuardedS(f64),
    /// The same, by hosts of the zone alone where it ran.
    GuardedInZoneS(f64),
    Once,
}
