//! The report of a played day.

use serde::Deserialize;

use crate::error::AccountError;

/// The report of a played day, as far as the account needs it.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The figure of the day.
    #[serde(rename = "G")]
    pub figure: f64,
    /// The share of requests that were not served.
    pub unserved: f64,
    /// Name, weight and value of each part.
    pub parts: Vec<(String, f64, f64)>,
    /// Name, amount and points of each price.
    pub prices: Vec<(String, f64, f64)>,
    pub all: Counts,
    pub classes: Vec<Counts>,
    pub windows: Vec<Counts>,
    /// How the tries of requests ended that were not served: the last answer and how many.
    #[serde(default)]
    pub unserved_by: Vec<(String, u64, Vec<String>)>,
}

/// What became of some of the requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Counts {
    pub name: String,
    #[serde(rename = "n")]
    pub requests: u64,
    pub in_aim: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub not_owed: u64,
    /// Worth earned over worth owed.
    pub worth: f64,
}

impl Counts {
    /// Accepted, and never run in time for any worth.
    pub fn never_run(&self) -> u64 {
        let known = self.in_aim + self.late + self.refused + self.failed + self.not_owed;
        self.requests.saturating_sub(known)
    }
}

impl Report {
    pub fn read(text: &str) -> Result<Self, AccountError> {
        serde_json::from_str(text).map_err(AccountError::Report)
    }
}
