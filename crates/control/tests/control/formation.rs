//! The first start under trouble, and how long a core does without a leader.

use std::collections::BTreeSet;

use pewterseam_control::{OperatorRequest, Outcome};

use crate::simulation::cluster::{Cluster, MS, document};
use crate::{call, formed};

/// Guards against two cores, and against a core that never forms, where messages are lost, a seed stands still, or links
/// of a seed are cut during the first start.
#[test]
fn trouble_at_the_first_start_gives_one_core() {
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
        assert_eq!(cluster.checks.broken, Vec::<String>::new(), "seed {seed}");
        let accepted = call(&mut cluster, 6, 1, OperatorRequest::put(0, document(5, "x")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 5 }), "seed {seed}");
    }
}

/// Guards against a process that was killed during the first start and forms a core of its own when it is back.
#[test]
fn a_process_that_starts_again_forms_nothing() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 4, 2, 3);
        cluster.run(1_000 * MS + seed * 40 * MS);
        cluster.bootstrap = false;
        let victim = (seed % 4) as usize;
        cluster.kill(victim);
        cluster.start_after(victim, 300 * MS);
        cluster.run(12_000 * MS);
        assert_eq!(cluster.checks.broken, Vec::<String>::new(), "seed {seed}");
        for node in 0..cluster.nodes.len() {
            let control = cluster.control(node).expect("runs");
            assert!(control.is_current(cluster.now), "seed {seed}: node {node}");
            assert_eq!(control.core().len(), 4, "seed {seed}: node {node}");
        }
    }
}

/// Guards against a core that stays without a leader: after a leader's death the next one commits within 3.5 s.
#[test]
fn a_dead_leader_is_replaced_soon() {
    let mut spans = Vec::new();
    for seed in 0..40 {
        let mut cluster = formed(seed, 4, 3, 3);
        let leader = cluster.leader().expect("a leader");
        cluster.kill(leader);
        let (start, index) = (cluster.now, cluster.control(5).expect("runs").index());
        while cluster.control(5).expect("runs").index() == index {
            cluster.run(10 * MS);
            assert!(cluster.now < start + 10_000 * MS, "seed {seed}: no leader");
        }
        spans.push((cluster.now - start) / MS);
    }
    spans.sort_unstable();
    println!(
        "a new leader has committed {} ms after a leader's death (median), {} ms at most",
        spans[20], spans[39]
    );
    assert!(spans[39] < 3_500);
}
