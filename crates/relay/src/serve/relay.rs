//! The parts of a running relay, and how they are started.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use pewterseam::interface::Micros;
use pewterseam::timeouts;
use slog::{Logger, error, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use pewterseam_durable::replay::History;
use pewterseam_errors::ErrorLine;
use pewterseam_fleet::interface::MOST_CALL_BYTES;
use pewterseam_node::change::{Change, Rejected};
use pewterseam_node::io::Input;
use pewterseam_node::notice::Notice;
use pewterseam_node::reducer::{Reducer, Room};
use pewterseam_node::together::Together;

use super::check;
use super::fault::{Fault, at, within};
use crate::clients::{self, Clients};
use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{self, Watch};
use crate::fleet_log::FleetLog;
use crate::forming::Forming;
use crate::hosts::Hosts;
use crate::inputs::Inputs;
use crate::journal::Journal;
use crate::learnt;
use crate::maintenance;
use crate::members::Members;
use crate::notices;
use crate::ops::Operators;
use crate::peers::Peers;
use pewterseam_http1::MAX_BODY_BYTES;

/// What a member of a fleet has.
pub(super) struct Fleet {
    forming: Forming,
    pub(super) members: Members,
    pub(super) log: FleetLog,
}

pub(super) struct Relay {
    pub(super) clock: Clock,
    /// As last read.
    pub(super) config: Config,
    pub(super) reducer: Reducer,
    pub(super) journal: Journal,
    pub(super) clients: Clients,
    pub(super) operators: Operators,
    pub(super) hosts: Hosts,
    pub(super) peers: Option<Peers>,
    /// Where an operator's file forms a fleet.
    pub(super) fleet: Option<Fleet>,
    pub(super) discovery: watch::Sender<SocketAddr>,
    pub(super) follow: mpsc::UnboundedSender<Watch>,
    pub(super) notices: mpsc::UnboundedSender<Notice>,
    pub(super) inputs: Inputs,
    pub(super) wake_at: Option<Micros>,
    pub(super) folder: PathBuf,
    /// The last step could not be kept.
    pub(super) journal_fails: bool,
    pub(super) log: Logger,
}

fn open_journal(folder: &Path, limit: u64, log: &Logger) -> Result<(Journal, History), Fault> {
    let (journal, history) = Journal::open(folder, limit).map_err(within(folder))?;
    info!(log, "journal read"; "messages" => history.messages.len());
    if history.dropped > 0 {
        warn!(log, "the journal's end was cut short"; "bytes_dropped" => history.dropped);
    }
    Ok((journal, history))
}

impl Relay {
    /// Takes over what the journal holds, then lets clients in.
    pub(super) async fn start(
        mut config: Config, forming: Option<Forming>, folder: &Path, log: Logger, inputs: Inputs,
        listener: TcpListener, operators: Operators,
    ) -> Result<Self, Fault> {
        let clock = Clock::start();
        let settings = config.deployment.settings.clone();
        let budget = check(&config)?;
        let (journal, history) = open_journal(folder, config.file.limits.disk(), &log)?;
        let peers = match config.file.peer_listen.filter(|_| settings.may_message_peers) {
            Some(listen) => {
                let me = usize::from(settings.me);
                let bound = Peers::bind(listen, &config.file.peers, config.file.peers_all, me).await;
                Some(bound.map_err(at(listen))?)
            }
            None => None,
        };
        if let Some(peers) = &peers {
            spawn_local(peers.clone().listen(inputs.clone()));
        }
        let (pause, patience) =
            (Duration::from_micros(timeouts::RETRY_PAUSE), Duration::from_micros(timeouts::RESPONSE));
        let discovery = watch::Sender::new(config.discovery);
        let (follow, asked) = mpsc::unbounded_channel();
        spawn_local(discovery::follow(discovery.subscribe(), asked, inputs.clone()));
        let (notices, told) = mpsc::unbounded_channel();
        let pace = notices::Pace { first: Duration::from_micros(timeouts::NOTICE_RESPONSE), patience, pause };
        spawn_local(notices::tell(discovery.subscribe(), pace, told, inputs.clone()));
        let (patience, idle) =
            (Duration::from_micros(timeouts::CLIENT_REQUEST), Duration::from_micros(timeouts::CLIENT_IDLE));
        let pace = clients::Pace { patience, idle, pause };
        let most_member_call = if forming.is_some() { MOST_CALL_BYTES } else { MAX_BODY_BYTES };
        let clients = Clients::new(budget, pace, most_member_call, inputs.clone());
        let hosts = Hosts::new(timeouts::RESPONSE, inputs.clone());
        let room = Room { bytes: journal.room().min(budget.held), idle_connections: budget.idle };
        let mut reducer = Reducer::new(config.deployment.clone(), config.seed, room);
        match learnt::read(folder) {
            Ok(learnt) => reducer.recall(learnt),
            Err(error) => {
                warn!(log, "what was learnt before the restart can't be read"; "error" => %ErrorLine(&error));
            }
        }
        match maintenance::read(folder) {
            Ok(names) => reducer.maintained(names),
            Err(error) => {
                warn!(log, "the hosts under maintenance can't be read"; "error" => %ErrorLine(&error))
            }
        }
        let fleet = match forming {
            Some(forming) => {
                let member = forming.member(&config)?;
                let (log, saved) = FleetLog::open(folder).map_err(within(folder))?;
                let patience = Duration::from_micros(member.times.call);
                let failover = forming.failover(&config, &member)?;
                reducer.join(Together::new(clock.now(), member, failover, config.seed, &saved));
                let members = Members::new(forming.reach(), patience, inputs.clone());
                Some(Fleet { forming, members, log })
            }
            None => None,
        };
        let step = reducer.start(clock.now(), history, config.file.known.take());
        let mut relay = Relay {
            clock,
            config,
            reducer,
            journal,
            clients,
            operators,
            hosts,
            peers,
            fleet,
            discovery,
            follow,
            notices,
            inputs,
            wake_at: None,
            folder: folder.to_owned(),
            journal_fails: false,
            log,
        };
        relay.carry_out(step);
        relay.write_anew();
        spawn_local(relay.clients.clone().accept(listener));
        let Config { name, listen, discovery, .. } = &relay.config;
        info!(relay.log, "serving"; "name" => name, "listen" => %listen, "discovery" => %discovery);
        Ok(relay)
    }

    /// Reads the configuration again; one that would not do for a start changes nothing.
    pub(super) fn configure(&mut self) -> Result<Change, Rejected> {
        let newer = self.config.again().map_err(|error| Rejected(ErrorLine(&error).to_string()))?;
        check(&newer).map_err(|error| Rejected(ErrorLine(&error).to_string()))?;
        let change = self.config.change(&newer);
        self.config = newer;
        Ok(change)
    }

    /// The fleet's keys, read again; the old ones stay where they can't be read.
    pub(super) fn fleet_keys(&self) -> Option<Input> {
        match self.fleet.as_ref()?.forming.again() {
            Ok(keys) => Some(Input::FleetKeys(keys)),
            Err(error) => {
                error!(self.log, "the fleet's keys stay as they were"; "error" => %ErrorLine(&error));
                None
            }
        }
    }

    pub(super) fn wake(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |wake| wake.min(at)));
    }
}
