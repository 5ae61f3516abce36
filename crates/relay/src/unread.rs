//! Why a small file of an earlier process can't be read; a relay starts without it.

use std::io;

use pewterseam_errors::Advice;
use thiserror::Error;

/// What is wrong with a file that an earlier process left.
#[derive(Debug, Error)]
pub enum Unread {
    #[error("{file}: {error}")]
    File { file: &'static str, error: io::Error },
    /// In the parser's own words.
    #[error("{file}: {error}")]
    Form { file: &'static str, error: serde_json::Error },
    #[error("{file}: a figure is none")]
    Figure { file: &'static str },
}

impl Advice for Unread {
    fn code(&self) -> &'static str {
        match self {
            Unread::File { .. } => "left-unreadable",
            Unread::Form { .. } => "left-form",
            Unread::Figure { .. } => "left-figure",
        }
    }

    fn help(&self) -> String {
        match self {
            Unread::File { file, .. } => format!("see that this user may read {file} in the state folder"),
            Unread::Form { file, .. } | Unread::Figure { file } => {
                format!(
                    "nothing is to be done, as the relay starts without it; keep {file} if it comes again"
                )
            }
        }
    }
}
