//! Ages of messages across restarts, power losses and adjustments of the time of day.
//!
//! If ages came from the time of day alone, a clock that was set forward by 3.9 s just before a total power loss would
//! make an age 3.9 s too great, and a delayed message would run early (seed 4665 of the cluster simulation).

mod common;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_storage::{LogOptions, SimulatedFiles};
use pewterseam_wire::record::{MessageName, Record};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// `maxSkewMs` of these stores.
const CLOCK_ERROR: u64 = 20 * SECOND;
/// Longer than any of these tests.
const LONG_RETENTION_MS: u64 = 100_000_000;
/// The time that a stopping store can lose: everything since its last entry.
const MAX_LOST_TIME: u64 = 2 * SECOND;

/// A record that does not expire during a test.
fn long_lived(id: &str) -> Record {
    Record { retention_ms: LONG_RETENTION_MS, ..record(id) }
}

fn adjust_wall_clock(node: &mut Node, by: i64) {
    node.wall_start = node.wall_start.saturating_add_signed(by);
}

/// Stops the process, lets time pass and starts the process again, with the steady clock reset to zero.
fn restart_after(node: &mut Node, downtime: u64) {
    node.wall_start += node.now + downtime;
    node.now = 0;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
}

/// Returns the age and the uncounted downtime of a message from its next offer, with the age converted to the time of
/// the call.
fn offered_age(node: &mut Node, name: &MessageName) -> (u64, u64) {
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    let began = node.now;
    loop {
        node.advance(MILLISECOND);
        let mut offered = node.take_offers().into_iter().flat_map(|(_, messages)| messages);
        if let Some(message) = offered.find(|message| message.record.name == *name) {
            let since = node.now - began;
            // Ages are sent in whole milliseconds.
            return ((message.age_ms * MILLISECOND).saturating_sub(since), message.away_ms * MILLISECOND);
        }
        assert!(node.now < began + 10 * SECOND, "nothing is offered");
    }
}

/// Guards against a delayed message that runs early: setting the time of day forward just before a power loss must not
/// make the message older.
#[test]
fn clock_set_forward_does_not_increase_message_age() {
    let mut node = Node::in_first_placement("s1");
    let first = long_lived("first");
    node.ask(append(1, &first));
    node.advance(SECOND / 2);
    adjust_wall_clock(&mut node, 3_900_000);
    restart_after(&mut node, SECOND / 10);
    let (age, _) = offered_age(&mut node, &first.name);
    assert!(age <= 600 * MILLISECOND, "{age} us");
}

/// Guards against delays that start again from zero when the time of day is set back.
#[test]
fn clock_set_back_does_not_decrease_message_age_below_logged_age() {
    let mut node = Node::in_first_placement("s1");
    let first = long_lived("first");
    node.ask(append(1, &first));
    node.advance(30 * SECOND);
    adjust_wall_clock(&mut node, -20_000_000);
    restart_after(&mut node, SECOND);
    let (age, _) = offered_age(&mut node, &first.name);
    assert!((30 * SECOND - MAX_LOST_TIME..=31 * SECOND).contains(&age), "{age} us");
}

/// Guards against records that never expire: downtime counts towards `retentionS`, although not towards delays.
#[test]
fn repeated_downtime_still_expires_a_record() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    for _ in 0..16 {
        node.advance(MAX_LOST_TIME);
        restart_after(&mut node, 10 * SECOND);
    }
    node.advance(6 * SECOND);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(5 * SECOND);
    assert!(
        node.take_offers().is_empty(),
        "16 downtimes of 10 s exceed 90 s and all margins for clock errors"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Run {
        milliseconds: u16,
    },
    SetWall {
        milliseconds: i16,
    },
    LosePower {
        away_ms: u16,
    },
    /// Writes entries, so that old segments are cleaned.
    Write {
        messages: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 8 {
            0..=2 => Step::Run { milliseconds: u16::arbitrary(random) % 20_000 },
            3 => Step::SetWall { milliseconds: i16::arbitrary(random) % 10_000 },
            4 | 5 => Step::LosePower { away_ms: u16::arbitrary(random) % 40_000 },
            _ => Step::Write { messages: u8::arbitrary(random) % 40 },
        }
    }
}

/// The true age of the message, and the faults that limit how exactly a store can know it.
struct TrueAge {
    age: u64,
    downtimes: u64,
    /// The sum of the clock adjustments since the last power loss.
    adjusted_since_power_loss: i64,
    /// Whether the adjustments between two power losses exceeded the allowed clock error.
    exceeds_clock_error: bool,
}

fn offered_age_is_within_bounds(steps: Vec<Step>) -> bool {
    let options = LogOptions { segment_bytes: 4 * 1024 };
    let mut settings = settings("s1");
    settings.clock_error = CLOCK_ERROR;
    settings.clean_above_bytes = 8 * 1024;
    let mut node = Node::on(settings, SimulatedFiles::new(), options, 0);
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    let first = long_lived("first");
    node.ask(append(1, &first));
    let mut actual =
        TrueAge { age: 0, downtimes: 0, adjusted_since_power_loss: 0, exceeds_clock_error: false };
    let mut written = 0;
    for step in steps {
        match step {
            Step::Run { milliseconds } => {
                let span = u64::from(milliseconds) * MILLISECOND;
                node.advance(span);
                actual.age += span;
            }
            Step::SetWall { milliseconds } => {
                adjust_wall_clock(&mut node, i64::from(milliseconds) * MILLISECOND as i64);
                actual.adjusted_since_power_loss += i64::from(milliseconds) * MILLISECOND as i64;
                actual.exceeds_clock_error |= actual.adjusted_since_power_loss.unsigned_abs() > CLOCK_ERROR;
            }
            Step::LosePower { away_ms } => {
                let downtime = u64::from(away_ms) * MILLISECOND;
                restart_after(&mut node, downtime);
                actual.age += downtime;
                actual.downtimes += 1;
                actual.adjusted_since_power_loss = 0;
            }
            Step::Write { messages } => {
                for _ in 0..messages {
                    written += 1;
                    let other = record(&format!("other-{written}"));
                    node.ask(append(1, &other));
                    node.ask(ended(&other.name, completed("x")));
                }
            }
        }
    }
    if actual.exceeds_clock_error {
        return true;
    }
    let (age, downtime) = offered_age(&mut node, &first.name);
    // Each downtime is measured by a clock that may be wrong, and the time since the last written entry is unknown.
    let max_uncertainty = actual.downtimes * (2 * CLOCK_ERROR + MAX_LOST_TIME);
    let is_not_early = age <= actual.age + MILLISECOND;
    let is_late_within_bound = actual.age <= age + max_uncertainty + MILLISECOND;
    let is_downtime_counted =
        actual.age <= age + downtime + actual.downtimes * (CLOCK_ERROR + MAX_LOST_TIME) + MILLISECOND;
    is_not_early && is_late_within_bound && is_downtime_counted
}

/// Guards against messages that run early and records that never expire, with clock adjustments, power losses and log
/// cleaning in any order.
#[test]
fn offered_ages_stay_within_bounds_under_random_faults() {
    QuickCheck::new().tests(400).quickcheck(offered_age_is_within_bounds as fn(Vec<Step>) -> bool);
}
