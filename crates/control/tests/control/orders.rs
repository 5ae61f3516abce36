//! Concurrent operators, and orders that are sent again.

use bytes::Bytes;

use crate::simulation::cluster::{Cluster, DiskFault, MS, document, patch};
use crate::simulation::history::check;
use crate::simulation::operators::{Operator, run};
use crate::{call, formed_cluster};
use pewterseam_control::{OperatorRequest, Outcome, Token};

/// The number of accepted changes that the state remembers.
const REMEMBERED_CHANGES: u64 = 1_000;

fn accepted(version: u64) -> Option<Outcome> {
    Some(Outcome::Accepted { version })
}

/// Removes and returns the outcomes of the call with this token.
pub fn outcomes(cluster: &mut Cluster, token: u64) -> Vec<Outcome> {
    let (found, others) =
        std::mem::take(&mut cluster.answers).into_iter().partition(|(_, answered, _)| answered.0 == token);
    cluster.answers = others;
    let found: Vec<_> = found;
    found.into_iter().map(|(_, _, outcome)| outcome).collect()
}

/// Makes the changes from one version to another, one after the other.
fn make_changes(cluster: &mut Cluster, from: u64, to: u64) {
    for version in from..to {
        let request = OperatorRequest::put(version, document(version + 1, "one of many"));
        assert_eq!(call(cluster, 3, 1_000_000 + version, request), accepted(version + 1));
    }
}

/// Guards against rejecting a change that was accepted and forgotten, and against an unknown outcome where a clear
/// rejection is possible.
#[test]
fn a_forgotten_order_has_an_unknown_outcome() {
    let mut cluster = formed_cluster(5, 3, 2, 3);
    let first = OperatorRequest::put(0, document(1, "first"));
    let second = OperatorRequest::patch(1, patch(2, 77));
    assert_eq!(call(&mut cluster, 3, 1, first.clone()), accepted(1));
    assert_eq!(call(&mut cluster, 3, 2, second.clone()), accepted(2));
    make_changes(&mut cluster, 2, REMEMBERED_CHANGES);
    // All changes are remembered.
    assert_eq!(call(&mut cluster, 4, 3, first.clone()), accepted(1));
    make_changes(&mut cluster, REMEMBERED_CHANGES, REMEMBERED_CHANGES + 1);
    // One change is forgotten.
    assert_eq!(call(&mut cluster, 4, 4, first.clone()), Some(Outcome::Unknown));
    assert_eq!(call(&mut cluster, 4, 5, second.clone()), accepted(2));
    let newest = REMEMBERED_CHANGES + 1;
    let other = OperatorRequest::put(1, document(2, "another on the version of the second"));
    assert_eq!(call(&mut cluster, 4, 6, other), Some(Outcome::Conflict { current: newest }));
    // The same holds after all nodes have restarted from snapshots and logs.
    for node in 0..cluster.nodes.len() {
        cluster.lose_power(node);
        cluster.start_after(node, 100 * MS);
    }
    cluster.run(4_000 * MS);
    assert_eq!(call(&mut cluster, 3, 7, first), Some(Outcome::Unknown));
    assert_eq!(call(&mut cluster, 3, 8, second), accepted(2));
    let last = OperatorRequest::put(newest - 1, document(newest, "one of many"));
    assert_eq!(call(&mut cluster, 3, 9, last), accepted(newest));
}

/// Guards against confusing changes with the same bytes: A, then B, then A again are three changes, and each one that
/// is sent again gets its own answer again.
#[test]
fn the_same_bytes_based_on_another_version_are_another_order() {
    let mut cluster = formed_cluster(7, 3, 2, 3);
    let timeout = |version: u64, timeout: u64| patch(version, timeout);
    assert_eq!(call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first"))), accepted(1));
    let orders = [
        OperatorRequest::patch(1, timeout(2, 100)),
        OperatorRequest::patch(2, timeout(3, 200)),
        OperatorRequest::patch(3, timeout(4, 100)),
    ];
    for (order, version) in orders.iter().zip(2..) {
        assert_eq!(call(&mut cluster, 4, version, order.clone()), accepted(version));
    }
    for (order, version) in orders.iter().zip(2..) {
        assert_eq!(call(&mut cluster, 3, 10 + version, order.clone()), accepted(version));
    }
    // The first change's bytes, based on the newest version, name a version that is not above it.
    let stale = OperatorRequest::patch(4, timeout(2, 100));
    assert!(matches!(call(&mut cluster, 3, 20, stale), Some(Outcome::Invalid { .. })));
    // The same text as a complete document and as a patch are two different orders.
    let whole = OperatorRequest::put(1, timeout(2, 100));
    assert_eq!(call(&mut cluster, 3, 21, whole), Some(Outcome::Conflict { current: 4 }));
}

/// Guards against treating a reformatted order as the one sent before: other spacing or another order of keys makes a
/// different order, and it is based on an outdated version, whichever member is asked.
#[test]
fn a_reformatted_order_is_another_order() {
    let mut cluster = formed_cluster(8, 3, 2, 3);
    let text = document(1, "first");
    assert_eq!(call(&mut cluster, 3, 1, OperatorRequest::put(0, text.clone())), accepted(1));
    let spaced = Bytes::from(String::from_utf8_lossy(&text).replace(':', ": "));
    for node in 0..5 {
        let again = call(&mut cluster, node, 10 + node as u64, OperatorRequest::put(0, text.clone()));
        assert_eq!(again, accepted(1), "node {node}");
        let other = call(&mut cluster, node, 20 + node as u64, OperatorRequest::put(0, spaced.clone()));
        assert_eq!(other, Some(Outcome::Conflict { current: 1 }), "node {node}");
    }
}

/// Guards against an order that is accepted twice or rejected while its first copy waits, and against a member that
/// has not applied the commit: the same order goes to all members at once, and again at once after each answer.
#[test]
fn copies_of_one_order_get_one_outcome() {
    for seed in 0..50 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        assert_eq!(call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first"))), accepted(1));
        let order = OperatorRequest::put(1, document(2, "once"));
        let other = OperatorRequest::put(1, document(2, "the other operator's"));
        let both = [order.clone(), other.clone()];
        for copy in 0..10 {
            let request = both[copy % 2].clone();
            cluster.operator(copy % 5, Token(100 + copy as u64), request);
            if seed % 2 == 0 {
                cluster.run(cluster.now % 7 * MS / 2);
            }
        }
        cluster.run(1_000 * MS);
        let answer: Vec<Vec<Outcome>> = (0..10).map(|copy| outcomes(&mut cluster, 100 + copy)).collect();
        let winner = if answer[0] == [Outcome::Accepted { version: 2 }] { 0 } else { 1 };
        for (copy, outcome) in answer.iter().enumerate() {
            let expected = match copy % 2 == winner {
                true => Outcome::Accepted { version: 2 },
                false => Outcome::Conflict { current: 2 },
            };
            assert_eq!(*outcome, [expected], "seed {seed}: copy {copy}");
        }
        for node in 0..5 {
            let again = call(&mut cluster, node, 200 + node as u64, both[winner].clone());
            assert_eq!(again, accepted(2), "seed {seed}: node {node}");
        }
    }
}

/// Guards against forgetting accepted changes when a complete state is installed: a member that missed more entries
/// than the history holds becomes leader and gets the same orders again.
#[test]
fn orders_are_remembered_after_a_state_transfer() {
    let mut cluster = formed_cluster(9, 3, 2, 3);
    let lagging_member = (cluster.leader().expect("leads") + 1) % 3;
    assert_eq!(call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first"))), accepted(1));
    cluster.kill(lagging_member);
    make_changes(&mut cluster, 1, 120);
    cluster.start_after(lagging_member, 10 * MS);
    cluster.run(4_000 * MS);
    let other = (0..3).find(|node| *node != lagging_member).expect("three");
    // Only the member that was down and one other are left.
    cluster.kill(other);
    cluster.run(6_000 * MS);
    for version in [1, 60, 120] {
        let note = if version == 1 { "first" } else { "one of many" };
        let again = OperatorRequest::put(version - 1, document(version, note));
        assert_eq!(call(&mut cluster, lagging_member, 500 + version, again), accepted(version));
    }
}

/// Guards against accepting a change without a base version on top of an existing version: a missing `If-Match` counts
/// as 0.
#[test]
fn an_order_on_version_0_is_the_first_or_none() {
    let mut cluster = formed_cluster(10, 3, 2, 3);
    assert_eq!(call(&mut cluster, 3, 1, OperatorRequest::put(0, document(4, "first"))), accepted(4));
    let without = OperatorRequest::put(0, document(5, "without a base"));
    assert_eq!(call(&mut cluster, 3, 2, without), Some(Outcome::Conflict { current: 4 }));
}

/// Operators write concurrently at several members while faults happen. Returns the violations, and the number of
/// calls.
fn run_concurrent_operators(seed: u64, inject: impl Fn(&mut Cluster, u64)) -> (Vec<String>, usize) {
    let mut cluster = formed_cluster(seed, 3, 2, 3);
    let mut operators = [Operator::new(1, 5), Operator::new(2, 5), Operator::new(3, 5)];
    for round in 0..4 {
        run(&mut cluster, &mut operators, (100 + (seed * 37 + round * 211) % 900) * MS);
        inject(&mut cluster, round);
        run(&mut cluster, &mut operators, 2_500 * MS);
        cluster.heal();
    }
    for operator in &mut operators {
        operator.is_stopping = true;
    }
    run(&mut cluster, &mut operators, 8_000 * MS);
    let histories: Vec<_> = operators.iter().map(|operator| operator.history.clone()).collect();
    let completed = histories.iter().map(Vec::len).sum();
    let mut violations = std::mem::take(&mut cluster.checks.violations);
    violations.extend(check(&histories).err().map(|found| format!("{found:?}")));
    cluster.checks.finish();
    violations.append(&mut cluster.checks.violations);
    (violations, completed)
}

fn check_histories(name: &str, inject: impl Fn(&mut Cluster, u64)) {
    let (mut violations, mut completed) = (Vec::new(), 0);
    for seed in 0..200 {
        let (found, calls) = run_concurrent_operators(seed, &inject);
        violations.extend(found.into_iter().map(|line| format!("seed {seed}: {line}")));
        completed += calls;
    }
    println!("{name}: {completed} calls in 200 histories, {} violations", violations.len());
    assert_eq!(violations, Vec::<String>::new());
    assert!(completed > 200 * 20, "the operators completed too few calls");
}

/// Guards against two changes on one version, and stale reads, while the leader changes.
#[test]
fn histories_are_linearizable_across_leader_changes() {
    check_histories("changes of leader", |cluster, round| {
        let Some(leader) = cluster.leader() else { return };
        match round % 3 {
            0 => cluster.kill(leader),
            1 => cluster.freeze(leader, 2_300 * MS),
            _ => {
                cluster.lose_power(leader);
                cluster.start_after(leader, 200 * MS);
            }
        }
    });
}

/// Guards against the same failures on the two sides of a cut, where each operator reaches members of both sides.
#[test]
fn histories_are_linearizable_across_cuts() {
    check_histories("cuts", |cluster, round| {
        let leader = cluster.leader().unwrap_or(0);
        let side = [leader, 3 + (round % 2) as usize];
        for from in 0..cluster.nodes.len() {
            for to in 0..cluster.nodes.len() {
                let crosses = side.contains(&from) != side.contains(&to);
                if crosses && (round != 1 || side.contains(&from)) && (round != 2 || side.contains(&to)) {
                    cluster.cuts.insert((from, to));
                }
            }
        }
    });
}

/// Guards against answers that depend on clocks: a leader whose clock runs eight times too slow is cut off from its
/// followers and still believes that it leads, while another member is elected. Operators ask both.
#[test]
fn no_answer_depends_on_clocks() {
    let mut both_led = 0;
    for seed in 0..100 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        let mut operators = [Operator::new(1, 5), Operator::new(2, 5), Operator::new(3, 5)];
        run(&mut cluster, &mut operators, 1_000 * MS + seed * 11 * MS);
        let old = cluster.leader().expect("leads");
        cluster.slow_clock(old, 8);
        // Relays and operators reach all nodes; the core members do not reach each other.
        for other in (0..3).filter(|other| *other != old) {
            cluster.cuts.insert((old, other));
            cluster.cuts.insert((other, old));
        }
        for _ in 0..60 {
            run(&mut cluster, &mut operators, 100 * MS);
            let leads = |node: &usize| cluster.control(*node).is_some_and(|control| control.is_leader());
            both_led += usize::from((0..3).filter(leads).count() == 2);
        }
        cluster.heal();
        for operator in &mut operators {
            operator.is_stopping = true;
        }
        run(&mut cluster, &mut operators, 8_000 * MS);
        let histories: Vec<_> = operators.iter().map(|operator| operator.history.clone()).collect();
        let mut violations = std::mem::take(&mut cluster.checks.violations);
        violations.extend(check(&histories).err().map(|found| format!("{found:?}")));
        cluster.checks.finish();
        violations.append(&mut cluster.checks.violations);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
    println!("two led at {both_led} of 6,000 moments");
    assert!(both_led > 2_000, "{both_led}");
}

/// Guards against a leader that answers before an entry of its own epoch is committed: it does not know yet what the
/// previous leader committed. The previous leader's answer about the commit reaches only the operator, and the other
/// members' disks are slow.
#[test]
fn a_new_leader_answers_after_its_first_entry() {
    let mut asked_in_time = 0;
    for seed in 0..60 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        assert_eq!(call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first"))), accepted(1));
        cluster.run(1_000 * MS);
        let old = cluster.leader().expect("leads");
        let members: Vec<usize> = (0..3).filter(|member| *member != old).collect();
        cluster.operator(3, Token(2), OperatorRequest::put(1, document(2, "second")));
        // Run until the leader has committed the change and reports the commit to the others.
        while cluster.control(old).expect("runs").state().config.version == 1 {
            cluster.run(MS / 10);
        }
        for node in (0..8).filter(|node| *node != 3) {
            cluster.cuts.insert((old, node));
        }
        cluster.run(20 * MS);
        assert_eq!(outcomes(&mut cluster, 2), [Outcome::Accepted { version: 2 }], "seed {seed}");
        cluster.kill(old);
        // The relay that learned of the commit cannot report it to anyone either.
        for node in (0..8).filter(|node| *node != 3) {
            cluster.cuts.insert((3, node));
        }
        for member in &members {
            cluster.disks.insert(*member, DiskFault::Slow(250 * MS));
        }
        let versions = |cluster: &Cluster| {
            let known =
                |member: &usize| cluster.control(*member).map(|control| control.state().config.version);
            members.iter().filter_map(known).max()
        };
        let mut leads_in_ignorance = false;
        for token in 100..500 {
            cluster.operator(4, Token(token), OperatorRequest::ReadConfig);
            cluster.run(10 * MS);
            leads_in_ignorance |= cluster.leader().is_some() && versions(&cluster) == Some(1);
        }
        asked_in_time += usize::from(leads_in_ignorance);
        cluster.run(2_000 * MS);
        let read = |outcome: &Outcome| match outcome {
            Outcome::Config(config) => Some(config.version),
            _ => None,
        };
        let versions: Vec<u64> = cluster.answers.iter().filter_map(|(_, _, outcome)| read(outcome)).collect();
        assert!(versions.len() > 50, "seed {seed}: {} answers", versions.len());
        assert!(versions.iter().all(|version| *version == 2), "seed {seed}: {versions:?}");
    }
    println!("{asked_in_time} of 60 seeds reproduce the situation");
    assert!(asked_in_time > 40, "{asked_in_time}");
}
