//! What relays tell each other about permits.

use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

/// The name of a grant, unique over all homes and their lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    pub home_life: u64,
    /// Counted from the hash of the home's name: the lives of two homes may be alike.
    pub number: u64,
}

/// A time as home that a relay begins: none answers for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    pub life: u64,
    pub number: u64,
}

/// A grant of which nothing is left, and how many of its permits were used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    pub grant: GrantId,
    pub used: u32,
}

/// What a relay has seen of the homes of a service, its own times with grants among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// So many milliseconds ago it began to follow them, without a gap since.
    pub since_ago_ms: u32,
    /// Nodes that may have granted permits, and how many milliseconds ago they were followed last.
    pub homes: Vec<(NodeName, u32)>,
}

/// What relays tell each other about permits. Any of them may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// To the home: so many permits are wanted now, beside those in hand. Replaces earlier ones.
    Request {
        service: Arc<str>,
        /// The life of the asking process, and its own clock.
        life: u64,
        sent_at: Micros,
        wanted: u32,
        settled: Vec<Settled>,
    },
    /// From the home: permits for the request that was sent then.
    Grant { service: Arc<str>, life: u64, sent_at: Micros, grant: GrantId, count: u32 },
    /// From a relay that has become home, to those that may have been it before.
    Claim { service: Arc<str>, claim: ClaimId },
    /// From the home so far: it grants nothing from now on. For how many milliseconds more how many of its permits may
    /// count in a window.
    Yield { service: Arc<str>, claim: ClaimId, ledger: Vec<(u32, u32)> },
    /// From a relay that goes before the claiming one: its claim rests on a list that lacks this relay.
    Deny { service: Arc<str>, claim: ClaimId },
    /// From a relay that holds no ledger, and follows the claiming one from now on: what it has seen of other homes.
    Vouch { service: Arc<str>, claim: ClaimId, seen: Seen },
    /// From a home whose process ends, to the next one on its list: what a yielding home tells, without being asked.
    /// `claim` is that with which the ending home began.
    HandOver { service: Arc<str>, claim: ClaimId, ledger: Vec<(u32, u32)> },
}
