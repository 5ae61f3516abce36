//! A store at work, driven as `pewterseam_system::store` does it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pewterseam_message_log::{CurrentTime, Effect, Input as StoreInput, Members, Store, StoreSettings};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::store::{StoreRequest, StoreResponse};

use crate::disk::{DiskCommand, DiskEvent, LogName};
use crate::event::{Input, Origin, Output};
use crate::message::PeerMessage;
use crate::node::{Node, NodeEvent};
use crate::plan::{Planted, SECOND, Scenario};
use crate::relay::CLOCK_ERROR;

const STATUS_TTL: Micros = 600 * SECOND;
/// The same on days that outlast it.
const SHORT_STATUS_TTL: Micros = 14 * SECOND;
/// `maxSkewMs` on these days, on which no clock is stepped.
const SMALL_CLOCK_ERROR: Micros = 2 * SECOND;
const DISK_BYTES: u64 = 64 * 1024 * 1024;
const MEMORY_BYTES: usize = 4 * 1024;
/// Small, so that cleaning happens in short runs.
const CLEAN_ABOVE_BYTES: u64 = 192 * 1024;

/// How the stores of simulated clusters are kept.
pub fn store_settings(id: StoreId, scenario: Scenario) -> StoreSettings {
    let status_ttl = if scenario == Scenario::LongDays { SHORT_STATUS_TTL } else { STATUS_TTL };
    let clock_error = if scenario == Scenario::LongDays { SMALL_CLOCK_ERROR } else { CLOCK_ERROR };
    StoreSettings {
        clock_error,
        memory_bytes: MEMORY_BYTES,
        clean_above_bytes: CLEAN_ABOVE_BYTES,
        ..StoreSettings::new(id, status_ttl, DISK_BYTES)
    }
}

struct Caller {
    origin: Origin,
    call: u64,
}

/// A store at work.
pub struct StoreProcess {
    pub node: Node,
    store: Store,
    callers: BTreeMap<u64, Caller>,
    last_token: u64,
    pulls: BTreeMap<u64, SocketAddr>,
    store_wake: Micros,
    planted: Option<Planted>,
}

impl StoreProcess {
    pub fn new(node: Node, store: Store, planted: Option<Planted>) -> Self {
        let (callers, pulls) = (BTreeMap::new(), BTreeMap::new());
        StoreProcess { node, store, callers, last_token: 0, pulls, store_wake: 0, planted }
    }

    pub fn next_wake(&self) -> Micros {
        self.node.next_wake().min(self.store_wake)
    }

    /// Does what is due.
    pub fn work(&mut self) {
        for event in self.node.tick() {
            match event {
                NodeEvent::Members => self.members_changed(),
                NodeEvent::InForce(state) => {
                    let epoch = state.placement.epoch;
                    self.step(StoreInput::Placement(state.placement.clone()));
                    if self.planted == Some(Planted::EarlyCopies) {
                        self.node.copied(self.store.id().clone(), epoch);
                    }
                }
                NodeEvent::Answered { .. } | NodeEvent::Restarted => {}
            }
        }
        if self.node.now >= self.store_wake {
            self.store_wake = Micros::MAX;
            self.step(StoreInput::Tick);
        }
    }

    fn members_changed(&mut self) {
        let live = self.node.live().map(|info| info.as_ref().clone()).collect();
        let ended = self.node.ended_lives();
        self.step(StoreInput::Members(Members { live, ended }));
    }

    pub fn input(&mut self, input: Input) {
        match input {
            Input::Message { origin, message } => self.received(origin, message),
            Input::Lost(Origin::Dialed(address)) => self.peer_lost(address),
            Input::Lost(origin) => self.callers.retain(|_, caller| caller.origin != origin),
            Input::Disk(LogName::Messages, event) => self.log_event(event),
            Input::Disk(LogName::Control, event) => self.node.control_log_event(event),
            Input::Stop => {
                self.node.leave();
                self.node.out.push(Output::Exit);
            }
            _ => {}
        }
    }

    fn received(&mut self, from: Origin, message: PeerMessage) {
        match message {
            PeerMessage::StoreRequest { call, request } => self.requested(from, call, *request),
            PeerMessage::StoreResponse { call, response } => self.pull_answered(call, Some(*response)),
            PeerMessage::Control { from, message } => self.node.control_message(&from, *message),
            PeerMessage::Notice(_) | PeerMessage::Delivery { .. } => {}
        }
    }

    fn requested(&mut self, origin: Origin, call: u64, request: StoreRequest) {
        self.last_token += 1;
        let is_early = self.planted == Some(Planted::EarlyAcknowledgement)
            && matches!(request, StoreRequest::Append { .. });
        if is_early {
            let response = Box::new(StoreResponse::Done { store: self.store.id().clone() });
            let message = PeerMessage::StoreResponse { call, response };
            self.node.out.push(Output::Reply { origin, message });
        } else {
            self.callers.insert(self.last_token, Caller { origin, call });
        }
        self.step(StoreInput::Request { token: self.last_token, request });
    }

    fn pull_answered(&mut self, token: u64, response: Option<StoreResponse>) {
        if self.pulls.remove(&token).is_some() {
            self.step(StoreInput::StoreResponded { token, response });
        }
    }

    fn peer_lost(&mut self, address: SocketAddr) {
        let lost: Vec<u64> =
            self.pulls.iter().filter(|(_, to)| **to == address).map(|(token, _)| *token).collect();
        for token in lost {
            self.pull_answered(token, None);
        }
    }

    fn log_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Synced { through, positions } => {
                self.step(StoreInput::Persisted { through, positions });
            }
            DiskEvent::Failed { through } => self.step(StoreInput::PersistFailed { through }),
            DiskEvent::Read { token, payload } => self.step(StoreInput::ReadBack { token, payload }),
            DiskEvent::Maintained { .. } => {}
        }
    }

    fn step(&mut self, input: StoreInput) {
        let now = CurrentTime { steady: self.node.now, wall: self.node.wall };
        for effect in self.store.step(now, input) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let log = |command| Output::Disk(LogName::Messages, command);
        match effect {
            Effect::Respond { token, response } => self.respond(token, response),
            Effect::Notify { to, notice } => self.node.send(&to, PeerMessage::Notice(notice)),
            Effect::Persist { ticket, entries } => {
                self.node.out.push(log(DiskCommand::Append { ticket, payloads: entries }));
            }
            Effect::ReadBack { token, position } => {
                self.node.out.push(log(DiskCommand::Read { token, position }));
            }
            Effect::RemoveSegments { before } => {
                self.node.out.push(log(DiskCommand::RemoveBefore { segment: before }));
            }
            Effect::SendStoreRequest { to, token, request } => self.pull(&to, token, request),
            Effect::Copied { epoch } => {
                let id = self.store.id().clone();
                self.node.copied(id, epoch);
            }
            Effect::WakeAt(at) => self.store_wake = at,
        }
    }

    fn respond(&mut self, token: u64, response: StoreResponse) {
        let Some(caller) = self.callers.remove(&token) else { return };
        let message = PeerMessage::StoreResponse { call: caller.call, response: Box::new(response) };
        self.node.out.push(Output::Reply { origin: caller.origin, message });
    }

    fn pull(&mut self, to: &StoreId, token: u64, request: StoreRequest) {
        let Some(address) = self.node.address_of_store(to) else {
            self.step(StoreInput::StoreResponded { token, response: None });
            return;
        };
        self.pulls.insert(token, address);
        let message = PeerMessage::StoreRequest { call: token, request: Box::new(request) };
        self.node.out.push(Output::Send { to: address, message });
    }
}
