//! Messages between relays about permits.

use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

/// Identifies a grant, uniquely over all homes and their processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    pub home_life: u64,
    /// Counted up from the hash of the home's name, because two homes may have the same `home_life`.
    pub number: u64,
}

/// Identifies one term of a relay as home. Answers to another claim are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    pub life: u64,
    pub number: u64,
}

/// A closed grant, and how many of its permits were used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    pub grant: GrantId,
    pub used: u32,
}

/// The homes of a service that a relay has observed, including its own terms with grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The relay has followed the homes without a gap since this many milliseconds ago.
    pub since_ago_ms: u32,
    /// Nodes that may have granted permits, and how many milliseconds ago the relay last followed each.
    pub homes: Vec<(NodeName, u32)>,
}

/// A message between relays about permits. Messages may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// To the home: requests permits beyond those already held. Replaces earlier requests.
    Request {
        service: Arc<str>,
        /// The generation of the requesting process. `sent_at` is read from its clock.
        life: u64,
        sent_at: Micros,
        wanted: u32,
        settled: Vec<Settled>,
    },
    /// From the home: permits for the request sent at `sent_at`.
    Grant { service: Arc<str>, life: u64, sent_at: Micros, grant: GrantId, count: u32 },
    /// From a relay that became the home, to relays that may have been the home before.
    Claim { service: Arc<str>, claim: ClaimId },
    /// From the previous home, which grants nothing from now on. The ledger lists remaining milliseconds in which permits
    /// may count in a window, and their number.
    Yield { service: Arc<str>, claim: ClaimId, ledger: Vec<(u32, u32)> },
    /// From a relay that knows a listed home of higher rank than the claimant, whose relay list lacks that home.
    Deny { service: Arc<str>, claim: ClaimId },
    /// From a relay without a ledger, which follows the claimant from now on: the homes that it has observed.
    Vouch { service: Arc<str>, claim: ClaimId, seen: Seen },
    /// From a home whose process ends, to the next home on its list: the same ledger as in `Yield`, without a claim
    /// by the receiver. `claim` identifies the term of the ending home.
    HandOver { service: Arc<str>, claim: ClaimId, ledger: Vec<(u32, u32)> },
}
