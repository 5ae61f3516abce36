//! Messages between relays about deliveries, and the brain's numbers of relays.

use std::collections::BTreeMap;

use bytes::Bytes;
use pewterseam_permits::PermitMessage;
use pewterseam_wire::frame;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::tree::children;
use serde::{Deserialize, Serialize};

use crate::interface::Effect;

/// A message from one relay to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Memos of the brain.
    Decisions(Vec<Bytes>),
    /// Memos of the brain of `root` for all relays. Each relay forwards them to its children in the tree.
    Spread {
        root: NodeName,
        memos: Vec<Bytes>,
    },
    Permits(PermitMessage),
}

/// The live relays, and the memos that are queued for them.
#[derive(Debug)]
pub(crate) struct Peers {
    me: NodeName,
    /// All live relays including this one, sorted.
    relays: Vec<NodeName>,
    memos: BTreeMap<u16, Vec<Bytes>>,
    broadcast: Vec<Bytes>,
    effects: Vec<Effect>,
}

impl Peers {
    pub(crate) fn new(me: NodeName) -> Self {
        let relays = vec![me.clone()];
        Peers { me, relays, memos: BTreeMap::new(), broadcast: Vec::new(), effects: Vec::new() }
    }

    pub(crate) fn set_relays(&mut self, mut relays: Vec<NodeName>) {
        relays.push(self.me.clone());
        relays.sort();
        relays.dedup();
        relays.truncate(usize::from(u16::MAX));
        self.relays = relays;
    }

    pub(crate) fn relays(&self) -> &[NodeName] {
        &self.relays
    }

    /// The brain's number of a relay.
    pub(crate) fn rank(&self, name: &NodeName) -> Option<u16> {
        self.relays.binary_search(name).ok().and_then(|rank| u16::try_from(rank).ok())
    }

    /// Queues a memo of the brain for one relay, or for all relays.
    pub(crate) fn queue_memo(&mut self, to: Option<u16>, bytes: Vec<u8>) {
        match to {
            Some(to) => self.memos.entry(to).or_default().push(Bytes::from(bytes)),
            None => self.broadcast.push(Bytes::from(bytes)),
        }
    }

    pub(crate) fn send(&mut self, to: NodeName, message: &PeerMessage) {
        if let Ok(bytes) = frame::encode(message) {
            self.effects.push(Effect::SendToRelay { to, bytes: Bytes::from(bytes) });
        }
    }

    /// Forwards a broadcast message to the children of this relay in the tree.
    pub(crate) fn forward(&mut self, root: &NodeName, message: &PeerMessage) {
        let next_relays: Vec<_> = children(&self.relays, root, &self.me).cloned().collect();
        next_relays.into_iter().for_each(|to| self.send(to, message));
    }

    /// The queued messages, combined into one message per receiver and kind.
    pub(crate) fn flush(&mut self) -> Vec<Effect> {
        for (to, memos) in std::mem::take(&mut self.memos) {
            if let Some(to) = self.relays.get(usize::from(to)).cloned() {
                self.send(to, &PeerMessage::Decisions(memos));
            }
        }
        if !self.broadcast.is_empty() {
            let (root, memos) = (self.me.clone(), std::mem::take(&mut self.broadcast));
            let message = PeerMessage::Spread { root: root.clone(), memos };
            self.forward(&root, &message);
        }
        std::mem::take(&mut self.effects)
    }
}
