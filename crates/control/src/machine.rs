//! The state machine: its parts, its inputs, and the order in which it processes them.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_config::{Checker, CompiledConfig};
use pewterseam_membership::MemberChange;
use pewterseam_wire::Micros;
use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::{NodeInfo, NodeName};
use pewterseam_wire::placement::{PlacementEpoch, StoreId};
use pewterseam_wire::random::Random;

use crate::agreed::ForcedEpoch;
use crate::catch_up::CatchUp;
use crate::contact::{Contact, Lease};
use crate::core_membership::CoreMembership;
use crate::effect::{ControlError, Effect};
use crate::election::Role;
use crate::entry::{CoreMember, Stamp};
use crate::formation::Formation;
use crate::forward::{Caller, Forwarder};
use crate::message::ControlMessage;
use crate::operator::{CallId, OperatorRequest, Token};
use crate::peers::{Peer, Peers};
use crate::replica::Replica;
use crate::settings::ControlSettings;
use crate::storage::recover;

/// The control state machine of one process. A clone continues independently from the same state.
#[derive(Clone)]
pub struct Control {
    pub(crate) name: NodeName,
    pub(crate) identity: Option<CoreMember>,
    pub(crate) settings: ControlSettings,
    pub(crate) started: Micros,
    pub(crate) now: Micros,
    pub(crate) random: Random,
    pub(crate) peers: Peers,
    pub(crate) replica: Replica,
    pub(crate) role: Role,
    /// The highest epoch seen in any message.
    pub(crate) highest_epoch: u64,
    pub(crate) leader_hint: Option<NodeName>,
    pub(crate) formation: Option<Formation>,
    pub(crate) forwarder: Forwarder,
    pub(crate) catch_up: CatchUp,
    pub(crate) lease: Lease,
    /// The store of this process with the placement epoch whose messages it has copied, and when to report it next;
    /// none once the placement has moved on.
    pub(crate) copied: Option<(StoreId, PlacementEpoch, Micros)>,
    pub(crate) checker: Option<Arc<Checker>>,
    pub(crate) effects: Vec<Effect>,
    /// Messages from this process to itself.
    inbox: VecDeque<ControlMessage>,
    in_force: Arc<ControlState>,
    wake: Micros,
}

impl Control {
    /// Starts a process with the content of its log. No earlier process of this node may have used the same `seed`.
    /// The caller must call [`Control::tick`] at once.
    pub fn new(
        now: Micros, info: &NodeInfo, settings: ControlSettings, log: (Option<Bytes>, Vec<Bytes>), seed: u64,
    ) -> Result<Self, ControlError> {
        let recovered = recover(log.0.as_deref(), &log.1)?;
        let own = Peer { info: Arc::new(info.clone()), is_live: true, since: now, first_seen: now };
        let identity = own.core_member();
        let mut peers = Peers::default();
        peers.change(now, &MemberChange::Up(own.info.clone()));
        let mut random = Random::new(seed);
        let is_seed = settings.bootstrap && settings.seeds.contains(&info.peer_address);
        let formation = is_seed.then(|| Formation::new(now + settings.formation_delay, random.draw()));
        let replica = Replica::new(identity.is_some(), recovered);
        let mut control = Control {
            name: info.name.clone(),
            identity,
            started: now,
            now,
            random,
            peers,
            replica,
            role: Role::follower(Micros::MAX),
            highest_epoch: 0,
            leader_hint: None,
            formation,
            forwarder: Forwarder::new(first_call_id(seed)),
            catch_up: CatchUp::default(),
            lease: Lease::new(now, settings.contact),
            copied: None,
            checker: None,
            effects: Vec::new(),
            inbox: VecDeque::new(),
            in_force: Arc::new(ControlState::default()),
            wake: now,
            settings,
        };
        control.schedule_election_at_start();
        Ok(control)
    }

    /// The newest committed state known to this process.
    pub fn state(&self) -> &Arc<ControlState> {
        &self.in_force
    }

    /// The configuration of [`Control::state`] in its compiled form. The first call compiles it; later changes update
    /// it at little cost.
    pub fn config(&self) -> Result<Arc<CompiledConfig>, ControlError> {
        self.replica.committed.live()?.compiled().map_err(ControlError::Config)
    }

    /// The index of [`Control::state`], which membership spreads as its digest.
    pub fn index(&self) -> u64 {
        self.in_force.index
    }

    /// When the last lease request was sent that a majority of the core has confirmed since.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.lease.confirmed_at()
    }

    /// The contact of this process with a majority of the core. The caller passes the present time, because contact
    /// lapses.
    pub fn contact(&self, now: Micros) -> Contact {
        self.lease.contact(now.max(self.now))
    }

    /// Whether this process knows everything that was committed up to a short time before `now`.
    pub fn is_current(&self, now: Micros) -> bool {
        matches!(self.contact(now), Contact::InTouch { .. })
    }

    /// Whether this process believes that it leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The epochs that an operator forced, as of the newest committed state known here.
    pub fn forced_epochs(&self) -> &[ForcedEpoch] {
        &self.replica.committed.forced
    }

    /// The stamp of the last accepted state.
    pub fn accepted_stamp(&self) -> Stamp {
        self.replica.accepted.stamp
    }

    /// The core's members, as of the newest committed state known here.
    pub fn core(&self) -> &[CoreMember] {
        self.replica.committed.core.current()
    }

    /// The core's membership, as of the newest committed state known here.
    pub fn core_membership(&self) -> &CoreMembership {
        &self.replica.committed.core
    }

    /// When [`Control::tick`] is due.
    pub fn next_wake(&self) -> Micros {
        self.wake
    }

    /// Runs the timers that are due. May be called at any time.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        self.advance_clock(now);
        self.process_pending()
    }

    /// Handles a message from a node.
    pub fn message(&mut self, now: Micros, from: &NodeName, message: ControlMessage) -> Vec<Effect> {
        self.advance_clock(now);
        self.handle(from, message);
        self.process_pending()
    }

    /// Handles a change of membership.
    pub fn member(&mut self, now: Micros, change: &MemberChange) -> Vec<Effect> {
        self.advance_clock(now);
        self.peers.change(now, change);
        if let MemberChange::Down { info, .. } = change {
            self.leader_may_be_gone(&info.name);
        }
        self.process_pending()
    }

    /// Handles a connection that was refused or broken: calls sent to that node are sent elsewhere, or again.
    pub fn unreachable(&mut self, now: Micros, name: &NodeName) -> Vec<Effect> {
        self.advance_clock(now);
        self.node_unreachable(name);
        self.process_pending()
    }

    /// Handles a report from membership that a node knows the state with this index.
    pub fn peer_digest(&mut self, now: Micros, name: &NodeName, digest: u64) -> Vec<Effect> {
        self.advance_clock(now);
        self.note_known_index(digest, name.clone());
        self.process_pending()
    }

    /// Handles the disk's report that all records up to a sequence are synced.
    pub fn persisted(&mut self, now: Micros, sequence: u64) -> Vec<Effect> {
        self.advance_clock(now);
        self.replica.persisted(sequence);
        self.process_pending()
    }

    /// Takes an operator's call. It is answered by one [`Effect::Answer`].
    pub fn operator(&mut self, now: Micros, token: Token, request: OperatorRequest) -> Vec<Effect> {
        self.advance_clock(now);
        self.forward(Caller::Operator(token), request);
        self.process_pending()
    }

    /// The store of this process has copied everything that the placement of this epoch assigns to it. This is
    /// reported to the leader until the placement moves on.
    pub fn copied(&mut self, now: Micros, store: StoreId, epoch: PlacementEpoch) -> Vec<Effect> {
        self.advance_clock(now);
        self.copied = Some((store, epoch, now));
        self.process_pending()
    }

    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Processes due timers and the messages of this process to itself, then returns the effects.
    fn process_pending(&mut self) -> Vec<Effect> {
        loop {
            self.run_timers();
            while let Some((to, message)) = self.replica.next_synced() {
                self.send(to, message);
            }
            let Some(message) = self.inbox.pop_front() else { break };
            let own = self.name.clone();
            self.handle(&own, message);
        }
        self.replica.track_outstanding_sync(self.now);
        self.publish_changes();
        self.schedule_wake();
        std::mem::take(&mut self.effects)
    }

    fn run_timers(&mut self) {
        self.run_formation();
        self.run_election();
        self.run_leader();
        self.run_forwarder();
        self.run_catch_up();
        self.run_lease();
        self.report_copied();
    }

    pub(crate) fn send(&mut self, to: NodeName, message: ControlMessage) {
        if to == self.name {
            self.inbox.push_back(message);
        } else {
            self.effects.push(Effect::Send { to, message });
        }
    }

    /// Reports a newer committed state and a change of contact to the driver.
    fn publish_changes(&mut self) {
        if self.replica.committed.stamp.index > self.in_force.index {
            self.in_force = Arc::new(self.replica.committed.state.clone());
            self.effects.push(Effect::InForce(self.in_force.clone()));
        }
        if let Some(contact) = self.lease.update(self.in_force.index, self.now) {
            self.effects.push(Effect::Contact(contact));
        }
    }

    fn schedule_wake(&mut self) {
        let copied = self.copied.as_ref().map_or(Micros::MAX, |(_, _, at)| *at);
        let wakes = [
            self.formation.as_ref().map_or(Micros::MAX, Formation::next_wake),
            self.role.next_wake(),
            self.forwarder.next_wake(),
            self.catch_up.next_wake(),
            self.lease.next_wake(self.now),
            copied,
        ];
        let wake = wakes.into_iter().fold(Micros::MAX, Micros::min).max(self.now + 1);
        if wake != self.wake {
            self.wake = wake;
            self.effects.push(Effect::Wake(wake));
        }
    }

    fn handle(&mut self, from: &NodeName, message: ControlMessage) {
        match message {
            ControlMessage::Formation(message) => self.formation_message(from, message),
            ControlMessage::PreVote { epoch } => self.pre_vote(from, epoch),
            ControlMessage::PreVoteAnswer { epoch, member, granted } => {
                self.pre_vote_answer(epoch, member, granted)
            }
            ControlMessage::Prepare { epoch } => self.prepare(from, epoch),
            ControlMessage::Promise { epoch, member, stamp } => self.promise(epoch, member, stamp),
            ControlMessage::Refused { promised } => self.refused(promised),
            ControlMessage::ReadAccepted { epoch } => self.read_accepted(from, epoch),
            ControlMessage::Accept { epoch, entry, committed } => self.accept(from, epoch, entry, committed),
            ControlMessage::AcceptAnswer { epoch, member, stamp } => self.accept_answer(epoch, member, stamp),
            ControlMessage::NeedState { epoch } => self.need_state(from, epoch),
            ControlMessage::Heartbeat { epoch, round, committed } => {
                self.heartbeat(from, epoch, round, committed)
            }
            ControlMessage::HeartbeatAnswer { epoch, round, member, committed } => {
                self.heartbeat_answer(epoch, round, member, committed);
            }
            ControlMessage::Announce { index, bytes } => self.announced(index, bytes),
            ControlMessage::Push { entry, leader, others } => self.receive_push(from, entry, leader, others),
            ControlMessage::Fetch { have } => self.fetch(from, have),
            ControlMessage::NothingNewer => self.nothing_newer(),
            ControlMessage::Entries { entries } => self.entries(from, entries),
            ControlMessage::StatePiece(piece) => self.state_piece(from, piece),
            ControlMessage::FetchPieces { state, numbers } => self.fetch_pieces(from, state, &numbers),
            ControlMessage::NoSuchState { state } => self.no_such_state(state),
            ControlMessage::Operator { call, request } => self.receive_call(from, call, request),
            ControlMessage::OperatorAnswer { call, outcome } => self.call_answered(call, outcome),
            ControlMessage::NotLeader { call, leader } => self.not_leader(from, call, leader),
            ControlMessage::Copied { store, epoch } => self.store_copied(store, epoch),
        }
    }
}

/// The first call identifier of a process. Two seeds never give the same one.
fn first_call_id(seed: u64) -> CallId {
    CallId(Random::new(!seed).draw())
}
