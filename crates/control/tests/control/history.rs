//! Tests of the history checker: it accepts the answers that a register may give, and reports those that it may not.

use crate::simulation::history::{Action, Answer, Operation, check};

fn read(called_at: u64, answered_at: u64, version: u64) -> Operation {
    Operation { called_at, answered_at, action: Action::Read, answer: Answer::Version(version) }
}

fn change(called_at: u64, answered_at: u64, if_match: u64, version: u64, answer: Answer) -> Operation {
    let order = (if_match, format!("{if_match} to {version} by {called_at}").into_bytes());
    Operation { called_at, answered_at, action: Action::Change { order, version }, answer }
}

/// Guards against a checker that reports valid histories.
#[test]
fn linearizable_histories_are_accepted() {
    let first = vec![change(0, 10, 0, 1, Answer::Accepted), read(11, 20, 2), read(21, 30, 2)];
    let second = vec![read(1, 3, 0), change(4, 19, 1, 2, Answer::Accepted)];
    assert_eq!(check(&[first, second]), Ok(()));
    // An order without an answer may take effect later, or never.
    let unanswered = change(0, u64::MAX, 0, 1, Answer::Nothing);
    assert_eq!(check(&[vec![unanswered.clone()], vec![read(50, 60, 0), read(70, 80, 1)]]), Ok(()));
    assert_eq!(check(&[vec![unanswered], vec![change(50, 60, 0, 2, Answer::Accepted)]]), Ok(()));
    // An order that is sent again is accepted again, whatever happened in between.
    let taken = change(0, 10, 0, 1, Answer::Accepted);
    let again = Operation { called_at: 40, answered_at: 50, ..taken.clone() };
    let between = change(20, 30, 1, 2, Answer::Accepted);
    assert_eq!(check(&[vec![taken, again], vec![between]]), Ok(()));
}

/// Guards against a checker that finds no violations.
#[test]
fn non_linearizable_histories_are_reported() {
    let accepted = |at: u64, version: u64| change(at, at + 10, 0, version, Answer::Accepted);
    let violations: [(&str, [Vec<Operation>; 2]); 5] = [
        ("two on one version", [vec![accepted(0, 1)], vec![accepted(1, 2)]]),
        ("an old read", [vec![accepted(0, 1)], vec![read(11, 20, 0)]]),
        ("a read that goes back", [vec![accepted(0, 1)], vec![read(1, 3, 1), read(4, 6, 0)]]),
        ("refused and in force", [vec![change(0, 10, 0, 1, Answer::Refused)], vec![read(20, 30, 1)]]),
        ("refused without cause", [vec![change(0, 10, 0, 1, Answer::Refused)], Vec::new()]),
    ];
    for (what, operators) in violations {
        assert!(check(&operators).is_err(), "{what}");
    }
    let taken = accepted(0, 1);
    let refused = Operation { called_at: 40, answered_at: 50, answer: Answer::Refused, ..taken.clone() };
    assert!(check(&[vec![taken, refused]]).is_err(), "taken and then refused");
}
