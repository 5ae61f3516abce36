//! Frames in both directions: well-formed, truncated and corrupt, and once through the built binary.

use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::{Command, Stdio};

use pewterseam_adapter::codec::{ACTION_SIZE, Batch, EVENT_SIZE, REPLY_HEADER, Record, Reply, WireError};
use pewterseam_adapter::instances::Instances;
use pewterseam_settings::time::{micros, seconds};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SETTINGS: &str = r#"{
  "allowed": {"attempts_cap": 4, "cancel": true, "conn_idle_s": 10.0, "dial_timeout_s": 1.0, "most_held": 20,
              "max_retry_after_s": 2.0, "retry_after": true, "peers": true, "an_unknown_key": [1, 2]},
  "classes": [{"deadline_s": 5.0, "effect": "free", "goal_time_s": 1.0, "value": 1.0, "name": "note"}],
  "family_info": {"slots": 4, "bundle_max": [1], "routes_apart": [false]},
  "group_size": 2, "me": 1, "membership_mode": "push", "models": ["only"],
  "rules": {"cold_s": 10.0, "cold_share": 0.2, "overload_factor": 2.0, "stop_sending_within_s": 1.0,
            "tip_after_s": 3.0},
  "weights": "nominal"
}"#;

/// A frame under construction.
#[derive(Default)]
struct Frame {
    records: Vec<[u8; EVENT_SIZE]>,
    tail: Vec<u8>,
}

impl Frame {
    fn event(mut self, code: u8, fields: &[(usize, &[u8])]) -> Self {
        let mut record = [0; EVENT_SIZE];
        record[0] = code;
        for (at, bytes) in fields {
            record[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(record);
        self
    }

    /// Adds content to the tail and returns the field that refers to it.
    fn content(&mut self, bytes: &[u8], count: u32) -> [u8; 8] {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        let mut field = [0; 8];
        field[..4].copy_from_slice(&offset.to_be_bytes());
        field[4..].copy_from_slice(&count.to_be_bytes());
        field
    }

    fn create(mut self, instance: u32, text: &str) -> Self {
        let config = self.content(text.as_bytes(), text.len() as u32);
        self.event(4, &[(1, &instance.to_be_bytes()), (5, &9u64.to_be_bytes()), (13, &config)])
    }

    fn list(mut self, number: u16, lifecycle: u8, kind: u8) -> Self {
        let mut entry = [0; 24];
        entry[..6].copy_from_slice(&[10, 0, 0, 1, 20, 0]);
        entry[8] = kind;
        entry[9..11].copy_from_slice(&7u16.to_be_bytes());
        entry[11] = lifecycle;
        entry[12..16].copy_from_slice(&5.0f32.to_be_bytes());
        let entries = self.content(&entry, 1);
        self.event(5, &[(1, &number.to_be_bytes()), (3, &entries)])
    }

    fn registry(self, instance: u32, scope: u8, number: u16) -> Self {
        self.event(7, &[(1, &instance.to_be_bytes()), (5, &[scope]), (10, &number.to_be_bytes())])
    }

    fn request(self, instance: u32, id: u64, deadline: f64) -> Self {
        self.event(
            10,
            &[
                (1, &instance.to_be_bytes()),
                (5, &id.to_be_bytes()),
                (22, &7.0f32.to_be_bytes()),
                (35, &deadline.to_be_bytes()),
            ],
        )
    }

    fn bytes(&self, clock: f64) -> Vec<u8> {
        let size = 16 + self.records.len() * EVENT_SIZE + self.tail.len();
        let mut bytes = (self.records.len() as u32).to_be_bytes().to_vec();
        bytes.extend((size as u32).to_be_bytes());
        bytes.extend(clock.to_be_bytes());
        bytes.extend(self.records.iter().flatten());
        bytes.extend(&self.tail);
        bytes
    }
}

/// A frame that creates an instance, lists a host and submits a message.
fn opening() -> Frame {
    Frame::default().create(3, SETTINGS).list(0, 2, 0).registry(3, 0, 0).request(3, 77, 15.0)
}

/// Processes frames and returns the records of the last reply.
fn process(instances: &mut Instances, bytes: &[u8]) -> Result<Vec<Vec<u8>>, WireError> {
    let mut input = bytes;
    let mut records = Vec::new();
    while let Some(batch) = Batch::read(&mut input)? {
        let mut frame = Vec::new();
        instances.answer(&batch)?.write(&mut frame)?;
        assert_eq!(frame[..4], (frame.len() as u32).to_be_bytes());
        let count = u32::from_be_bytes(frame[4..8].try_into().expect("four bytes")) as usize;
        let body = &frame[REPLY_HEADER..REPLY_HEADER + count * ACTION_SIZE];
        records = body.chunks_exact(ACTION_SIZE).map(<[u8]>::to_vec).collect();
    }
    Ok(records)
}

fn error_text(bytes: &[u8]) -> String {
    process(&mut Instances::default(), bytes).expect_err("an error").to_string()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let batch =
        Batch::read(&mut Frame::default().bytes(8.5).as_slice()).expect("well formed").expect("a batch");
    let mut frame = Vec::new();
    Instances::default().answer(&batch).expect("answered").write(&mut frame).expect("written");
    assert_eq!(frame, [0, 0, 0, 8, 0, 0, 0, 0]);
}

#[test]
fn a_message_is_sent_to_the_listed_host_of_its_destination() {
    let records = process(&mut Instances::default(), &opening().bytes(10.0)).expect("answered");
    let sent: Vec<_> = records.iter().filter(|record| record[0] == 5).collect();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0][1..5], 3u32.to_be_bytes());
    assert_eq!(sent[0][5..13], 77u64.to_be_bytes());
    assert_eq!(sent[0][13..19], [10, 0, 0, 1, 20, 0]);
}

#[test]
fn a_list_number_is_resolved_in_the_order_of_events() {
    // The list is redefined, with its host gone, after the registry event that used it.
    let frame = Frame::default().create(3, SETTINGS).list(0, 2, 0).registry(3, 0, 0).list(0, 0, 0);
    let records =
        process(&mut Instances::default(), &frame.request(3, 1, 15.0).bytes(10.0)).expect("answered");
    assert!(records.iter().any(|record| record[0] == 5));
}

#[test]
fn instances_are_independent_and_a_killed_one_restarts_empty() {
    let mut instances = Instances::default();
    let frame = opening().create(4, SETTINGS).registry(4, 0, 0);
    process(&mut instances, &frame.bytes(10.0)).expect("answered");
    let again = Frame::default().event(6, &[(1, &3u32.to_be_bytes())]).create(3, SETTINGS);
    let records =
        process(&mut instances, &again.list(1, 2, 0).registry(3, 0, 1).bytes(10.1)).expect("answered");
    assert!(records.iter().all(|record| record[0] != 5 && record[1..5] == 3u32.to_be_bytes()));
    let unknown = Frame::default().event(11, &[(1, &8u32.to_be_bytes())]);
    assert!(process(&mut instances, &unknown.bytes(10.2)).is_err());
}

#[test]
fn malformed_input_is_described() {
    assert!(error_text(&Frame::default().event(99, &[]).bytes(1.0)).contains("unknown event code 99"));
    assert!(
        error_text(&Frame::default().create(3, SETTINGS).registry(3, 1, 5).bytes(1.0))
            .contains("never defined")
    );
    assert!(error_text(&Frame::default().create(3, "{}").bytes(1.0)).contains("missing field"));
    assert!(error_text(&Frame::default().list(16, 2, 0).bytes(1.0)).contains("list number 16"));
    assert!(error_text(&Frame::default().list(0, 3, 0).bytes(1.0)).contains("lifecycle 3"));
    let foreign_kind = Frame::default().create(3, SETTINGS).list(0, 2, 9).registry(3, 0, 0);
    assert!(error_text(&foreign_kind.bytes(1.0)).contains("kind 9"));
    let out_of_bounds = Frame::default().event(4, &[(13, &[0, 0, 0, 9, 0, 0, 0, 9])]);
    assert!(error_text(&out_of_bounds.bytes(1.0)).contains("out of bounds"));
    assert!(error_text(&opening().bytes(f64::NAN)).contains("clock"));
    let whole = opening().bytes(1.0);
    assert!(error_text(&whole[..7]).contains("batch header"));
    assert!(error_text(&whole[..whole.len() - 1]).contains("input ends"));
}

#[test]
fn corrupt_frames_never_panic() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let whole = opening().bytes(10.0);
    let flips = proptest::collection::vec((0..whole.len(), any::<u8>()), 1..6);
    let cut = 0..=whole.len();
    let checked = TestRunner::new_with_rng(config, rng).run(&(flips, cut), |(flips, cut)| {
        let mut bytes = whole.clone();
        for (at, value) in flips {
            bytes[at] = value;
        }
        bytes.truncate(cut);
        let answered = catch_unwind(AssertUnwindSafe(|| process(&mut Instances::default(), &bytes).is_ok()));
        prop_assert!(answered.is_ok());
        Ok(())
    });
    checked.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn replies_carry_their_tail() {
    let mut reply = Reply::default();
    reply.push_with(Record::new(9, 5), 5, b"two hosts known");
    reply.push_with(Record::new(9, 6), 5, b"!");
    let mut frame = Vec::new();
    reply.write(&mut frame).expect("written");
    assert_eq!(frame.len(), REPLY_HEADER + 2 * ACTION_SIZE + 16);
    assert_eq!(frame[REPLY_HEADER + ACTION_SIZE + 5..][..8], [0, 0, 0, 15, 0, 0, 0, 1]);
    assert!(frame.ends_with(b"two hosts known!"));
}

#[test]
fn times_never_read_back_earlier() {
    for time in [0, 1, 999_999, 1_000_001, 411_717_291_598, 4_503_599_627_370_495] {
        assert!(micros(seconds(time)).is_some_and(|back| back >= time));
    }
    assert_eq!(micros(f64::NAN), None);
    assert_eq!(micros(-1.0), None);
}

#[test]
fn unknown_settings_are_ignored_and_known_ones_read() {
    let settings = pewterseam_settings::parse(SETTINGS.as_bytes()).expect("well formed").settings;
    assert_eq!((settings.me, settings.senders, settings.slots), (1, 2, 4));
    assert_eq!((settings.max_retry_after, settings.cold_time), (2_000_000, 10_000_000));
    assert!(pewterseam_settings::parse(SETTINGS.replace("\"free\"", "\"odd\"").as_bytes()).is_err());
}

/// Runs the built binary on the input; returns its exit code, output and error text.
fn run(input: &[u8]) -> (Option<i32>, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pewterseam-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the built binary");
    child.stdin.take().expect("piped").write_all(input).expect("written");
    let done = child.wait_with_output().expect("failed to wait for the binary");
    (done.status.code(), done.stdout, String::from_utf8_lossy(&done.stderr).into_owned())
}

#[test]
fn the_binary_answers_over_a_pipe_and_ends_with_its_input() {
    let mut input = opening().bytes(10.0);
    input.extend(Frame::default().bytes(10.1));
    let (code, output, error_output) = run(&input);
    assert_eq!(code, Some(0), "{error_output}");
    assert!(output.ends_with(&[0, 0, 0, 8, 0, 0, 0, 0]));
}

#[test]
fn the_binary_describes_malformed_input_on_one_line_and_fails() {
    let (code, _, error_output) = run(&opening().bytes(10.0)[..40]);
    assert_eq!(code, Some(1));
    assert!(
        error_output.starts_with("pewterseam-adapter: malformed frame") && error_output.lines().count() == 1,
        "{error_output}"
    );
}
