//! The first start under faults, and how long a core is without a leader.

use std::collections::BTreeSet;

use pewterseam_control::{OperatorRequest, Outcome};

use crate::simulation::cluster::{Cluster, MS, document};
use crate::{call, formed_cluster};

/// Guards against two cores, and against a core that never forms, if messages are lost, a seed is suspended or the
/// links of a seed are cut during the first start.
#[test]
fn faults_during_the_first_start_lead_to_one_core() {
    for seed in 0..300 {
        let mut cluster = Cluster::new(seed, 4, 3, 3);
        cluster.drop_percent = 10;
        for _ in 0..6 {
            let pause = (100 + cluster.random.below(700) as u64) * MS;
            cluster.run(pause);
            let node = cluster.random.below(5);
            match cluster.random.below(3) {
                0 => cluster.freeze(node, 600 * MS),
                1 => {
                    for other in 0..cluster.nodes.len() {
                        cluster.cuts.insert((node, other));
                    }
                }
                _ => cluster.cuts.clear(),
            }
        }
        cluster.heal();
        cluster.run(8_000 * MS);
        let cores: BTreeSet<Vec<String>> = (0..cluster.nodes.len())
            .filter_map(|node| cluster.control(node))
            .map(|control| control.core().iter().map(|member| member.name.to_string()).collect())
            .collect();
        assert_eq!(cores.len(), 1, "seed {seed}: {cores:?}");
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
        let accepted = call(&mut cluster, 6, 1, OperatorRequest::put(0, document(5, "x")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 5 }), "seed {seed}");
    }
}

/// Guards against a process that is killed during the first start and forms a core of its own after its restart.
#[test]
fn a_restarted_process_forms_no_core() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 4, 2, 3);
        cluster.run(1_000 * MS + seed * 40 * MS);
        cluster.bootstrap = false;
        let victim = (seed % 4) as usize;
        cluster.kill(victim);
        cluster.start_after(victim, 300 * MS);
        cluster.run(12_000 * MS);
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
        for node in 0..cluster.nodes.len() {
            let control = cluster.control(node).expect("runs");
            assert!(control.is_current(cluster.now), "seed {seed}: node {node}");
            assert_eq!(control.core().len(), 4, "seed {seed}: node {node}");
        }
    }
}

/// Guards against a core that remains without a leader: after the death of a leader the next one commits within 3.5 s.
#[test]
fn a_dead_leader_is_replaced_within_3500_ms() {
    let mut failover_times = Vec::new();
    for seed in 0..40 {
        let mut cluster = formed_cluster(seed, 4, 3, 3);
        let leader = cluster.leader().expect("a leader");
        cluster.kill(leader);
        let (start, index) = (cluster.now, cluster.control(5).expect("runs").index());
        while cluster.control(5).expect("runs").index() == index {
            cluster.run(10 * MS);
            assert!(cluster.now < start + 10_000 * MS, "seed {seed}: no leader");
        }
        failover_times.push((cluster.now - start) / MS);
    }
    failover_times.sort_unstable();
    println!(
        "a new leader has committed {} ms after a leader's death (median), {} ms at most",
        failover_times[20], failover_times[39]
    );
    assert!(failover_times[39] < 3_500);
}
