//! Inputs and effects.

use pewterseam_fleet::interface::{Decision, Epoch, MemberId, Members, Proposal, Refusal, Severity, Ticket};

use super::{DestinationId, Micros, Outcome, Placement, ZoneId};

/// The end of a call, or of a probe, as the relay saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub destination: DestinationId,
    /// Of the host.
    pub zone: ZoneId,
    pub outcome: Outcome,
    pub took: Micros,
    /// Calls a second that this zone's hosts take together, as answers told it; none where they told nothing.
    pub limit: Option<f64>,
    /// A probe that [`Effect::Look`] asked for: it tells of health, and uses nothing of a limit.
    pub probe: bool,
}

/// The hosts of a destination in one zone, as listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneHosts {
    pub zone: ZoneId,
    /// Those that are ready.
    pub hosts: u32,
    /// Calls a second that the list says they take together; none where it says nothing.
    pub rate: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// The time that [`Effect::Wake`] named has come. Earlier and later ones do no harm.
    Timer,
    /// Members changed.
    Members(&'a Members),
    /// A decision is in force here, of whatever part.
    Decided(Decision),
    Proposed {
        ticket: Ticket,
        outcome: Result<Epoch, Refusal>,
    },
    /// A member told this part something.
    Told {
        from: MemberId,
        body: Vec<u8>,
    },
    /// A destination's zones with hosts, in place of what was said of it before; empty if it is gone.
    Listed {
        destination: DestinationId,
        zones: Vec<ZoneHosts>,
    },
    /// A message was handed in, whether it was taken on or turned away.
    Handed {
        destination: DestinationId,
        worth: f64,
    },
    Ended(Seen),
    /// An operator's word: all callers leave the zone's hosts, or none does, whatever is seen.
    Pin {
        destination: DestinationId,
        zone: String,
        away: bool,
        /// Seconds from now.
        seconds: u64,
    },
    Unpin {
        destination: DestinationId,
        zone: String,
    },
}

/// Messages of a destination that have no place anywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnedAway {
    pub destination: DestinationId,
    /// Messages of less worth than this are turned away, when they are handed in, and those on hand of which no
    /// attempt can have run ...
    pub below: f64,
    /// ... and this part, from 0 to 1, of those of just this worth.
    pub part: f64,
    /// When to come back.
    pub retry_after: Micros,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Propose {
        ticket: Ticket,
        proposal: Proposal,
    },
    /// As `pewterseam_fleet`'s `Input::Tell`, of `Part::FAILOVER`.
    Tell {
        to: Option<MemberId>,
        body: Vec<u8>,
    },
    /// In place of all before: for `Event::PlacementsChanged`, and what is turned away.
    Place {
        placements: Vec<Placement>,
        turned: Vec<TurnedAway>,
    },
    /// Probe hosts of that zone so many times, by chance among them; each end is an [`Input::Ended`] with
    /// `probe`. Where hosts have no probe, a message that may be repeated at will is the only other way; none
    /// else may be used.
    Look {
        destination: DestinationId,
        zone: ZoneId,
        calls: u32,
    },
    /// A [`Input::Timer`] is wanted then; it replaces the time that was named before.
    Wake(Micros),
    Log {
        severity: Severity,
        line: String,
    },
}
