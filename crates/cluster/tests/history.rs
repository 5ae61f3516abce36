//! What of histories of the configuration is linearizable.

use pewterseam_cluster::history::{History, Interval, Write};

fn write(if_match: u64, version: u64, mark: u64) -> Write {
    Write { if_match, version, mark }
}

/// Two changes, one upon the other, each sent and acknowledged.
fn two_changes() -> History {
    let mut history = History::default();
    history.sent(10, write(0, 1, 1));
    history.accepted(20, write(0, 1, 1), 1);
    history.sent(30, write(1, 3, 2));
    history.accepted(40, write(1, 3, 2), 3);
    history
}

/// Guards reads: beside a change either version may come, after it only the new one, and nothing goes back.
#[test]
fn reads_follow_the_changes() {
    let mut history = two_changes();
    history.read(Interval { sent_at: 25, answered_at: 50 }, 1);
    history.read(Interval { sent_at: 39, answered_at: 45 }, 1);
    history.read(Interval { sent_at: 31, answered_at: 35 }, 3);
    assert_eq!(history.check().len(), 1, "3 was read by 35, 1 by a call of 39");
    let mut history = two_changes();
    history.read(Interval { sent_at: 41, answered_at: 45 }, 1);
    assert_eq!(history.check().len(), 1, "the old version after the acknowledgement");
    let mut history = two_changes();
    history.read(Interval { sent_at: 38, answered_at: 90 }, 1);
    history.read(Interval { sent_at: 39, answered_at: 45 }, 3);
    assert_eq!(history.check(), Vec::<String>::new());
}

/// Guards changes: one version stands on another once, and what was refused is never in force.
#[test]
fn changes_are_one_chain() {
    assert_eq!(two_changes().check(), Vec::<String>::new());
    let mut history = two_changes();
    history.sent(30, write(1, 2, 3));
    history.accepted(45, write(1, 2, 3), 2);
    assert!(!history.check().is_empty(), "two changes upon version 1");
    let mut history = two_changes();
    history.refused(write(1, 3, 2));
    assert!(!history.check().is_empty(), "acknowledged, then refused");
    let mut history = two_changes();
    history.sent(30, write(1, 3, 3));
    history.stands(50, 3, 3);
    assert!(!history.check().is_empty(), "one number with two contents");
    let mut history = two_changes();
    history.sent(50, write(3, 4, 4));
    history.refused(write(3, 4, 4));
    history.stands(60, 4, 4);
    assert!(!history.check().is_empty(), "refused, then in force");
    let mut history = two_changes();
    history.stands(60, 9, 9);
    assert!(!history.check().is_empty(), "in force and never sent");
}

/// Guards refusals: the version that they name must have stood.
#[test]
fn refusals_name_a_version_that_stood() {
    let mut history = two_changes();
    history.sent(50, write(1, 2, 5));
    history.refused(write(1, 2, 5));
    history.read(Interval { sent_at: 50, answered_at: 55 }, 3);
    assert_eq!(history.check(), Vec::<String>::new());
    history.read(Interval { sent_at: 50, answered_at: 55 }, 2);
    assert_eq!(history.check().len(), 1);
}
