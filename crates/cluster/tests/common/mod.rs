//! What the tests of whole clusters share.

use std::sync::atomic::{AtomicU64, Ordering};

use pewterseam_cluster::{Plan, Report, Rule, run};
use pewterseam_known_red::is_passed_over;

const THREADS: usize = 3;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Plays so many seeds, or those that the environment names, for the test that runs: the test runner names its thread after
/// it.
pub fn play_all(count: u64, plan: impl Fn(u64) -> Plan + Sync) -> Vec<Report> {
    let this_thread = std::thread::current();
    let test: Vec<&str> = this_thread.name().into_iter().collect();
    play_all_for(&test, count, plan)
}

/// The same for tests that share the reports.
pub fn play_all_for(tests: &[&str], count: u64, plan: impl Fn(u64) -> Plan + Sync) -> Vec<Report> {
    if let Some(seed) = number("CLUSTER_SEED") {
        return vec![run(plan(seed))];
    }
    let count = number("CLUSTER_SEEDS").unwrap_or(count);
    let next = AtomicU64::new(1);
    let play = || {
        let mut reports = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > count {
                return reports;
            }
            if !is_passed_over(tests, seed) {
                reports.push(run(plan(seed)));
            }
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(play)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a thread that plays")).collect()
    })
}

/// Prints the figures of runs.
pub fn show(reports: &[Report]) {
    let sum = |of: fn(&Report) -> usize| reports.iter().map(of).sum::<usize>();
    println!(
        "{} clusters: {} tries, {} accepted, {} declined, {} unclear, {} runs, {} ended, {} faults, {} changes, \
         {} stores retired",
        reports.len(),
        sum(|report| report.tries),
        sum(|report| report.accepted),
        sum(|report| report.declined),
        sum(|report| report.unclear),
        sum(|report| report.runs),
        sum(|report| report.ended),
        sum(|report| report.faults),
        sum(|report| report.acknowledged_changes),
        sum(|report| report.removed_stores),
    );
}

/// Fails with all breaches of the rules that are judged.
pub fn assert_kept(reports: &[Report], is_judged: impl Fn(Rule) -> bool) {
    let breaches = reports.iter().flat_map(|report| &report.breaches);
    let shown: Vec<String> =
        breaches.filter(|breach| is_judged(breach.rule)).map(ToString::to_string).collect();
    assert!(shown.is_empty(), "{} breaches\n{}", shown.len(), shown.join("\n"));
}
