//! Tables of a TOML file, read key by key, so that all that is wrong is found in one pass.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// From 1; 0 where it is of no line.
    pub line: usize,
    /// Where, as `zones[1].places`.
    pub key: String,
    pub wrong: String,
    pub right: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}: ", self.line)?;
        }
        write!(formatter, "{}: {}; right would be {}", self.key, self.wrong, self.right)
    }
}

/// All that is wrong, a line each.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl Problems {
    pub fn add(&mut self, line: usize, key: &str, wrong: String, right: String) {
        self.0.push(Problem { line, key: key.to_owned(), wrong, right });
    }

    pub fn none(&mut self) -> Result<(), Problems> {
        self.0.sort_by_key(|problem| problem.line);
        if self.0.is_empty() { Ok(()) } else { Err(std::mem::take(self)) }
    }
}

fn line_of(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|byte| *byte == b'\n').count()
}

/// The whole file; none where it is no TOML.
pub fn root<'t>(text: &'t str, problems: &mut Problems) -> Option<Spanned<DeTable<'t>>> {
    match DeTable::parse(text) {
        Ok(root) => Some(root),
        Err(error) => {
            let line = error.span().map_or(0, |span| line_of(text, span.start));
            let wrong = error.message().to_owned();
            problems.add(line, "the file", wrong, "TOML, as in deploy/fleet.toml".to_owned());
            None
        }
    }
}

/// A table of which keys are asked for one after the other; what was not asked for in the end is unknown.
pub struct Section<'t> {
    text: &'t str,
    path: String,
    table: &'t DeTable<'t>,
    at: usize,
    asked: BTreeSet<String>,
}

impl<'t> Section<'t> {
    pub fn new(text: &'t str, path: &str, table: &'t DeTable<'t>, at: usize) -> Self {
        Section { text, path: path.to_owned(), table, at, asked: BTreeSet::new() }
    }

    pub fn path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Of a key, or of the section where the key is missing.
    pub fn line(&self, key: &str) -> usize {
        line_of(self.text, self.table.get(key).map_or(self.at, |value| value.span().start))
    }

    /// A key that somebody else reads.
    pub fn leave(&mut self, key: &str) {
        self.asked.insert(key.to_owned());
    }

    fn take(&mut self, key: &str) -> Option<&'t DeValue<'t>> {
        self.leave(key);
        self.table.get(key).map(Spanned::get_ref)
    }

    fn wrong(&self, key: &str, value: Option<&DeValue<'_>>, right: &str, problems: &mut Problems) {
        let wrong =
            value.map_or_else(|| "it is missing".to_owned(), |value| format!("it is {}", value.type_str()));
        problems.add(self.line(key), &self.path(key), wrong, right.to_owned());
    }

    /// A string that has to be there; empty where it is not.
    pub fn string(&mut self, key: &str, right: &str, problems: &mut Problems) -> String {
        match self.take(key) {
            Some(DeValue::String(text)) if !text.trim().is_empty() => text.trim().to_owned(),
            Some(DeValue::String(_)) => {
                problems.add(self.line(key), &self.path(key), "it is empty".to_owned(), right.to_owned());
                String::new()
            }
            other => {
                self.wrong(key, other, right, problems);
                String::new()
            }
        }
    }

    /// A list that has to be there, each entry as `read` takes it.
    fn list<T>(
        &mut self, key: &str, right: &str, problems: &mut Problems, read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Vec<T> {
        let value = self.take(key);
        let Some(DeValue::Array(entries)) = value else {
            self.wrong(key, value, right, problems);
            return Vec::new();
        };
        let mut list = Vec::new();
        for entry in entries {
            match read(entry.get_ref()) {
                Some(entry) => list.push(entry),
                None => {
                    let line = line_of(self.text, entry.span().start);
                    let wrong = format!("one of it is {}", entry.get_ref().type_str());
                    problems.add(line, &self.path(key), wrong, right.to_owned());
                }
            }
        }
        if entries.is_empty() {
            problems.add(self.line(key), &self.path(key), "it is empty".to_owned(), right.to_owned());
        }
        list
    }

    pub fn strings(&mut self, key: &str, right: &str, problems: &mut Problems) -> Vec<String> {
        self.list(key, right, problems, |entry| match entry {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        })
    }

    pub fn numbers(&mut self, key: &str, right: &str, problems: &mut Problems) -> Vec<u16> {
        self.list(key, right, problems, number)
    }

    /// A number that may be missing.
    pub fn number(
        &mut self, key: &str, within: &RangeInclusive<u64>, problems: &mut Problems,
    ) -> Option<u64> {
        let right = format!("a whole number from {} to {}", within.start(), within.end());
        let value = self.take(key)?;
        let told = number::<u64>(value);
        if told.is_none() {
            self.wrong(key, Some(value), &right, problems);
        }
        let told = told?;
        if !within.contains(&told) {
            problems.add(self.line(key), &self.path(key), format!("it is {told}"), right);
            return None;
        }
        Some(told)
    }

    /// A table that has to be there.
    pub fn section(&mut self, key: &str, problems: &mut Problems) -> Option<Section<'t>> {
        let value = self.take(key);
        match value {
            Some(DeValue::Table(table)) => {
                let at = self.table.get(key).map_or(self.at, |value| value.span().start);
                Some(Section::new(self.text, &self.path(key), table, at))
            }
            other => {
                self.wrong(key, other, &format!("a section [{}]", self.path(key)), problems);
                None
            }
        }
    }

    /// Tables of which at least one has to be there.
    /// The same where there may be none.
    pub fn sections_if_any(&mut self, key: &str, problems: &mut Problems) -> Vec<Section<'t>> {
        self.leave(key);
        if self.table.contains_key(key) { self.sections(key, problems) } else { Vec::new() }
    }

    pub fn sections(&mut self, key: &str, problems: &mut Problems) -> Vec<Section<'t>> {
        let right = format!("a section [[{}]] for each", self.path(key));
        let value = self.take(key);
        let Some(DeValue::Array(entries)) = value else {
            self.wrong(key, value, &right, problems);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (place, entry) in entries.iter().enumerate() {
            let path = format!("{}[{place}]", self.path(key));
            match entry.get_ref() {
                DeValue::Table(table) => {
                    sections.push(Section::new(self.text, &path, table, entry.span().start));
                }
                other => {
                    problems.add(self.line(key), &path, format!("it is {}", other.type_str()), right.clone())
                }
            }
        }
        sections
    }

    /// Tells of keys that nobody asked for.
    pub fn finish(self, problems: &mut Problems) {
        let known = self.asked.iter().cloned().collect::<Vec<_>>().join(", ");
        for (key, _) in self.table.iter() {
            if !self.asked.contains(key.get_ref().as_ref()) {
                let line = line_of(self.text, key.span().start);
                let right = format!("one of {known}");
                problems.add(line, &self.path(key.get_ref()), "there is no such key".to_owned(), right);
            }
        }
    }
}

fn number<T: TryFrom<u64>>(value: &DeValue<'_>) -> Option<T> {
    let DeValue::Integer(told) = value else { return None };
    let told = u64::from_str_radix(told.as_str(), told.radix()).ok()?;
    T::try_from(told).ok()
}
