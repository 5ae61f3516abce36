//! The list of relays that may grant permits of limited services.

use pewterseam_wire::identity::NodeName;

use crate::simulation::cluster::{Cluster, MS};

const SECOND: u64 = 1_000 * MS;
/// The nodes are core relays 0 to 2, relays 3 to 5, and stores 6 and 7.
const RELAYS: usize = 6;
/// How long a relay must be gone before it is removed from the list.
const ABANDON_AFTER: u64 = 60 * SECOND;

fn listed(cluster: &Cluster, node: usize) -> Vec<NodeName> {
    cluster.control(node).map(|control| control.state().homes.to_vec()).unwrap_or_default()
}

fn names(nodes: impl Iterator<Item = usize>) -> Vec<NodeName> {
    nodes.map(|index| NodeName::new(&format!("node-{index}"))).collect()
}

fn cluster_with_homes(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 3, 2);
    cluster.agrees_on_homes = true;
    cluster.run(6 * SECOND);
    cluster.bootstrap = false;
    cluster
}

/// Guards against relays that are missing from the list, and against stores on it.
#[test]
fn all_relays_are_listed_everywhere() {
    for seed in 0..10 {
        let cluster = cluster_with_homes(seed);
        for node in 0..RELAYS + 2 {
            assert_eq!(listed(&cluster, node), names(0..RELAYS), "seed {seed}, node {node}");
        }
    }
}

/// Guards against a relay that is removed from the list while permits that it granted may still be valid, and against
/// one that is never removed.
#[test]
fn a_relay_is_removed_only_after_its_permits_have_expired() {
    let mut cluster = cluster_with_homes(1);
    cluster.kill(5);
    cluster.run(ABANDON_AFTER - 5 * SECOND);
    assert_eq!(listed(&cluster, 0), names(0..RELAYS));
    cluster.run(15 * SECOND);
    assert_eq!(listed(&cluster, 0), names(0..RELAYS - 1));
}

/// Guards against a list that is lost when all processes restart.
#[test]
fn the_list_survives_a_restart_of_all_processes() {
    let mut cluster = cluster_with_homes(2);
    for node in 0..RELAYS + 2 {
        cluster.kill(node);
        cluster.start_after(node, if node == 5 { 600 * SECOND } else { SECOND });
    }
    cluster.run(6 * SECOND);
    for node in 0..RELAYS - 1 {
        assert_eq!(listed(&cluster, node), names(0..RELAYS), "node {node}");
    }
}
