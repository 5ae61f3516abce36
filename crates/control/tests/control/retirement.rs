//! Retirement of stores while others are lost: what the leader must wait for.

use std::sync::Arc;

use pewterseam_control::{Command, ControlMessage, Entry, OperatorRequest, Outcome, Stamp, Token};
use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{StoreEntry, StoreId};

use crate::other_epochs::Member;
use crate::simulation::cluster::{Cluster, MS};
use crate::{call, formed_cluster};

const SECOND: u64 = 1_000 * MS;

/// The first store; the stores are nodes 5 to 8.
const FIRST_STORE: usize = 5;

fn store(index: usize) -> NodeName {
    NodeName::new(&format!("node-{index}"))
}

/// Whether a retirement is reported to be complete. None if the store is not reported as retiring or retired.
fn is_completed(cluster: &mut Cluster, token: u64, index: usize) -> Option<bool> {
    match call(cluster, 3, token, OperatorRequest::ReadRetire { node: store(index) }) {
        Some(Outcome::RetireState { completed }) => Some(completed),
        _ => None,
    }
}

/// Checks each step of the placement: there is one move at a time, a move ends once all stores of its target have
/// copied for it, and a store is reported as retired only when it is in no set.
struct PlacementMonitor {
    seed: u64,
    before: Arc<ControlState>,
}

impl PlacementMonitor {
    fn new(cluster: &Cluster, seed: u64) -> Self {
        PlacementMonitor { seed, before: newest(cluster) }
    }

    fn run(&mut self, cluster: &mut Cluster, span: u64) {
        for _ in 0..span / MS {
            cluster.run(MS);
            self.check(cluster);
        }
    }

    fn check(&mut self, cluster: &Cluster) {
        let seed = self.seed;
        let state = newest(cluster);
        let before = std::mem::replace(&mut self.before, state.clone());
        let is_in_use = |retired: &StoreId| is_placed(&state, &retired.name);
        assert!(
            !state.retired.iter().any(is_in_use),
            "seed {seed}: reported as retired while in the placement"
        );
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

/// Whether a machine is in a set, with any disk.
fn is_placed(state: &ControlState, machine: &NodeName) -> bool {
    state.placement.sets.iter().flatten().any(|entry| entry.id.name == *machine)
}

fn newest(cluster: &Cluster) -> Arc<ControlState> {
    let running = cluster.nodes.iter().filter_map(|node| node.control.as_ref());
    let states = running.map(|control| control.state());
    states.max_by_key(|state| state.index).expect("one runs").clone()
}

fn retire(cluster: &mut Cluster, token: u64, index: usize) -> Option<Outcome> {
    call(cluster, 3, token, OperatorRequest::Retire { node: store(index) })
}

/// Guards against reporting a store as retired while a store that must copy from it has not done so: fewer than `f +
/// 1` copies would remain, and a read could miss them.
#[test]
fn a_retirement_waits_for_a_store_that_is_down() {
    for seed in 0..10 {
        let mut cluster = formed_cluster(seed, 3, 2, 4);
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

/// Guards against a move that never ends because one of its new stores is lost permanently, and against a move that
/// ends before that store has copied.
#[test]
fn a_move_restarts_without_a_new_store_that_is_lost() {
    for seed in 0..10 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
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

/// How much longer one store of the target copies, so that a leader knows of some copies but not of all.
const SLOW_COPY: u64 = 400 * MS;

/// Guards against a retirement that is lost or reported as complete too early if the leader dies before the move,
/// during it, or after some stores have reported their copies.
#[test]
fn a_retirement_continues_under_the_next_leader() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 4);
        let slow = FIRST_STORE + 1 + seed as usize % 3;
        cluster.copy_delays.insert(slow, SLOW_COPY);
        let mut monitor = PlacementMonitor::new(&cluster, seed);
        let answer = monitor.retire(&mut cluster, 1, FIRST_STORE);
        assert_eq!(answer, Some(Outcome::Retiring), "seed {seed}");
        monitor.run(&mut cluster, seed * 50 * MS);
        let leader = cluster.leader().expect("a leader");
        cluster.kill(leader);
        cluster.start_after(leader, 500 * MS);
        monitor.run(&mut cluster, 8 * SECOND);
        assert_eq!(is_completed(&mut cluster, 2, FIRST_STORE), Some(true), "seed {seed}");
        let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
        assert_eq!((sets.len(), sets[0].len()), (1, 3), "seed {seed}");
    }
}

/// Guards against retirements that do not wait for each other: of five stores two are retired, the second one before,
/// during or after the move of the first; a third retirement is rejected.
#[test]
fn retirements_in_quick_succession_wait_for_each_other() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 5);
        cluster.copy_delays.insert(FIRST_STORE + 4, SLOW_COPY);
        let mut monitor = PlacementMonitor::new(&cluster, seed);
        for (place, pause) in [0, seed * 50 * MS].into_iter().enumerate() {
            monitor.run(&mut cluster, pause);
            let answer = monitor.retire(&mut cluster, place as u64, FIRST_STORE + place);
            assert_eq!(answer, Some(Outcome::Retiring), "seed {seed}: {place}");
        }
        let third = monitor.retire(&mut cluster, 3, FIRST_STORE + 2);
        assert_eq!(third, Some(Outcome::TooFewStores), "seed {seed}");
        monitor.run(&mut cluster, 6 * SECOND);
        assert_eq!(is_completed(&mut cluster, 4, FIRST_STORE), Some(true), "seed {seed}");
        assert_eq!(is_completed(&mut cluster, 5, FIRST_STORE + 1), Some(true), "seed {seed}");
        let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
        assert_eq!((sets.len(), sets[0].len()), (1, 3), "seed {seed}");
    }
}

/// Runs for some time and checks that a retiring machine becomes empty and stays so.
fn assert_stays_empty(monitor: &mut PlacementMonitor, cluster: &mut Cluster, machine: usize) {
    let seed = monitor.seed;
    for token in 100..105 {
        monitor.run(cluster, 4 * SECOND);
        let is_over = token > 100;
        let completed = is_completed(cluster, token, machine);
        assert!(
            completed == Some(true) || !is_over && completed == Some(false),
            "seed {seed}: {completed:?}"
        );
        let is_in_use = is_placed(&newest(cluster), &store(machine));
        assert!(!is_over || !is_in_use, "seed {seed}: a machine that may be removed is in the placement");
    }
    assert_eq!(newest(cluster).placement.sets[0].len(), 3, "seed {seed}");
}

/// Guards against reporting a machine as empty, so that it is removed, while it holds the only further copy of
/// messages. This happens if the machine loses its disk between the order and its completion, and returns as another
/// store.
#[test]
fn a_retiring_store_that_loses_its_disk_gets_no_messages_again() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 4);
        let mut monitor = PlacementMonitor::new(&cluster, seed);
        let answer = monitor.retire(&mut cluster, 1, FIRST_STORE);
        assert_eq!(answer, Some(Outcome::Retiring), "seed {seed}");
        monitor.run(&mut cluster, seed * 40 * MS);
        for _ in 0..1 + seed % 2 {
            cluster.lose_disk(FIRST_STORE);
            cluster.start_after(FIRST_STORE, seed % 5 * 300 * MS);
            monitor.run(&mut cluster, seed % 5 * 300 * MS + 700 * MS);
        }
        assert_stays_empty(&mut monitor, &mut cluster, FIRST_STORE);
    }
}

/// Guards against the same failure if the disk is lost before the order, while the machine is down, or after the
/// machine was reported as empty.
#[test]
fn a_machine_stays_retired_with_any_disk() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 4);
        let mut monitor = PlacementMonitor::new(&cluster, seed);
        cluster.lose_disk(FIRST_STORE);
        monitor.run(&mut cluster, seed * 20 * MS);
        let answer = monitor.retire(&mut cluster, 1, FIRST_STORE);
        assert_eq!(answer, Some(Outcome::Retiring), "seed {seed}");
        cluster.start_after(FIRST_STORE, seed % 5 * 300 * MS);
        assert_stays_empty(&mut monitor, &mut cluster, FIRST_STORE);
        cluster.lose_disk(FIRST_STORE);
        cluster.start_after(FIRST_STORE, seed % 5 * 300 * MS);
        assert_stays_empty(&mut monitor, &mut cluster, FIRST_STORE);
        let again = monitor.retire(&mut cluster, 2, FIRST_STORE);
        assert_eq!(again, Some(Outcome::Retiring), "seed {seed}: the order sent again");
    }
}

/// The answer of a leader about a machine in the placement whose earlier disk the previous build listed as retiring or
/// retired.
fn answer_after_previous_build_listed(
    list: impl Fn(StoreId) -> (Vec<StoreId>, Vec<StoreId>),
) -> Option<Outcome> {
    let (mut member, other, epoch) = Member::with_promise();
    let placement = (*member.control.state().placement).clone();
    let placed = placement.sets[0][0].id.clone();
    let (retiring, retired) =
        list(StoreId { name: placed.name.clone(), disk: DiskId(placed.disk.0 + 1_000) });
    let previous = member.control.accepted_stamp();
    let stamp = Stamp { epoch, index: previous.index + 1 };
    let entry = Entry { previous, stamp, command: Command::Stores { placement, retiring, retired } };
    member.receive(&other, ControlMessage::Accept { epoch, entry, committed: previous });
    let epoch = member.become_leader();
    member.request_as_operator(epoch, OperatorRequest::ReadRetire { node: placed.name })
}

/// Guards against reporting a machine as empty that the previous build has put into use again with another disk.
#[test]
fn no_machine_in_use_is_reported_empty_after_an_upgrade() {
    let retired = answer_after_previous_build_listed(|lost| (Vec::new(), vec![lost]));
    assert_eq!(retired, Some(Outcome::UnknownStore), "it was emptied, and is in use again");
    let retiring = answer_after_previous_build_listed(|lost| (vec![lost], Vec::new()));
    assert_eq!(retiring, Some(Outcome::RetireState { completed: false }));
}
