//! `[broadcasts]` of the operator's file.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use pewterseam::interface::DestinationId;
use serde::Deserialize;

use super::Problem;

/// Destinations of all groups together. Each costs a relay some tens of bytes for what it shares of it, and
/// as much again at the homes; a typing error in a range must not take a relay's memory.
pub const MOST_DESTINATIONS: u64 = 200_000;
/// Longest name of a group, in bytes: it is a header's value and part of a decision.
const MOST_NAME_BYTES: usize = 64;

/// `[broadcasts]`. Absent, a message for a group is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BroadcastsFile {
    #[serde(default)]
    pub groups: BTreeMap<String, GroupFile>,
    #[serde(default)]
    pub lanes: LanesFile,
}

/// `[broadcasts.groups.NAME]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupFile {
    /// Numbers and ranges of them, as `["7", "100-2099"]`.
    pub destinations: Vec<String>,
}

/// `[broadcasts.lanes]`: how slow subscribers are kept apart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LanesFile {
    /// Relays that serve a slow subscriber. More of them survive a crash, fewer hold its connections
    /// together.
    pub gateways: u16,
    /// Calls that a relay may have out to all slow subscribers together, in percent of its slots.
    pub slots_percent: u8,
    /// The part of a group that may be in slow lanes, in percent. Above it a common cause is more likely.
    pub most_slow_percent: u8,
    /// Moves into and out of slow lanes a minute, over the whole fleet.
    pub moves_a_minute: u32,
    /// Rounds in a row that a subscriber has to keep up before it goes back.
    pub proof_rounds: u32,
}

impl Default for LanesFile {
    fn default() -> Self {
        LanesFile {
            gateways: 2,
            slots_percent: 10,
            most_slow_percent: 15,
            moves_a_minute: 600,
            proof_rounds: 6,
        }
    }
}

impl GroupFile {
    /// All destinations; what can't be read is left out and told by [`BroadcastsFile::problems`].
    pub(super) fn expand(&self) -> Vec<DestinationId> {
        self.destinations.iter().filter_map(|text| range(text)).flatten().collect()
    }
}

impl BroadcastsFile {
    /// All that is wrong with it, at once.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut add = |place: String, wrong: String, right: &str| {
            problems.push(Problem { place, wrong, right: right.to_owned() });
        };
        let mut all = 0u64;
        for (name, group) in &self.groups {
            let place = format!("broadcasts.groups.{name}");
            let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            if name.is_empty() || name.len() > MOST_NAME_BYTES || !name.chars().all(plain) {
                let right = "1 to 64 letters, digits, `-`, `_` or `.`, as it stands in a header";
                add(place.clone(), format!("the name {name:?} can't be one"), right);
            }
            let place = format!("{place}.destinations");
            if group.destinations.is_empty() {
                add(place.clone(), "the group is empty".to_owned(), "at least one destination");
            }
            let mut ranges = Vec::new();
            for text in &group.destinations {
                match range(text) {
                    Some(range) => ranges.push(range),
                    None => add(place.clone(), format!("{text:?} is none"), "\"12\" or \"100-199\""),
                }
            }
            ranges.sort_unstable_by_key(|range| *range.start());
            for pair in ranges.windows(2).filter(|pair| pair[0].end() >= pair[1].start()) {
                let wrong = format!("{} stands in it twice", pair[1].start());
                add(place.clone(), wrong, "each destination once in a group");
            }
            all += ranges.iter().map(|range| u64::from(range.end() - range.start()) + 1).sum::<u64>();
        }
        if all > MOST_DESTINATIONS {
            let wrong = format!("the groups have {all} destinations");
            add("broadcasts.groups".to_owned(), wrong, "at most 200000 in all groups together");
        }
        self.lanes.check(&mut add);
        problems
    }
}

impl LanesFile {
    fn check(&self, add: &mut impl FnMut(String, String, &str)) {
        let places = [
            ("gateways", u32::from(self.gateways), 1..=16),
            ("slots_percent", u32::from(self.slots_percent), 1..=50),
            // Danger: where half of a group may be called slow, the other half is the outlier.
            ("most_slow_percent", u32::from(self.most_slow_percent), 1..=40),
            ("moves_a_minute", self.moves_a_minute, 1..=100_000),
            ("proof_rounds", self.proof_rounds, 1..=1_000),
        ];
        for (key, told, within) in places {
            if !within.contains(&told) {
                let right = format!("{} to {}", within.start(), within.end());
                add(format!("broadcasts.lanes.{key}"), format!("it is {told}"), &right);
            }
        }
    }
}

fn range(text: &str) -> Option<RangeInclusive<DestinationId>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let (first, last) = (first.trim().parse().ok()?, last.trim().parse().ok()?);
    (first <= last).then_some(first..=last)
}
