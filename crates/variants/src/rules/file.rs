//! `[variants]` of the operator's file.

mod check;
mod samples;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::problems::Problems;
use super::rule::{Absent, Form, Full, Part, Rule, Source, Unsure};

/// The table as it is written. [`VariantsFile::problems`] says whether it will do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VariantsFile {
    /// Raised by the operator with each change: the highest that any relay read is in force.
    pub revision: u64,
    /// Claims that one relay keeps for the fleet at most.
    #[serde(default = "most_claims")]
    pub most_claims: usize,
    /// Bytes of answers that one relay keeps for the fleet at most.
    #[serde(default = "most_answer_bytes")]
    pub most_answer_bytes: usize,
    /// Whether it is counted which differences never mattered, to propose wider rules.
    #[serde(default = "yes")]
    pub learn: bool,
    #[serde(default)]
    pub rules: Vec<RuleFile>,
}

/// About 50 MB at the measured bytes a claim.
fn most_claims() -> usize {
    200_000
}

fn most_answer_bytes() -> usize {
    16 * 1024 * 1024
}

fn yes() -> bool {
    true
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleFile {
    pub class: String,
    pub unsure: Unsure,
    pub full: Full,
    pub window_s: u32,
    #[serde(default = "lease_ms")]
    pub lease_ms: u32,
    #[serde(default = "patience_ms")]
    pub patience_ms: u32,
    #[serde(default = "retry_ms")]
    pub retry_ms: u32,
    pub kind: Option<KindFile>,
    pub key: Vec<PartFile>,
    #[serde(default)]
    pub apart: Vec<ApartFile>,
    #[serde(default)]
    pub samples: Vec<SampleFile>,
}

/// Longer than a garbage collection, a scheduler's whim or a lost datagram; renewed three times in it.
fn lease_ms() -> u32 {
    3_000
}

/// Below the 400 ms that clients wait for an answer, with room for one call that is repeated.
fn patience_ms() -> u32 {
    200
}

fn retry_ms() -> u32 {
    2_000
}

/// Where a program's kind is told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindFile {
    pub header: Option<String>,
    pub cookie: Option<String>,
}

/// A part of the key: one of `header`, `cookie`, `field` and `body`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartFile {
    pub header: Option<String>,
    pub cookie: Option<String>,
    pub field: Option<String>,
    pub body: Option<BodyFile>,
    #[serde(default)]
    pub forms: Vec<Form>,
    #[serde(default)]
    pub absent: Absent,
}

/// A part that keeps apart.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApartFile {
    pub header: Option<String>,
    pub cookie: Option<String>,
    pub field: Option<String>,
    pub body: Option<BodyFile>,
    #[serde(default)]
    pub forms: Vec<Form>,
    #[serde(default = "value")]
    pub absent: Absent,
}

fn value() -> Absent {
    Absent::Value
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BodyFile {
    #[serde(default)]
    pub without: Vec<String>,
}

/// A message and what it has to come out as.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SampleFile {
    pub name: String,
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    #[serde(default)]
    pub cookies: BTreeMap<String, String>,
    #[serde(default)]
    pub body: String,
    /// The parts of the key and those that keep apart, in the rule's order; `(absent)` for one that is not
    /// there.
    pub gives: Option<Vec<String>>,
    /// Names of samples of this rule that are the same message.
    #[serde(default)]
    pub same_as: Vec<String>,
    /// Names of samples of this rule that are other messages.
    #[serde(default)]
    pub apart_from: Vec<String>,
}

/// What the settings say of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownClass {
    pub name: String,
    /// It must never run twice at its destination.
    pub single_shot: bool,
}

impl VariantsFile {
    /// Reads the table; what is wrong with its form is told first, since nothing else can be told then.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn read(table: &toml::Table, classes: &[KnownClass]) -> Result<Self, Problems> {
        let file: VariantsFile = table.clone().try_into().map_err(|error: toml::de::Error| {
            let mut problems = Problems::default();
            problems.add("variants", error.message(), "keys as docs/variants.md has them");
            problems
        })?;
        let problems = file.problems(classes);
        if problems.0.is_empty() { Ok(file) } else { Err(problems) }
    }

    /// All that is wrong with it. `classes` are those of the settings.
    pub fn problems(&self, classes: &[KnownClass]) -> Problems {
        check::problems(self, classes)
    }
}

impl RuleFile {
    /// The rule that is agreed; sound only of a file without problems.
    pub fn rule(&self) -> Rule {
        Rule {
            kind: self.kind.as_ref().and_then(KindFile::source),
            key: self.key.iter().filter_map(PartFile::part).collect(),
            apart: self.apart.iter().filter_map(|apart| PartFile::from(apart.clone()).part()).collect(),
            unsure: self.unsure,
            full: self.full,
            window_s: self.window_s,
            lease_ms: self.lease_ms,
            patience_ms: self.patience_ms,
            retry_ms: self.retry_ms,
        }
    }
}

impl KindFile {
    fn source(&self) -> Option<Source> {
        let header = self.header.clone().map(Source::Header);
        header.or_else(|| self.cookie.clone().map(Source::Cookie))
    }
}

impl PartFile {
    fn part(&self) -> Option<Part> {
        let source = (self.header.clone().map(Source::Header))
            .or_else(|| self.cookie.clone().map(Source::Cookie))
            .or_else(|| self.field.clone().map(Source::Field))
            .or_else(|| self.body.clone().map(|body| Source::Body { without: body.without }))?;
        Some(Part { source, forms: self.forms.clone(), absent: self.absent })
    }
}

impl From<ApartFile> for PartFile {
    fn from(apart: ApartFile) -> Self {
        let ApartFile { header, cookie, field, body, forms, absent } = apart;
        PartFile { header, cookie, field, body, forms, absent }
    }
}
