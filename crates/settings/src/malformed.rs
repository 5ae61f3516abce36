//! What is wrong with the settings, and what an operator can do about it.

use pewterseam_errors::Advice;
use thiserror::Error;

/// What is wrong with the settings.
#[derive(Debug, Error)]
pub enum Malformed {
    /// No JSON, or not the object that is expected; in the parser's own words.
    #[error("{0}")]
    Form(serde_json::Error),
    /// A list has neither one entry for all nor one for each.
    #[error("{key}: {found} entries, one for each {each} ({needed}) are needed")]
    Entries { key: &'static str, found: usize, each: &'static str, needed: usize },
    #[error("family_info.zone_fee: {fee} is no fee")]
    Fee { fee: f64 },
    #[error("{key}: unknown word {word:?}")]
    Word { key: String, word: String, known: &'static [&'static str] },
    #[error("{key} must be above 0")]
    Zero { key: String },
    /// Seconds that are negative, or more than a clock counts.
    #[error("{key}: {seconds} is no span of time")]
    Span { key: String, seconds: f64 },
    #[error("class {class:?} aims beyond its deadline")]
    Aim { class: String },
    #[error("class {class:?}: {share} is no share of its worth")]
    Share { class: String, share: f64 },
}

impl Advice for Malformed {
    fn code(&self) -> &'static str {
        match self {
            Malformed::Form(_) => "settings-form",
            Malformed::Entries { .. } => "settings-entries",
            Malformed::Fee { .. } => "settings-fee",
            Malformed::Word { .. } => "settings-word",
            Malformed::Zero { .. } => "settings-zero",
            Malformed::Span { .. } => "settings-span",
            Malformed::Aim { .. } => "settings-aim",
            Malformed::Share { .. } => "settings-share",
        }
    }

    fn help(&self) -> String {
        match self {
            Malformed::Form(_) => "correct the settings object at that place".to_owned(),
            Malformed::Entries { key, each, needed, .. } => {
                format!("give {key} {needed} entries, one for each {each}, or a single one for all")
            }
            Malformed::Fee { .. } => "give each zone a fee of 0 or more".to_owned(),
            Malformed::Word { key, known, .. } => format!("set {key} to one of {}", known.join(", ")),
            Malformed::Zero { key } => format!("set {key} to more than 0"),
            Malformed::Span { key, .. } => format!("set {key} to seconds, 0 or more"),
            Malformed::Aim { .. } => "set its goal_time_s to no more than its deadline_s".to_owned(),
            Malformed::Share { .. } => "set its late_share to something from 0 to 1".to_owned(),
        }
    }
}
