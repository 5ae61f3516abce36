//! Zones by the relay's own numbers, and what of them is the same at all members: their names.

use std::hash::Hasher;

use pewterseam_fleet::interface::Members;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// A zone's number in the relay's own settings; others may number otherwise.
pub type ZoneId = u16;

/// A zone's name in a datagram: its hash, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneKey(pub u32);

impl ZoneKey {
    pub fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        ZoneKey(hasher.finish() as u32)
    }
}

/// Zones that a fleet may have: the evidence of a destination grows with their square.
pub const MOST_ZONES: usize = 16;

/// How far a zone's hosts are from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    Own,
    Region,
    Far,
}

/// The zones of the relay's settings, and those that only members told of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones {
    names: Vec<String>,
    regions: Vec<Option<String>>,
}

impl Zones {
    /// In the order of the relay's numbers; names beyond [`MOST_ZONES`] are left out.
    pub fn new(names: &[String]) -> Self {
        let names: Vec<String> = names.iter().take(MOST_ZONES).cloned().collect();
        Zones { regions: vec![None; names.len()], names }
    }

    /// Takes in the zones of all members that were ever heard of, and their regions.
    pub fn learn(&mut self, members: &Members) {
        for member in members.all() {
            let zone = match self.number(&member.zone) {
                Some(zone) => zone,
                None if self.names.len() < MOST_ZONES => {
                    self.names.push(member.zone.clone());
                    self.regions.push(None);
                    (self.names.len() - 1) as ZoneId
                }
                None => continue,
            };
            if let Some(region) = self.regions.get_mut(usize::from(zone)) {
                *region = Some(member.region.clone());
            }
        }
    }

    pub fn number(&self, name: &str) -> Option<ZoneId> {
        self.names.iter().position(|of| of == name).map(|at| at as ZoneId)
    }

    pub fn by_key(&self, key: ZoneKey) -> Option<ZoneId> {
        self.names.iter().position(|of| ZoneKey::of(of) == key).map(|at| at as ZoneId)
    }

    pub fn name(&self, zone: ZoneId) -> &str {
        self.names.get(usize::from(zone)).map_or("?", String::as_str)
    }

    pub fn key(&self, zone: ZoneId) -> ZoneKey {
        ZoneKey::of(self.name(zone))
    }

    pub fn all(&self) -> impl Iterator<Item = ZoneId> + use<> {
        0..self.names.len() as ZoneId
    }

    /// A zone whose region nobody told is far.
    pub fn distance(&self, one: ZoneId, other: ZoneId) -> Distance {
        let region = |zone: ZoneId| self.regions.get(usize::from(zone)).and_then(Option::as_ref);
        match (region(one), region(other)) {
            _ if one == other => Distance::Own,
            (Some(here), Some(there)) if here == there => Distance::Region,
            _ => Distance::Far,
        }
    }
}
