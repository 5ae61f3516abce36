//! What of a key might be left out: for each part of it, what the others are together.

use serde_json::Value;

use super::forms::{Canon, apply};
use super::parts::{Found, Reading, Seen};
use super::rewrite::{hasher, print};
use super::rule::{Form, Rule, Source};

/// Members of a body that are looked at, the first by name; each costs a look at the whole body.
const MOST_MEMBERS: usize = 8;
/// Longest name of a member, in bytes: it goes into a datagram.
const MOST_NAME: usize = 32;

/// A part of the key, or a member of a body that is in the key, of one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its place in the rule's key.
    pub part: u16,
    /// A pointer, where it is a member of the part.
    pub field: Option<String>,
    /// A print of all else that is in the key.
    pub without: u64,
    /// A print of its value, and of its value without regard to case, space and the form of numbers and times.
    pub value: u64,
    pub loose: u64,
}

/// The candidates of a message; none if it has no key.
pub fn candidates(rule: &Rule, salt: &[u8; 32], seen: Seen<'_>) -> Vec<Candidate> {
    let reading = Reading::new(rule, seen);
    let mut values = Vec::new();
    for part in rule.key.iter().chain(&rule.apart) {
        match reading.part(part, |_, _| ()) {
            Found::Value(value) => values.push(value),
            Found::Twice => return Vec::new(),
        }
    }
    let mut found = Vec::new();
    for (at, part) in rule.key.iter().enumerate() {
        let place = at as u16;
        match &part.source {
            Source::Body { .. } => {
                for (field, value, rest) in reading.members(&part.source, MOST_MEMBERS, MOST_NAME) {
                    let without = without(salt, seen, &values, at, Some((&field, &rest)));
                    found.push(candidate(salt, place, Some(field), without, &value));
                }
            }
            _ => {
                let without = without(salt, seen, &values, at, None);
                found.push(candidate(salt, place, None, without, &values[at]));
            }
        }
    }
    found
}

fn candidate(salt: &[u8; 32], part: u16, field: Option<String>, without: u64, value: &Canon) -> Candidate {
    // A text of JSON is looked at as a text.
    let text = match value {
        Canon::Json(bytes) => match serde_json::from_slice(bytes) {
            Ok(Value::String(text)) => Canon::Text(text),
            _ => value.clone(),
        },
        _ => value.clone(),
    };
    let forms = [Form::Nfc, Form::Spaces, Form::Lower];
    let loose = forms.iter().fold(text, |value, form| apply(form, value, None));
    let loose = match (&loose, value) {
        (Canon::Text(_), _) => apply(&Form::Time, apply(&Form::Number, loose, None), None),
        (_, Canon::Json(bytes)) => {
            let text = Canon::Text(String::from_utf8_lossy(bytes).into_owned());
            match apply(&Form::Number, text, None) {
                number @ Canon::Number(_) => number,
                _ => loose,
            }
        }
        _ => loose,
    };
    Candidate { part, field, without, value: print(salt, value), loose: print(salt, &loose) }
}

fn without(
    salt: &[u8; 32], seen: Seen<'_>, values: &[Canon], at: usize, rest: Option<(&str, &Canon)>,
) -> u64 {
    let mut hasher = hasher(salt, b"without", seen);
    hasher.update(&(at as u64).to_le_bytes());
    if let Some((field, _)) = rest {
        hasher.update(&(field.len() as u64).to_le_bytes()).update(field.as_bytes());
    }
    for (place, value) in values.iter().enumerate() {
        match rest {
            _ if place != at => super::rewrite::add(&mut hasher, value),
            Some((_, rest)) => super::rewrite::add(&mut hasher, rest),
            None => {}
        }
    }
    let mut print = [0; 8];
    hasher.finalize_xof().fill(&mut print);
    u64::from_le_bytes(print)
}
