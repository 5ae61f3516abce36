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
    /// Relays answer reads of the configuration with what is in force at themselves.
    StaleReads,
    /// Relays pass changes on with bytes of their own, so that the core does not know one that is sent again.
    ForgottenChanges,
    /// Stores say that they hold all that a placement asks for as soon as it comes into force.
    EarlyCopies,
    /// Relays keep the routes of the first configuration that comes into force.
    KeptRoutes,
    /// Relays take routes for the same ones that have the same name.
    RoutesByName,
    /// Relays put configurations in force some seconds after they know them.
    LateConfigurations,
    /// Relays go back to the configuration before, soon after they put one in force.
    ReturningConfigurations,
    /// Relays know of no host that drains.
    KeptHosts,
    /// Relays send messages to hosts without their ordering keys.
    LostKeys,
    /// Relays take answers of 500 for refusals to run.
    ForgottenFailures,
    /// Relays tell the state of a message as the first store has it.
    HastyReads,
    /// Relays forget to run some messages.
    ForgottenMessages,
    /// Relays write requests on new connections twice.
    DoubledWrites,
}

/// What kind of days a run plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scenario {
    /// Seconds of traffic with faults of all kinds.
    #[default]
    Usual,
    /// A minute or more, with cuts of 5, 20 and 60 s, long freezes and disks that fail for long.
    LongTroubles,
    /// Many machines end at one moment, and the next fault strikes while the last one is under repair.
    OverlappingFaults,
    /// Three operators make hundreds of changes in quick succession, during faults.
    ManyChanges,
    /// Stores are retired, added and replaced under new names; disks of those left are lost right after.
    ScaleIn,
    /// Changes of the configuration drop routes that clients use, and add them again.
    ChangingRoutes,
    /// All hosts of a service are out for seconds, while changes move the routes of messages that wait for them.
    OutagesAndChanges,
    /// Traffic for longer than ends are remembered, with stores that miss ends and owners that stop long after.
    LongDays,
    /// Hosts send answers twice, with the id of another message or none, and break them off.
    GarblingHosts,
    /// Hosts send answers a second time, long after, just before the answer to the next message on the connection.
    SecondAnswers,
    /// Many hosts drain, end and begin.
    ChangingHosts,
}

/// A run of a cluster. The same plan gives the same run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    pub seed: u64,
    pub planted: Option<Planted>,
    /// Syncs of disks fail now and then.
    pub syncs_fail: bool,
    pub scenario: Scenario,
    /// Settings as they are deployed where no zone is to be borne as lost: copies stay within zones, and the core agrees on
    /// the homes of limited services.
    pub as_deployed: bool,
}

impl Plan {
    /// A run of the program as it is.
    pub fn of_seed(seed: u64) -> Self {
        Plan { seed, planted: None, syncs_fail: false, scenario: Scenario::Usual, as_deployed: false }
    }

    /// A run of the program as it is, on days of a kind.
    pub fn of_scenario(seed: u64, scenario: Scenario) -> Self {
        Plan { scenario, ..Plan::of_seed(seed) }
    }

    /// A run in which syncs of disks fail now and then.
    pub fn with_failing_syncs(seed: u64) -> Self {
        Plan { syncs_fail: true, ..Plan::of_seed(seed) }
    }

    /// The same run with settings as they are deployed.
    pub fn deployed(self) -> Self {
        Plan { as_deployed: true, ..self }
    }

    /// The same run with a planted fault.
    pub fn with_planted(self, planted: Planted) -> Self {
        Plan { planted: Some(planted), ..self }
    }
}
