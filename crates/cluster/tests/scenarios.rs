//! Days of one kind: long troubles, faults that overlap, many changes, and others.
//!
//! `CLUSTER_SEED=n` plays one seed and shows its figures; `CLUSTER_SEEDS=n` plays so many.

mod common;

use common::{assert_kept, play_all, show};
use pewterseam_cluster::{Plan, Report, Rule, Scenario};

fn play(count: u64, scenario: Scenario) -> Vec<Report> {
    let reports = play_all(count, |seed| Plan::of_scenario(seed, scenario));
    show(&reports);
    reports
}

/// Guards all rules over cuts of 5, 20 and 60 s, of any direction, of two machines at once and between relays and
/// hosts, long freezes, and disks that are stalled, slow or full for long.
#[test]
fn clusters_outlast_long_troubles() {
    assert_kept(&play(100, Scenario::LongTroubles), |rule| rule != Rule::Twice);
}

/// Guards all rules where many machines end at one moment and faults strike while the last one is under repair.
#[test]
fn clusters_outlast_overlapping_faults() {
    assert_kept(&play(300, Scenario::OverlappingFaults), |rule| rule != Rule::Twice);
}
