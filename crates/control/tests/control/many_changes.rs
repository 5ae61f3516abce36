//! Hundreds of changes, while members are down, restarted, slow or without power.

use pewterseam_control::{Control, ControlSettings, OperatorRequest, Outcome, Stamp, Token};

use crate::simulation::cluster::{Cluster, MS, document};
use crate::{call, formed_cluster};

const SECOND: u64 = 1_000 * MS;

/// The size of a note that makes the log reach its bound after about ten changes.
const LARGE_NOTE: usize = 40_000;

struct Changes {
    cluster: Cluster,
    version: u64,
    note: String,
}

impl Changes {
    fn new(seed: u64, note: usize) -> Self {
        Changes { cluster: formed_cluster(seed, 3, 2, 3), version: 0, note: "n".repeat(note) }
    }

    /// Makes changes; each order is sent until it is accepted.
    fn change(&mut self, times: usize) {
        for _ in 0..times {
            let version = self.version + 1;
            let change = document(version, &self.note);
            let request = OperatorRequest::put(self.version, change.clone());
            let is_taken = (0..6).any(|_| {
                let outcome = call(&mut self.cluster, 3, version, request.clone());
                outcome == Some(Outcome::Accepted { version })
            });
            assert!(is_taken, "version {version} was not accepted");
            self.cluster.checks.acknowledged(self.version, version, &change);
            self.version = version;
        }
    }

    /// Sends a leader many orders at once, each based on the one before, and waits for their answers.
    fn fill_queue(&mut self, leader: usize) {
        let first = self.version;
        for version in first + 1..=first + QUEUED {
            let request = OperatorRequest::put(version - 1, document(version, &self.note));
            assert!(self.cluster.operator(leader, Token(version), request));
        }
        while (self.cluster.answers.len() as u64) < QUEUED {
            self.cluster.run(MS);
        }
        for (_, token, outcome) in std::mem::take(&mut self.cluster.answers) {
            assert_eq!(outcome, Outcome::Accepted { version: token.0 });
        }
        self.version = first + QUEUED;
    }

    fn lose_power_everywhere(&mut self) {
        for node in 0..self.cluster.nodes.len() {
            self.cluster.lose_power(node);
            let pause = self.cluster.random.below(900) as u64 * MS;
            self.cluster.start_after(node, pause);
        }
        self.cluster.run(4 * SECOND);
    }

    /// Checks that every process knows the newest version, and that no check found a violation.
    fn assert_all_current(&mut self, when: &str) {
        let Some(Outcome::Config(config)) = call(&mut self.cluster, 3, 1 << 40, OperatorRequest::ReadConfig)
        else {
            panic!("{when}: no configuration")
        };
        assert_eq!(config.version, self.version, "{when}");
        self.cluster.run(SECOND);
        for node in 0..self.cluster.nodes.len() {
            let control = self.cluster.control(node).expect("runs");
            assert_eq!(control.state().config.version, self.version, "{when}: node {node}");
            assert!(control.is_current(self.cluster.now), "{when}: node {node}");
        }
        self.cluster.checks.finish();
        assert_eq!(self.cluster.checks.violations, Vec::<String>::new(), "{when}");
    }
}

/// Guards against a member that never catches up, or that leads with an old state, after it was down during 300 or
/// 1,000 changes and all nodes lost power: the logs are then of different lengths.
#[test]
fn unequal_logs_lead_to_the_newest_state() {
    for (seed, changes) in [(1, 300), (2, 300), (3, 1_000)] {
        let mut system = Changes::new(seed, 200);
        system.change(3);
        system.cluster.kill(seed as usize % 3);
        system.change(changes);
        system.lose_power_everywhere();
        system.assert_all_current(&format!("seed {seed}, {changes} changes"));
        system.change(1);
        system.assert_all_current(&format!("seed {seed}, after one more"));
    }
}

/// Guards against snapshots and logs that do not match at one of the boundaries between them: a member loses power
/// after each change, over more than two snapshots.
#[test]
fn a_restart_at_each_boundary_of_the_log_loses_nothing() {
    for seed in 0..3 {
        let mut system = Changes::new(seed, LARGE_NOTE);
        let mut snapshots = 0;
        for round in 0..40 {
            let member = (seed as usize + round / 3) % 3;
            system.change(1);
            system.cluster.lose_power(member);
            snapshots += usize::from(system.cluster.nodes[member].disk.log().0.is_some());
            system.cluster.start_after(member, 20 * MS);
            system.cluster.run(300 * MS);
        }
        assert!(snapshots > 10, "seed {seed}: {snapshots} restarts on a snapshot");
        system.cluster.run(3 * SECOND);
        system.assert_all_current(&format!("seed {seed}"));
        system.lose_power_everywhere();
        system.assert_all_current(&format!("seed {seed}, after power was lost everywhere"));
    }
}

/// Guards against using a snapshot before it is on the disk: one member's disk takes 2 s for each write, and power is
/// lost during that time.
#[test]
fn power_loss_during_a_snapshot_loses_nothing() {
    for seed in 0..8 {
        let mut system = Changes::new(seed, LARGE_NOTE);
        let slow = seed as usize % 3;
        system.change(8);
        system.cluster.disk_delays.insert(slow, 2 * SECOND);
        system.change(12);
        system.cluster.lose_power(slow);
        system.cluster.disk_delays.clear();
        system.cluster.start_after(slow, 500 * MS);
        system.cluster.run(SECOND);
        system.change(1);
        system.lose_power_everywhere();
        system.assert_all_current(&format!("seed {seed}"));
    }
}

/// The stamp of the state that a member would recover from its disk at this moment.
fn stamp_on_disk(cluster: &Cluster, member: usize) -> Stamp {
    let node = &cluster.nodes[member];
    let control = Control::new(0, &node.info, ControlSettings::default(), node.disk.log(), 1);
    control.expect("the log can be read").accepted_stamp()
}

/// Guards against a member with a full disk that delays the others, that counts towards a majority although nothing is
/// synced there, or whose log does not continue where it ended. No writes and no snapshots are synced until the member
/// is restarted with free space.
#[test]
fn a_full_disk_of_one_member_does_not_delay_others() {
    for seed in 0..8 {
        let mut system = Changes::new(seed, LARGE_NOTE);
        system.change(8);
        let leader = system.cluster.leader().expect("a leader");
        let full = (0..3).find(|node| *node != leader).expect("another");
        system.cluster.disk_delays.insert(full, 1_000 * SECOND);
        let start = system.cluster.now;
        system.change(40);
        assert!(system.cluster.now < start + 4 * SECOND, "seed {seed}: the other members were delayed");
        let third = 3 - leader - full;
        system.cluster.kill(third);
        let next = OperatorRequest::put(system.version, document(system.version + 1, &system.note));
        let outcome = call(&mut system.cluster, 3, system.version + 1, next);
        let is_taken = matches!(outcome, Some(Outcome::Accepted { .. }));
        assert!(!is_taken, "seed {seed}: accepted with one disk of three");
        system.cluster.start_after(third, 0);
        system.cluster.run(2 * SECOND);
        system.change(1);
        system.cluster.lose_power(full);
        system.cluster.disk_delays.clear();
        system.cluster.start_after(full, 500 * MS);
        system.cluster.run(3 * SECOND);
        system.assert_all_current(&format!("seed {seed}"));
        let known = system.cluster.control(full).expect("runs").accepted_stamp();
        assert_eq!(stamp_on_disk(&system.cluster, full), known, "seed {seed}: the log is behind");
        system.lose_power_everywhere();
        system.assert_all_current(&format!("seed {seed}, after power was lost everywhere"));
    }
}

/// Guards against using a truncated or damaged log as if it were complete.
#[test]
fn a_damaged_log_is_rejected() {
    let mut system = Changes::new(4, LARGE_NOTE);
    system.change(20);
    let (snapshot, records) = system.cluster.nodes[0].disk.log();
    let snapshot = snapshot.expect("a snapshot was written");
    let info = system.cluster.nodes[0].info.clone();
    let start = |snapshot: bytes::Bytes, records: Vec<bytes::Bytes>| {
        Control::new(0, &info, ControlSettings::default(), (Some(snapshot), records), 1).map(|_| ())
    };
    assert!(start(snapshot.clone(), records.clone()).is_ok());
    for length in [0, 1, snapshot.len() / 2, snapshot.len() - 1] {
        for records in [records.clone(), Vec::new()] {
            let count = records.len();
            let started = start(snapshot.slice(..length), records);
            assert!(started.is_err(), "{length} bytes of the snapshot, and {count} records");
        }
    }
    let missing: Vec<bytes::Bytes> = records.iter().skip(2).cloned().collect();
    assert!(start(snapshot.clone(), missing).is_err(), "records are missing after the snapshot");
    let changes: Vec<usize> = (0..records.len()).filter(|place| records[*place].len() > LARGE_NOTE).collect();
    let (last, before) = changes.split_last().expect("changes after the snapshot");
    assert!(!before.is_empty(), "one change alone leaves no gap");
    for place in before {
        let mut gap = records.clone();
        gap.remove(*place);
        assert!(start(snapshot.clone(), gap).is_err(), "without record {place}");
    }
    for place in 0..=*last {
        let mut cut = records.clone();
        cut[place] = cut[place].slice(..cut[place].len() / 2);
        assert!(start(snapshot.clone(), cut).is_err(), "half of record {place}");
    }
}

/// The number of orders in a leader's queue at a time.
const QUEUED: u64 = 60;

/// Guards against steady changes that keep a successor out of the core because it never knows the very newest change:
/// the leader's queue is never empty.
#[test]
fn steady_changes_do_not_prevent_a_repair() {
    for seed in 0..10 {
        let mut system = Changes::new(seed, 200);
        let leader = system.cluster.leader().expect("a leader");
        let lost = (0..3).find(|node| *node != leader).expect("another");
        system.cluster.lose_disk(lost);
        let disk = system.cluster.nodes[lost].info.disk;
        system.cluster.start_after(lost, 500 * MS);
        let end = system.cluster.now + 5_000 * MS;
        while system.cluster.now < end {
            system.fill_queue(leader);
        }
        let core = system.cluster.control(leader).expect("runs").core_membership().clone();
        assert!(core.current().iter().any(|member| Some(member.disk) == disk), "seed {seed}: {core:?}");
        assert!(system.version > 200, "seed {seed}: only version {}", system.version);
        system.assert_all_current(&format!("seed {seed}"));
    }
}
