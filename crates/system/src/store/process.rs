//! The store's state machine between its log, its node and its callers.

use std::collections::HashMap;
use std::net::SocketAddr;

use pewterseam_config::settings::Settings;
use pewterseam_message_log::{CurrentTime, Effect, Input, Members, Store, StoreRecovery, StoreSettings};
use pewterseam_storage::{Log, LogOptions, LogWriter, RecoveredFrom, WriterEvent};
use pewterseam_transport::{Origin, TransportEvent};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::store::{StoreRequest, StoreResponse};
use tokio::sync::mpsc::UnboundedSender;

use super::StoreTransportEvent;
use crate::clock;
use crate::disk;
use crate::error::SystemError;
use crate::message::PeerMessage;
use crate::node::{Node, NodeEvent};

/// The message log's folder in the data folder.
const FOLDER: &str = "messages";
/// Part of the disk that the message log may take; the rest is for rewriting.
const DISK_PART: f64 = 0.9;
/// Part of the memory that bodies of open messages may take.
const MEMORY_PART: f64 = 0.15;
const BYTES_A_MEGABYTE: f64 = 1024.0 * 1024.0;

/// Who waits for an answer.
struct Caller {
    origin: Origin,
    call: u64,
}

/// A store at work.
pub struct StoreProcess {
    pub node: Node,
    store: Store,
    writer: LogWriter,
    callers: HashMap<u64, Caller>,
    last_token: u64,
    /// Requests to other stores, and where they went.
    pulls: HashMap<u64, SocketAddr>,
    store_wake: Micros,
}

impl StoreProcess {
    pub fn start(
        node: Node, settings: &Settings, events: UnboundedSender<WriterEvent>,
    ) -> Result<Self, SystemError> {
        let path = settings.data_dir.as_ref().ok_or(SystemError::Missing { what: "dataDir" })?;
        let folder = disk::open_folder(&path.join(FOLDER))?;
        let mut recovery = StoreRecovery::new(store_settings(&node, settings), now(&node));
        let log = Log::open(folder, LogOptions::default(), &mut |found| {
            if let RecoveredFrom::Segment { position, .. } = found.from {
                recovery.entry(position, found.payload);
            }
        })?;
        let store = recovery.finish()?;
        let writer = LogWriter::start(log, events)
            .map_err(|error| SystemError::Folder { path: path.clone(), error })?;
        let (callers, pulls) = (HashMap::new(), HashMap::new());
        Ok(StoreProcess { node, store, writer, callers, last_token: 0, pulls, store_wake: 0 })
    }

    /// When [`StoreProcess::tick`] is due.
    pub fn next_wake(&self) -> Micros {
        self.node.next_wake().min(self.store_wake)
    }

    /// Does what is due.
    pub fn tick(&mut self) {
        for event in self.node.tick() {
            match event {
                NodeEvent::Members => self.members_changed(),
                NodeEvent::InForce(state) => self.step(Input::Placement(state.placement.clone())),
                NodeEvent::Answered { .. } | NodeEvent::Restarted(_) => {}
            }
        }
        if self.node.now() >= self.store_wake {
            self.store_wake = Micros::MAX;
            self.step(Input::Tick);
        }
    }

    fn members_changed(&mut self) {
        let live = self.node.live().map(|info| info.as_ref().clone()).collect();
        let ended = self.node.ended_lives();
        self.step(Input::Members(Members { live, ended }));
    }

    /// Something happened on a connection.
    pub fn transport(&mut self, event: StoreTransportEvent) {
        match event {
            TransportEvent::Received { from, message } => self.received(from, message),
            TransportEvent::Lost(Origin::Dialed(address)) => self.peer_lost(address),
            TransportEvent::Lost(origin) => self.callers.retain(|_, caller| caller.origin != origin),
        }
    }

    fn received(&mut self, from: Origin, message: PeerMessage) {
        match message {
            PeerMessage::StoreRequest { call, request } => self.requested(from, call, *request),
            PeerMessage::StoreResponse { call, response } => self.pull_answered(call, Some(*response)),
            PeerMessage::Control { from, message } => self.node.control_message(&from, *message),
            PeerMessage::Notice(_) | PeerMessage::Delivery { .. } | PeerMessage::List { .. } => {}
        }
    }

    fn requested(&mut self, origin: Origin, call: u64, request: StoreRequest) {
        self.last_token += 1;
        self.callers.insert(self.last_token, Caller { origin, call });
        self.step(Input::Request { token: self.last_token, request });
    }

    fn pull_answered(&mut self, token: u64, response: Option<StoreResponse>) {
        if self.pulls.remove(&token).is_some() {
            self.step(Input::StoreResponded { token, response });
        }
    }

    fn peer_lost(&mut self, address: SocketAddr) {
        let lost: Vec<u64> =
            self.pulls.iter().filter(|(_, to)| **to == address).map(|(token, _)| *token).collect();
        for token in lost {
            self.pull_answered(token, None);
        }
    }

    /// The log has done something.
    pub fn log_event(&mut self, event: WriterEvent) {
        match event {
            WriterEvent::Synced { through, positions } => self.step(Input::Persisted { through, positions }),
            WriterEvent::Failed { through, error } => {
                log::error!("messages cannot be written: {error}");
                self.step(Input::PersistFailed { through });
            }
            WriterEvent::Read { token, result } => {
                if let Err(error) = &result {
                    log::error!("a message cannot be read back: {error}");
                }
                self.step(Input::ReadBack { token, payload: result.ok() });
            }
            WriterEvent::Maintained(Ok(())) => {}
            WriterEvent::Maintained(Err(error)) => log::error!("the message log cannot be cleaned: {error}"),
        }
    }

    fn step(&mut self, input: Input) {
        let now = now(&self.node);
        for effect in self.store.step(now, input) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { token, response } => self.respond(token, response),
            Effect::Notify { to, notice } => self.node.send(&to, &PeerMessage::Notice(notice)),
            Effect::Persist { ticket, entries } => self.written(self.writer.append(ticket, entries)),
            Effect::ReadBack { token, position } => self.written(self.writer.read(token, position)),
            Effect::RemoveSegments { before } => self.written(self.writer.remove_before(before)),
            Effect::SendStoreRequest { to, token, request } => self.pull(&to, token, request),
            Effect::Copied { epoch } => {
                let id = self.store.id().clone();
                self.node.copied(id, epoch);
            }
            Effect::WakeAt(at) => self.store_wake = at,
        }
    }

    fn written(&self, result: Result<(), pewterseam_storage::WriterStopped>) {
        if let Err(error) = result {
            log::error!("{error}");
        }
    }

    fn respond(&mut self, token: u64, response: StoreResponse) {
        let Some(caller) = self.callers.remove(&token) else { return };
        let message = PeerMessage::StoreResponse { call: caller.call, response: Box::new(response) };
        if let Err(error) = self.node.transport.reply(caller.origin, &message) {
            log::warn!("an answer is dropped: {error}");
        }
    }

    fn pull(&mut self, to: &StoreId, token: u64, request: StoreRequest) {
        let Some(address) = self.node.address_of_store(to) else {
            self.step(Input::StoreResponded { token, response: None });
            return;
        };
        self.pulls.insert(token, address);
        self.node.send_to(address, &PeerMessage::StoreRequest { call: token, request: Box::new(request) });
    }
}

fn now(node: &Node) -> CurrentTime {
    CurrentTime { steady: node.now(), wall: clock::wall() }
}

fn store_settings(node: &Node, settings: &Settings) -> StoreSettings {
    let info = node.info();
    let disk = info.disk.unwrap_or(pewterseam_wire::identity::DiskId(0));
    let id = StoreId { name: info.name.clone(), disk };
    let disk_bytes = (settings.limits.disk_mb * BYTES_A_MEGABYTE * DISK_PART) as u64;
    let status_ttl = settings.bounds.status_ttl().as_micros() as Micros;
    let memory_bytes = (settings.limits.memory_mb * BYTES_A_MEGABYTE * MEMORY_PART) as usize;
    let clock_error = settings.bounds.max_skew().as_micros() as Micros;
    StoreSettings { memory_bytes, clock_error, ..StoreSettings::new(id, status_ttl, disk_bytes) }
}
