//! The operator's file, `deploy/fleet.toml`: who is in which zone, who votes first, and where the key is.
//! All that is wrong with it is said at once, each with its line and with what would be right.

mod keys;
mod reader;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

pub use keys::keys;
pub use reader::{Problem, Problems};

use crate::interface::{Config, MemberId, Micros, Times};
use reader::Section;

/// Sections of other packages, which read them themselves.
const PARTS: [&str; 3] = ["failover", "broadcasts", "variants"];
/// Longest name of a zone or region, in bytes: a profile has to fit into a datagram.
const MOST_NAME_BYTES: usize = 32;
/// Longest name of a member, for the same reason.
const MOST_MEMBER_NAME_BYTES: usize = 64;
const MILLISECOND: Micros = 1_000;

/// A zone and the places of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    pub name: String,
    pub region: String,
    pub places: Vec<RangeInclusive<u16>>,
}

/// What the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Beside the file if it is relative.
    pub key_file: PathBuf,
    pub voters: Vec<MemberId>,
    pub zones: Vec<Zone>,
    pub times: Times,
    /// Where this relay reaches a member that says it is at the first address: at the second.
    pub reach: BTreeMap<SocketAddr, SocketAddr>,
    /// What other packages read.
    pub parts: BTreeMap<String, toml::Table>,
}

/// What one relay adds to the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    pub me: MemberId,
    pub name: String,
    pub address: SocketAddr,
    pub peers: u16,
    /// See [`Config::started`].
    pub started: u32,
    pub keys: Vec<[u8; 32]>,
}

impl Operator {
    /// Reads the file's text.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let Some(root) = reader::root(text, &mut problems) else { return Err(problems) };
        let mut file = Section::new(text, "", root.get_ref(), root.span().start);
        let fleet = file.section("fleet", &mut problems);
        let (mut key_file, mut voters, mut times) = (String::new(), Vec::new(), Times::default());
        if let Some(mut fleet) = fleet {
            key_file = fleet.string("key_file", "the path of a file with the fleet's key", &mut problems);
            voters = fleet.numbers("voters", "3, 5 or 7 places, as [0, 4, 8]", &mut problems);
            read_times(&mut fleet, &mut times, &mut problems);
            check_voters(&fleet, &voters, &mut problems);
            fleet.finish(&mut problems);
        }
        let sections = file.sections("zones", &mut problems);
        let zones = sections.into_iter().map(|section| read_zone(section, &mut problems)).collect::<Vec<_>>();
        check_zones(&file, &zones, &voters, &mut problems);
        let sections = file.sections_if_any("reach", &mut problems);
        let reach = sections.into_iter().filter_map(|section| read_reach(section, &mut problems)).collect();
        PARTS.iter().for_each(|part| file.leave(part));
        file.finish(&mut problems);
        problems.none()?;
        let mut table: toml::Table = toml::from_str(text).unwrap_or_default();
        let part = |part: &&str| match table.remove(*part) {
            Some(toml::Value::Table(table)) => Some(((*part).to_owned(), table)),
            _ => None,
        };
        let parts = PARTS.iter().filter_map(part).collect();
        let voters = voters.into_iter().map(MemberId).collect();
        Ok(Operator { key_file: key_file.into(), voters, zones, times, reach, parts })
    }

    /// The zone of a place.
    pub fn zone_of(&self, place: MemberId) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.places.iter().any(|places| places.contains(&place.0)))
    }

    /// What a relay's machine is made with.
    ///
    /// # Errors
    /// Where the file and the relay's configuration don't fit together: all of it.
    pub fn config(&self, relay: Relay) -> Result<Config, Problems> {
        let mut problems = Problems::default();
        let beyond = self.voters.iter().filter(|voter| voter.0 >= relay.peers);
        for voter in beyond {
            let wrong =
                format!("voter {} is not among the {} peers of the configuration", voter.0, relay.peers);
            problems.add(0, "fleet.voters", wrong, "places below the number of peers".to_owned());
        }
        let homeless: Vec<u16> =
            (0..relay.peers).filter(|place| self.zone_of(MemberId(*place)).is_none()).collect();
        if let Some(first) = homeless.first() {
            let wrong = format!("{} places are in no zone, {first} is the first", homeless.len());
            problems.add(
                0,
                "zones",
                wrong,
                format!("each of 0 to {} in one zone", relay.peers.saturating_sub(1)),
            );
        }
        if relay.name.len() > MOST_MEMBER_NAME_BYTES {
            let right = format!("at most {MOST_MEMBER_NAME_BYTES} bytes");
            problems.add(0, "name", format!("the relay's name has {} bytes", relay.name.len()), right);
        }
        if relay.keys.is_empty() {
            let right = "a line of 64 hex digits; `openssl rand -hex 32` makes one".to_owned();
            problems.add(0, "fleet.key_file", "there is no key in it".to_owned(), right);
        }
        problems.none()?;
        let zone = self.zone_of(relay.me);
        Ok(Config {
            me: relay.me,
            name: relay.name,
            zone: zone.map_or_else(String::new, |zone| zone.name.clone()),
            region: zone.map_or_else(String::new, |zone| zone.region.clone()),
            address: relay.address,
            started: relay.started,
            peers: relay.peers,
            voters: self.voters.clone(),
            keys: relay.keys,
            times: self.times,
        })
    }
}

fn read_times(fleet: &mut Section<'_>, times: &mut Times, problems: &mut Problems) {
    let places: [(&str, RangeInclusive<u64>, &mut Micros); 4] = [
        ("probe_ms", 100..=10_000, &mut times.probe),
        ("answer_ms", 20..=5_000, &mut times.answer),
        ("suspicion_ms", 300..=60_000, &mut times.suspicion),
        ("replace_ms", 5_000..=3_600_000, &mut times.replace),
    ];
    for (key, within, time) in places {
        if let Some(told) = fleet.number(key, &within, problems) {
            *time = told * MILLISECOND;
        }
    }
    if times.answer * 2 > times.probe {
        let right = "at most half of probe_ms, so that others can be asked meanwhile".to_owned();
        problems.add(fleet.line("answer_ms"), "fleet.answer_ms", "it is too long".to_owned(), right);
    }
}

fn check_voters(fleet: &Section<'_>, voters: &[u16], problems: &mut Problems) {
    let mut sorted = voters.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    if !voters.is_empty() && (![3, 5, 7].contains(&voters.len()) || sorted.len() != voters.len()) {
        let wrong = format!("there are {} voters, {} of them different", voters.len(), sorted.len());
        problems.add(fleet.line("voters"), "fleet.voters", wrong, "3, 5 or 7 different places".to_owned());
    }
}

fn read_reach(mut section: Section<'_>, problems: &mut Problems) -> Option<(SocketAddr, SocketAddr)> {
    let mut address = |key: &str| {
        let right = "an address and port, as \"10.0.0.4:8081\"";
        let told = section.string(key, right, problems);
        let read = told.parse().ok();
        if read.is_none() && !told.is_empty() {
            let wrong = format!("\"{told}\" is none");
            problems.add(section.line(key), &section.path(key), wrong, right.to_owned());
        }
        read
    };
    let (member, at) = (address("member"), address("at"));
    section.finish(problems);
    member.zip(at)
}

fn read_zone(mut section: Section<'_>, problems: &mut Problems) -> Zone {
    let name = section.string("name", "the zone's name", problems);
    let region = section.string("region", "the region's name", problems);
    let told = section.strings("places", "places and ranges of them, as [\"0-3\", \"12\"]", problems);
    for (key, name) in [("name", &name), ("region", &region)] {
        if name.len() > MOST_NAME_BYTES {
            let (line, right) = (section.line(key), format!("at most {MOST_NAME_BYTES} bytes"));
            problems.add(line, &section.path(key), format!("it has {} bytes", name.len()), right);
        }
    }
    let mut places = Vec::new();
    for text in told {
        match range(&text) {
            Some(range) => places.push(range),
            None => {
                let right = "a place, as \"12\", or a range, as \"0-3\"".to_owned();
                problems.add(
                    section.line("places"),
                    &section.path("places"),
                    format!("\"{text}\" is none"),
                    right,
                );
            }
        }
    }
    section.finish(problems);
    Zone { name, region, places }
}

fn range(text: &str) -> Option<RangeInclusive<u16>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let (first, last) = (first.trim().parse().ok()?, last.trim().parse().ok()?);
    (first <= last).then_some(first..=last)
}

fn check_zones(file: &Section<'_>, zones: &[Zone], voters: &[u16], problems: &mut Problems) {
    let line = file.line("zones");
    let mut names: Vec<&str> = zones.iter().map(|zone| zone.name.as_str()).collect();
    names.sort_unstable();
    for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
        problems.add(
            line,
            "zones",
            format!("two zones are named \"{}\"", pair[0]),
            "one of each name".to_owned(),
        );
    }
    let mut places: Vec<&RangeInclusive<u16>> = zones.iter().flat_map(|zone| &zone.places).collect();
    places.sort_unstable_by_key(|places| *places.start());
    for pair in places.windows(2).filter(|pair| pair[0].end() >= pair[1].start()) {
        let wrong = format!("place {} is in two zones", pair[1].start());
        problems.add(line, "zones", wrong, "each place in one zone".to_owned());
    }
    let in_zone = |zone: &Zone, place: u16| zone.places.iter().any(|places| places.contains(&place));
    for voter in voters.iter().filter(|voter| !zones.iter().any(|zone| in_zone(zone, **voter))) {
        problems.add(
            line,
            "zones",
            format!("voter {voter} is in no zone"),
            "a zone with its place".to_owned(),
        );
    }
    // Danger: a zone that is lost with most of the voters in it takes all decisions with it.
    for zone in zones.iter().filter(|_| zones.len() > 2) {
        let here = voters.iter().filter(|voter| in_zone(zone, **voter)).count();
        if here * 2 > voters.len() {
            let wrong = format!("{here} of {} voters are in zone \"{}\"", voters.len(), zone.name);
            problems.add(line, "fleet.voters", wrong, "less than half of the voters in any zone".to_owned());
        }
    }
}

#[cfg(test)]
mod tests;
