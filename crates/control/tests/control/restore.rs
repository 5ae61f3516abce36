//! Disaster recovery after half of the core's disks or more are lost.

use pewterseam_control::{CoreMember, OperatorRequest, Outcome, StateBackup};

use crate::simulation::cluster::{Cluster, MS, document};
use crate::simulation::disk::Disk;
use crate::{call, formed_cluster};

const SECOND: u64 = 1_000 * MS;

fn backup_of(cluster: &Cluster, node: usize) -> StateBackup {
    let (snapshot, records) = cluster.nodes[node].disk.log();
    let backup = StateBackup::of_log(snapshot.as_deref(), &records).expect("the log can be read");
    backup.expect("it holds a state")
}

/// Replaces a node's disk by a new one that holds only the backup.
fn restore(cluster: &mut Cluster, node: usize, backup: &StateBackup) {
    cluster.lose_disk(node);
    let info = &cluster.nodes[node].info;
    let member = CoreMember { name: info.name.clone(), disk: info.disk.expect("a disk") };
    let (snapshot, agreed) = backup.restored(member);
    assert_eq!(agreed.forced.last().map(|forced| forced.from), Some(backup.newest().stamp));
    cluster.nodes[node].disk = Disk::with_snapshot(snapshot);
}

fn change(cluster: &mut Cluster, token: u64, based_on: u64, version: u64) -> bool {
    (0..6).any(|_| {
        let request = OperatorRequest::put(based_on, document(version, "x"));
        call(cluster, 3, token, request) == Some(Outcome::Accepted { version })
    })
}

/// Guards against a core that cannot be restored after two of three disks are lost, against processes that kept
/// running and do not follow the restored core, and against an old member that can still act.
#[test]
fn a_core_is_restored_from_one_disk() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        assert!(change(&mut cluster, 1, 0, 5), "seed {seed}");
        let survivor = seed as usize % 3;
        let (lost, old) = ((survivor + 1) % 3, (survivor + 2) % 3);
        for node in 0..3 {
            cluster.kill(node);
        }
        cluster.lose_disk(lost);
        cluster.run(4 * SECOND);
        let backup = backup_of(&cluster, survivor);
        restore(&mut cluster, survivor, &backup);
        cluster.start_after(survivor, 0);
        cluster.run(4 * SECOND);
        let Some(Outcome::Config(config)) = call(&mut cluster, 3, 2, OperatorRequest::ReadConfig) else {
            panic!("seed {seed}: no configuration")
        };
        assert_eq!(config.version, 5, "seed {seed}");
        assert!(change(&mut cluster, 3, 5, 6), "seed {seed}");
        // One member returns with an empty disk, and the other one with its old disk, which operators are told not to
        // do.
        cluster.start_after(lost, 0);
        cluster.start_after(old, SECOND);
        cluster.run(12 * SECOND);
        assert!(change(&mut cluster, 4, 6, 7), "seed {seed}");
        cluster.run(SECOND);
        for node in 0..cluster.nodes.len() {
            let control = cluster.control(node).expect("runs");
            assert_eq!(control.state().config.version, 7, "seed {seed}: node {node}");
            assert_eq!(control.forced_epochs().len(), 1, "seed {seed}: node {node}");
        }
        assert_eq!(cluster.control(survivor).expect("runs").core().len(), 3, "seed {seed}");
        cluster.checks.finish();
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against processes that ignore the restored state because they know a later one. The restored state is older
/// than the last agreed one, and the changes in between are lost.
#[test]
fn a_restored_older_state_replaces_the_state_of_all_processes() {
    let mut cluster = formed_cluster(4, 3, 2, 3);
    assert!(change(&mut cluster, 1, 0, 5));
    let backup = backup_of(&cluster, 0);
    let placement = cluster.control(0).expect("runs").state().placement.epoch;
    for version in 6..30 {
        assert!(change(&mut cluster, version, version - 1, version));
    }
    for node in 0..3 {
        cluster.kill(node);
        cluster.lose_disk(node);
    }
    restore(&mut cluster, 0, &backup);
    for node in 0..3 {
        cluster.start_after(node, 0);
    }
    cluster.run(12 * SECOND);
    for node in 0..cluster.nodes.len() {
        let control = cluster.control(node).expect("runs");
        assert_eq!(control.state().config.version, 5, "node {node}");
        assert!(control.state().placement.epoch > placement, "node {node}");
    }
    assert!(change(&mut cluster, 40, 5, 41));
}

/// Guards against restoring a truncated or damaged file.
#[test]
fn a_truncated_or_damaged_backup_is_rejected() {
    let mut cluster = formed_cluster(4, 3, 2, 3);
    assert!(change(&mut cluster, 1, 0, 5));
    let backup = backup_of(&cluster, 0);
    let bytes = backup.encode();
    assert_eq!(StateBackup::decode(&bytes), Some(backup));
    for length in 0..bytes.len() {
        assert_eq!(StateBackup::decode(&bytes[..length]), None, "{length} bytes");
    }
    for position in 0..bytes.len() {
        let mut damaged = bytes.to_vec();
        damaged[position] ^= 0x10;
        assert_eq!(StateBackup::decode(&damaged), None, "byte {position}");
    }
}
