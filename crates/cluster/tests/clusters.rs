//! Whole clusters of the real state machines, by seed.
//!
//! `CLUSTER_SEED=n` plays one seed and shows its figures; `CLUSTER_SEEDS=n` plays so many.

use std::sync::atomic::{AtomicU64, Ordering};

use pewterseam_cluster::{Plan, Report, run};

/// Clusters that are played where the environment says nothing.
const SEEDS: u64 = 300;
const THREADS: usize = 3;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn play_all(first: u64, count: u64) -> Vec<Report> {
    let next = AtomicU64::new(first);
    let play = || {
        let mut reports = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count {
                return reports;
            }
            reports.push(run(Plan::of_seed(seed)));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(play)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a cluster that panics")).collect()
    })
}

/// Guards every rule that the judge knows, over kills, losses of power, cuts and stops.
#[test]
fn clusters_keep_the_rules() {
    let reports = match number("CLUSTER_SEED") {
        Some(seed) => vec![run(Plan::of_seed(seed))],
        None => play_all(1, number("CLUSTER_SEEDS").unwrap_or(SEEDS)),
    };
    let sum = |of: fn(&Report) -> usize| reports.iter().map(of).sum::<usize>();
    println!(
        "{} clusters: {} tries, {} accepted, {} declined, {} unclear, {} runs, {} ended, {} faults, {} changes",
        reports.len(),
        sum(|report| report.tries),
        sum(|report| report.accepted),
        sum(|report| report.declined),
        sum(|report| report.unclear),
        sum(|report| report.runs),
        sum(|report| report.ended),
        sum(|report| report.faults),
        sum(|report| report.acknowledged_changes),
    );
    let breaches: Vec<String> =
        reports.iter().flat_map(|report| &report.breaches).map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{} breaches\n{}", breaches.len(), breaches.join("\n"));
}

/// Guards replays: the same seed gives the same run.
#[test]
fn a_seed_gives_the_same_run() {
    for seed in 1..4 {
        let (first, second) = (run(Plan::of_seed(seed)), run(Plan::of_seed(seed)));
        assert!(first.accepted > 0, "seed {seed} accepts nothing");
        assert_eq!(first.fingerprint, second.fingerprint, "seed {seed}");
    }
}
