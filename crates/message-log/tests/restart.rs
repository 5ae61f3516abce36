//! Random requests with power losses, small segments and log cleaning: acknowledged data must be kept.

mod common;

use std::collections::BTreeMap;

use common::*;
use pewterseam_message_log::{Input, StoreSettings};
use pewterseam_storage::{LogOptions, SimulatedFiles};
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::{End, Fact, Record};
use pewterseam_wire::store::{OWNER_LEASE, Status, StoreRequest};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    Append {
        message: u8,
        size: u16,
    },
    End {
        message: u8,
        end: u8,
    },
    Attempt {
        message: u8,
        failures: u8,
    },
    Claim {
        message: u8,
        claim: u8,
    },
    /// Syncs all waiting writes. From then on writes are synced immediately, or wait for the next such step.
    Sync {
        at_once: bool,
    },
    LosePower {
        seed: u64,
    },
    Restart,
    FailSyncs {
        count: u8,
    },
    Wait {
        milliseconds: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let message = u8::arbitrary(random) % 96;
        match u8::arbitrary(random) % 32 {
            0..=11 => Step::Append { message, size: u16::arbitrary(random) % 400 },
            12..=21 => Step::End { message, end: u8::arbitrary(random) },
            22 => Step::Attempt { message, failures: u8::arbitrary(random) % 9 },
            23 => Step::Claim { message, claim: u8::arbitrary(random) % 5 },
            24..=26 => Step::Sync { at_once: u8::arbitrary(random) % 3 > 0 },
            27 => Step::LosePower { seed: u64::arbitrary(random) },
            28 => Step::Restart,
            29 => Step::FailSyncs { count: 1 },
            _ => Step::Wait { milliseconds: u16::arbitrary(random) % 3_000 },
        }
    }
}

/// The acknowledged state of a message.
#[derive(Clone, Debug, Default)]
struct Acknowledged {
    is_appended: bool,
    /// The lowest rank of all acknowledged ends, which takes precedence.
    end: Option<u8>,
    /// The ranks of all ends that were sent.
    sent_ends: Vec<u8>,
}

fn end_of(number: u8) -> End {
    match number % 8 {
        0..=4 => completed("x"),
        5 => End::Refused,
        6 => End::AttemptsUsed,
        _ => End::Expired,
    }
}

/// A message that does not expire during a test.
fn message(number: u8, size: u16) -> Record {
    let mut record = keyed(&format!("m{number}"), &format!("key {}", number % 5), &[]);
    record.retention_ms = 3_600_000;
    record.body = vec![number; usize::from(size)].into();
    record
}

/// A message whose end is remembered for no longer than `statusTtlS`.
fn short_lived(number: u8, size: u16) -> Record {
    Record { retention_ms: SHORT_RETENTION_MS, ..message(number, size) }
}

fn set_placement(node: &mut Node) {
    node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
}

fn check(node: &mut Node, known: &BTreeMap<u8, Acknowledged>) -> Result<(), String> {
    for (number, known) in known {
        let name = message(*number, 0).name;
        let status = node.look(&name).ok_or("no answer")?;
        let fail = |what: &str| Err(format!("message {number}: {what}; {known:?}, {status:?}"));
        match &status {
            Status::Ended(end) if !known.sent_ends.contains(&end.rank()) => {
                return fail("the end was never sent");
            }
            Status::Ended(end) if known.end.is_some_and(|best| end.rank() > best) => {
                return fail("the end has a higher rank than the acknowledged one");
            }
            Status::Ended(_) => {}
            _ if known.end.is_some() => return fail("the end is lost"),
            Status::Unknown if known.is_appended => return fail("the record is lost"),
            _ => {}
        }
        let is_completed = matches!(status, Status::Ended(End::Completed { .. }));
        if known.is_appended && !is_completed {
            let Some(record) = node.fetch(&name) else { return fail("the body is lost") };
            if record.body.iter().any(|byte| byte != number) {
                return fail("the body differs");
            }
            let is_listed = node.open_names(1, &format!("key {}", number % 5)).contains(&name);
            if is_listed == matches!(status, Status::Ended(_)) {
                return fail("the list of open messages differs");
            }
        }
    }
    Ok(())
}

/// What the response to a request will acknowledge.
enum Sent {
    Append(u8),
    End(u8, u8),
}

/// A store under test, with the state that it has acknowledged.
struct Run {
    node: Node,
    known: BTreeMap<u8, Acknowledged>,
    sent: BTreeMap<u64, Sent>,
}

impl Run {
    fn restart(&mut self) {
        self.node.restart();
        self.sent.clear();
        set_placement(&mut self.node);
    }

    /// Records the acknowledgements in the responses.
    fn collect(&mut self) {
        for (token, response) in std::mem::take(&mut self.node.answers) {
            let response = Some(response);
            // An append to a message that has another owner or has ended is acknowledged with the status of the message.
            let is_acknowledged = is_done(&response) || status_in_response(&response).is_some();
            let sent = self.sent.remove(&token).filter(|_| is_acknowledged);
            match sent {
                Some(Sent::Append(number)) => self.known.entry(number).or_default().is_appended = true,
                Some(Sent::End(number, rank)) => {
                    let known = self.known.entry(number).or_default();
                    known.end = Some(known.end.map_or(rank, |best| best.min(rank)));
                }
                None => {}
            }
        }
    }

    fn step(&mut self, step: Step) {
        let node = &mut self.node;
        match step {
            Step::Append { message: number, size } => {
                // Half of the appends do not renew the lease of the owner, so that claims can be granted.
                let renews_lease = number % 2 == 0;
                let (epoch, record) = (PlacementEpoch(1), message(number, size));
                let token = node.send(StoreRequest::Append { epoch, record, renews_lease });
                self.sent.insert(token, Sent::Append(number));
            }
            Step::End { message: number, end } => {
                let end = end_of(end);
                let rank = end.rank();
                self.known.entry(number).or_default().sent_ends.push(rank);
                let token = node.send(ended(&message(number, 0).name, end));
                self.sent.insert(token, Sent::End(number, rank));
            }
            Step::Attempt { message: number, failures } => {
                let name = message(number, 0).name;
                let facts = vec![Fact::Attempted { name, failures: u32::from(failures) }];
                node.send(StoreRequest::Settle { facts });
            }
            Step::Claim { message: number, claim } => {
                let names = vec![message(number, 0).name];
                node.send(StoreRequest::Claim { names, owner: owner("b", 1), claim: u32::from(claim) });
            }
            Step::Sync { at_once } => {
                node.sync();
                node.syncs_at_once = at_once;
            }
            Step::LosePower { seed } => {
                node.files.lose_power(seed);
                self.restart();
            }
            Step::Restart => {
                node.files.fail_syncs(0);
                self.restart();
            }
            Step::FailSyncs { count } => node.files.fail_syncs(u32::from(count)),
            Step::Wait { milliseconds } => node.advance(u64::from(milliseconds) * MILLISECOND),
        }
        self.collect();
    }
}

fn run(steps: Vec<Step>, has_memory: bool) -> Result<(), String> {
    // The disk is so small that cleaning runs most of the time, and that records are occasionally declined.
    let settings = StoreSettings {
        memory_bytes: if has_memory { 1_000_000 } else { 0 },
        clean_above_bytes: 2_000,
        disk_bytes: 16_000,
        status_ttl: 3_600 * SECOND,
        ..settings("s1")
    };
    let options = LogOptions { segment_bytes: 500 };
    let mut node = Node::on(settings, SimulatedFiles::new(), options, 0);
    set_placement(&mut node);
    node.advance(OWNER_LEASE);
    let mut run = Run { node, known: BTreeMap::new(), sent: BTreeMap::new() };
    for step in steps {
        let is_restart = matches!(step, Step::LosePower { .. } | Step::Restart);
        run.step(step);
        if is_restart {
            check(&mut run.node, &run.known)?;
        }
    }
    run.node.files.fail_syncs(0);
    run.node.files.lose_power(0);
    run.restart();
    check(&mut run.node, &run.known)
}

/// Guards against acknowledged records, ends and bodies that are lost by a restart, a power loss or cleaning, and against
/// ends that were never sent.
#[test]
fn acknowledged_data_survives_restarts_and_cleaning() {
    let property = run as fn(Vec<Step>, bool) -> Result<(), String>;
    QuickCheck::new().rng(Gen::new(1_000)).tests(300).quickcheck(property);
}

/// Guards against ended and forgotten messages that become open again, because the segment with their record was kept
/// longer than the segment with their end.
#[test]
fn forgotten_messages_do_not_become_open_again() {
    let settings = StoreSettings { clean_above_bytes: 8_000, ..settings("s1") };
    let mut node = Node::on(settings, SimulatedFiles::new(), LogOptions { segment_bytes: 1_000 }, 0);
    set_placement(&mut node);
    let fill = |node: &mut Node, from: u32, count: u32| {
        for number in from..from + count {
            let mut record = record(&format!("fill{number}"));
            record.body = vec![1; 300].into();
            record.retention_ms = SHORT_RETENTION_MS;
            node.ask(append(1, &record));
            node.ask(ended(&record.name, completed("x")));
        }
    };
    let (end_first, record_first, dead) = (short_lived(1, 200), short_lived(2, 200), short_lived(3, 200));
    node.ask(ended(&end_first.name, End::Refused));
    node.ask(append(1, &record_first));
    node.ask(append(1, &dead));
    fill(&mut node, 0, 5);
    node.ask(append(1, &end_first));
    node.ask(ended(&record_first.name, completed("x")));
    node.ask(ended(&dead.name, End::Refused));
    node.advance(STATUS_TTL + 2 * SECOND);
    for number in 0..60 {
        fill(&mut node, 100 + number, 1);
        node.advance(10 * SECOND);
        node.restart();
        set_placement(&mut node);
        for record in [&end_first, &record_first, &dead] {
            assert_eq!(node.look(&record.name), Some(Status::Unknown), "{:?} after {number}", record.name);
        }
    }
}

/// Guards against removing a segment before the copies of its needed entries are synced.
#[test]
fn segment_is_removed_only_after_its_copies_are_synced() {
    let mut rounds_with_waiting_copies = 0;
    for count in 0..20 {
        let settings = StoreSettings { clean_above_bytes: 8_000, ..settings("s1") };
        let mut node = Node::on(settings, SimulatedFiles::new(), LogOptions { segment_bytes: 1_000 }, 0);
        set_placement(&mut node);
        let kept = message(1, 200);
        node.ask(append(1, &kept));
        for number in 0..=count {
            node.syncs_at_once = number < count;
            let mut record = record(&format!("r{number}"));
            record.body = vec![1; 800].into();
            node.send(append(1, &record));
            node.send(ended(&record.name, completed("x")));
        }
        // Cleaning may start after this write; its copies then wait for a sync.
        node.sync();
        for _ in 0..20 {
            node.input(Input::Tick);
        }
        rounds_with_waiting_copies += usize::from(!node.unsynced.is_empty());
        node.files.lose_power(count);
        node.restart();
        set_placement(&mut node);
        assert_eq!(node.fetch(&kept.name), Some(kept), "after {count}");
    }
    assert!(rounds_with_waiting_copies > 0, "copies were waiting at least once");
}

/// Guards against losing the body of a dead letter with its segment, while its end is in a later segment.
#[test]
fn dead_letter_body_survives_removal_of_its_segment() {
    let settings = StoreSettings { clean_above_bytes: 4_000, ..settings("s1") };
    let mut node = Node::on(settings, SimulatedFiles::new(), LogOptions { segment_bytes: 1_000 }, 0);
    set_placement(&mut node);
    let dead = message(1, 200);
    node.ask(append(1, &dead));
    for number in 0..200 {
        let mut record = record(&format!("r{number}"));
        record.body = vec![1; 1_000].into();
        node.ask(append(1, &record));
        node.ask(ended(&record.name, completed("x")));
        if number == 20 {
            node.ask(ended(&dead.name, End::Refused));
        }
        node.advance(SECOND);
        if number % 10 == 0 {
            node.restart();
            set_placement(&mut node);
        }
        if number < 100 {
            assert_eq!(node.fetch(&dead.name).as_ref(), Some(&dead), "after {number}");
        }
    }
    assert!(node.files.content("segment-0000000000000001").is_none(), "the first segment was cleaned");
}

/// Guards against a log that grows without bound, and against cleaning that drops data that is still needed.
#[test]
fn log_size_stays_bounded() {
    let settings = StoreSettings { clean_above_bytes: 64 * 1024, ..settings("s1") };
    let mut node = Node::on(settings, SimulatedFiles::new(), LogOptions { segment_bytes: 16 * 1024 }, 0);
    set_placement(&mut node);
    let kept = message(200, 500);
    let dead = short_lived(201, 500);
    node.ask(append(1, &kept));
    node.ask(append(1, &dead));
    node.advance(OWNER_LEASE);
    node.ask(StoreRequest::Claim { names: vec![kept.name.clone()], owner: owner("b", 2), claim: 3 });
    node.ask(ended(&dead.name, End::Refused));
    let mut max_log_bytes = 0;
    for number in 0..20_000 {
        let mut record = record(&format!("r{number}"));
        record.body = vec![1; 1_000].into();
        record.retention_ms = SHORT_RETENTION_MS;
        assert!(is_done(&node.ask(append(1, &record))));
        assert!(is_done(&node.ask(ended(&record.name, completed("x")))));
        node.advance(20 * MILLISECOND);
        max_log_bytes = max_log_bytes.max(node.log_bytes());
        if number == 3_000 {
            assert_eq!(node.fetch(&dead.name), Some(dead.clone()), "a dead letter survives cleaning");
        }
    }
    // 6,000 ends are remembered at a time.
    assert!(max_log_bytes < 3_000_000, "{max_log_bytes}");
    assert_eq!(node.fetch(&kept.name), Some(kept.clone()));
    node.files.lose_power(0);
    node.restart();
    set_placement(&mut node);
    assert_eq!(node.fetch(&kept.name), Some(kept.clone()));
    let status = Status::Open { owner: owner("b", 2), claim: 3, failures: 0, released: false };
    assert_eq!(node.look(&kept.name), Some(status));
    assert_eq!(node.look(&record("r19999").name), Some(Status::Ended(completed("x"))));
    assert_eq!(node.look(&record("r1").name), Some(Status::Unknown));
    assert_eq!(node.look(&dead.name), Some(Status::Unknown));
}
