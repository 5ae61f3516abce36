//! The nodes of the system as control knows them from membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_membership::MemberChange;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeInfo, NodeName, Role};
use pewterseam_wire::placement::StoreId;

use crate::entry::CoreMember;

/// A node that appears within this time after the start of this process counts as having existed before it.
const STARTUP_PERIOD: Micros = 3_000_000;

/// A successor may appear up to this long before the failure of the node that it replaces is noticed.
const MAX_FAILURE_DETECTION_DELAY: Micros = 8_000_000;

/// A node, and since when it has been alive or dead.
#[derive(Clone)]
pub(crate) struct Peer {
    pub info: Arc<NodeInfo>,
    pub is_live: bool,
    pub since: Micros,
    /// When it was first seen with its disk.
    pub first_seen: Micros,
}

impl Peer {
    /// The core member that this node is or could become.
    pub(crate) fn core_member(&self) -> Option<CoreMember> {
        let is_core = self.info.role == Role::Relay && self.info.counts_for_quorum;
        let disk = self.info.disk.filter(|_| is_core)?;
        Some(CoreMember { name: self.info.name.clone(), disk })
    }

    pub(crate) fn store(&self) -> Option<StoreId> {
        let disk = self.info.disk.filter(|_| self.info.role == Role::Store)?;
        Some(StoreId { name: self.info.name.clone(), disk })
    }
}

/// All nodes that membership has reported, including this one.
#[derive(Clone, Default)]
pub(crate) struct Peers {
    nodes: BTreeMap<NodeName, Peer>,
    /// When a store last appeared or disappeared.
    pub stores_changed: Micros,
    /// When a relay, which may be a core member, last appeared or disappeared.
    pub core_changed: Micros,
}

impl Peers {
    pub(crate) fn change(&mut self, now: Micros, change: &MemberChange) {
        let (info, is_live) = match change {
            MemberChange::Up(info) | MemberChange::Updated(info) => (info, true),
            MemberChange::Down { info, .. } => (info, false),
        };
        let known = self.nodes.get(&info.name);
        if !is_live && known.is_some_and(|peer| peer.info.life > info.life) {
            return;
        }
        let is_same_state = known.is_some_and(|peer| peer.is_live == is_live && peer.info.life == info.life);
        let since = known.filter(|_| is_same_state).map_or(now, |peer| peer.since);
        let same_disk = known.filter(|peer| peer.info.disk == info.disk);
        let first_seen = same_disk.map_or(now, |peer| peer.first_seen);
        if !is_same_state {
            match info.role {
                Role::Store => self.stores_changed = now,
                Role::Relay => self.core_changed = now,
            }
        }
        self.nodes.insert(info.name.clone(), Peer { info: info.clone(), is_live, since, first_seen });
    }

    pub(crate) fn get(&self, name: &NodeName) -> Option<&Peer> {
        self.nodes.get(name)
    }

    pub(crate) fn is_live(&self, name: &NodeName) -> bool {
        self.nodes.get(name).is_some_and(|peer| peer.is_live)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.nodes.values().filter(|peer| peer.is_live)
    }

    /// The nodes that have been alive for this long.
    pub(crate) fn live_for(&self, now: Micros, span: Micros) -> impl Iterator<Item = &Peer> {
        self.live().filter(move |peer| now >= peer.since + span)
    }

    pub(crate) fn is_live_member(&self, member: &CoreMember) -> bool {
        self.nodes.get(&member.name).is_some_and(|peer| peer.is_live && peer.info.disk == Some(member.disk))
    }

    pub(crate) fn is_live_store(&self, store: &StoreId) -> bool {
        self.nodes.get(&store.name).is_some_and(|peer| peer.is_live && peer.info.disk == Some(store.disk))
    }

    /// Since when a node with this disk has been gone; none while it is alive. A node that was never seen counts as
    /// gone since `started`.
    pub(crate) fn gone_since(
        &self, name: &NodeName, disk: pewterseam_wire::identity::DiskId, started: Micros,
    ) -> Option<Micros> {
        self.absent_since(name, started, |peer| peer.is_live && peer.info.disk == Some(disk))
    }

    /// Since when a node has been gone, with any disk or none; none while it is alive.
    pub(crate) fn node_gone_since(&self, name: &NodeName, started: Micros) -> Option<Micros> {
        self.absent_since(name, started, |peer| peer.is_live)
    }

    fn absent_since(
        &self, name: &NodeName, started: Micros, is_present: impl Fn(&Peer) -> bool,
    ) -> Option<Micros> {
        match self.nodes.get(name) {
            None => Some(started),
            Some(peer) if is_present(peer) => None,
            Some(peer) => Some(peer.since),
        }
    }

    /// Whether a node appeared when another failed, or later, so that it can replace the failed one. A node that was
    /// already there when this process started is not known to have appeared for this reason.
    pub(crate) fn can_replace(&self, name: &NodeName, gone_since: Micros, started: Micros) -> bool {
        let Some(peer) = self.nodes.get(name) else { return false };
        let is_new = peer.first_seen > started + STARTUP_PERIOD;
        peer.is_live && is_new && peer.first_seen + MAX_FAILURE_DETECTION_DELAY > gone_since
    }

    /// The live node at a peer address.
    pub(crate) fn live_at_address(&self, address: SocketAddr) -> Option<&NodeName> {
        self.live().find(|peer| peer.info.peer_address == address).map(|peer| &peer.info.name)
    }
}
