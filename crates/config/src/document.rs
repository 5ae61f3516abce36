//! Documents as text: their outer form is read, their items stay the bytes that the operator sent.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

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
    pub delete: HashMap<String, HashSet<String>>,
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
    let document = Document::read(Bytes::copy_from_slice(document))?;
    Ok(document.patched(&Patch::read(patch)?)?.text)
}

/// What a change is applied to before there is a configuration.
const EMPTY_DOCUMENT: &[u8] = br#"{"version":0,"routes":[],"backends":[]}"#;

/// A part of a document's text. Documents are far below 4 GiB.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u32,
    end: u32,
}

/// An item of a list, by name.
#[derive(Clone, Debug)]
struct Item {
    name: Arc<str>,
    span: Span,
}

#[derive(Clone, Debug)]
enum Value {
    List(Vec<Item>),
    Other(Span),
}

/// A document with the places of its items, so that a change need not read the whole text again.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub text: Bytes,
    fields: Vec<(Box<str>, Value)>,
}

impl Document {
    /// Finds the items. An empty text stands for a document without items.
    pub(crate) fn read(text: Bytes) -> Result<Self, ConfigError> {
        let text = if text.is_empty() { Bytes::from_static(EMPTY_DOCUMENT) } else { text };
        let fields = Fields::read(&text)?;
        let span = |value: &RawValue| span_in(&text, value);
        let mut found = Vec::with_capacity(fields.0.len());
        for (key, value) in &fields.0 {
            let value = if value.get().starts_with('[') {
                let items: Vec<&RawValue> = read_raw(value)?;
                let item = |item: &&RawValue| Ok(Item { name: Arc::from(name_of(item)?), span: span(item) });
                match items.iter().map(item).collect::<Result<Vec<Item>, ConfigError>>() {
                    Ok(items) => Value::List(items),
                    Err(error) if key == ROUTES || key == BACKENDS => return Err(error),
                    Err(_) => Value::Other(span(value)),
                }
            } else {
                Value::Other(span(value))
            };
            found.push((key.as_str().into(), value));
        }
        drop(fields);
        Ok(Document { text, fields: found })
    }

    /// The document after a change.
    pub(crate) fn patched(&self, patch: &Patch<'_>) -> Result<Document, ConfigError> {
        let mut writer = Writer { text: Vec::with_capacity(self.text.len() + 1024), old: &self.text };
        let mut fields = Vec::with_capacity(self.fields.len() + 1);
        writer.text.push(b'{');
        for (key, value) in &self.fields {
            writer.key(key);
            let value = if &**key == VERSION {
                Value::Other(writer.write(patch.version.to_string().as_bytes()))
            } else {
                writer.value(key, Some(value), patch)?
            };
            fields.push((key.clone(), value));
        }
        for (key, _) in patch.upsert.iter().flat_map(|upsert| &upsert.0) {
            if key != VERSION && self.fields.iter().all(|(known, _)| **known != **key) {
                writer.key(key);
                fields.push((key.as_str().into(), writer.value(key, None, patch)?));
            }
        }
        writer.text.push(b'}');
        Ok(Document { text: Bytes::from(writer.text), fields })
    }
}

/// Where a value stands in the text that it was read from.
fn span_in(text: &[u8], value: &RawValue) -> Span {
    let start = value.get().as_ptr() as usize - text.as_ptr() as usize;
    Span { start: start as u32, end: (start + value.get().len()) as u32 }
}

/// Writes the text of a new document from pieces of the old one and of a change.
struct Writer<'a> {
    text: Vec<u8>,
    old: &'a [u8],
}

impl Writer<'_> {
    fn write(&mut self, bytes: &[u8]) -> Span {
        let start = self.text.len() as u32;
        self.text.extend_from_slice(bytes);
        Span { start, end: self.text.len() as u32 }
    }

    fn copy(&mut self, span: Span) -> Span {
        let old = self.old.get(span.start as usize..span.end as usize).unwrap_or_default();
        self.write(old)
    }

    fn key(&mut self, key: &str) {
        if self.text.len() > 1 {
            self.text.push(b',');
        }
        self.text.extend_from_slice(serde_json::Value::from(key).to_string().as_bytes());
        self.text.push(b':');
    }

    /// Writes one field as the change leaves it.
    fn value(&mut self, key: &str, old: Option<&Value>, patch: &Patch<'_>) -> Result<Value, ConfigError> {
        let new = patch.upsert.as_ref().and_then(|upsert| upsert.get(key));
        let is_list = |value: &RawValue| value.get().starts_with('[');
        let deleted = patch.delete.get(key);
        Ok(match (old, new) {
            (_, Some(new)) if !is_list(new) => Value::Other(self.write(new.get().as_bytes())),
            (Some(Value::Other(_)), Some(new)) => Value::Other(self.write(new.get().as_bytes())),
            (Some(Value::Other(span)), None) => Value::Other(self.copy(*span)),
            (Some(Value::List(items)), new) => Value::List(self.list(items, new, deleted)?),
            (None, new) => Value::List(self.list(&[], new, deleted)?),
        })
    }

    fn list(
        &mut self, old: &[Item], new: Option<&RawValue>, deleted: Option<&HashSet<String>>,
    ) -> Result<Vec<Item>, ConfigError> {
        let new: Vec<&RawValue> = new.map(read_raw).transpose()?.unwrap_or_default();
        let mut added: HashMap<Arc<str>, usize> = HashMap::with_capacity(new.len());
        for (index, item) in new.iter().enumerate() {
            added.insert(Arc::from(name_of(item)?), index);
        }
        let mut items = Vec::with_capacity(old.len() + new.len());
        self.text.push(b'[');
        for item in old {
            if let Some(index) = added.remove(&item.name) {
                self.separate(&items);
                items.push(Item { name: item.name.clone(), span: self.write(new[index].get().as_bytes()) });
            } else if deleted.is_none_or(|deleted| !deleted.contains(&*item.name)) {
                self.separate(&items);
                items.push(Item { name: item.name.clone(), span: self.copy(item.span) });
            }
        }
        let mut added: Vec<(usize, Arc<str>)> =
            added.into_iter().map(|(name, index)| (index, name)).collect();
        added.sort_unstable();
        for (index, name) in added {
            self.separate(&items);
            items.push(Item { name, span: self.write(new[index].get().as_bytes()) });
        }
        self.text.push(b']');
        Ok(items)
    }

    fn separate(&mut self, items: &[Item]) {
        if !items.is_empty() {
            self.text.push(b',');
        }
    }
}
