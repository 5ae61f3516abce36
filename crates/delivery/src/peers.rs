//! What relays tell each other about deliveries, and the decisions' numbers of relays.

use std::collections::BTreeMap;

use bytes::Bytes;
use pewterseam_permits::PermitMessage;
use pewterseam_wire::frame;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::tree::children;
use serde::{Deserialize, Serialize};

use crate::interface::Effect;

/// What a relay tells another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Messages of the decisions.
    Decisions(Vec<Bytes>),
    /// The same for all relays, from `root`; passed on by each to its part of them.
    Spread {
        root: NodeName,
        memos: Vec<Bytes>,
    },
    Permits(PermitMessage),
}

/// The live relays, and what is about to be told to them.
#[derive(Debug)]
pub(crate) struct Peers {
    me: NodeName,
    /// Sorted; this relay is among them.
    relays: Vec<NodeName>,
    memos: BTreeMap<u16, Vec<Bytes>>,
    spread: Vec<Bytes>,
    effects: Vec<Effect>,
}

impl Peers {
    pub(crate) fn new(me: NodeName) -> Self {
        let relays = vec![me.clone()];
        Peers { me, relays, memos: BTreeMap::new(), spread: Vec::new(), effects: Vec::new() }
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

    /// The decisions' number of a relay.
    pub(crate) fn rank(&self, name: &NodeName) -> Option<u16> {
        self.relays.binary_search(name).ok().and_then(|rank| u16::try_from(rank).ok())
    }

    /// Has the decisions' word told to one relay, or to all.
    pub(crate) fn tell(&mut self, to: Option<u16>, bytes: Vec<u8>) {
        match to {
            Some(to) => self.memos.entry(to).or_default().push(Bytes::from(bytes)),
            None => self.spread.push(Bytes::from(bytes)),
        }
    }

    pub(crate) fn send(&mut self, to: NodeName, message: &PeerMessage) {
        if let Ok(bytes) = frame::encode(message) {
            self.effects.push(Effect::Tell { to, bytes: Bytes::from(bytes) });
        }
    }

    /// Passes on what another relay tells all.
    pub(crate) fn pass_on(&mut self, root: &NodeName, message: &PeerMessage) {
        let next: Vec<_> = children(&self.relays, root, &self.me).cloned().collect();
        next.into_iter().for_each(|to| self.send(to, message));
    }

    /// All that is to be told now, with one message for each receiver and kind.
    pub(crate) fn flush(&mut self) -> Vec<Effect> {
        for (to, memos) in std::mem::take(&mut self.memos) {
            if let Some(to) = self.relays.get(usize::from(to)).cloned() {
                self.send(to, &PeerMessage::Decisions(memos));
            }
        }
        if !self.spread.is_empty() {
            let (root, memos) = (self.me.clone(), std::mem::take(&mut self.spread));
            let message = PeerMessage::Spread { root: root.clone(), memos };
            self.pass_on(&root, &message);
        }
        std::mem::take(&mut self.effects)
    }
}
