//! A rule as it is checked and agreed.

use serde::{Deserialize, Serialize};

use pewterseam::interface::Micros;

/// Where a part of the key is found.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// By name, in whatever case.
    Header(String),
    Cookie(String),
    /// A JSON pointer (RFC 6901) into the body.
    Field(String),
    /// The whole body, without the members that the pointers name.
    Body {
        without: Vec<String>,
    },
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Source::Header(name) => write!(f, "header {name}"),
            Source::Cookie(name) => write!(f, "cookie {name}"),
            Source::Field(pointer) => write!(f, "field {pointer}"),
            Source::Body { without } if without.is_empty() => write!(f, "body"),
            Source::Body { without } => write!(f, "body without {}", without.join(", ")),
        }
    }
}

/// How a text is brought to one form. What a form does not fit is left as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// White space at both ends is dropped.
    Trim,
    /// White space at both ends is dropped, and each run of it is one space.
    Spaces,
    /// All white space is dropped.
    NoSpaces,
    /// Lower case, by Unicode.
    Lower,
    /// Unicode's normal form NFC: one letter is one letter, however it was put together.
    Nfc,
    /// A decimal number, exactly: `007`, `7.0`, `0.7e1` and 7 are one.
    Number,
    /// An instant: RFC 3339 or RFC 2822 with an offset, in whatever zone.
    Time,
    /// A prefix of a program's kind is dropped.
    DropPrefix(DropPrefix),
}

impl std::fmt::Display for Form {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Form::Trim => write!(f, "trim"),
            Form::Spaces => write!(f, "spaces"),
            Form::NoSpaces => write!(f, "no_spaces"),
            Form::Lower => write!(f, "lower"),
            Form::Nfc => write!(f, "nfc"),
            Form::Number => write!(f, "number"),
            Form::Time => write!(f, "time"),
            Form::DropPrefix(DropPrefix { prefix, kind: None }) => write!(f, "drop_prefix {prefix:?}"),
            Form::DropPrefix(DropPrefix { prefix, kind: Some(kind) }) => {
                write!(f, "drop_prefix {prefix:?} of kind {kind:?}")
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DropPrefix {
    pub prefix: String,
    /// Only from programs of this kind. Danger: another kind's own references may begin alike.
    #[serde(default)]
    pub kind: Option<String>,
}

/// What it means if a part is not there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Absent {
    /// The message goes by itself. Danger: otherwise all that lack the part would be one message.
    #[default]
    ByItself,
    /// That it is not there is a value like any other.
    Value,
    /// It agrees with any value, until messages that were merged so prove to differ. Only of parts that keep
    /// messages apart.
    Agrees,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    pub source: Source,
    /// In this order.
    pub forms: Vec<Form>,
    pub absent: Absent,
}

/// What is done with a message while nobody knows whether one of its variants ran, or is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unsure {
    /// It is delivered, and may so run twice.
    Deliver,
    /// It waits until that is known or its time is up.
    Wait,
    /// It is handed back with when to come again.
    HandBack,
}

/// What is done with a message that finds the claim tables full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Full {
    /// It is delivered unmerged.
    Deliver,
    HandBack,
}

/// How messages of a class are recognised as variants of one, and what is done with them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rule {
    /// Where a program's kind is told.
    pub kind: Option<Source>,
    /// What makes the key; class, tenant and destination always do.
    pub key: Vec<Part>,
    /// Differences that keep messages apart although their keys are the same.
    pub apart: Vec<Part>,
    pub unsure: Unsure,
    pub full: Full,
    /// A message that is done is not delivered again for so long, in seconds.
    pub window_s: u32,
    /// A claimant that was not heard of for so long has lost its claim, in milliseconds.
    pub lease_ms: u32,
    /// So long a claim is tried before it counts as unsure, in milliseconds.
    pub patience_ms: u32,
    /// When a message that is handed back may come again, in milliseconds.
    pub retry_ms: u32,
}

impl Rule {
    pub fn window(&self) -> Micros {
        Micros::from(self.window_s) * 1_000_000
    }

    pub fn lease(&self) -> Micros {
        Micros::from(self.lease_ms) * 1_000
    }

    pub fn patience(&self) -> Micros {
        Micros::from(self.patience_ms) * 1_000
    }

    pub fn retry(&self) -> Micros {
        Micros::from(self.retry_ms) * 1_000
    }

    /// Whether a message may run twice when that spares it a wait.
    pub fn bold(&self) -> bool {
        self.unsure == Unsure::Deliver
    }
}
