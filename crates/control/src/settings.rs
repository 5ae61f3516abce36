//! Settings of the control state machine.

use std::net::SocketAddr;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::CopySpread;

const MILLISECOND: Micros = 1_000;

/// The control settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Whether this is the first start of the whole system, in which the seeds form the core.
    pub bootstrap: bool,
    /// The peer addresses of the seeds, as membership reports them.
    pub seeds: Vec<SocketAddr>,
    /// `f`: the number of machines that may be lost at one time.
    pub tolerated: u16,
    /// How copies are spread over zones, from the first placement on.
    pub copy_spread: CopySpread,
    /// The interval between two heartbeats of a leader.
    pub heartbeat: Micros,
    /// A leader that no majority has answered for this long steps down; members that hear from no leader for this long
    /// start an election.
    pub leader_timeout: Micros,
    /// A disk that has an outstanding sync and has synced nothing for this long is stalled: its member stops leading
    /// and does not become a candidate.
    pub disk_timeout: Micros,
    /// The additional election delay for each live member that precedes this one in the order of candidates.
    pub candidate_step: Micros,
    /// How long a candidate waits for promises.
    pub attempt: Micros,
    /// The interval after which an unanswered message is sent again.
    pub resend: Micros,
    /// Whether the core agrees on the list of relays that may grant permits of limited services.
    pub agrees_on_homes: bool,
    /// The interval at which the leader checks whether a change of core, placement or homes is due.
    pub housekeeping: Micros,
    /// The time from the start to the first attempt to form the core.
    pub formation_delay: Micros,
    /// The timeout of an operator's call at a relay; it grows by a millisecond for each kilobyte of the call's body.
    pub call_timeout: Micros,
    /// A process that no majority of the core has answered for longer than this has lost contact (`contactMs`).
    pub contact: Micros,
    /// How long a dead member or store is kept if nothing replaces it.
    pub abandon_after: Micros,
    /// How long a core member must be dead before it is removed or replaced.
    pub replace_member_after: Micros,
    /// How long a node must have been alive before it is added to a core without losses. This must be longer than a
    /// failure can go unnoticed.
    pub grow_after: Micros,
    /// How long a store must be dead before a new store of the same zone replaces it.
    pub replace_after: Micros,
    /// How long a new store or core member must have been alive before it is used.
    pub settle: Micros,
    /// How long the set of stores must be unchanged before the first placement, if there are enough stores.
    pub first_placement: Micros,
    /// How long the set of stores must be unchanged before the first placement, with fewer stores than the tolerance
    /// requires.
    pub short_placement: Micros,
}

impl Default for ControlSettings {
    fn default() -> Self {
        ControlSettings {
            bootstrap: false,
            seeds: Vec::new(),
            tolerated: 1,
            copy_spread: CopySpread::AcrossZones,
            heartbeat: 500 * MILLISECOND,
            leader_timeout: 1_500 * MILLISECOND,
            disk_timeout: 1_200 * MILLISECOND,
            candidate_step: 400 * MILLISECOND,
            attempt: 700 * MILLISECOND,
            resend: 300 * MILLISECOND,
            agrees_on_homes: false,
            housekeeping: 250 * MILLISECOND,
            formation_delay: 1_500 * MILLISECOND,
            call_timeout: 900 * MILLISECOND,
            contact: 4_000 * MILLISECOND,
            abandon_after: 60_000 * MILLISECOND,
            replace_member_after: 1_000 * MILLISECOND,
            grow_after: 3_000 * MILLISECOND,
            replace_after: 2_000 * MILLISECOND,
            settle: 500 * MILLISECOND,
            first_placement: 700 * MILLISECOND,
            short_placement: 2_000 * MILLISECOND,
        }
    }
}
