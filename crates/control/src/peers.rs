//! The members of the system as control sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_membership::MemberChange;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeInfo, NodeName, Role};
use pewterseam_wire::placement::StoreId;

use crate::entry::CoreMember;

/// One node, with the time since when it is alive or dead.
pub(crate) struct Peer {
    pub info: Arc<NodeInfo>,
    pub is_live: bool,
    pub since: Micros,
}

impl Peer {
    /// The core member that this node is or could be.
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

/// All nodes that membership told of, with this one.
#[derive(Default)]
pub(crate) struct Peers {
    nodes: BTreeMap<NodeName, Peer>,
    /// When a store last came or went.
    pub stores_changed: Micros,
    /// When a possible core member last came or went.
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
        let same = known.is_some_and(|peer| peer.is_live == is_live && peer.info.life == info.life);
        let since = known.filter(|_| same).map_or(now, |peer| peer.since);
        if !same {
            match info.role {
                Role::Store => self.stores_changed = now,
                Role::Relay => self.core_changed = now,
            }
        }
        self.nodes.insert(info.name.clone(), Peer { info: info.clone(), is_live, since });
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

    pub(crate) fn is_live_member(&self, member: &CoreMember) -> bool {
        self.nodes.get(&member.name).is_some_and(|peer| peer.is_live && peer.info.disk == Some(member.disk))
    }

    pub(crate) fn is_live_store(&self, store: &StoreId) -> bool {
        self.nodes.get(&store.name).is_some_and(|peer| peer.is_live && peer.info.disk == Some(store.disk))
    }

    /// Since when a node with this disk has been gone; none while it is there. One that was never seen has been gone
    /// since `started`.
    pub(crate) fn gone_since(
        &self, name: &NodeName, disk: pewterseam_wire::identity::DiskId, started: Micros,
    ) -> Option<Micros> {
        match self.nodes.get(name) {
            None => Some(started),
            Some(peer) if peer.is_live && peer.info.disk == Some(disk) => None,
            Some(peer) => Some(peer.since),
        }
    }

    /// The live node at a peer address.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<&NodeName> {
        self.live().find(|peer| peer.info.peer_address == address).map(|peer| &peer.info.name)
    }
}
