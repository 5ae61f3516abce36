//! What goes into the machine and what comes out of it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

use crate::list::List;

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedInstance {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32,
    /// False for one that is draining.
    pub ready: bool,
    /// It is slow at first. How much longer is told as it was when this was first seen.
    pub cold_remaining_ms: u64,
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub instances: Vec<ListedInstance>,
    /// None on the last page.
    pub next_token: Option<Arc<str>>,
}

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a call brought no page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// 429: there are too many calls.
    Refused,
    /// Anything else.
    Failed,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The live relays that share a reader: those of the own region.
    Relays(Vec<NodeName>),
    PageReceived {
        call: CallId,
        page: Page,
    },
    CallFailed {
        call: CallId,
        failure: CallFailure,
    },
    /// What [`Effect::Tell`] gave another relay.
    Peer {
        from: NodeName,
        bytes: Bytes,
    },
    /// The time of a [`Effect::Wake`] has come.
    Tick,
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// `GET /instances`, the first page where there is no token.
    RequestPage { call: CallId, page_token: Option<Arc<str>> },
    /// Hand these bytes to another relay; they may be lost. They may be as long as the list.
    SendToRelay { to: NodeName, bytes: Bytes },
    /// The list in force has changed.
    Changed(Arc<List>),
    /// Step with [`Input::Tick`] then, unless something happens before; replaces the last one.
    Wake(Micros),
}
