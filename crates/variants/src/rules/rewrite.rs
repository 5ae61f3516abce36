//! The key of a message.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::forms::Canon;
use super::parts::{Found, Reading, Seen};
use super::rule::{Absent, Part, Rule};

/// What variants of one message have in common: 128 bits of a keyed hash.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub [u8; 16]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// What became of a message under a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rewritten {
    pub key: Key,
    /// The key with all that keeps apart in it, for messages whose `key` turned out to be of several.
    pub narrow: Key,
    /// Of each part whose absence agrees with any value, and that is not in the key: none where it is absent.
    pub prints: Vec<Option<u64>>,
}

/// Why a message has no key. It goes by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByItself {
    /// This part of the key is not there, by its place in the rule.
    Absent(usize),
    /// This part is there more than once.
    Twice(usize),
}

/// All parts of a rule, the key's first.
pub(super) fn parts(rule: &Rule) -> impl Iterator<Item = &Part> {
    rule.key.iter().chain(&rule.apart)
}

/// A message's keys. `narrowed` are places in `rule.apart` that belong to the key by decision.
///
/// # Errors
/// [`ByItself`] where the message is no variant of any.
pub fn rewrite(
    rule: &Rule, narrowed: &BTreeSet<u16>, salt: &[u8; 32], seen: Seen<'_>,
) -> Result<Rewritten, ByItself> {
    let reading = Reading::new(rule, seen);
    let mut values = Vec::with_capacity(rule.key.len() + rule.apart.len());
    for (place, part) in parts(rule).enumerate() {
        match reading.part(part, |_, _| ()) {
            Found::Value(Canon::Absent) if part.absent == Absent::ByItself => {
                return Err(ByItself::Absent(place));
            }
            Found::Value(value) => values.push(value),
            Found::Twice => return Err(ByItself::Twice(place)),
        }
    }
    let in_key = |place: usize| {
        let apart = place.checked_sub(rule.key.len()).map(|at| (at, &rule.apart[at]));
        apart.is_none_or(|(at, part)| part.absent != Absent::Agrees || narrowed.contains(&(at as u16)))
    };
    let (mut key, mut narrow) = (hasher(salt, b"key", seen), hasher(salt, b"narrow", seen));
    let mut prints = Vec::new();
    for (place, value) in values.iter().enumerate() {
        add(&mut narrow, value);
        if in_key(place) {
            add(&mut key, value);
        } else {
            prints.push((*value != Canon::Absent).then(|| print(salt, value)));
        }
    }
    Ok(Rewritten { key: finish(&key), narrow: finish(&narrow), prints })
}

/// Danger: lengths go before bytes, so that no two sequences of parts are the same bytes.
pub(super) fn add(hasher: &mut blake3::Hasher, value: &Canon) {
    let bytes = value.bytes();
    hasher.update(&[value.tag()]).update(&(bytes.len() as u64).to_le_bytes()).update(&bytes);
}

pub(super) fn hasher(salt: &[u8; 32], what: &[u8], seen: Seen<'_>) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new_keyed(salt);
    for part in [what, seen.class.as_bytes(), seen.tenant.as_bytes(), &seen.destination.to_le_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    hasher
}

fn finish(hasher: &blake3::Hasher) -> Key {
    let mut key = [0; 16];
    hasher.finalize_xof().fill(&mut key);
    Key(key)
}

/// A value's print, for comparing without carrying the value.
pub(super) fn print(salt: &[u8; 32], value: &Canon) -> u64 {
    let mut hasher = blake3::Hasher::new_keyed(salt);
    add(hasher.update(b"print"), value);
    let mut print = [0; 8];
    hasher.finalize_xof().fill(&mut print);
    u64::from_le_bytes(print)
}
