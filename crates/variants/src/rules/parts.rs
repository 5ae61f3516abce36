//! A message as the rules see it, and the parts that are found in it.

use std::borrow::Cow;

use serde_json::Value;

use super::forms::{Canon, apply};
use super::json;
use super::number::decimal;
use super::rule::{Form, Part, Rule, Source};

/// What of a message the rules may look at.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    pub class: &'a str,
    pub tenant: &'a str,
    pub destination: u32,
    pub headers: &'a [(String, Vec<u8>)],
    pub cookies: &'a [(String, String)],
    pub body: &'a [u8],
}

/// A message whose body was read once for all parts.
pub struct Reading<'a> {
    pub seen: Seen<'a>,
    /// None where the body is no JSON of one meaning.
    json: Option<Value>,
    kind: Option<String>,
}

/// What was found of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    Value(Canon),
    /// The header or cookie is there more than once, and nobody says which one counts.
    Twice,
}

impl<'a> Reading<'a> {
    pub fn new(rule: &Rule, seen: Seen<'a>) -> Self {
        let of_body = |part: &Part| matches!(part.source, Source::Field(_) | Source::Body { .. });
        let wanted = rule.key.iter().chain(&rule.apart).any(of_body);
        let json = wanted.then(|| json::read(seen.body)).flatten();
        let mut reading = Reading { seen, json, kind: None };
        if let Some(Found::Value(Canon::Text(kind))) = rule.kind.as_ref().map(|kind| reading.raw(kind, true))
        {
            reading.kind = Some(kind.trim().to_owned());
        }
        reading
    }

    /// The value of a part in its one form; `each` is told the value behind each step.
    pub fn part(&self, part: &Part, mut each: impl FnMut(Option<&Form>, &Canon)) -> Found {
        let as_text = !part.forms.is_empty();
        let mut value = match self.raw(&part.source, as_text) {
            Found::Value(value) => value,
            Found::Twice => return Found::Twice,
        };
        each(None, &value);
        for form in &part.forms {
            value = match (form, &value) {
                // A number of JSON has a text of its own, the same for all that write it.
                (Form::Number, Canon::Json(bytes)) => {
                    let number = std::str::from_utf8(bytes).ok().and_then(decimal);
                    number.map_or(value, Canon::Number)
                }
                _ => apply(form, value, self.kind.as_deref()),
            };
            each(Some(form), &value);
        }
        Found::Value(value)
    }

    fn raw(&self, source: &Source, as_text: bool) -> Found {
        match source {
            Source::Header(name) => {
                let same = |of: &&(String, Vec<u8>)| of.0.eq_ignore_ascii_case(name);
                only(self.seen.headers.iter().filter(same).map(|(_, value)| Cow::Borrowed(&value[..])))
            }
            Source::Cookie(name) => {
                let same = |of: &&(String, String)| of.0 == *name;
                only(self.seen.cookies.iter().filter(same).map(|(_, value)| Cow::Borrowed(value.as_bytes())))
            }
            Source::Field(pointer) => Found::Value(match &self.json {
                // Danger: without a field to look at, all such bodies would be one message.
                None => Canon::Bytes(self.seen.body.to_vec()),
                Some(value) => match value.pointer(pointer) {
                    None => Canon::Absent,
                    Some(Value::String(text)) if as_text => Canon::Text(text.clone()),
                    Some(value) => self.canonical(value),
                },
            }),
            Source::Body { without } => Found::Value(match &self.json {
                None => Canon::Bytes(self.seen.body.to_vec()),
                Some(value) if without.is_empty() => self.canonical(value),
                Some(value) => {
                    let mut rest = value.clone();
                    without.iter().for_each(|pointer| json::without(&mut rest, pointer));
                    self.canonical(&rest)
                }
            }),
        }
    }

    /// The members of the body that are in a part: each with its pointer, its value and the rest.
    pub fn members(&self, source: &Source, most: usize, most_name: usize) -> Vec<(String, Canon, Canon)> {
        let (Source::Body { without }, Some(Value::Object(body))) = (source, &self.json) else {
            return Vec::new();
        };
        let mut whole = Value::Object(body.clone());
        without.iter().for_each(|pointer| json::without(&mut whole, pointer));
        let Value::Object(members) = &whole else { return Vec::new() };
        let plain =
            |name: &&String| !name.is_empty() && name.len() <= most_name && !name.contains(['~', '/']);
        let names: Vec<String> = members.keys().filter(plain).take(most).cloned().collect();
        let each = |name: String| {
            let (mut rest, pointer) = (whole.clone(), format!("/{name}"));
            let value = whole.pointer(&pointer).map(|value| self.canonical(value)).unwrap_or(Canon::Absent);
            json::without(&mut rest, &pointer);
            (pointer, value, self.canonical(&rest))
        };
        names.into_iter().map(each).collect()
    }

    fn canonical(&self, value: &Value) -> Canon {
        json::canonical(value).map_or_else(|| Canon::Bytes(self.seen.body.to_vec()), Canon::Json)
    }
}

fn only<'v>(mut values: impl Iterator<Item = Cow<'v, [u8]>>) -> Found {
    match (values.next(), values.next()) {
        (None, _) => Found::Value(Canon::Absent),
        (Some(value), None) => Found::Value(match String::from_utf8(value.into_owned()) {
            Ok(text) => Canon::Text(text),
            Err(bytes) => Canon::Bytes(bytes.into_bytes()),
        }),
        _ => Found::Twice,
    }
}
