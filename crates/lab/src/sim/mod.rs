//! Simulated time: the relay's own state machine for each relay of a plan, and models of all that is around
//! it, driven by one calendar of events. The same plan and seed give the same story, byte for byte.

mod calendar;
mod cast;
mod deployment;
mod dice;
mod engine;
mod event;
mod host;
mod journal;
mod links;
mod machine;
mod process;
mod registry;

use pewterseam_settings::Malformed;
use serde::Serialize;

use crate::judge::Figures;
use crate::plan::Plan;
use crate::story::Story;

pub(crate) use dice::{Dice, Purpose};
pub use machine::{AsItIs, Machine, Variant};

/// Why a plan can't be played in simulated time.
#[derive(Debug, thiserror::Error)]
pub enum SimFault {
    #[error("{0}")]
    NotPlayable(String),
    #[error("the settings that the plan makes are refused by relays: {0}")]
    Settings(Malformed),
}

/// What a day took, beside its story.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub events: u64,
    /// Steps of all relays' machines.
    pub steps: u64,
    /// Calls that were written to hosts, and connections that were opened for them.
    pub calls: u64,
    pub connections: u64,
    /// Datagrams between relays and their bytes.
    pub datagrams: u64,
    pub datagram_bytes: u64,
    /// Of them, those that links lost.
    pub datagrams_lost: u64,
    /// Invariants that relays found broken in themselves.
    pub invariants_broken: u64,
}

/// A day that was played.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    pub story: Story,
    pub tally: Tally,
}

/// Plays a plan's day with this machine at each relay's place.
pub fn play(plan: &Plan, variant: &dyn Variant) -> Result<Played, SimFault> {
    if let Some(line) = plan.problems().into_iter().next() {
        return Err(SimFault::NotPlayable(line));
    }
    let deployment = deployment::deployment(plan, &Figures::exact()).map_err(SimFault::Settings)?;
    Ok(engine::Engine::new(plan, deployment, variant)?.play())
}
