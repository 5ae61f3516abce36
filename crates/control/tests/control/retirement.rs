//! Stores leave while others are lost: what the leader waits for.

use pewterseam_control::{OperatorRequest, Outcome};
use pewterseam_wire::identity::NodeName;

use crate::simulation::cluster::{Cluster, MS};
use crate::{call, formed};

const SECOND: u64 = 1_000 * MS;

/// Stores of the cluster: nodes 5 to 8.
const FIRST_STORE: usize = 5;

fn store(index: usize) -> NodeName {
    NodeName::new(&format!("node-{index}"))
}

fn is_completed(cluster: &mut Cluster, token: u64, index: usize) -> bool {
    match call(cluster, 3, token, OperatorRequest::ReadRetire { node: store(index) }) {
        Some(Outcome::RetireState { completed }) => completed,
        other => panic!("{other:?}"),
    }
}

fn retire(cluster: &mut Cluster, token: u64, index: usize) -> Option<Outcome> {
    call(cluster, 3, token, OperatorRequest::Retire { node: store(index) })
}

/// Guards against a store that is told to be gone while one that must copy from it has not: the copies that are left
/// would be fewer than `f + 1`, and a read could miss them.
#[test]
fn a_retirement_waits_for_a_store_that_is_down() {
    for seed in 0..10 {
        let mut cluster = formed(seed, 3, 2, 4);
        assert_eq!(retire(&mut cluster, 1, FIRST_STORE), Some(Outcome::Retiring), "seed {seed}");
        let down = FIRST_STORE + 1 + seed as usize % 3;
        cluster.kill(down);
        cluster.run(10 * SECOND);
        assert!(!is_completed(&mut cluster, 2, FIRST_STORE), "seed {seed}");
        cluster.start_after(down, 0);
        cluster.run(3 * SECOND);
        assert!(is_completed(&mut cluster, 3, FIRST_STORE), "seed {seed}");
    }
}

/// Guards against a move that never ends as one of its new stores is gone for good, or that ends without it having
/// copied.
#[test]
fn a_move_begins_anew_without_a_new_store_that_went() {
    for seed in 0..10 {
        let mut cluster = formed(seed, 3, 2, 3);
        let spare = cluster.add(pewterseam_wire::identity::Role::Store, true);
        cluster.start_after(spare, 0);
        let is_moving =
            |cluster: &Cluster| cluster.control(0).expect("runs").state().placement.sets.len() == 2;
        while !is_moving(&cluster) {
            cluster.run(MS);
        }
        cluster.kill(spare);
        cluster.run(6 * SECOND);
        let placement = cluster.control(0).expect("runs").state().placement.clone();
        assert_eq!(placement.sets.len(), 1, "seed {seed}");
        assert!(placement.sets[0].iter().all(|entry| entry.id.name != store(spare)), "seed {seed}");
        cluster.start_after(spare, 0);
        cluster.run(5 * SECOND);
        let placement = cluster.control(0).expect("runs").state().placement.clone();
        assert_eq!(placement.sets.len(), 1, "seed {seed}");
        assert!(placement.sets[0].iter().any(|entry| entry.id.name == store(spare)), "seed {seed}");
    }
}

/// Guards against a retirement that is forgotten, or told to be over too early, where the leader goes in mid-step.
#[test]
fn a_retirement_goes_on_under_the_next_leader() {
    for seed in 0..10 {
        let mut cluster = formed(seed, 3, 2, 4);
        assert_eq!(retire(&mut cluster, 1, FIRST_STORE), Some(Outcome::Retiring), "seed {seed}");
        cluster.run(seed * 70 * MS);
        let leader = cluster.leader().expect("a leader");
        cluster.kill(leader);
        cluster.start_after(leader, 500 * MS);
        cluster.run(8 * SECOND);
        assert!(is_completed(&mut cluster, 2, FIRST_STORE), "seed {seed}");
        let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
        assert_eq!((sets.len(), sets[0].len()), (1, 3), "seed {seed}");
    }
}

/// Guards against planned losses that do not wait for each other: of five stores two are retired at once, a third is
/// refused.
#[test]
fn retirements_in_quick_succession_wait_for_each_other() {
    let mut cluster = formed(1, 3, 2, 5);
    assert_eq!(retire(&mut cluster, 1, FIRST_STORE), Some(Outcome::Retiring));
    assert_eq!(retire(&mut cluster, 2, FIRST_STORE + 1), Some(Outcome::Retiring));
    assert_eq!(retire(&mut cluster, 3, FIRST_STORE + 2), Some(Outcome::TooFewStores));
    cluster.run(6 * SECOND);
    assert!(is_completed(&mut cluster, 4, FIRST_STORE));
    assert!(is_completed(&mut cluster, 5, FIRST_STORE + 1));
    let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
    assert_eq!((sets.len(), sets[0].len()), (1, 3));
}
