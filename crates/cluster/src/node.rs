//! What every process has: membership and control, driven as `pewterseam_system::node` does it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_config::CompiledConfig;
use pewterseam_control::{
    Contact, Control, ControlError, ControlMessage, ControlSettings, Effect as ControlEffect,
    OperatorRequest, Outcome, Token,
};
use pewterseam_membership::{Effect as MemberEffect, MemberChange, Membership, MembershipSettings, Status};
use pewterseam_storage::{AppendQueue, PendingWrite};
use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::{NodeInfo, NodeName, Owner};
use pewterseam_wire::placement::{CopySpread, PlacementEpoch, StoreId};
use pewterseam_wire::{Micros, WallMicros};

use crate::disk::{DiskCommand, DiskEvent, LogName};
use crate::event::Output;
use crate::message::PeerMessage;

/// Where the steady clock of a process begins.
pub const FIRST_MOMENT: Micros = 1_000_000;
/// The pause before a failed write to the control log is tried again.
const RETRY_AFTER: Micros = 250_000;

/// What a process learns from its node.
pub enum NodeEvent {
    Members,
    InForce(Arc<ControlState>),
    Answered { token: Token, outcome: Outcome },
    Restarted,
}

/// What a node starts with.
pub struct NodeStart {
    pub info: NodeInfo,
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    /// The snapshot and the records of the control log, and the number of its last record.
    pub recovered: (Option<Bytes>, Vec<Bytes>),
    pub last_record: u64,
    pub seed: u64,
    /// See `Plan::as_deployed`.
    pub as_deployed: bool,
}

/// The part of a process that keeps it in touch with the others.
pub struct Node {
    pub now: Micros,
    pub wall: WallMicros,
    pub as_deployed: bool,
    membership: Membership,
    control: Control,
    last_ticket: u64,
    last_record: u64,
    writes: AppendQueue,
    running_records: u64,
    retry_at: Option<Micros>,
    ended: BTreeSet<Owner>,
    members_changed: bool,
    events: Vec<NodeEvent>,
    pub out: Vec<Output>,
}

impl Node {
    pub fn start(start: NodeStart, wall: WallMicros) -> Self {
        let now = FIRST_MOMENT;
        let settings = ControlSettings {
            bootstrap: start.bootstrap,
            seeds: start.seeds.clone(),
            tolerated: 1,
            copy_spread: if start.as_deployed { CopySpread::WithinZone } else { CopySpread::AcrossZones },
            agrees_on_homes: start.as_deployed,
            ..ControlSettings::default()
        };
        let control = Control::new(now, &start.info, settings, start.recovered, start.seed)
            .unwrap_or_else(|error| panic!("the control log of {} cannot be read: {error}", start.info.name));
        let membership =
            Membership::new(now, start.info, start.seeds, MembershipSettings::default(), start.seed);
        Node {
            now,
            wall,
            as_deployed: start.as_deployed,
            membership,
            control,
            last_ticket: 0,
            last_record: start.last_record,
            writes: AppendQueue::default(),
            running_records: 0,
            retry_at: None,
            ended: BTreeSet::new(),
            members_changed: false,
            events: Vec::new(),
            out: Vec::new(),
        }
    }

    pub fn info(&self) -> &Arc<NodeInfo> {
        self.membership.own()
    }

    pub fn owner(&self) -> Owner {
        let info = self.membership.own();
        Owner { name: info.name.clone(), life: info.life }
    }

    /// All live members, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Arc<NodeInfo>> {
        self.membership.live().chain(std::iter::once(self.membership.own()))
    }

    pub fn ended_lives(&self) -> Vec<Owner> {
        self.ended.iter().cloned().collect()
    }

    /// The newest agreed configuration, compiled.
    pub fn config(&self) -> Result<Arc<CompiledConfig>, ControlError> {
        self.control.config()
    }

    pub fn confirmed_at(&self) -> Option<Micros> {
        self.control.confirmed_at()
    }

    pub fn contact(&self) -> Contact {
        self.control.contact(self.now)
    }

    pub fn has_joined(&self) -> bool {
        self.membership.has_joined()
    }

    pub fn is_leader(&self) -> bool {
        self.control.is_leader()
    }

    pub fn state(&self) -> &Arc<ControlState> {
        self.control.state()
    }

    fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        self.live().find(|info| info.name == *name).map(|info| info.peer_address)
    }

    pub fn address_of_store(&self, id: &StoreId) -> Option<SocketAddr> {
        let (info, status) = self.membership.get(&id.name)?;
        let is_live = matches!(status, Status::Alive | Status::Suspect);
        (is_live && info.disk == Some(id.disk)).then_some(info.peer_address)
    }

    pub fn send(&mut self, to: &NodeName, message: PeerMessage) {
        if let Some(to) = self.address_of(to) {
            self.out.push(Output::Send { to, message });
        }
    }

    pub fn next_wake(&self) -> Micros {
        let retry = self.retry_at.unwrap_or(Micros::MAX);
        self.membership.next_wake().min(self.control.next_wake()).min(retry)
    }

    /// Does what is due, and tells what has happened since the last call.
    pub fn tick(&mut self) -> Vec<NodeEvent> {
        if self.retry_at.take_if(|at| *at <= self.now).is_some() {
            self.begin_write();
        }
        if self.now >= self.membership.next_wake() {
            let effects = self.membership.tick(self.now);
            self.member_effects(effects);
        }
        if self.now >= self.control.next_wake() {
            let effects = self.control.tick(self.now);
            self.control_effects(effects);
        }
        if std::mem::take(&mut self.members_changed) {
            self.events.push(NodeEvent::Members);
        }
        std::mem::take(&mut self.events)
    }

    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        if let Ok(effects) = self.membership.datagram(self.now, from, bytes) {
            self.member_effects(effects);
        }
    }

    pub fn control_message(&mut self, from: &NodeName, message: ControlMessage) {
        let effects = self.control.message(self.now, from, message);
        self.control_effects(effects);
    }

    pub fn control_log_event(&mut self, event: DiskEvent) {
        let is_done = match event {
            DiskEvent::Synced { .. } => true,
            DiskEvent::Maintained { is_done } => is_done,
            DiskEvent::Failed { .. } => false,
            DiskEvent::Read { .. } => return,
        };
        if is_done {
            self.last_record += self.running_records;
        } else {
            self.retry_at = Some(self.now + RETRY_AFTER);
        }
        let durable = self.writes.finish(is_done);
        self.begin_write();
        if let Some(sequence) = durable {
            let effects = self.control.persisted(self.now, sequence);
            self.control_effects(effects);
        }
    }

    /// Begins the next write to the control log, as `pewterseam_system::node` does it.
    fn begin_write(&mut self) {
        if self.retry_at.is_some() {
            return;
        }
        let Some(write) = self.writes.begin() else { return };
        self.last_ticket += 1;
        let (ticket, covers) = (self.last_ticket, self.last_record);
        let command = match write {
            PendingWrite::Append { records, .. } => {
                self.running_records = records.len() as u64;
                DiskCommand::Append { ticket, payloads: records }
            }
            PendingWrite::Snapshot { snapshot, .. } => {
                self.running_records = 0;
                DiskCommand::Snapshot { covers, payload: snapshot }
            }
        };
        self.out.push(Output::Disk(LogName::Control, command));
    }

    pub fn operator(&mut self, token: Token, request: OperatorRequest) {
        let effects = self.control.operator(self.now, token, request);
        self.control_effects(effects);
    }

    pub fn copied(&mut self, store: StoreId, epoch: PlacementEpoch) {
        let effects = self.control.copied(self.now, store, epoch);
        self.control_effects(effects);
    }

    pub fn set_ready(&mut self, ready: bool) {
        let effects = self.membership.set_ready(self.now, ready);
        self.member_effects(effects);
    }

    pub fn leave(&mut self) {
        let effects = self.membership.leave();
        self.member_effects(effects);
    }

    fn member_effects(&mut self, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, datagram } => {
                    self.out.push(Output::Datagram { to, bytes: datagram })
                }
                MemberEffect::Changed(change) => self.member_changed(&change),
                MemberEffect::PeerDigest { name, digest } => {
                    let effects = self.control.peer_digest(self.now, &name, digest);
                    self.control_effects(effects);
                }
                MemberEffect::Restarted { .. } => self.events.push(NodeEvent::Restarted),
                MemberEffect::Wake(_) => {}
            }
        }
    }

    fn member_changed(&mut self, change: &MemberChange) {
        self.members_changed = true;
        match change {
            MemberChange::Down { info, .. } => {
                self.ended.insert(Owner { name: info.name.clone(), life: info.life });
                self.out.push(Output::HangUp { address: info.peer_address });
            }
            MemberChange::Up(info) => {
                self.ended.remove(&Owner { name: info.name.clone(), life: info.life });
            }
            MemberChange::Updated(_) => {}
        }
        let effects = self.control.member(self.now, change);
        self.control_effects(effects);
    }

    fn control_effects(&mut self, effects: Vec<ControlEffect>) {
        for effect in effects {
            match effect {
                ControlEffect::Send { to, message } => {
                    let from = self.membership.own().name.clone();
                    self.send(&to, PeerMessage::Control { from, message: Box::new(message) });
                }
                ControlEffect::Persist { records, sequence } => {
                    self.writes.push(PendingWrite::Append { records, sequence });
                    self.begin_write();
                }
                ControlEffect::Snapshot { snapshot, sequence } => {
                    self.writes.push(PendingWrite::Snapshot { snapshot, sequence });
                    self.begin_write();
                }
                ControlEffect::InForce(state) => {
                    self.membership.set_digest(state.index);
                    self.out.push(Output::InForce(state.clone()));
                    self.events.push(NodeEvent::InForce(state));
                }
                ControlEffect::Answer { token, outcome } => {
                    self.events.push(NodeEvent::Answered { token, outcome });
                }
                ControlEffect::Contact(_) | ControlEffect::Wake(_) => {}
            }
        }
    }
}
