//! The operator's file: what a relay needs to form a fleet with others, and why it can't be had.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use pewterseam_errors::Advice;
use pewterseam_failover::interface::Config as Failover;
use pewterseam_failover::operator::{Operator as Settings, OperatorError};
use pewterseam_fleet::interface::{Config as Member, MemberId};
use pewterseam_fleet::operator::{self, Operator, Problems};
use pewterseam_settings::Deployment;
use thiserror::Error;

use crate::config::Config;

/// Why no fleet can be formed.
#[derive(Debug, Error)]
pub enum Unformed {
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: io::Error },
    /// All that is wrong, a line each in the file and one line here.
    #[error("{}: {}", path.display(), one_line(problems))]
    Wrong { path: PathBuf, problems: Problems },
    #[error("{}: {error}", path.display())]
    Failover { path: PathBuf, error: OperatorError },
    #[error("zone {zone:?} of this relay is none of its settings")]
    Zone { zone: String },
    #[error("the settings and addresses of this relay let it speak to no peers")]
    NoPeers,
}

/// A command tells what is wrong in one line.
fn one_line(problems: &Problems) -> String {
    problems.to_string().replace('\n', "; and ")
}

impl Advice for Unformed {
    fn code(&self) -> &'static str {
        match self {
            Unformed::Unreadable { .. } => "fleet-unreadable",
            Unformed::Wrong { .. } => "fleet-file",
            Unformed::Failover { error, .. } => error.code(),
            Unformed::Zone { .. } => "fleet-zone",
            Unformed::NoPeers => "fleet-peers",
        }
    }

    fn help(&self) -> String {
        match self {
            Unformed::Unreadable { .. } => "name a file that this user may read".to_owned(),
            Unformed::Wrong { .. } => {
                "correct the file at each place; deploy/fleet.toml is a whole one".to_owned()
            }
            Unformed::Failover { error, .. } => error.help(),
            Unformed::Zone { .. } => "name zones in the operator's file as the settings name them".to_owned(),
            Unformed::NoPeers => {
                "give the relay peer_listen and peers, and settings that allow messages of peers".to_owned()
            }
        }
    }
}

/// The operator's file as it was read.
#[derive(Clone, Debug)]
pub struct Forming {
    path: PathBuf,
    operator: Operator,
    keys: Vec<[u8; 32]>,
}

impl Forming {
    /// Reads the file and the keys that it names.
    pub fn read(path: &Path) -> Result<Self, Unformed> {
        let text = read(path)?;
        let wrong = |problems| Unformed::Wrong { path: path.to_owned(), problems };
        let operator = Operator::parse(&text).map_err(wrong)?;
        let key_path = path.parent().unwrap_or(Path::new("")).join(&operator.key_file);
        let wrong = |problems| Unformed::Wrong { path: key_path.clone(), problems };
        let keys = operator::keys(&read(&key_path)?).map_err(wrong)?;
        Ok(Forming { path: path.to_owned(), operator, keys })
    }

    /// Where this relay reaches members that are not where they say.
    pub fn reach(&self) -> BTreeMap<SocketAddr, SocketAddr> {
        self.operator.reach.clone()
    }

    /// What failover is made with; none where the file has no table for it.
    pub fn failover(&self, config: &Config, member: &Member) -> Result<Option<Failover>, Unformed> {
        let Some(table) = self.operator.parts.get("failover") else { return Ok(None) };
        let wrong = |error| Unformed::Failover { path: self.path.clone(), error };
        let operator = Settings::read(&table.to_string()).map_err(wrong)?;
        let Deployment { settings, zones, .. } = &config.deployment;
        let zone = zones.iter().position(|zone| *zone == member.zone);
        let zone = zone.ok_or_else(|| Unformed::Zone { zone: member.zone.clone() })? as u16;
        Ok(Some(Failover {
            me: member.me,
            zones: zones.clone(),
            zone,
            wall: u64::from(member.started),
            cold_share: settings.cold_share,
            cold_time: settings.cold_time,
            operator,
        }))
    }

    /// The fleet's keys, read again.
    pub fn again(&self) -> Result<Vec<[u8; 32]>, Unformed> {
        Ok(Forming::read(&self.path)?.keys)
    }

    /// This relay as a member.
    pub fn member(&self, config: &Config) -> Result<Member, Unformed> {
        let settings = &config.deployment.settings;
        if config.file.peer_listen.is_none() || config.file.peers.is_empty() || !settings.may_message_peers {
            return Err(Unformed::NoPeers);
        }
        let started = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs() as u32);
        let relay = operator::Relay {
            me: MemberId(settings.me),
            name: config.name.clone(),
            address: config.listen,
            peers: config.file.peers.len() as u16,
            started,
            keys: self.keys.clone(),
        };
        let wrong = |problems| Unformed::Wrong { path: self.path.clone(), problems };
        self.operator.config(relay).map_err(wrong)
    }
}

fn read(path: &Path) -> Result<String, Unformed> {
    fs::read_to_string(path).map_err(|error| Unformed::Unreadable { path: path.to_owned(), error })
}
