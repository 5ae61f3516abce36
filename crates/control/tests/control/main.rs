//! Tests of control in complete simulated clusters.

mod catch_up;
mod changes;
mod cluster;
mod contact;
mod earlier_processes;
mod elections;
mod exploration;
mod formation;
mod history;
mod homes;
mod many_changes;
mod membership;
mod orders;
mod other_epochs;
mod repeated_calls;
mod restore;
mod retirement;
mod second_loss;
mod simulation;
mod spread;
mod stalled;

use pewterseam_control::{OperatorRequest, Outcome, Token};
use simulation::cluster::{Cluster, MS};

/// A cluster four seconds after its first start, when the core has formed.
fn formed_cluster(seed: u64, core: usize, relays: usize, stores: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, core, relays, stores);
    cluster.run(4_000 * MS);
    cluster.bootstrap = false;
    cluster
}

/// Makes one operator call and returns its outcome, if it arrives within two seconds.
fn call(cluster: &mut Cluster, node: usize, token: u64, request: OperatorRequest) -> Option<Outcome> {
    assert!(cluster.operator(node, Token(token), request));
    for _ in 0..200 {
        cluster.run(10 * MS);
        let found = cluster.answers.iter().position(|(_, answered, _)| answered.0 == token);
        if let Some(found) = found {
            return Some(cluster.answers.remove(found).2);
        }
    }
    None
}
