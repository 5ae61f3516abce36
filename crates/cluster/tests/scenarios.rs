//! Days of one kind: long troubles, faults that overlap, many changes, and others.
//!
//! `CLUSTER_SEED=n` plays one seed and shows its figures; `CLUSTER_SEEDS=n` plays so many.

mod common;

use std::sync::OnceLock;

use common::{assert_kept, play_all, show};
use pewterseam_cluster::{Plan, Report, Rule, Scenario, run};

/// Days of one kind, played once in this test program.
struct Days {
    scenario: Scenario,
    seeds: u64,
    reports: OnceLock<Vec<Report>>,
}

impl Days {
    const fn new(scenario: Scenario, seeds: u64) -> Self {
        Days { scenario, seeds, reports: OnceLock::new() }
    }

    fn reports(&self) -> &[Report] {
        self.reports.get_or_init(|| {
            let reports = play_all(self.seeds, |seed| Plan::of_scenario(seed, self.scenario));
            println!("{:?}", self.scenario);
            show(&reports);
            reports
        })
    }

    /// TWICE and CEILING have tests of their own.
    fn assert_other_rules(&self) {
        assert_kept(self.reports(), |rule| rule != Rule::Twice && rule != Rule::Ceiling);
    }
}

static LONG_TROUBLES: Days = Days::new(Scenario::LongTroubles, 150);
static OVERLAPPING_FAULTS: Days = Days::new(Scenario::OverlappingFaults, 300);
static MANY_CHANGES: Days = Days::new(Scenario::ManyChanges, 150);
static CHANGING_ROUTES: Days = Days::new(Scenario::ChangingRoutes, 200);
static OUTAGES_AND_CHANGES: Days = Days::new(Scenario::OutagesAndChanges, 200);
static LONG_DAYS: Days = Days::new(Scenario::LongDays, 150);
static GARBLING_HOSTS: Days = Days::new(Scenario::GarblingHosts, 200);
static SECOND_ANSWERS: Days = Days::new(Scenario::SecondAnswers, 150);
static CHANGING_HOSTS: Days = Days::new(Scenario::ChangingHosts, 150);
static SCALE_IN: Days = Days::new(Scenario::ScaleIn, 200);

static ALL_DAYS: [&Days; 10] = [
    &LONG_TROUBLES,
    &OVERLAPPING_FAULTS,
    &MANY_CHANGES,
    &SCALE_IN,
    &CHANGING_ROUTES,
    &OUTAGES_AND_CHANGES,
    &LONG_DAYS,
    &GARBLING_HOSTS,
    &SECOND_ANSWERS,
    &CHANGING_HOSTS,
];

/// Guards the rules over cuts of 5, 20 and 60 s, of any direction, of two machines at once and between relays and
/// hosts, long freezes, and disks that are stalled, slow or full for long.
#[test]
fn clusters_outlast_long_troubles() {
    LONG_TROUBLES.assert_other_rules();
}

/// Guards the rules where many machines end at one moment and faults strike while the last one is under repair.
#[test]
fn clusters_outlast_overlapping_faults() {
    OVERLAPPING_FAULTS.assert_other_rules();
}

/// Guards CONFIG, as linearizability, and the other rules where three operators make 300 changes in quick succession.
#[test]
fn clusters_keep_hundreds_of_changes() {
    MANY_CHANGES.assert_other_rules();
}

/// Guards LOST and the other rules where stores are retired and go with their disks once they are said to be empty, are
/// added and replaced under new names, and a disk of one of those left is lost right after.
#[test]
fn clusters_outlast_retirements() {
    SCALE_IN.assert_other_rules();
    let reports = SCALE_IN.reports();
    let removed: usize = reports.iter().map(|report| report.removed_stores).sum();
    assert!(removed >= reports.len() / 2, "only {removed} stores were retired");
}

/// Guards DRAIN and the other rules where many hosts drain, end and begin.
#[test]
fn clusters_follow_changes_of_hosts() {
    CHANGING_HOSTS.assert_other_rules();
}

/// Guards CONFIG and the ends of messages where changes drop routes that clients use, add them again and move them to
/// another service.
#[test]
fn clusters_follow_changes_of_routes() {
    CHANGING_ROUTES.assert_other_rules();
}

/// Guards CONFIG for messages that wait in a relay while changes move their route to another service: all hosts of the
/// former one are out meanwhile, and back before the messages have gone.
#[test]
fn held_messages_follow_their_routes() {
    OUTAGES_AND_CHANGES.assert_other_rules();
}

/// Guards all rules on days that outlast the memory of ends: stores that were away when messages ended hold their records,
/// and the owners of these stop long after.
#[test]
fn ended_messages_stay_ended_on_long_days() {
    assert_kept(LONG_DAYS.reports(), |_| true);
}

/// Guards all rules where hosts send answers twice, with the id of the message before or none, and break them off.
#[test]
fn clusters_outlast_garbling_hosts() {
    GARBLING_HOSTS.assert_other_rules();
}

/// Guards all rules where hosts send answers a second time, long after, just before the answer to the next message on the
/// connection. The sender has read the success of that message then, wherever it stands.
#[test]
fn clusters_heed_the_own_answer_behind_a_second_one() {
    assert_kept(SECOND_ANSWERS.reports(), |_| true);
}

/// Guards replays on days of all kinds: the same seed gives the same run.
#[test]
fn a_seed_gives_the_same_days() {
    for days in ALL_DAYS {
        let plan = Plan::of_scenario(1, days.scenario);
        let (first, second) = (run(plan), run(plan));
        assert!(first.accepted > 0, "{:?} accepts nothing", days.scenario);
        assert_eq!(first.fingerprint, second.fingerprint, "{:?}", days.scenario);
    }
}

/// Seeds beyond those of the days above that once broke a rule.
const ONCE_BROKEN: [(Scenario, u64); 1] = [(Scenario::OverlappingFaults, 347)];

/// Guards against faults that single seeds have shown.
#[test]
fn days_that_once_broke_a_rule_keep_all() {
    let reports = ONCE_BROKEN.map(|(scenario, seed)| run(Plan::of_scenario(seed, scenario)));
    assert_kept(&reports, |_| true);
}

fn assert_on_all_days(rule: Rule) {
    let reports: Vec<Report> = ALL_DAYS.iter().flat_map(|days| days.reports().iter().cloned()).collect();
    assert_kept(&reports, |judged| judged == rule);
}

/// Guards CEILING on days of all kinds: no cut, freeze or return lets two relays grant the permits of one service.
#[test]
fn clusters_keep_the_ceiling_on_long_days() {
    assert_on_all_days(Rule::Ceiling);
}

/// Guards TWICE on days of all kinds.
#[test]
fn clusters_repeat_no_success_on_long_days() {
    assert_on_all_days(Rule::Twice);
}
