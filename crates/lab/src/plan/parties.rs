//! Who takes part in a day, and how some of them are picked.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub relays: u16,
    /// Relays, and the hosts of each destination, are spread over the zones in turn.
    pub zones: Vec<Zone>,
    /// They form a fleet: know of each other, and decide in common by voters of several zones.
    #[serde(default)]
    pub members: bool,
    /// The fleet moves calls between zones in common; only with `members`.
    #[serde(default)]
    pub failover: bool,
    /// Calls that a relay may have out at once, and messages it may hold.
    #[serde(default = "slots")]
    pub slots: usize,
    #[serde(default = "most_held")]
    pub most_held: usize,
    #[serde(default = "max_attempts")]
    pub max_attempts: u32,
    /// Delay of a link within a zone, between zones of a region, and between regions.
    #[serde(default = "delays_ms")]
    pub delays_ms: [f64; 3],
}

fn slots() -> usize {
    24
}

fn most_held() -> usize {
    400
}

fn max_attempts() -> u32 {
    8
}

fn delays_ms() -> [f64; 3] {
    [0.5, 1.5, 20.0]
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    #[serde(default)]
    pub region: String,
}

/// Another firm's system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationPlan {
    pub number: u32,
    pub hosts: u16,
    /// What all of its hosts together can do when warm.
    pub answers_a_second: f64,
    /// An answer takes from so long to so long.
    pub answer_ms: [f64; 2],
    /// More calls in a second than this are refused, where there is a limit.
    pub limit_a_second: Option<f64>,
    /// Weight of this destination among all in the load.
    #[serde(default = "one")]
    pub weight: f64,
    /// After an outage it can do this share, and all again after so many seconds.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    #[serde(default = "cold_s")]
    pub cold_s: f64,
}

fn one() -> f64 {
    1.0
}

fn cold_share() -> f64 {
    0.25
}

fn cold_s() -> f64 {
    8.0
}

/// Some relays or hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Pick {
    All,
    /// By place, from 0.
    Numbers(Vec<u16>),
    /// All in a zone, or in a region.
    Zone(String),
    Region(String),
    /// Hosts of a destination.
    Destination(u32),
    /// A destination's hosts in a zone.
    DestinationIn {
        destination: u32,
        zone: String,
    },
    /// This part of them, drawn by the seed.
    Part(f64),
}

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Who {
    Relays(Pick),
    Hosts(Pick),
    /// Discovery and the platform's agent.
    Discovery,
    Clients,
}
