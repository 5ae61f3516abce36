//! What a site file says of its classes and days.

use serde::Deserialize;

use crate::error::AccountError;
use crate::report::{Counts, Report};

/// A site, as far as the account needs it.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    pub classes: Vec<Class>,
    #[serde(default, rename = "day")]
    pub days: Vec<Day>,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    pub name: String,
    pub service: String,
    pub worth: f64,
    pub late_worth: f64,
    /// The longest that a client waits, in milliseconds.
    pub deadline_ms: f64,
    pub ingest: Run,
}

/// When a run of a message is wanted.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    /// A run that starts later, in milliseconds, earns the smaller worth.
    pub run_aim_ms: f64,
}

/// A day and what goes wrong on it.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    pub name: String,
    #[serde(default)]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub closing: Option<Closing>,
}

/// A fault of a day.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    pub kind: String,
    #[serde(default)]
    pub how: String,
    #[serde(default)]
    pub service: Option<String>,
    #[serde(default)]
    pub for_s: f64,
}

/// The fault at the end of a day.
#[derive(Clone, Debug, Deserialize)]
pub struct Closing {
    pub down_s: f64,
    #[serde(default)]
    pub how: String,
}

impl Site {
    pub fn read(text: &str) -> Result<Self, AccountError> {
        toml::from_str(text).map_err(AccountError::Site)
    }

    pub fn day(&self, name: &str) -> Result<&Day, AccountError> {
        let found = self.days.iter().find(|day| day.name == name);
        found.ok_or_else(|| AccountError::NoDay { name: name.to_owned() })
    }

    /// The worth owed on a day; 1 at the least, so that shares of it can be told.
    pub(crate) fn worth_owed(&self, report: &Report) -> f64 {
        let worth = |counts: &Counts| {
            let worth = self.class(&counts.name).map_or(1.0, |class| class.worth);
            counts.requests.saturating_sub(counts.not_owed) as f64 * worth
        };
        report.classes.iter().map(worth).sum::<f64>().max(1.0)
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}
