//! What a cluster is played with.

use pewterseam_wire::Micros;

/// One second of simulated time.
pub const SECOND: Micros = 1_000_000;
/// One millisecond of simulated time.
pub const MILLISECOND: Micros = 1_000;

/// A fault of the program that is planted in the driver, to show that the judge finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Stores acknowledge records before they are synced.
    EarlyAcknowledgement,
    /// Relays take it that one store knows of no open messages of a key, without asking it.
    OneStoreTooFew,
    /// Relays that the others cannot reach go on using a permit when its time is over.
    LatePermits,
    /// Relays run what they take over without telling or asking the stores.
    NoClaims,
    /// Relays whose leases have lapsed send what they own without asking the stores.
    NoConfirmation,
}

/// A run of a cluster. The same plan gives the same run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    pub seed: u64,
    pub planted: Option<Planted>,
    /// Syncs of disks fail now and then.
    pub syncs_fail: bool,
}

impl Plan {
    /// A run of the program as it is.
    pub fn of_seed(seed: u64) -> Self {
        Plan { seed, planted: None, syncs_fail: false }
    }

    /// A run in which syncs of disks fail now and then.
    pub fn with_failing_syncs(seed: u64) -> Self {
        Plan { seed, planted: None, syncs_fail: true }
    }

    /// A run with a planted fault.
    pub fn planted(seed: u64, planted: Planted) -> Self {
        Plan { seed, planted: Some(planted), syncs_fail: false }
    }
}
