//! Permits for services with a limited rate, so that all relays together never pass it.
//!
//! For each limited service one relay, its home, hands out permits. A permit lets its holder send one request and is
//! good for a short time, counted from when the holder asked, by the holder's steady clock. The home takes a permit as
//! possibly used from when it was granted until it expires, or until the holder tells that it was used or given back,
//! and keeps the number of those that may fall into one window below the limit. It needs no word of a relay that is
//! cut off, frozen or dead: what that relay holds expires by itself.
//!
//! Who gets how many where more are wanted than there are follows the shares of [`pewterseam::brain::reallocate`].
//!
//! A home acts only on a fresh word of the core, and a new home grants nothing until whatever an earlier one granted has
//! expired:
//!
//! - A home that gives its place up, or whose process ends in order, tells the next one of its permits.
//! - Otherwise the next one waits for `core_lease` from when another node may have been the home, as that node may be cut
//!   off and still hold the core's word, and then for the permits. Earlier processes of its own node have ended when it
//!   starts, so that it waits for their permits alone. Who was the home it hears from the relays that come next by rank,
//!   and from all of them that are on its list.
//!
//! Not covered: two relays that each take themselves for the home while both have the core's word and neither hears of
//! the other. The caller can exclude it by naming only the control leader as home.

mod budget;
mod claims;
mod event;
mod holder;
mod home;
mod message;
mod permits;
pub mod ranking;
mod rate;
mod recent;
mod service;
mod shares;
mod witness;

pub use event::{BudgetBasis, HomeEvent, PermitCounts};
pub use holder::Permit;
pub use message::{ClaimId, GrantId, PermitMessage, Seen, Settled};
pub use permits::{PermitEffect, Permits, Settings};

use pewterseam_wire::Micros;

/// How long a permit is good, from when its holder asked.
pub const VALIDITY: Micros = 1_000_000;
/// What a home allows for clocks that run at different paces, and for the way of a request to the host.
pub const MARGIN: Micros = 250_000;
