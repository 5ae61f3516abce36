//! What the platform tells the relay: environment and a JSON file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use pewterseam_settings::{Deployment, Malformed};
use serde::Deserialize;

use crate::discovery::List;

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
    pub disk_mb: f64,
}

impl Limits {
    /// Bytes that the folder that lasts may hold.
    pub fn disk(&self) -> u64 {
        (self.disk_mb * 1e6) as u64
    }
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: Option<List>,
    settings: serde_json::Value,
}

/// All that a relay is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub known: Option<List>,
    pub deployment: Deployment,
}

impl Config {
    /// Reads the file; what is also in the environment goes before it.
    pub fn read(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Malformed> {
        let text = fs::read(path).map_err(|error| Malformed::new(format!("{}: {error}", path.display())))?;
        let file: File = serde_json::from_slice(&text)
            .map_err(|error| Malformed::new(format!("{}: {error}", path.display())))?;
        let settings = file.settings.to_string();
        let mut deployment = pewterseam_settings::parse(settings.as_bytes())
            .map_err(|error| Malformed::new(format!("{}: settings: {error}", path.display())))?;
        adapt(&mut deployment);
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| {
            Malformed::new(format!("{}: seed '{}' is no number in hex", path.display(), file.seed))
        })?;
        let address = |name: &str, default: SocketAddr| match variable(name) {
            Some(text) => text.parse().map_err(|_| Malformed::new(format!("{name}: '{text}' is no address"))),
            None => Ok(default),
        };
        if !(file.limits.disk_mb.is_finite() && file.limits.disk_mb > 0.0) {
            return Err(Malformed::new(format!("{}: limits.disk_mb must be above 0", path.display())));
        }
        let me = usize::from(deployment.settings.me);
        if !file.peers.is_empty() && me >= file.peers.len() {
            return Err(Malformed::new(format!("{}: relay {me} is not among its peers", path.display())));
        }
        Ok(Config {
            name: variable("NODE_NAME").unwrap_or(file.name),
            listen: address("NODE_LISTEN", file.listen)?,
            discovery: address("NODE_DISCOVERY", file.discovery)?,
            seed,
            limits: file.limits,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            deployment,
        })
    }
}

/// What differs on sockets from the settings' own words, which are the simulator's.
fn adapt(deployment: &mut Deployment) {
    let settings = &mut deployment.settings;
    // The list is asked for here, of an agent to whom that costs nothing, and an end other than delivery goes
    // by a notice.
    settings.ask_registry = true;
    settings.ask_within = 0;
    settings.ends_by_notice = true;
    // A call carries one message.
    for kind in &mut settings.kinds {
        kind.bundle = 1;
    }
}
