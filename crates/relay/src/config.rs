//! What the platform tells the relay: environment and a JSON file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pewterseam_settings::Deployment;
use serde::Deserialize;

use pewterseam_node::change::Change;
use pewterseam_node::list::List;

use crate::unusable::Unusable;

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
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

/// What the file says.
#[derive(Clone, Debug, Deserialize)]
pub struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    pub limits: Limits,
    #[serde(default)]
    pub peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    #[serde(default)]
    pub peers_all: Option<SocketAddr>,
    #[serde(default)]
    pub known: Option<List>,
    /// Where operators call; none where neither this nor `NODE_OPS` is given.
    #[serde(default)]
    ops: Option<SocketAddr>,
    settings: serde_json::Value,
}

/// All that a relay is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    path: PathBuf,
    pub file: File,
    /// The environment may go before the file here.
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    pub deployment: Deployment,
}

impl Config {
    /// Reads the file; what is also in the environment goes before it.
    pub fn read(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Unusable> {
        let of_file = || path.to_owned();
        let text = fs::read(path).map_err(|error| Unusable::Unreadable { path: of_file(), error })?;
        let file: File =
            serde_json::from_slice(&text).map_err(|error| Unusable::Form { path: of_file(), error })?;
        let settings = file.settings.to_string();
        let mut deployment = pewterseam_settings::parse(settings.as_bytes())
            .map_err(|error| Unusable::Settings { path: of_file(), error })?;
        adapt(&mut deployment);
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| Unusable::Seed { path: of_file(), seed: file.seed.clone() })?;
        let address = |name: &'static str| match variable(name) {
            Some(text) => text.parse().map(Some).map_err(|_| Unusable::Address { name, text }),
            None => Ok(None),
        };
        if !(file.limits.disk_mb.is_finite() && file.limits.disk_mb > 0.0) {
            return Err(Unusable::Disk { path: of_file() });
        }
        let me = usize::from(deployment.settings.me);
        if !file.peers.is_empty() && me >= file.peers.len() {
            return Err(Unusable::NoPeer { path: of_file(), me, peers: file.peers.len() });
        }
        Ok(Config {
            path: path.to_owned(),
            name: variable("NODE_NAME").unwrap_or_else(|| file.name.clone()),
            listen: address("NODE_LISTEN")?.unwrap_or(file.listen),
            discovery: address("NODE_DISCOVERY")?.unwrap_or(file.discovery),
            ops: address("NODE_OPS")?.or(file.ops),
            seed,
            deployment,
            file,
        })
    }

    /// Reads its file again, whole. The environment is of the start and older than that.
    pub fn again(&self) -> Result<Self, Unusable> {
        Config::read(&self.path, |_| None)
    }

    /// What a newer one changes. Only what its file says otherwise counts: the environment may have gone
    /// before the rest.
    pub fn change(&self, newer: &Config) -> Change {
        let (old, new) = (&self.file, &newer.file);
        let others = [
            ("name", old.name != new.name),
            ("listen", old.listen != new.listen),
            ("ops", old.ops != new.ops),
            ("limits", old.limits != new.limits),
            ("peer_listen", old.peer_listen != new.peer_listen),
            ("peers", old.peers != new.peers),
            ("peers_all", old.peers_all != new.peers_all),
            ("settings", old.settings != new.settings),
        ];
        Change {
            discovery: (old.discovery != new.discovery).then_some(new.discovery),
            settings: (old.settings != new.settings).then(|| Box::new(newer.deployment.clone())),
            at_next_start: others.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect(),
        }
    }
}

/// What differs on sockets from the settings' own words, which are the simulator's.
fn adapt(deployment: &mut Deployment) {
    let settings = &mut deployment.settings;
    // The list is asked for here, of an agent to whom that costs nothing, and an end other than delivery goes
    // by a notice.
    settings.polls_registry = true;
    settings.max_poll_pause = 0;
    settings.ends_by_notice = true;
    // A call carries one message.
    for kind in &mut settings.kinds {
        kind.max_bundle = 1;
    }
}
