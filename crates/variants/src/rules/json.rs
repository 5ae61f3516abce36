//! Bodies as JSON that has one canonical form (RFC 8785). What has none, or not only one meaning, is no JSON
//! here and is told apart by its bytes: nesting beyond a bound, a name twice in an object, a number that a
//! double does not hold exactly, a text with half a surrogate pair, bytes behind the value.

use std::fmt;

use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::{RawValue, Value};
use serde_json::{Map, Number};

use super::number::decimal;

/// Deepest nesting that is read. Reading costs the body's length once for each level.
const MOST_DEPTH: usize = 32;

/// The body, if it is JSON of one meaning.
pub fn read(body: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(body).ok()?;
    lift(serde_json::from_str::<&RawValue>(text).ok()?, 0)
}

/// RFC 8785's bytes.
pub fn canonical(value: &Value) -> Option<Vec<u8>> {
    serde_json_canonicalizer::to_vec(value).ok()
}

fn lift(raw: &RawValue, depth: usize) -> Option<Value> {
    let text = raw.get();
    match text.as_bytes().first()? {
        _ if depth > MOST_DEPTH => None,
        b'{' => {
            let mut members = Map::new();
            for (name, value) in serde_json::from_str::<Members>(text).ok()?.0 {
                // Danger: readers differ in which of two they take.
                if members.insert(name, lift(value, depth + 1)?).is_some() {
                    return None;
                }
            }
            Some(Value::Object(members))
        }
        b'[' => {
            let entries: Vec<&RawValue> = serde_json::from_str(text).ok()?;
            entries.into_iter().map(|entry| lift(entry, depth + 1)).collect::<Option<_>>().map(Value::Array)
        }
        b'-' | b'0'..=b'9' => number(text).map(Value::Number),
        _ => serde_json::from_str(text).ok(),
    }
}

/// Danger: RFC 8785 writes numbers as doubles, so that 9007199254740992 and 9007199254740993 come out alike;
/// two payments with such ids would be one.
fn number(text: &str) -> Option<Number> {
    let value: f64 = text.parse().ok()?;
    (decimal(text)? == decimal(&format!("{value:e}"))?).then(|| Number::from_f64(value)).flatten()
}

struct Members<'a>(Vec<(String, &'a RawValue)>);

impl<'de> serde::Deserialize<'de> for Members<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Each;
        impl<'de> Visitor<'de> for Each {
            type Value = Members<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(Members(members))
            }
        }
        deserializer.deserialize_map(Each)
    }
}

/// Takes the member that a pointer names out of an object; what it does not name stays.
pub fn without(value: &mut Value, pointer: &str) {
    let Some((parent, name)) = pointer.rsplit_once('/') else { return };
    if let Some(Value::Object(members)) = value.pointer_mut(parent) {
        members.remove(&name.replace("~1", "/").replace("~0", "~"));
    }
}

/// Whether a pointer is one by RFC 6901, and not that of the whole body.
pub fn is_pointer(pointer: &str) -> bool {
    let escapes = pointer.split('~').skip(1).all(|rest| rest.starts_with(['0', '1']));
    pointer.starts_with('/') && escapes
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a hostile body ends the relay, or passes for another message.
    #[test]
    fn what_has_not_one_meaning_is_no_json() {
        let deep = format!("{}{}", "[".repeat(60_000), "]".repeat(60_000));
        let bad: [&[u8]; 9] = [
            deep.as_bytes(),
            br#"{"a":1,"a":2}"#,
            br#"{"a":{"b":1,"\u0062":1}}"#,
            b"9007199254740993",
            b"1e400",
            b"[0.1000000000000000000001]",
            b"\"\xff\"",
            br#""\ud800""#,
            b"{} {}",
        ];
        for body in bad {
            assert_eq!(read(body), None, "{}", String::from_utf8_lossy(&body[..body.len().min(40)]));
        }
        let one = read(br#" { "b" : 1.0 , "a" : ["\u00e9", 1e2 ] } "#).unwrap();
        assert_eq!(canonical(&one).unwrap(), r#"{"a":["é",100],"b":1}"#.as_bytes());
    }

    /// Danger: a pointer that is taken wrongly leaves a differing field in the key, or takes another out.
    #[test]
    fn a_member_is_taken_out_by_its_pointer() {
        let mut value = read(br#"{"a":{"x/y":1,"z":2},"b":3}"#).unwrap();
        without(&mut value, "/a/x~1y");
        without(&mut value, "/b/none");
        assert_eq!(canonical(&value).unwrap(), br#"{"a":{"z":2},"b":3}"#);
        assert!(is_pointer("/a/x~1y") && !is_pointer("a") && !is_pointer("/~2") && !is_pointer(""));
    }
}
