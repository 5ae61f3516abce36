//! Permits for services with a rate limit, so that all relays together never exceed it.
//!
//! For each limited service one relay, the home of the service, grants permits. A permit allows its holder to send one
//! request. It is valid for a short time from the holder's request for permits, measured by the holder's monotonic
//! clock. The home counts a permit as possibly used from its grant until it expires or the holder reports it as used or
//! returned, and keeps the number of permits that may fall into one window below the limit. Permits held by a
//! partitioned, stalled or dead relay expire without any message from it.
//!
//! If more permits are requested than available, they are divided by the shares of
//! [`pewterseam::brain::reallocate`].
//!
//! A home grants only while it holds a lease from the core. A new home grants nothing until the permits of earlier
//! homes have expired or are known:
//!
//! - A home that gives up its role, or whose process shuts down cleanly, sends a ledger of its permits to the next home.
//! - Otherwise the new home waits for `core_lease` from the time until which another node may have been the home, as
//!   that node may be partitioned and still hold its lease, and then until the permits expire. Earlier processes of its
//!   own node have ended before it starts, so it waits only for their permits. It learns of earlier homes from the
//!   relays that are next by rank, and then from all relays on its list.
//!
//! Not covered: two relays that each act as the home while both hold a core lease and neither hears of the other. The
//! caller can exclude this case by allowing only the control leader as home.

mod budget;
mod claims;
mod event;
mod history;
mod holder;
mod home;
mod message;
mod permits;
pub mod ranking;
mod rate;
mod recent;
mod service;
mod shares;

pub use event::{BudgetBasis, HomeEvent, PermitCounts};
pub use holder::Permit;
pub use message::{ClaimId, GrantId, PermitMessage, Seen, Settled};
pub use permits::{PermitEffect, Permits, Settings};

use pewterseam_wire::Micros;

/// Validity of a permit, from the time at which its holder requested it.
pub const VALIDITY: Micros = 1_000_000;
/// Safety margin for clock drift between relays and for the network delay of a request to the host.
pub const MARGIN: Micros = 250_000;
