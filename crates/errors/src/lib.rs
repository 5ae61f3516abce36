//! What every error of ours tells an operator, beside what happened: a code to look it up by, and what can be
//! done. What happened is its `Display`, one plain line without a full stop.

use std::error::Error;
use std::fmt;

/// What an operator is told of an error.
pub trait Advice: Error {
    /// Names the kind of error in pages and searches: lower case, words joined by `-`, those of one crate with
    /// one first word. It stays as it is when the text changes.
    fn code(&self) -> &'static str;

    /// What an operator can do, one plain line without a full stop; never empty.
    fn help(&self) -> String;
}

/// An error in one line: its code, what happened and what can be done.
pub struct ErrorLine<'a>(pub &'a dyn Advice);

impl fmt::Display for ErrorLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}; {}", self.0.code(), self.0, self.0.help())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, thiserror::Error)]
    #[error("3 too few")]
    struct TooFew;

    impl Advice for TooFew {
        fn code(&self) -> &'static str {
            "test-few"
        }

        fn help(&self) -> String {
            "add some".to_owned()
        }
    }

    // Danger: a line that leaves out the code or the way out sends the operator to the source.
    #[test]
    fn a_line_tells_code_what_happened_and_what_can_be_done() {
        assert_eq!(ErrorLine(&TooFew).to_string(), "[test-few] 3 too few; add some");
    }
}
