//! What a run does to the system, drawn from its seed: signals, restarts and outages, in series and overlapping.

use std::time::Duration;

use pewterseam_wire::random::Random;

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Relays with a disk, which form the core.
    pub core: usize,
    /// Relays without one.
    pub relays: usize,
    pub stores: usize,
    pub clients: usize,
}

/// The services between which a route moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    Left,
    Right,
}

impl Service {
    pub const ALL: [Service; 2] = [Service::Left, Service::Right];

    pub fn name(self) -> &'static str {
        match self {
            Service::Left => "left",
            Service::Right => "right",
        }
    }

    pub fn of(random: &mut Random) -> Self {
        Service::ALL[random.below(2)]
    }
}

/// One disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGTERM, and a start once the process has ended.
    Stop { node: usize },
    /// SIGKILL, and a start.
    Kill { node: usize },
    /// The settings file is written anew, and SIGHUP.
    Reload { node: usize },
    /// No host of the service takes a connection for so long; new hosts follow.
    Outage { service: Service, span: Duration },
}

/// A run.
pub struct Plan {
    pub seed: u64,
    pub size: Size,
    pub disturbances: Vec<(Duration, Disturbance)>,
    /// When clients and operators end.
    pub ends: Duration,
}

/// Disturbances come within this time of the first request.
const DISTURBED_MS: usize = 11_000;
/// The calm at the end of the traffic.
const CALM: Duration = Duration::from_secs(7);
const LEAST_DISTURBANCES: usize = 8;
const MORE_DISTURBANCES: usize = 10;
/// Several of one kind follow each other so closely.
const SERIES_PAUSE_MS: usize = 400;

impl Plan {
    /// The run of a seed. Runs with odd seeds have planned work alone: nothing is killed.
    pub fn of_seed(seed: u64, size: Size) -> Self {
        let mut random = Random::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let kills = seed.is_multiple_of(2);
        let nodes = size.core + size.relays + size.stores;
        let mut disturbances = Vec::new();
        let count = LEAST_DISTURBANCES + random.below(MORE_DISTURBANCES);
        while disturbances.len() < count {
            let begins = random.below(DISTURBED_MS);
            let kind = random.below(10);
            let span = Duration::from_millis(1_000 + random.below(6_000) as u64);
            for step in 0..1 + random.below(4) {
                let at = Duration::from_millis((begins + step * random.below(SERIES_PAUSE_MS)) as u64);
                let node = random.below(nodes);
                disturbances.push((
                    at,
                    match kind {
                        0..4 => Disturbance::Stop { node },
                        4..6 if kills => Disturbance::Kill { node },
                        4..8 => Disturbance::Reload { node },
                        _ => Disturbance::Outage { service: Service::of(&mut random), span },
                    },
                ));
            }
        }
        disturbances.sort_by_key(|(at, _)| *at);
        let ends = Duration::from_millis(DISTURBED_MS as u64) + CALM;
        Plan { seed, size, disturbances, ends }
    }
}
