//! Complete clusters: formation, changes, failover, and random faults.

use std::collections::BTreeSet;

use crate::simulation::cluster::{InjectedBug, MS, document, patch};
use crate::simulation::faults::Faults;
use crate::simulation::history::check;
use crate::simulation::operators::{Operator, run};
use crate::{call, formed_cluster};
use pewterseam_control::{OperatorRequest, Outcome, Token};
use pewterseam_wire::identity::Role;

/// The number of random runs, and of the threads that execute them. CONTROL_RUNS overrides the number of runs, and
/// CONTROL_SEED the first seed.
const RUNS: u64 = 3_000;
const THREADS: u64 = 4;
const RUNS_WITH_LATE_MESSAGES: u64 = 1_000;
/// The percentage of messages that are delivered a second time.
const LATE_PERCENT: usize = 10;

/// Guards against a system that does not start: no core, no leader, no placement, or processes that never become
/// current.
#[test]
fn first_start_forms_core_and_places_stores() {
    for seed in 0..20 {
        let cluster = formed_cluster(seed, 4, 3, 4);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader");
        for index in 0..cluster.nodes.len() {
            let control = cluster.control(index).expect("runs");
            assert!(control.is_current(cluster.now), "seed {seed}: node {index} is not current");
            assert_eq!(control.core().len(), 4, "seed {seed}: node {index}");
            assert_eq!(control.state().placement.sets.len(), 1, "seed {seed}: node {index}");
            assert_eq!(control.state().placement.sets[0].len(), 4, "seed {seed}: node {index}");
        }
    }
}

/// Guards against changes that do not reach every process, and wrong answers without faults.
#[test]
fn changes_are_checked_committed_and_distributed() {
    let mut cluster = formed_cluster(7, 4, 3, 3);
    let first = document(3, "first");
    assert_eq!(
        call(&mut cluster, 5, 1, OperatorRequest::put(0, first.clone())),
        Some(Outcome::Accepted { version: 3 })
    );
    assert_eq!(
        call(&mut cluster, 6, 2, OperatorRequest::put(0, document(4, "other"))),
        Some(Outcome::Conflict { current: 3 })
    );
    assert!(matches!(
        call(&mut cluster, 4, 3, OperatorRequest::put(3, document(3, "same version"))),
        Some(Outcome::Invalid { .. })
    ));
    let change = patch(9, 77);
    assert_eq!(
        call(&mut cluster, 0, 4, OperatorRequest::patch(3, change)),
        Some(Outcome::Accepted { version: 9 })
    );
    assert_eq!(
        call(&mut cluster, 1, 5, OperatorRequest::put(0, first)),
        Some(Outcome::Accepted { version: 3 })
    );
    let Some(Outcome::Config(config)) = call(&mut cluster, 2, 6, OperatorRequest::ReadConfig) else {
        panic!("no configuration")
    };
    assert_eq!(config.version, 9);
    cluster.run(300 * MS);
    for index in 0..cluster.nodes.len() {
        assert_eq!(cluster.control(index).expect("runs").state().config, config, "node {index}");
    }
}

/// Guards against timers that fire too often: without work, a state machine wakes only a few times per second.
#[test]
fn idle_processes_rarely_wake() {
    let mut cluster = formed_cluster(3, 4, 4, 3);
    cluster.run(2_000 * MS);
    let (before, messages) =
        (cluster.nodes.iter().map(|node| node.wakes).collect::<Vec<u64>>(), cluster.messages);
    cluster.run(10_000 * MS);
    for (node, before) in cluster.nodes.iter().zip(before) {
        let wakes = node.wakes - before;
        let is_core = node.info.disk.is_some() && node.info.role == Role::Relay;
        // A process outside the core wakes only to renew its lease once a second.
        assert!(wakes <= if is_core { 90 } else { 10 }, "{}: {wakes} in 10 s", node.info.name);
    }
    // In addition to the heartbeats, each of ten processes sends ten lease requests to the leader, which answers them.
    assert!(cluster.messages - messages < 400, "{} messages in 10 s", cluster.messages - messages);
}

/// Executes one run with random faults. Returns the violations, and the number of completed orders.
fn run_with_faults(
    seed: u64, injected_bug: InjectedBug, with_disk_faults: bool, late_percent: usize,
) -> (Vec<String>, usize) {
    let core = 3 + (seed % 3) as usize;
    let mut cluster = formed_cluster(seed, core, 2, 3);
    cluster.injected_bug = injected_bug;
    cluster.late_percent = late_percent;
    let mut operators = [Operator::new(1, core + 2), Operator::new(2, core + 2)];
    let mut faults = Faults { core, disks: 1, spares: 1, with_disk_faults };
    for _ in 0..8 {
        faults.inject(&mut cluster);
        let pause = (100 + cluster.random.below(1_500) as u64) * MS;
        run(&mut cluster, &mut operators, pause);
    }
    cluster.heal();
    for operator in &mut operators {
        operator.is_stopping = true;
    }
    run(&mut cluster, &mut operators, 10_000 * MS);
    let mut violations = std::mem::take(&mut cluster.checks.violations);
    if operators.iter().any(|operator| !operator.is_idle()) {
        violations.push("an order had no clear answer within 10 s without faults".to_owned());
    }
    let histories: Vec<_> = operators.iter().map(|operator| operator.history.clone()).collect();
    violations.extend(check(&histories).err().map(|found| format!("{found:?}")));
    cluster.checks.finish();
    violations.append(&mut cluster.checks.violations);
    for index in 0..cluster.nodes.len() {
        if cluster.nodes[index].is_removed {
            continue;
        }
        let newest = cluster.checks.newest_acknowledged();
        if cluster
            .control(index)
            .is_none_or(|control| control.state().config.version < newest || !control.is_current(cluster.now))
        {
            violations.push(format!("node {index} does not know version {newest} after 10 s without faults"));
        }
    }
    (violations, operators.iter().map(|operator| operator.completed).sum())
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Executes runs in parallel threads. Returns the violations with their seeds, and the number of completed orders.
fn run_many(injected_bug: InjectedBug, runs: u64, late_percent: usize) -> (Vec<(u64, String)>, usize) {
    let first = number("CONTROL_SEED", 1);
    let worker = |thread: u64| {
        let mut found = (Vec::new(), 0);
        for seed in (first..first + runs).filter(|seed| seed % THREADS == thread) {
            let (violations, completed) = run_with_faults(seed, injected_bug, true, late_percent);
            found.0.extend(violations.into_iter().map(|text| (seed, text)));
            found.1 += completed;
        }
        found
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || worker(thread))).collect();
        workers.into_iter().map(|worker| worker.join().expect("the run ends")).fold(
            (Vec::new(), 0),
            |mut all, found| {
                all.0.extend(found.0);
                (all.0, all.1 + found.1)
            },
        )
    })
}

/// Guards against lost acknowledgements, two changes on one version, indexes that go back and stale reads, under
/// message loss, cuts, suspensions, kills, and losses of power and of a disk; and against a core that does not
/// recover.
#[test]
fn random_faults_violate_nothing() {
    let runs = number("CONTROL_RUNS", RUNS);
    let (violations, completed) = run_many(InjectedBug::Nothing, runs, 0);
    println!("{runs} runs, {completed} orders completed, {} violations", violations.len());
    for (seed, text) in violations.iter().take(20) {
        println!("seed {seed}: {text}");
    }
    assert!(violations.is_empty());
    assert!(completed as u64 > runs * 4, "the operators completed too few calls");
}

/// Guards against messages that are counted although they belong to another epoch, process or core membership:
/// messages are delivered a second time at any later moment, also to a later process of their receiver.
#[test]
fn late_messages_violate_nothing() {
    let runs = number("CONTROL_RUNS", RUNS_WITH_LATE_MESSAGES);
    let (violations, completed) = run_many(InjectedBug::Nothing, runs, LATE_PERCENT);
    for (seed, text) in violations.iter().take(20) {
        println!("seed {seed}: {text}");
    }
    assert!(violations.is_empty());
    assert!(completed as u64 > runs * 4, "the operators completed too few calls");
}

/// Guards against the return of a fault that random runs found: a member that only seemed dead was removed, and was
/// needed later.
#[test]
fn seeds_that_failed_before_pass() {
    for seed in [101_388, 103_323, 109_134] {
        let (violations, _) = run_with_faults(seed, InjectedBug::Nothing, false, 0);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against calls that wait for a node that is known to be gone.
#[test]
fn a_call_does_not_wait_for_a_broken_connection() {
    let mut cluster = formed_cluster(3, 4, 3, 3);
    let leader = cluster.leader().expect("a leader");
    let name = cluster.nodes[leader].info.name.clone();
    cluster.kill(leader);
    cluster.operator(5, Token(1), OperatorRequest::ReadConfig);
    let sent = cluster.messages;
    cluster.run(50 * MS);
    cluster.step(5, |control, now| control.unreachable(now, &name));
    assert!(cluster.control(5).is_some_and(|control| control.next_wake() <= cluster.now + 100 * MS));
    cluster.run(150 * MS);
    assert!(cluster.messages > sent, "not sent again");
}

/// Guards against checks that find nothing: they must detect a candidate that does not read the state of a majority.
#[test]
fn a_leader_that_reads_no_majority_is_detected() {
    let (violations, _) = run_many(InjectedBug::NoMajorityRead, 2_000, 0);
    assert!(
        violations.iter().any(|(_, text)| text.contains("acknowledged") || text.contains("index")),
        "not found"
    );
}

/// The minimum number of 1,000 seeds that must show the violation: one of 150.
const MIN_DETECTING_SEEDS: usize = 7;

/// Guards against checks that find nothing: they must detect promises and entries that are not synced.
#[test]
fn a_disk_that_does_not_sync_is_detected() {
    let (violations, _) = run_many(InjectedBug::LyingDisk, 1_000, 0);
    let tells = |text: &str| text.contains("acknowledged") || text.contains("index");
    let found: BTreeSet<u64> =
        violations.iter().filter(|(_, text)| tells(text)).map(|(seed, _)| *seed).collect();
    println!("found with {} seeds: {found:?}", found.len());
    assert!(found.len() >= MIN_DETECTING_SEEDS, "found with {} seeds alone", found.len());
}
