//! Stores leave while others are lost: what the leader waits for.

use std::sync::Arc;

use pewterseam_control::{OperatorRequest, Outcome, Token};
use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{StoreEntry, StoreId};

use crate::simulation::cluster::{Cluster, MS};
use crate::{call, formed};

const SECOND: u64 = 1_000 * MS;

/// Stores of the cluster: nodes 5 to 8.
const FIRST_STORE: usize = 5;

fn store(index: usize) -> NodeName {
    NodeName::new(&format!("node-{index}"))
}

/// Whether a retirement is told to be over. None where that is not told of a store that is or was retired.
fn is_completed(cluster: &mut Cluster, token: u64, index: usize) -> Option<bool> {
    match call(cluster, 3, token, OperatorRequest::ReadRetire { node: store(index) }) {
        Some(Outcome::RetireState { completed }) => Some(completed),
        _ => None,
    }
}

/// Looks at each step of the placement: one move at a time, each ends once all of its target have copied under it, and a
/// store is told to be retired once it is in no set.
struct Watch {
    seed: u64,
    before: Arc<ControlState>,
}

impl Watch {
    fn new(cluster: &Cluster, seed: u64) -> Self {
        Watch { seed, before: newest(cluster) }
    }

    fn run(&mut self, cluster: &mut Cluster, span: u64) {
        for _ in 0..span / MS {
            cluster.run(MS);
            self.look(cluster);
        }
    }

    fn look(&mut self, cluster: &Cluster) {
        let seed = self.seed;
        let state = newest(cluster);
        let before = std::mem::replace(&mut self.before, state.clone());
        let is_placed =
            |retired: &StoreId| state.placement.sets.iter().flatten().any(|entry| entry.id == *retired);
        assert!(!state.retired.iter().any(is_placed), "seed {seed}: told to be retired in mid-move");
        let (old, new) = (&before.placement, &state.placement);
        if new.epoch == old.epoch || old.sets.len() < 2 {
            return;
        }
        assert_eq!(new.sets, old.sets[1..], "seed {seed}: another step before the move was over");
        let has_copied = |entry: &StoreEntry| cluster.copies.contains(&(entry.id.name.clone(), old.epoch.0));
        assert!(new.sets[0].iter().all(has_copied), "seed {seed}: the move was over before all had copied");
    }

    /// Retires a store and returns the answer.
    fn retire(&mut self, cluster: &mut Cluster, token: u64, index: usize) -> Option<Outcome> {
        assert!(cluster.operator(3, Token(token), OperatorRequest::Retire { node: store(index) }));
        for _ in 0..2_000 {
            self.run(cluster, MS);
            let found = cluster.answers.iter().position(|(_, answered, _)| answered.0 == token);
            if let Some(found) = found {
                return Some(cluster.answers.remove(found).2);
            }
        }
        None
    }
}

fn newest(cluster: &Cluster) -> Arc<ControlState> {
    let running = cluster.nodes.iter().filter_map(|node| node.control.as_ref());
    let states = running.map(|control| control.state());
    states.max_by_key(|state| state.index).expect("one runs").clone()
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
        assert_eq!(is_completed(&mut cluster, 2, FIRST_STORE), Some(false), "seed {seed}");
        cluster.start_after(down, 0);
        cluster.run(3 * SECOND);
        assert_eq!(is_completed(&mut cluster, 3, FIRST_STORE), Some(true), "seed {seed}");
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

/// How much longer one store of the target copies, so that a leader knows of some copies and not of all.
const SLOW_COPY: u64 = 400 * MS;

/// Guards against a retirement that is forgotten, or told to be over too early, where the leader goes in mid-step: before
/// the move, in it, and where some stores have told it that they have copied.
#[test]
fn a_retirement_goes_on_under_the_next_leader() {
    for seed in 0..20 {
        let mut cluster = formed(seed, 3, 2, 4);
        let slow = FIRST_STORE + 1 + seed as usize % 3;
        cluster.copy_delays.insert(slow, SLOW_COPY);
        let mut watch = Watch::new(&cluster, seed);
        let answer = watch.retire(&mut cluster, 1, FIRST_STORE);
        assert_eq!(answer, Some(Outcome::Retiring), "seed {seed}");
        watch.run(&mut cluster, seed * 50 * MS);
        let leader = cluster.leader().expect("a leader");
        cluster.kill(leader);
        cluster.start_after(leader, 500 * MS);
        watch.run(&mut cluster, 8 * SECOND);
        assert_eq!(is_completed(&mut cluster, 2, FIRST_STORE), Some(true), "seed {seed}");
        let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
        assert_eq!((sets.len(), sets[0].len()), (1, 3), "seed {seed}");
    }
}

/// Guards against planned losses that do not wait for each other: of five stores two are retired, the second before, in
/// or after the move of the first; a third is refused.
#[test]
fn retirements_in_quick_succession_wait_for_each_other() {
    for seed in 0..20 {
        let mut cluster = formed(seed, 3, 2, 5);
        cluster.copy_delays.insert(FIRST_STORE + 4, SLOW_COPY);
        let mut watch = Watch::new(&cluster, seed);
        for (place, pause) in [0, seed * 50 * MS].into_iter().enumerate() {
            watch.run(&mut cluster, pause);
            let answer = watch.retire(&mut cluster, place as u64, FIRST_STORE + place);
            assert_eq!(answer, Some(Outcome::Retiring), "seed {seed}: {place}");
        }
        let third = watch.retire(&mut cluster, 3, FIRST_STORE + 2);
        assert_eq!(third, Some(Outcome::TooFewStores), "seed {seed}");
        watch.run(&mut cluster, 6 * SECOND);
        assert_eq!(is_completed(&mut cluster, 4, FIRST_STORE), Some(true), "seed {seed}");
        assert_eq!(is_completed(&mut cluster, 5, FIRST_STORE + 1), Some(true), "seed {seed}");
        let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
        assert_eq!((sets.len(), sets[0].len()), (1, 3), "seed {seed}");
    }
}
