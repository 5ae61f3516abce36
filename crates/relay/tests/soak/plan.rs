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

/// The services: two between which a route moves, and one with a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    Left,
    Right,
    Limited,
}

impl Service {
    pub const ALL: [Service; 3] = [Service::Left, Service::Right, Service::Limited];
    const MOVED_BETWEEN: [Service; 2] = [Service::Left, Service::Right];

    pub fn name(self) -> &'static str {
        match self {
            Service::Left => "left",
            Service::Right => "right",
            Service::Limited => "limited",
        }
    }

    /// One of those between which a route moves.
    pub fn of(random: &mut Random) -> Self {
        Service::MOVED_BETWEEN[random.below(2)]
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
    /// Clients of the limited service.
    pub limited_clients: usize,
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

/// Tells the draws of these runs from those of others.
const LIMITED_RUNS: u64 = 0x6c69_6d69_7465_6400;
const LIMITED_CLIENTS: usize = 3;
const LIMITED_OUTAGES: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_millis(10_000)];
const LEAST_LIMITED_OUTAGE: Duration = Duration::from_millis(2_500);
const MORE_LIMITED_OUTAGE: Duration = Duration::from_millis(3_500);
/// The relay that grants permits ends within this after its service's hosts are back.
const ENDS_AROUND_RETURN: Duration = Duration::from_millis(1_000);

fn milliseconds(random: &mut Random, most: Duration) -> Duration {
    Duration::from_millis(random.below(most.as_millis() as usize) as u64)
}

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
        Plan::new(seed, size, disturbances, 0)
    }

    /// A run with traffic to the limited service: its hosts are out twice, and the relay that grants its permits is killed
    /// or stopped around their return, beside other relays.
    pub fn of_limited(seed: u64, size: Size, home: usize) -> Self {
        let mut random = Random::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ LIMITED_RUNS);
        let mut disturbances = Vec::new();
        for begins in LIMITED_OUTAGES {
            let span = LEAST_LIMITED_OUTAGE + milliseconds(&mut random, MORE_LIMITED_OUTAGE);
            disturbances.push((begins, Disturbance::Outage { service: Service::Limited, span }));
            let ends = begins + span;
            let home_ends_at = ends + milliseconds(&mut random, ENDS_AROUND_RETURN);
            let is_killed = random.below(4) > 0;
            let end =
                if is_killed { Disturbance::Kill { node: home } } else { Disturbance::Stop { node: home } };
            disturbances.push((home_ends_at, end));
            let other = random.below(size.core + size.relays + size.stores);
            if other != home && random.below(2) == 0 {
                let at = begins + milliseconds(&mut random, span + ENDS_AROUND_RETURN);
                disturbances.push((at, Disturbance::Kill { node: other }));
            }
        }
        Plan::new(seed, size, disturbances, LIMITED_CLIENTS)
    }

    fn new(
        seed: u64, size: Size, mut disturbances: Vec<(Duration, Disturbance)>, limited_clients: usize,
    ) -> Self {
        disturbances.sort_by_key(|(at, _)| *at);
        let ends = Duration::from_millis(DISTURBED_MS as u64) + CALM;
        Plan { seed, size, disturbances, limited_clients, ends }
    }
}
