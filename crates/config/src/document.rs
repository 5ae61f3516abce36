//! Documents as text: their outer form is read, their items stay the bytes that the operator sent.

use std::collections::{HashMap, HashSet};
use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;

use crate::error::ConfigError;

/// The list of routes in a document.
pub(crate) const ROUTES: &str = "routes";
/// The list of services in a document.
pub(crate) const BACKENDS: &str = "backends";
/// The limits in a document.
pub(crate) const LIMITS: &str = "limits";
const VERSION: &str = "version";

/// The fields of an object in their order, values unread.
pub(crate) struct Fields<'a>(pub Vec<(String, &'a RawValue)>);

impl<'a, 'de: 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;
        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = Vec<(String, &'de RawValue)>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut fields: Vec<(String, &'de RawValue)> = Vec::new();
                while let Some((key, value)) = map.next_entry::<String, &'de RawValue>()? {
                    if fields.iter().any(|(known, _)| *known == key) {
                        return Err(serde::de::Error::custom(format_args!("the field {key} is there twice")));
                    }
                    fields.push((key, value));
                }
                Ok(fields)
            }
        }
        deserializer.deserialize_map(FieldsVisitor).map(Fields)
    }
}

impl<'a> Fields<'a> {
    pub(crate) fn read(text: &'a [u8]) -> Result<Self, ConfigError> {
        serde_json::from_slice(text).map_err(|error| ConfigError::unreadable(&error))
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a RawValue> {
        self.0.iter().find(|(known, _)| known == key).map(|(_, value)| *value)
    }

    /// The items of a list; none for a list that is not there.
    pub(crate) fn list(&self, key: &str) -> Result<Vec<&'a RawValue>, ConfigError> {
        let Some(value) = self.get(key) else { return Ok(Vec::new()) };
        read_raw(value)
    }

    /// The version, if it is there and whole.
    pub(crate) fn version(&self) -> Result<u64, ConfigError> {
        let missing = || ConfigError::Field { item: VERSION.into(), reason: "it is missing".into() };
        read_raw(self.get(VERSION).ok_or_else(missing)?)
    }
}

pub(crate) fn read_raw<'a, T: Deserialize<'a>>(value: &'a RawValue) -> Result<T, ConfigError> {
    serde_json::from_str(value.get()).map_err(|error| ConfigError::unreadable(&error))
}

/// The name of an item, and nothing else of it.
#[derive(Deserialize)]
struct Named {
    name: String,
}

pub(crate) fn name_of(item: &RawValue) -> Result<String, ConfigError> {
    read_raw::<Named>(item).map(|named| named.name)
}

/// A change to a document, items unread.
pub(crate) struct Patch<'a> {
    pub version: u64,
    pub upsert: Option<Fields<'a>>,
    delete: HashMap<String, HashSet<String>>,
}

impl<'a> Patch<'a> {
    pub(crate) fn read(text: &'a [u8]) -> Result<Self, ConfigError> {
        let fields = Fields::read(text)?;
        let upsert = fields.get("upsert").map(read_raw).transpose()?;
        let delete = fields.get("delete").map(read_raw).transpose()?;
        Ok(Patch { version: fields.version()?, upsert, delete: delete.unwrap_or_default() })
    }
}

/// The version that a document or a change gives.
pub fn patch_version(text: &[u8]) -> Result<u64, ConfigError> {
    Fields::read(text)?.version()
}

/// The document that a change makes of another. Items that are replaced keep their place, new ones follow at the end.
/// Deleting a name that is not there changes nothing. Nothing else is checked.
pub fn apply_patch(document: &[u8], patch: &[u8]) -> Result<Bytes, ConfigError> {
    let patch = Patch::read(patch)?;
    let fields = Fields::read(document)?;
    let mut text = Vec::with_capacity(document.len() + 1024);
    text.push(b'{');
    for (key, value) in &fields.0 {
        write_key(&mut text, key);
        if key == VERSION {
            text.extend_from_slice(patch.version.to_string().as_bytes());
        } else {
            write_value(&mut text, key, Some(value), &patch)?;
        }
    }
    for (key, _) in patch.upsert.iter().flat_map(|upsert| &upsert.0) {
        if fields.get(key).is_none() && key != VERSION {
            write_key(&mut text, key);
            write_value(&mut text, key, None, &patch)?;
        }
    }
    text.push(b'}');
    Ok(Bytes::from(text))
}

fn write_key(text: &mut Vec<u8>, key: &str) {
    if text.len() > 1 {
        text.push(b',');
    }
    text.extend_from_slice(serde_json::Value::from(key).to_string().as_bytes());
    text.push(b':');
}

/// Writes one field of the document as the change leaves it.
fn write_value(
    text: &mut Vec<u8>, key: &str, old: Option<&RawValue>, patch: &Patch<'_>,
) -> Result<(), ConfigError> {
    let new = patch.upsert.as_ref().and_then(|upsert| upsert.get(key));
    let deleted = patch.delete.get(key);
    let is_list = |value: &RawValue| value.get().starts_with('[');
    match (old, new) {
        (Some(old), None) if deleted.is_none() => text.extend_from_slice(old.get().as_bytes()),
        (_, Some(new)) if !is_list(new) => text.extend_from_slice(new.get().as_bytes()),
        (Some(old), _) if !is_list(old) => text.extend_from_slice(new.unwrap_or(old).get().as_bytes()),
        _ => write_list(text, old, new, deleted)?,
    }
    Ok(())
}

fn write_list(
    text: &mut Vec<u8>, old: Option<&RawValue>, new: Option<&RawValue>, deleted: Option<&HashSet<String>>,
) -> Result<(), ConfigError> {
    let old: Vec<&RawValue> = old.map(read_raw).transpose()?.unwrap_or_default();
    let new: Vec<&RawValue> = new.map(read_raw).transpose()?.unwrap_or_default();
    let mut added: Vec<(String, &RawValue)> = Vec::with_capacity(new.len());
    let mut place: HashMap<String, usize> = HashMap::with_capacity(new.len());
    for item in new {
        let name = name_of(item)?;
        place.insert(name.clone(), added.len());
        added.push((name, item));
    }
    let mut used = vec![false; added.len()];
    let mut items = ListWriter::new(text);
    for item in old {
        let name = name_of(item)?;
        if let Some(index) = place.get(&name) {
            if !std::mem::replace(&mut used[*index], true) {
                items.push(added[*index].1);
            }
        } else if deleted.is_none_or(|deleted| !deleted.contains(&name)) {
            items.push(item);
        }
    }
    for (index, (name, item)) in added.iter().enumerate() {
        if !used[index] && place.get(name) == Some(&index) {
            items.push(item);
        }
    }
    items.end();
    Ok(())
}

/// Writes items with commas between them.
struct ListWriter<'a> {
    text: &'a mut Vec<u8>,
    is_first: bool,
}

impl<'a> ListWriter<'a> {
    fn new(text: &'a mut Vec<u8>) -> Self {
        text.push(b'[');
        ListWriter { text, is_first: true }
    }

    fn push(&mut self, item: &RawValue) {
        if !std::mem::replace(&mut self.is_first, false) {
            self.text.push(b',');
        }
        self.text.extend_from_slice(item.get().as_bytes());
    }

    fn end(self) {
        self.text.push(b']');
    }
}
