//! Ages of messages over restarts, losses of power and a time of day that is set.
//!
//! A store used to take ages from the time of day alone. One whose clock was set forward by 3.9 s just before a loss of all
//! power told an age that was 3.9 s too great, and a delayed message ran early (seed 4665 of whole clusters).

mod common;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_storage::{LogOptions, SimulatedFiles};
use pewterseam_wire::record::{MessageName, Record};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// `maxSkewMs` of these stores.
const CLOCK_ERROR: u64 = 20 * SECOND;
/// Longer than anything here takes.
const LONG_RETENTION_MS: u64 = 100_000_000;
/// A store that stops writes no more: what it knew since its last entry is lost.
const READING_PERIOD: u64 = 2 * SECOND;

/// A record that is not over for long.
fn long_lived(id: &str) -> Record {
    Record { retention_ms: LONG_RETENTION_MS, ..record(id) }
}

fn set_wall(node: &mut Node, by: i64) {
    node.wall_start = node.wall_start.saturating_add_signed(by);
}

/// Ends the process, lets time pass and starts it again, with a steady clock that begins anew.
fn restart_after(node: &mut Node, away: u64) {
    node.wall_start += node.now + away;
    node.now = 0;
    node.restart();
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
}

/// The age and the time away of a message, as an heir is told them a while from now; the age as it is now.
fn told_age(node: &mut Node, name: &MessageName) -> (u64, u64) {
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    let began = node.now;
    loop {
        node.advance(MILLISECOND);
        let mut offered = node.take_offers().into_iter().flat_map(|(_, messages)| messages);
        if let Some(message) = offered.find(|message| message.record.name == *name) {
            let since = node.now - began;
            // Ages are told in whole milliseconds.
            return ((message.age_ms * MILLISECOND).saturating_sub(since), message.away_ms * MILLISECOND);
        }
        assert!(node.now < began + 10 * SECOND, "nothing is offered");
    }
}

/// Guards EARLY: a time of day that is set forward just before power is lost makes no message older.
#[test]
fn a_clock_that_is_set_forward_makes_no_message_older() {
    let mut node = Node::in_first_placement("s1");
    let first = long_lived("first");
    node.ask(append(1, &first));
    node.advance(SECOND / 2);
    set_wall(&mut node, 3_900_000);
    restart_after(&mut node, SECOND / 10);
    let (age, _) = told_age(&mut node, &first.name);
    assert!(age <= 600 * MILLISECOND, "{age} us");
}

/// Guards LOST: a time of day that is set back does not have delays begin anew.
#[test]
fn a_clock_that_is_set_back_makes_no_message_younger_than_the_log_knows() {
    let mut node = Node::in_first_placement("s1");
    let first = long_lived("first");
    node.ask(append(1, &first));
    node.advance(30 * SECOND);
    set_wall(&mut node, -20_000_000);
    restart_after(&mut node, SECOND);
    let (age, _) = told_age(&mut node, &first.name);
    assert!((30 * SECOND - READING_PERIOD..=31 * SECOND).contains(&age), "{age} us");
}

/// Guards against records that never end: times away count towards `retentionS`, though not towards delays.
#[test]
fn many_times_away_still_end_a_record() {
    let mut node = Node::in_first_placement("s1");
    let first = record("first");
    node.ask(append(1, &first));
    for _ in 0..16 {
        node.advance(READING_PERIOD);
        restart_after(&mut node, 10 * SECOND);
    }
    node.advance(6 * SECOND);
    node.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    node.advance(5 * SECOND);
    assert!(
        node.take_offers().is_empty(),
        "16 times away of 10 s are more than 90 s and all that is added for clocks"
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
    /// Something is written, and old segments are cleaned away.
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

/// What the age of a message may be told as.
struct Truth {
    age: u64,
    times_away: u64,
    /// Whether any one setting, or all within one time away, went beyond what is allowed for.
    set_since_power: i64,
    is_beyond: bool,
}

fn ages_are_never_too_great(steps: Vec<Step>) -> bool {
    let options = LogOptions { segment_bytes: 4 * 1024 };
    let mut settings = settings("s1");
    settings.clock_error = CLOCK_ERROR;
    settings.clean_above_bytes = 8 * 1024;
    let mut node = Node::on(settings, SimulatedFiles::new(), options, 0);
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
    let first = long_lived("first");
    node.ask(append(1, &first));
    let mut truth = Truth { age: 0, times_away: 0, set_since_power: 0, is_beyond: false };
    let mut written = 0;
    for step in steps {
        match step {
            Step::Run { milliseconds } => {
                let span = u64::from(milliseconds) * MILLISECOND;
                node.advance(span);
                truth.age += span;
            }
            Step::SetWall { milliseconds } => {
                set_wall(&mut node, i64::from(milliseconds) * MILLISECOND as i64);
                truth.set_since_power += i64::from(milliseconds) * MILLISECOND as i64;
                truth.is_beyond |= truth.set_since_power.unsigned_abs() > CLOCK_ERROR;
            }
            Step::LosePower { away_ms } => {
                let away = u64::from(away_ms) * MILLISECOND;
                restart_after(&mut node, away);
                truth.age += away;
                truth.times_away += 1;
                truth.set_since_power = 0;
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
    if truth.is_beyond {
        return true;
    }
    let (age, away) = told_age(&mut node, &first.name);
    // Each time away is told by a clock that may be wrong, and what was not written by then is not known.
    let unknown = truth.times_away * (2 * CLOCK_ERROR + READING_PERIOD);
    let is_not_early = age <= truth.age + MILLISECOND;
    let is_late_by_little = truth.age <= age + unknown + MILLISECOND;
    let counts_times_away =
        truth.age <= age + away + truth.times_away * (CLOCK_ERROR + READING_PERIOD) + MILLISECOND;
    is_not_early && is_late_by_little && counts_times_away
}

/// Guards EARLY and records that never end, over settings of the clock, losses of power and cleaning in any order.
#[test]
fn no_age_is_too_great_and_none_is_lost() {
    QuickCheck::new().tests(400).quickcheck(ages_are_never_too_great as fn(Vec<Step>) -> bool);
}
