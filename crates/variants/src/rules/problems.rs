//! What is wrong with `[variants]`, all at once.

use std::fmt;

use pewterseam_errors::Advice;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where, as `variants.rules[0].key[1].field`.
    pub place: String,
    pub wrong: String,
    pub right: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; right would be {}", self.place, self.wrong, self.right)
    }
}

/// All that is wrong, a line each. Source: the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl Advice for Problems {
    fn code(&self) -> &'static str {
        "variants-file"
    }

    fn help(&self) -> String {
        "mend these places of the operator's file; until then the rules in force stay".to_owned()
    }
}

impl Problems {
    pub(super) fn add(&mut self, place: &str, wrong: impl Into<String>, right: impl Into<String>) {
        self.0.push(Problem { place: place.to_owned(), wrong: wrong.into(), right: right.into() });
    }
}
