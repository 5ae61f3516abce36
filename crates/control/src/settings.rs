//! The times and numbers of control.

use std::net::SocketAddr;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::CopySpread;

const MILLISECOND: Micros = 1_000;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// The first start of the whole system: the seeds form the core.
    pub bootstrap: bool,
    /// The peer addresses of the seeds, as membership gives them.
    pub seeds: Vec<SocketAddr>,
    /// `f`: machines that may be lost at one time.
    pub tolerated: u16,
    /// How copies are spread over zones from the first placement on.
    pub copy_spread: CopySpread,
    /// Between two heartbeats of a leader.
    pub heartbeat: Micros,
    /// A leader that no majority has answered for so long steps down; members that hear no leader for so long elect.
    pub leader_timeout: Micros,
    /// A disk that owes a sync and has done none for so long is stalled: its member leads no longer, and does not stand.
    pub disk_timeout: Micros,
    /// Each earlier live member in the order of candidates delays an election by this.
    pub candidate_step: Micros,
    /// So long a candidate waits for promises.
    pub attempt: Micros,
    /// Between two sendings of what was not answered.
    pub resend: Micros,
    /// Whether the core agrees on the relays that may hand out permits of limited services.
    pub agrees_on_homes: bool,
    /// Between two looks at what the leader has to change.
    pub housekeeping: Micros,
    /// From the start to the first attempt to form the core.
    pub formation_delay: Micros,
    /// A relay gives an operator's call up after this, and a millisecond more for each kilobyte of its body.
    pub call_timeout: Micros,
    /// A process that no majority of the core answers for longer than this is out of touch (`contactMs`).
    pub contact: Micros,
    /// So long a dead member or store is kept where nothing replaces it.
    pub abandon_after: Micros,
    /// So long a core member must be dead before its place is given up or given to another.
    pub replace_member_after: Micros,
    /// A node must have been there for so long before it makes a whole core larger: longer than a death goes unnoticed.
    pub grow_after: Micros,
    /// So long a store of the same zone must be dead before a new store replaces it.
    pub replace_after: Micros,
    /// A new store or core member must have been there for so long.
    pub settle: Micros,
    /// The first placement waits this long after the last store came, if there are enough.
    pub first_placement: Micros,
    /// The same with fewer stores than tolerance asks for.
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
