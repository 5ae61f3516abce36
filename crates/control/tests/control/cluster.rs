//! Whole clusters: formation, changes, failover, and random trouble.

use std::collections::BTreeSet;

use crate::simulation::cluster::{MS, Planted, document, patch};
use crate::simulation::faults::Faults;
use crate::simulation::history::check;
use crate::simulation::operators::{Operator, run};
use crate::{call, formed};
use pewterseam_control::{OperatorRequest, Outcome, Token};
use pewterseam_wire::identity::Role;

/// Random runs, and how many run side by side. Overridden by CONTROL_RUNS and CONTROL_SEED.
const RUNS: u64 = 3_000;
const THREADS: u64 = 4;
const RUNS_WITH_LATE_MESSAGES: u64 = 1_000;
/// Of a hundred messages so many come a second time.
const LATE_PERCENT: usize = 10;

/// Guards against a system that does not come up: no core, no leader, no placement, or processes never current.
#[test]
fn first_start_forms_core_and_places_stores() {
    for seed in 0..20 {
        let cluster = formed(seed, 4, 3, 4);
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

/// Guards against changes that do not reach every process, or wrong answers on the calm path.
#[test]
fn changes_are_checked_committed_and_spread() {
    let mut cluster = formed(7, 4, 3, 3);
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

/// Guards against timers that spin: what a machine does in calm is a few wake-ups a second.
#[test]
fn calm_machines_rarely_wake() {
    let mut cluster = formed(3, 4, 4, 3);
    cluster.run(2_000 * MS);
    let (before, messages) =
        (cluster.nodes.iter().map(|node| node.wakes).collect::<Vec<u64>>(), cluster.messages);
    cluster.run(10_000 * MS);
    for (node, before) in cluster.nodes.iter().zip(before) {
        let wakes = node.wakes - before;
        let is_core = node.info.disk.is_some() && node.info.role == Role::Relay;
        // A process outside the core wakes to renew its lease once a second, and for nothing else.
        assert!(wakes <= if is_core { 90 } else { 10 }, "{}: {wakes} in 10 s", node.info.name);
    }
    // Beside the heartbeats, each of ten processes sends ten questions to the leader, which answers them.
    assert!(cluster.messages - messages < 400, "{} messages in 10 s", cluster.messages - messages);
}

/// One run with trouble. Returns what broke, and how many orders were completed.
fn trouble(seed: u64, planted: Planted, disk_trouble: bool, late_percent: usize) -> (Vec<String>, usize) {
    let core = 3 + (seed % 3) as usize;
    let mut cluster = formed(seed, core, 2, 3);
    cluster.planted = planted;
    cluster.late_percent = late_percent;
    let mut operators = [Operator::new(1, core + 2), Operator::new(2, core + 2)];
    let mut faults = Faults { core, disks: 1, spares: 1, disk_trouble };
    for _ in 0..8 {
        faults.strike(&mut cluster);
        let pause = (100 + cluster.random.below(1_500) as u64) * MS;
        run(&mut cluster, &mut operators, pause);
    }
    cluster.heal();
    for operator in &mut operators {
        operator.is_stopping = true;
    }
    run(&mut cluster, &mut operators, 10_000 * MS);
    let mut broken = std::mem::take(&mut cluster.checks.broken);
    if operators.iter().any(|operator| !operator.is_idle()) {
        broken.push("an order was not settled within 10 s of calm".to_owned());
    }
    let histories: Vec<_> = operators.iter().map(|operator| operator.history.clone()).collect();
    broken.extend(check(&histories).err().map(|found| format!("{found:?}")));
    cluster.checks.finish();
    broken.append(&mut cluster.checks.broken);
    for index in 0..cluster.nodes.len() {
        if cluster.nodes[index].is_removed {
            continue;
        }
        let newest = cluster.checks.newest_acknowledged();
        if cluster
            .control(index)
            .is_none_or(|control| control.state().config.version < newest || !control.is_current(cluster.now))
        {
            broken.push(format!("node {index} does not know version {newest} after 10 s of calm"));
        }
    }
    (broken, operators.iter().map(|operator| operator.completed).sum())
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs seeds side by side. Returns what broke with its seed.
fn many(planted: Planted, runs: u64, late_percent: usize) -> (Vec<(u64, String)>, usize) {
    let first = number("CONTROL_SEED", 1);
    let worker = |thread: u64| {
        let mut found = (Vec::new(), 0);
        for seed in (first..first + runs).filter(|seed| seed % THREADS == thread) {
            let (broken, completed) = trouble(seed, planted, true, late_percent);
            found.0.extend(broken.into_iter().map(|text| (seed, text)));
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

/// Guards against lost acknowledgements, two changes on one version, steps backwards and stale reads, under drops, cuts,
/// freezes, kills, losses of power and of a disk; and against a core that does not recover.
#[test]
fn random_trouble_breaks_nothing() {
    let runs = number("CONTROL_RUNS", RUNS);
    let (broken, completed) = many(Planted::Nothing, runs, 0);
    println!("{runs} runs, {completed} orders completed, {} broken", broken.len());
    for (seed, text) in broken.iter().take(20) {
        println!("seed {seed}: {text}");
    }
    assert!(broken.is_empty());
    assert!(completed as u64 > runs * 4, "the operators got hardly anything done");
}

/// Guards against what counts although it belongs to another epoch, life or configuration of the core: messages come a second
/// time at any later moment, also to a later life of their receiver.
#[test]
fn late_messages_break_nothing() {
    let runs = number("CONTROL_RUNS", RUNS_WITH_LATE_MESSAGES);
    let (broken, completed) = many(Planted::Nothing, runs, LATE_PERCENT);
    for (seed, text) in broken.iter().take(20) {
        println!("seed {seed}: {text}");
    }
    assert!(broken.is_empty());
    assert!(completed as u64 > runs * 4, "the operators got hardly anything done");
}

/// Guards against what random runs once found: a member that only seemed dead was removed, and then needed.
#[test]
fn runs_that_once_failed_pass() {
    for seed in [101_388, 103_323, 109_134] {
        let (broken, _) = trouble(seed, Planted::Nothing, false, 0);
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against calls that wait for a node that is known to be gone.
#[test]
fn a_call_does_not_wait_for_a_broken_connection() {
    let mut cluster = formed(3, 4, 3, 3);
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

/// Guards against checks that see nothing: a candidate that does not read a majority must be found out.
#[test]
fn a_leader_that_reads_no_majority_is_found() {
    let (broken, _) = many(Planted::NoMajorityRead, 2_000, 0);
    assert!(
        broken.iter().any(|(_, text)| text.contains("acknowledged") || text.contains("index")),
        "not found"
    );
}

/// Of 1,000 seeds, so many must show it: one of 150.
const FOUND_AT_LEAST: usize = 7;

/// Guards against checks that see nothing: promises and entries that are not synced must be found out.
#[test]
fn a_disk_that_does_not_sync_is_found() {
    let (broken, _) = many(Planted::LyingDisk, 1_000, 0);
    let tells = |text: &str| text.contains("acknowledged") || text.contains("index");
    let found: BTreeSet<u64> = broken.iter().filter(|(_, text)| tells(text)).map(|(seed, _)| *seed).collect();
    println!("found with {} seeds: {found:?}", found.len());
    assert!(found.len() >= FOUND_AT_LEAST, "found with {} seeds alone", found.len());
}
