//! Values in their one form.

use jiff::Timestamp;
use jiff::fmt::rfc2822;
use unicode_normalization::UnicodeNormalization;

use super::number::decimal;
use super::rule::{DropPrefix, Form};

/// A value of a part. Values of different variants are never the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Canon {
    Absent,
    Text(String),
    /// See [`decimal`].
    Number(String),
    /// Nanoseconds since 1970.
    Time(i128),
    /// RFC 8785's bytes.
    Json(Vec<u8>),
    /// What is neither text nor JSON.
    Bytes(Vec<u8>),
}

impl Canon {
    pub fn tag(&self) -> u8 {
        match self {
            Canon::Absent => 0,
            Canon::Text(_) => 1,
            Canon::Number(_) => 2,
            Canon::Time(_) => 3,
            Canon::Json(_) => 4,
            Canon::Bytes(_) => 5,
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Canon::Absent => Vec::new(),
            Canon::Text(text) | Canon::Number(text) => text.clone().into_bytes(),
            Canon::Time(nanos) => nanos.to_le_bytes().to_vec(),
            Canon::Json(bytes) | Canon::Bytes(bytes) => bytes.clone(),
        }
    }
}

/// As samples in a file write it.
impl std::fmt::Display for Canon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Canon::Absent => f.write_str("(absent)"),
            Canon::Text(text) | Canon::Number(text) => f.write_str(text),
            Canon::Time(nanos) => match Timestamp::from_nanosecond(*nanos) {
                Ok(time) => write!(f, "{time}"),
                Err(_) => write!(f, "{nanos} ns"),
            },
            Canon::Json(bytes) => f.write_str(&String::from_utf8_lossy(bytes)),
            Canon::Bytes(bytes) => {
                write!(f, "({} bytes {})", bytes.len(), &blake3::hash(bytes).to_hex()[..16])
            }
        }
    }
}

/// One step: the value in the form, or as it was where the form does not fit it. `kind` is the program's.
pub fn apply(form: &Form, value: Canon, kind: Option<&str>) -> Canon {
    let Canon::Text(text) = value else { return value };
    match form {
        Form::Trim => Canon::Text(text.trim().to_owned()),
        Form::Spaces => Canon::Text(text.split_whitespace().collect::<Vec<_>>().join(" ")),
        Form::NoSpaces => Canon::Text(text.split_whitespace().collect()),
        Form::Lower => Canon::Text(text.to_lowercase()),
        Form::Nfc => Canon::Text(text.nfc().collect()),
        Form::Number => decimal(&text).map_or(Canon::Text(text), Canon::Number),
        Form::Time => instant(&text).map_or(Canon::Text(text), Canon::Time),
        Form::DropPrefix(DropPrefix { prefix, kind: of }) => {
            let theirs = of.is_none() || of.as_deref() == kind;
            match text.strip_prefix(prefix.as_str()).filter(|_| theirs) {
                Some(rest) => Canon::Text(rest.to_owned()),
                None => Canon::Text(text),
            }
        }
    }
}

fn instant(text: &str) -> Option<i128> {
    // Danger: a leap second is read as the one before it, and digits beyond nanoseconds are none of ours.
    if text.contains(":60") {
        return None;
    }
    let time =
        text.parse::<Timestamp>().ok().or_else(|| rfc2822::parse(text).ok().map(|zoned| zoned.timestamp()));
    time.map(|time| time.as_nanosecond())
}
