//! Random requests with losses of power, small segments and cleaning: what was acknowledged stays.

mod common;

use std::collections::BTreeMap;

use common::*;
use pewterseam_message_log::{Input, StoreSettings};
use pewterseam_storage::{LogOptions, SimulatedFiles};
use pewterseam_wire::record::{End, Fact};
use pewterseam_wire::store::{Status, StoreRequest};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    Append { message: u8, size: u16 },
    End { message: u8, end: u8 },
    Attempt { message: u8, failures: u8 },
    Claim { message: u8, claim: u8 },
    LosePower { seed: u64 },
    Restart,
    FailSyncs { count: u8 },
    Wait { milliseconds: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let message = u8::arbitrary(random) % 48;
        match u8::arbitrary(random) % 16 {
            0..=5 => Step::Append { message, size: u16::arbitrary(random) % 600 },
            6..=9 => Step::End { message, end: u8::arbitrary(random) },
            10 => Step::Attempt { message, failures: u8::arbitrary(random) % 9 },
            11 => Step::Claim { message, claim: u8::arbitrary(random) % 5 },
            12 => Step::LosePower { seed: u64::arbitrary(random) },
            13 => Step::Restart,
            14 => Step::FailSyncs { count: 1 },
            _ => Step::Wait { milliseconds: u16::arbitrary(random) % 3_000 },
        }
    }
}

/// What was acknowledged of a message.
#[derive(Clone, Debug, Default)]
struct Known {
    is_appended: bool,
    /// The rank of the best acknowledged end.
    end: Option<u8>,
    /// The ranks of all ends that were sent.
    sent_ends: Vec<u8>,
}

fn end_of(number: u8) -> End {
    match number % 5 {
        0 => completed("x"),
        1 => End::Refused,
        2 => End::AttemptsUsed,
        3 => End::Expired,
        _ => End::RouteDropped,
    }
}

fn message(number: u8, size: u16) -> pewterseam_wire::record::Record {
    let mut record = keyed(&format!("m{number}"), &format!("key {}", number % 5), &[]);
    record.body = vec![number; usize::from(size)].into();
    record
}

fn place(node: &mut Node) {
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
}

fn check(node: &mut Node, known: &BTreeMap<u8, Known>) -> Result<(), String> {
    for (number, known) in known {
        let name = message(*number, 0).name;
        let status = node.look(&name).ok_or("no answer")?;
        let fail = |what: &str| Err(format!("message {number}: {what}; {known:?}, {status:?}"));
        match &status {
            Status::Ended(end) if !known.sent_ends.contains(&end.rank()) => {
                return fail("an end that nobody sent");
            }
            Status::Ended(end) if known.end.is_some_and(|best| end.rank() > best) => {
                return fail("a worse end");
            }
            Status::Ended(_) => {}
            _ if known.end.is_some() => return fail("the end is gone"),
            Status::Unknown if known.is_appended => return fail("the record is gone"),
            _ => {}
        }
        let is_completed = matches!(status, Status::Ended(End::Completed { .. }));
        if known.is_appended && !is_completed {
            let Some(record) = node.fetch(&name) else { return fail("the body is gone") };
            if record.body.iter().any(|byte| byte != number) {
                return fail("another body");
            }
            let is_listed = node.open_names(1, &format!("key {}", number % 5)).contains(&name);
            if is_listed == matches!(status, Status::Ended(_)) {
                return fail("the list of open messages differs");
            }
        }
    }
    Ok(())
}

fn run_with(steps: Vec<Step>, memory_bytes: usize) -> Result<(), String> {
    let settings = StoreSettings { memory_bytes, clean_above_bytes: 3_000, ..settings("s1") };
    let options = LogOptions { segment_bytes: 1_000 };
    let mut node = Node::on(settings, SimulatedFiles::new(), options, 0);
    place(&mut node);
    let mut known: BTreeMap<u8, Known> = BTreeMap::new();
    for step in steps {
        match step {
            Step::Append { message: number, size } => {
                let is_done = is_done(&node.ask(append(1, &message(number, size))));
                known.entry(number).or_default().is_appended |= is_done;
            }
            Step::End { message: number, end } => {
                let end = end_of(end);
                let rank = end.rank();
                let is_done = is_done(&node.ask(ended(&message(number, 0).name, end)));
                let known = known.entry(number).or_default();
                known.sent_ends.push(rank);
                if is_done {
                    known.end = Some(known.end.map_or(rank, |best| best.min(rank)));
                }
            }
            Step::Attempt { message: number, failures } => {
                let name = message(number, 0).name;
                let facts = vec![Fact::Attempted { name, failures: u32::from(failures) }];
                node.ask(StoreRequest::Settle { facts });
            }
            Step::Claim { message: number, claim } => {
                let names = vec![message(number, 0).name];
                node.ask(StoreRequest::Claim { names, owner: owner("b", 1), claim: u32::from(claim) });
            }
            Step::LosePower { seed } => {
                node.files.lose_power(seed);
                node.restart();
                place(&mut node);
            }
            Step::Restart => {
                node.files.fail_syncs(0);
                node.restart();
                place(&mut node);
            }
            Step::FailSyncs { count } => node.files.fail_syncs(u32::from(count)),
            Step::Wait { milliseconds } => node.advance(u64::from(milliseconds) * MILLISECOND),
        }
        check(&mut node, &known)?;
    }
    node.files.lose_power(0);
    node.restart();
    place(&mut node);
    check(&mut node, &known)
}

fn run(steps: Vec<Step>, has_memory: bool) -> Result<(), String> {
    run_with(steps, if has_memory { 1_000_000 } else { 0 })
}

/// Guards against acknowledged records, ends and bodies that a restart, a loss of power or cleaning takes away, and
/// against ends that appear by themselves.
#[test]
fn what_was_acknowledged_stays() {
    let property = run as fn(Vec<Step>, bool) -> Result<(), String>;
    QuickCheck::new().rng(Gen::new(300)).tests(400).quickcheck(property);
}

/// Guards against a log that grows with all that was ever written, or that forgets what is still needed.
#[test]
fn the_log_stays_small() {
    let settings = StoreSettings { clean_above_bytes: 64 * 1024, ..settings("s1") };
    let mut node = Node::on(settings, SimulatedFiles::new(), LogOptions { segment_bytes: 16 * 1024 }, 0);
    place(&mut node);
    let kept = message(200, 500);
    let dead = message(201, 500);
    node.ask(append(1, &kept));
    node.ask(append(1, &dead));
    node.ask(StoreRequest::Claim { names: vec![kept.name.clone()], owner: owner("b", 2), claim: 3 });
    node.ask(ended(&dead.name, End::Refused));
    let mut most = 0;
    for number in 0..20_000 {
        let mut record = record(&format!("r{number}"));
        record.body = vec![1; 1_000].into();
        assert!(is_done(&node.ask(append(1, &record))));
        assert!(is_done(&node.ask(ended(&record.name, completed("x")))));
        node.advance(20 * MILLISECOND);
        most = most.max(node.log_bytes());
        if number == 3_000 {
            assert_eq!(node.fetch(&dead.name), Some(dead.clone()), "a dead letter survives cleaning");
        }
    }
    // 6,000 ends are remembered at a time.
    assert!(most < 3_000_000, "{most}");
    assert_eq!(node.fetch(&kept.name), Some(kept.clone()));
    node.files.lose_power(0);
    node.restart();
    place(&mut node);
    assert_eq!(node.fetch(&kept.name), Some(kept.clone()));
    let status = Status::Open { owner: owner("b", 2), claim: 3, failures: 0 };
    assert_eq!(node.look(&kept.name), Some(status));
    assert_eq!(node.look(&record("r19999").name), Some(Status::Ended(completed("x"))));
    assert_eq!(node.look(&record("r1").name), Some(Status::Unknown));
    assert_eq!(node.look(&dead.name), Some(Status::Unknown));
}
