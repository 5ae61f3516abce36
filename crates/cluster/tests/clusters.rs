//! Whole clusters of the real state machines, by seed.
//!
//! `CLUSTER_SEED=n` plays one seed and shows its figures; `CLUSTER_SEEDS=n` plays so many.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use pewterseam_cluster::{Plan, Report, Rule, run};

/// Clusters that are played where the environment says nothing.
const SEEDS: u64 = 1_500;
const SEEDS_WITH_FAILING_SYNCS: u64 = 300;
const THREADS: usize = 3;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn play_all(count: u64, plan: fn(u64) -> Plan) -> Vec<Report> {
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
            reports.push(run(plan(seed)));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(play)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a thread that plays")).collect()
    })
}

/// The clusters of this test program, played once.
fn reports() -> &'static [Report] {
    static REPORTS: OnceLock<Vec<Report>> = OnceLock::new();
    REPORTS.get_or_init(|| {
        let reports = play_all(SEEDS, Plan::of_seed);
        show(&reports);
        reports
    })
}

fn show(reports: &[Report]) {
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
}

fn assert_kept(reports: &[Report], is_judged: impl Fn(Rule) -> bool) {
    let breaches = reports.iter().flat_map(|report| &report.breaches);
    let shown: Vec<String> =
        breaches.filter(|breach| is_judged(breach.rule)).map(ToString::to_string).collect();
    assert!(shown.is_empty(), "{} breaches\n{}", shown.len(), shown.join("\n"));
}

/// Guards every rule but TWICE, over kills, losses of power, disks and connections, cuts, freezes and stops.
#[test]
fn clusters_keep_the_rules() {
    assert_kept(reports(), |rule| rule != Rule::Twice);
}

/// Guards TWICE: a message whose success was read does not run again once there was no trouble for four seconds.
#[test]
fn clusters_repeat_no_success() {
    assert_kept(reports(), |rule| rule == Rule::Twice);
}

/// Guards all rules but TWICE where a sync fails now and then, as on a full disk.
#[test]
fn clusters_outlast_failing_syncs() {
    let reports = play_all(SEEDS_WITH_FAILING_SYNCS, Plan::with_failing_syncs);
    show(&reports);
    assert_kept(&reports, |rule| rule != Rule::Twice);
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
