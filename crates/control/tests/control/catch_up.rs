//! Processes that are far behind: how long they take to catch up, how many bytes that costs, and that it ends.

use bytes::Bytes;
use pewterseam_control::{OperatorRequest, Outcome};

use crate::contact::{Direction, cut};
use crate::simulation::cluster::{Cluster, MS};
use crate::simulation::routes::{configuration, route};
use crate::{call, formed_cluster};

const SECOND: u64 = 1_000 * MS;

/// 30 Mbit/s.
const SLOW_LINK: u64 = 30_000_000 / 8;

/// `catchUpS` of a small site.
const MAX_CATCH_UP_TIME: u64 = 4_400 * MS;

/// A cluster with three core members, two relays without a disk and three stores, and the changes made in it.
struct Changing {
    cluster: Cluster,
    version: u64,
    relay: usize,
}

const CORE: usize = 3;

impl Changing {
    fn new(seed: u64, configuration: Bytes) -> Self {
        let mut changing = Changing { cluster: formed_cluster(seed, CORE, 2, 3), version: 0, relay: CORE };
        let accepted = call(&mut changing.cluster, CORE, 1, OperatorRequest::put(0, configuration));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 1 }));
        changing.version = 1;
        changing.cluster.run(SECOND);
        changing
    }

    /// Changes one route after another. Each order is sent again until it is accepted.
    fn change(&mut self, times: u64) {
        for _ in 0..times {
            let version = self.version + 1;
            let changed = route(version as usize % 100, 600 + version);
            let patch = format!(r#"{{"version":{version},"upsert":{{"routes":[{changed}]}}}}"#);
            let request = OperatorRequest::patch(self.version, patch.into());
            let taken = (0..8).any(|_| {
                let outcome = call(&mut self.cluster, self.relay, version, request.clone());
                matches!(outcome, Some(Outcome::Accepted { .. }))
            });
            assert!(taken, "version {version} was not accepted");
            self.version = version;
        }
    }

    /// Runs until these nodes know this version, and makes another change every `pause` if there is one. Returns the
    /// time.
    fn run_until_known(&mut self, nodes: &[usize], version: u64, most: u64, pause: Option<u64>) -> u64 {
        let start = self.cluster.now;
        let mut next = start;
        while self.cluster.now < start + most {
            let knows = |node: &usize| {
                let control = self.cluster.control(*node);
                control.is_some_and(|control| {
                    control.state().config.version >= version && control.is_current(self.cluster.now)
                })
            };
            if nodes.iter().all(knows) {
                return self.cluster.now - start;
            }
            match pause {
                Some(pause) if self.cluster.now >= next => {
                    next = self.cluster.now + pause;
                    self.change(1);
                }
                _ => self.cluster.run(10 * MS),
            }
        }
        most
    }

    fn assert_no_violations(&mut self) {
        self.cluster.checks.finish();
        assert_eq!(self.cluster.checks.violations, Vec::<String>::new());
    }
}

/// The bytes of a remembered change in the state: its digest, 32 bytes as four integers, and its version.
const REMEMBERED_BYTES: usize = 42;
/// The maximum bytes sent to a process that catches up, in percent of what it lacks.
const MAX_PERCENT: usize = 120;
/// The number of changes that the state remembers.
const REMEMBERED_CHANGES: u64 = 1_000;

/// Guards against transfers of complete states that never end, or that send everything again with each repeat: 5,000
/// routes, 30 Mbit/s, one of ten pieces of 32 KB lost, five processes behind that start one by one, and a leader that
/// keeps committing changes.
#[test]
fn a_whole_state_arrives_over_a_slow_and_lossy_link() {
    for seed in 0..4 {
        let mut changing = Changing::new(seed, configuration(5_000));
        let behind = [2, 4, 5, 6, 7];
        for node in behind {
            changing.cluster.kill(node);
        }
        changing.change(10);
        for node in 0..2 {
            // No process has a history that reaches back far enough.
            changing.cluster.kill(node);
            changing.cluster.start_after(node, 0);
        }
        changing.cluster.run(4 * SECOND);
        changing.change(1);
        changing.cluster.rate = Some(SLOW_LINK);
        changing.cluster.loss_percent = 10;
        changing.cluster.received.clear();
        for (place, node) in behind.into_iter().enumerate() {
            changing.cluster.start_after(node, place as u64 * 250 * MS);
        }
        changing.cluster.run(100 * MS);
        let version = changing.version;
        let time = changing.run_until_known(&behind, version, 60 * SECOND, Some(300 * MS));
        let state = changing.cluster.control(0).expect("runs").state().config.text.len();
        let received: Vec<usize> = behind.map(|node| changing.cluster.received[&node]).to_vec();
        println!("seed {seed}: {} ms, {received:?} bytes for a state of {state}", time / MS);
        assert!(time < 15 * SECOND, "seed {seed}: {} ms", time / MS);
        for bytes in received {
            assert!(bytes < 2 * state, "seed {seed}: {bytes} bytes for a state of {state}");
        }
        changing.cluster.loss_percent = 0;
        changing.cluster.run(2 * SECOND);
        changing.assert_no_violations();
    }
}

/// Measures how long a member, and a process without a disk, take to catch up, and how many bytes that costs.
fn catch_up(configuration: &Bytes, name: &str, changes: u64) {
    let mut changing = Changing::new(changes, configuration.clone());
    let behind = [2, 4];
    for node in behind {
        changing.cluster.kill(node);
    }
    changing.cluster.run(3 * SECOND);
    changing.change(changes);
    changing.cluster.rate = Some(SLOW_LINK);
    changing.cluster.received.clear();
    for node in behind {
        changing.cluster.start_after(node, 0);
    }
    let version = changing.version;
    let time = changing.run_until_known(&behind, version, 30 * SECOND, None);
    let state = changing.cluster.control(0).expect("runs").state().config.text.len();
    let received = behind.map(|node| changing.cluster.received[&node]);
    let repeated = behind.map(|node| changing.cluster.repeats.to(node));
    println!(
        "{name}, {changes} changes: {} ms, member {} and relay {} bytes, {repeated:?} of them again, state {state} bytes",
        time / MS,
        received[0],
        received[1]
    );
    assert!(time < MAX_CATCH_UP_TIME, "{name}, {changes} changes: {} ms", time / MS);
    for (bytes, repeated) in received.into_iter().zip(repeated) {
        // The bound is the state with the changes that it remembers, or entries of the same size, plus the messages
        // that are sent in any case.
        let remembered = REMEMBERED_BYTES * changes.min(REMEMBERED_CHANGES) as usize;
        let most = (state + remembered) * MAX_PERCENT / 100 + 16 * 1024;
        assert!(bytes < most, "{name}, {changes} changes: {bytes} bytes");
        let once = bytes - repeated;
        assert!(
            bytes * 100 <= once * MAX_PERCENT,
            "{name}, {changes} changes: {repeated} of {bytes} bytes again"
        );
    }
    changing.assert_no_violations();
}

/// Guards against processes that take ever longer, or cost ever more bytes, the more changes they have missed.
#[test]
fn catching_up_is_bounded_in_time_and_bytes() {
    for changes in [10, 100, 300, 1_000, 5_000] {
        catch_up(&configuration(3), "3 routes", changes);
    }
}

#[test]
fn catching_up_with_a_large_configuration_is_bounded() {
    for changes in [10, 100, 1_000] {
        catch_up(&configuration(5_000), "5,000 routes", changes);
    }
}

/// `configApplyMs` of a small site.
const MAX_APPLY_TIME: u64 = 3_000 * MS;

/// The directions in which a machine is cut off.
const DIRECTIONS: [Direction; 3] = [Direction::Both, Direction::Out, Direction::In];

/// Guards against a reconnected machine that stays on an older configuration because it waits out the timeout of a
/// request that was lost during the cut. Covers cuts of all lengths and of all machines, with changes right before,
/// during and at the end of them, and an earlier cut.
#[test]
fn the_newest_version_is_known_soon_after_a_cut() {
    let mut longest = (0, 0);
    for seed in (0..400).chain([2_970]) {
        let mut changing = Changing::new(seed, configuration(3));
        let all: Vec<usize> = (0..changing.cluster.nodes.len()).collect();
        let node = seed as usize % all.len();
        changing.relay = if node == CORE { CORE + 1 } else { CORE };
        let below = |changing: &mut Changing, most: u64| changing.cluster.random.below(most as usize) as u64;
        for _ in 0..1 + seed % 2 {
            let direction = DIRECTIONS[below(&mut changing, DIRECTIONS.len() as u64) as usize];
            let span = 200 * MS + below(&mut changing, 7 * SECOND);
            let end = changing.cluster.now + span;
            cut(&mut changing.cluster, node, &all, direction);
            while changing.cluster.now < end {
                let left = end - changing.cluster.now;
                let pause = below(&mut changing, 2 * SECOND).min(left);
                changing.cluster.run(pause);
                changing.change(1);
            }
            changing.cluster.cuts.clear();
            let pause = below(&mut changing, 3 * SECOND);
            if seed % 4 == 1 {
                changing.cluster.run(pause);
            }
        }
        let version = changing.version;
        let time = changing.run_until_known(&[node], version, 10 * SECOND, None);
        longest = longest.max((time, seed));
        changing.cluster.run(SECOND);
        changing.assert_no_violations();
    }
    println!("longest: {} ms at seed {}", longest.0 / MS, longest.1);
    assert!(longest.0 < MAX_APPLY_TIME, "seed {}: {} ms", longest.1, longest.0 / MS);
}
