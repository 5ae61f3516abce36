//! Whether a configuration is valid.
//!
//! Items are held against the schema one by one, so that a large document is never whole in memory as a tree of
//! values; of a change only its own items are.

use std::fmt;

use bytes::Bytes;
use jsonschema::Validator;
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::document::{BACKENDS, Fields, Patch, ROUTES, name_of, read_raw};
use crate::error::ConfigError;
use crate::live::LiveConfig;

const SCHEMA: &str = include_str!("../schema/config.schema.json");

/// The most faults that are told.
const MOST_ERRORS: usize = 20;

/// Why the schema in this package cannot be used.
#[derive(Debug)]
pub enum SchemaError {
    Json(serde_json::Error),
    Schema(String),
}

impl fmt::Display for SchemaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SchemaError::Json(error) => write!(f, "the schema is no JSON: {error}"),
            SchemaError::Schema(reason) => write!(f, "the schema cannot be compiled: {reason}"),
        }
    }
}

impl std::error::Error for SchemaError {}

/// The compiled schema. It takes some memory; make it where configurations are checked, once.
pub struct Checker {
    document: Validator,
    patch: Validator,
    route: Validator,
    backend: Validator,
}

impl fmt::Debug for Checker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Checker")
    }
}

impl Checker {
    pub fn new() -> Result<Self, SchemaError> {
        let schema: Value = serde_json::from_str(SCHEMA).map_err(SchemaError::Json)?;
        let part = |name: &str| {
            let reference = json!({ "$ref": format!("#/$defs/{name}"), "$defs": schema["$defs"] });
            jsonschema::validator_for(&reference).map_err(|error| SchemaError::Schema(error.to_string()))
        };
        Ok(Checker {
            document: part("document")?,
            patch: part("patch")?,
            route: part("route")?,
            backend: part("backend")?,
        })
    }

    /// Checks a whole configuration that is to follow the version in place. At most 20 faults are told.
    pub fn check(&self, text: &Bytes, current: u64) -> Result<LiveConfig, Vec<ConfigError>> {
        let fields = Fields::read(text).map_err(|error| vec![error])?;
        let mut errors = Vec::new();
        self.check_outside(&fields, &mut errors);
        for (list, validator) in [(ROUTES, &self.route), (BACKENDS, &self.backend)] {
            match fields.list(list) {
                Ok(items) => check_items(validator, list, &items, &mut errors),
                Err(error) => errors.push(error),
            }
        }
        if !errors.is_empty() {
            return Err(capped(errors));
        }
        finish(LiveConfig::read(text.clone()).map_err(|error| vec![error])?, current)
    }

    /// Checks a change, and makes the document that it leads to.
    pub fn check_patch(
        &self, config: &LiveConfig, patch: &[u8], current: u64,
    ) -> Result<LiveConfig, Vec<ConfigError>> {
        let value: Value =
            serde_json::from_slice(patch).map_err(|error| vec![ConfigError::unreadable(&error)])?;
        let mut errors = Vec::new();
        collect(&self.patch, "change", &value, &mut errors);
        drop(value);
        if errors.is_empty() {
            check_names(patch, &mut errors);
        }
        if !errors.is_empty() {
            return Err(capped(errors));
        }
        config.compiled()?;
        finish(config.patched(patch)?, current)
    }

    /// Checks all but the items of the lists.
    fn check_outside(&self, fields: &Fields<'_>, errors: &mut Vec<ConfigError>) {
        let mut outside = Map::new();
        for (key, value) in &fields.0 {
            let is_list = (key == ROUTES || key == BACKENDS) && value.get().starts_with('[');
            let value = if is_list { Ok(json!([])) } else { read_raw(value) };
            match value {
                Ok(value) => drop(outside.insert(key.clone(), value)),
                Err(error) => errors.push(error),
            }
        }
        collect(&self.document, "configuration", &Value::Object(outside), errors);
    }
}

fn check_items(validator: &Validator, list: &str, items: &[&RawValue], errors: &mut Vec<ConfigError>) {
    for (index, item) in items.iter().enumerate() {
        if errors.len() >= MOST_ERRORS {
            return;
        }
        match read_raw::<Value>(item) {
            Ok(value) if validator.is_valid(&value) => {}
            Ok(value) => collect(validator, &item_label(list, index, item), &value, errors),
            Err(error) => errors.push(error),
        }
    }
}

fn item_label(list: &str, index: usize, item: &RawValue) -> String {
    match name_of(item) {
        Ok(name) => format!("{list} {name}"),
        Err(_) => format!("{list}[{index}]"),
    }
}

fn collect(validator: &Validator, item: &str, value: &Value, errors: &mut Vec<ConfigError>) {
    for error in validator.iter_errors(value).take(MOST_ERRORS) {
        let reason = format!("{}: {error}", error.instance_path());
        errors.push(ConfigError::Field { item: item.to_owned(), reason });
    }
}

/// A change may not give one name twice in a list.
fn check_names(patch: &[u8], errors: &mut Vec<ConfigError>) {
    let patch = match Patch::read(patch) {
        Ok(patch) => patch,
        Err(error) => return errors.push(error),
    };
    for list in [ROUTES, BACKENDS] {
        let items = patch.upsert.as_ref().and_then(|upsert| upsert.list(list).ok()).unwrap_or_default();
        let mut names: Vec<String> = items.into_iter().filter_map(|item| name_of(item).ok()).collect();
        names.sort_unstable();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            errors.push(ConfigError::DuplicateName { list, name: pair[0].clone() });
        }
    }
}

/// The rules between items, and the version.
fn finish(config: LiveConfig, current: u64) -> Result<LiveConfig, Vec<ConfigError>> {
    let version = config.compiled().map_err(capped)?.version;
    if version <= current {
        return Err(vec![ConfigError::VersionNotAbove { version, current }]);
    }
    Ok(config)
}

fn capped(mut errors: Vec<ConfigError>) -> Vec<ConfigError> {
    errors.truncate(MOST_ERRORS);
    errors
}
