//! The list of relays that may hand out permits.

use pewterseam_wire::identity::NodeName;

use crate::simulation::cluster::{Cluster, MS};

const SECOND: u64 = 1_000 * MS;
/// Core relays 0 to 2, relays 3 to 5, stores 6 and 7.
const RELAYS: usize = 6;
/// How long a relay is gone before it leaves the list.
const ABANDONED: u64 = 60 * SECOND;

fn listed(cluster: &Cluster, node: usize) -> Vec<NodeName> {
    cluster.control(node).map(|control| control.state().homes.to_vec()).unwrap_or_default()
}

fn names(nodes: impl Iterator<Item = usize>) -> Vec<NodeName> {
    nodes.map(|index| NodeName::new(&format!("node-{index}"))).collect()
}

fn agreed_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 3, 2);
    cluster.agrees_on_homes = true;
    cluster.run(6 * SECOND);
    cluster.bootstrap = false;
    cluster
}

/// Guards against relays that do not know of each other, and against stores on the list.
#[test]
fn all_relays_are_listed_everywhere() {
    for seed in 0..10 {
        let cluster = agreed_cluster(seed);
        for node in 0..RELAYS + 2 {
            assert_eq!(listed(&cluster, node), names(0..RELAYS), "seed {seed}, node {node}");
        }
    }
}

/// Guards against a relay that leaves the list while permits of its may be out, and against one that stays for ever.
#[test]
fn a_relay_that_is_gone_leaves_the_list_late() {
    let mut cluster = agreed_cluster(1);
    cluster.kill(5);
    cluster.run(ABANDONED - 5 * SECOND);
    assert_eq!(listed(&cluster, 0), names(0..RELAYS));
    cluster.run(15 * SECOND);
    assert_eq!(listed(&cluster, 0), names(0..RELAYS - 1));
}

/// Guards against a list that is forgotten when all processes start again.
#[test]
fn the_list_outlasts_a_loss_of_all_power() {
    let mut cluster = agreed_cluster(2);
    for node in 0..RELAYS + 2 {
        cluster.kill(node);
        cluster.start_after(node, if node == 5 { 600 * SECOND } else { SECOND });
    }
    cluster.run(6 * SECOND);
    for node in 0..RELAYS - 1 {
        assert_eq!(listed(&cluster, node), names(0..RELAYS), "node {node}");
    }
}
