//! Runs a relay: gathers inputs for the reducer, keeps its records, carries out its effects.

use std::io;
use std::time::Duration;

use pewterseam::brain;
use slog::{Logger, error, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

use crate::clients::Clients;
use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{self, Watch};
use crate::hosts::Hosts;
use crate::journal::Journal;
use crate::notices::{self, Notice, Pace};
use crate::peers::Peers;
use crate::reducer::{Effect, Input, Level, Reducer, Step};

/// Where tasks hand in what happened.
#[derive(Clone)]
pub struct Inputs(mpsc::UnboundedSender<Input>);

impl Inputs {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inputs(sender), receiver)
    }

    /// After the end of the loop nobody listens, and nothing is lost by that.
    pub fn send(&self, input: Input) {
        let _ = self.0.send(input);
    }
}

/// Descriptors for all but clients and hosts: standard streams, reactor, listener, peers, discovery, notices,
/// the journal's segments, and some to spare.
const OWN_DESCRIPTORS: usize = 32;

struct Relay {
    clock: Clock,
    reducer: Reducer,
    journal: Journal,
    clients: Clients,
    hosts: Hosts,
    peers: Option<Peers>,
    follow: mpsc::UnboundedSender<Watch>,
    notices: mpsc::UnboundedSender<Notice>,
    inputs: Inputs,
    wake_at: Option<u64>,
    log: Logger,
}

/// Serves until asked to stop.
pub async fn run(config: Config, log: Logger) -> io::Result<()> {
    LocalSet::new().run_until(serve(config, log)).await
}

async fn serve(config: Config, log: Logger) -> io::Result<()> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let disk = (config.limits.disk_mb * 1e6) as u64;
    let (journal, history) = Journal::open(&config.state, disk)?;
    info!(log, "journal read"; "messages" => history.messages.len(), "bytes_dropped" => history.dropped);

    let (inputs, mut incoming) = Inputs::new();
    let settings = &config.deployment.settings;
    let descriptors = (config.limits.sockets as usize).saturating_sub(OWN_DESCRIPTORS);
    let for_hosts = (descriptors / 2).max(settings.slots);
    let clients = Clients::new(
        descriptors.saturating_sub(for_hosts),
        Duration::from_micros(brain::CLIENT_PATIENCE),
        inputs.clone(),
    );
    let hosts = Hosts::new(settings.idle_close, for_hosts.saturating_sub(settings.slots), inputs.clone());
    let peers = match config.peer_listen {
        Some(listen) if settings.may_tell => {
            let me = usize::from(settings.me);
            let peers = Peers::bind(listen, &config.peers, config.peers_all, me).await?;
            spawn_local(peers.clone().listen(inputs.clone()));
            Some(peers)
        }
        _ => None,
    };
    let (follow, asked) = mpsc::unbounded_channel();
    spawn_local(discovery::follow(config.discovery, asked, inputs.clone()));
    let (notices, told) = mpsc::unbounded_channel();
    let pace = Pace {
        patience: Duration::from_micros(brain::NOTICE_PATIENCE),
        pause: Duration::from_micros(brain::NOTICE_PAUSE),
    };
    spawn_local(notices::tell(config.discovery, pace, told, inputs.clone()));

    let reducer = Reducer::new(config.deployment.clone(), config.seed, journal.room());
    let wake_at = None;
    let mut relay =
        Relay { clock, reducer, journal, clients, hosts, peers, follow, notices, inputs, wake_at, log };
    let step = relay.reducer.start(clock.now(), history, config.known);
    relay.write_anew();
    relay.carry_out(step);
    let listener = Clients::listen(config.listen).await?;
    spawn_local(relay.clients.clone().accept(listener));
    info!(relay.log, "serving"; "name" => &config.name, "listen" => %config.listen);

    let mut stop_at = None;
    loop {
        let wake = relay.wake_at.map(|at| Instant::from_std(clock.instant(at)));
        let timer = async {
            match wake {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let mut batch = Vec::new();
        tokio::select! {
            biased;
            _ = terminate.recv(), if stop_at.is_none() => batch.push(Input::Stop),
            _ = interrupt.recv(), if stop_at.is_none() => batch.push(Input::Stop),
            Some(input) = incoming.recv() => batch.push(input),
            _ = timer => {}
        }
        while let Ok(input) = incoming.try_recv() {
            batch.push(input);
        }
        if stop_at.is_none() && batch.iter().any(|input| matches!(input, Input::Stop)) {
            stop_at = Some(clock.now() + brain::STOP_WITHIN);
            relay.clients.stop();
        }
        let now = clock.now();
        if relay.wake_at.is_some_and(|at| at <= now) {
            relay.wake_at = None;
        }
        let step = relay.reducer.step(now, batch);
        relay.carry_out(step);
        if relay.journal.is_due() {
            relay.write_anew();
        }
        if let Some(at) = stop_at {
            let idle = relay.reducer.held() == 0 && relay.clients.open() == 0;
            if now >= at || (idle && now + brain::STOP_WITHIN >= at + brain::STOP_NOT_BEFORE) {
                break;
            }
            relay.wake_at = Some(relay.wake_at.map_or(at, |wake| wake.min(at)));
        }
    }
    for (name, value) in relay.reducer.counters().all() {
        info!(relay.log, "counter"; "name" => name, "value" => value);
    }
    info!(relay.log, "stopped"; "held" => relay.reducer.held());
    Ok(())
}

impl Relay {
    /// Keeps a step's records, then does what it asks for; a step that can't be kept is undone first.
    fn carry_out(&mut self, mut step: Step) {
        if let Err(error) = self.journal.append(&step.records) {
            error!(self.log, "the journal takes nothing"; "error" => %error);
            step = self.reducer.undo(self.clock.now(), step);
            // What is left tells of ends only, and is tried again with the next step.
            let records = std::mem::take(&mut step.records);
            if self.journal.append(&records).is_err() {
                self.reducer.keep_for_later(records);
            }
        }
        for effect in step.effects {
            match effect {
                Effect::Respond { id, response } => self.clients.respond(id, response),
                Effect::Call(call) => self.hosts.call(call),
                Effect::Cancel { id, attempt } => self.hosts.cancel(id, attempt),
                Effect::Probe { host, address, path, timeout } => {
                    self.hosts.probe(host, address, path, timeout)
                }
                Effect::CloseIdle(host) => self.hosts.close_idle(host),
                Effect::Notify(notice) => {
                    let _ = self.notices.send(notice);
                }
                Effect::Tell { to, bytes } => {
                    if let Some(peers) = &self.peers {
                        peers.tell(to, &bytes);
                    }
                }
                Effect::Follow => {
                    let wait = Duration::from_micros(brain::LIST_WAIT);
                    let patience = Duration::from_micros(brain::LIST_PATIENCE);
                    let _ = self.follow.send(Watch { wait, patience });
                }
                Effect::Wake(at) => self.wake_at = Some(self.wake_at.map_or(at, |wake| wake.min(at))),
                Effect::Log { level: Level::Info, text } => info!(self.log, "{}", text),
                Effect::Log { level: Level::Warn, text } => warn!(self.log, "{}", text),
                Effect::Log { level: Level::Error, text } => error!(self.log, "{}", text),
            }
        }
    }

    fn write_anew(&mut self) {
        let (next, records) = self.reducer.records();
        let done = self.journal.write_anew(next, &records);
        if let Err(error) = &done {
            error!(self.log, "the journal could not be written anew"; "error" => %error);
        }
        self.inputs.send(Input::WrittenAnew { done: done.is_ok() });
    }
}
