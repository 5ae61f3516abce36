//! A core member's state saved from its data folder, and restored into an empty one.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_console::error::ConsoleError;
use pewterseam_console::log::describe;
use pewterseam_console::snapshot::{restore, save};
use pewterseam_control::{Control, ControlSettings, Effect, OperatorRequest, Outcome, Token};
use pewterseam_storage::{DataFolder, Log, LogOptions, open_disk_id};
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Role};

const SECOND: u64 = 1_000_000;
const CONFIGURATION: &str = r#"{"version":4,"routes":[{"name":"r","hostname":"h.example","pathPrefix":"/a/","type":"async","timeoutMs":600,"backend":"b"}],"backends":[{"name":"b"}]}"#;

fn info(name: &str, disk: u64) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(name),
        life: Life(1),
        role: Role::Relay,
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7240)),
        zone: Arc::from("zone"),
        region: Arc::from("region"),
        disk: Some(DiskId(disk)),
        counts_for_quorum: true,
        ready: true,
    }
}

/// A member that is alone, with what it wants written.
struct Member {
    control: Control,
    now: u64,
    records: Vec<Bytes>,
    outcomes: Vec<Outcome>,
}

impl Member {
    fn new(info: &NodeInfo, bootstrap: bool, log: (Option<Bytes>, Vec<Bytes>)) -> Self {
        let settings =
            ControlSettings { bootstrap, seeds: vec![info.peer_address], ..ControlSettings::default() };
        let control = Control::new(0, info, settings, log, 1).expect("the log can be read");
        Member { control, now: 0, records: Vec::new(), outcomes: Vec::new() }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist { records, sequence } => {
                    self.records.extend(records);
                    let effects = self.control.persisted(self.now, sequence);
                    self.carry_out(effects);
                }
                Effect::Answer { outcome, .. } => self.outcomes.push(outcome),
                _ => {}
            }
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.control.next_wake().clamp(self.now + 1, end);
            let effects = self.control.tick(self.now);
            self.carry_out(effects);
        }
    }

    fn order(&mut self, request: OperatorRequest) -> Option<Outcome> {
        let effects = self.control.operator(self.now, Token(1), request);
        self.carry_out(effects);
        self.run(2 * SECOND);
        self.outcomes.pop()
    }
}

/// A data folder with the log of a member that has taken a configuration.
fn data_folder(path: &Path) {
    let mut root = DataFolder::open(path).expect("a folder");
    let info = info("relay-1", open_disk_id(&mut root).expect("drawn"));
    let mut member = Member::new(&info, true, (None, Vec::new()));
    member.run(8 * SECOND);
    let accepted = member.order(OperatorRequest::put(0, Bytes::from_static(CONFIGURATION.as_bytes())));
    assert_eq!(accepted, Some(Outcome::Accepted { version: 4 }));
    let files = DataFolder::open(&path.join("control")).expect("a folder");
    let mut log = Log::open(files, LogOptions::default(), &mut |_| {}).expect("opened");
    log.append(&member.records).expect("written");
}

fn recovered(path: &Path) -> (Option<Bytes>, Vec<Bytes>) {
    let files = DataFolder::open(&path.join("control")).expect("a folder");
    let (mut snapshot, mut records) = (None, Vec::new());
    Log::open(files, LogOptions::default(), &mut |found| {
        let payload = Bytes::copy_from_slice(found.payload);
        match found.from {
            pewterseam_storage::RecoveredFrom::Snapshot { .. } => snapshot = Some(payload),
            pewterseam_storage::RecoveredFrom::Segment { .. } => records.push(payload),
        }
    })
    .expect("opened");
    (snapshot, records)
}

// Danger: the restored member has another configuration, or cannot lead, or its log does not tell that it was forced.
#[test]
fn a_saved_state_is_restored_with_one_member_as_the_core() {
    let folder = tempfile::tempdir().expect("a folder");
    let (data, file, new) =
        (folder.path().join("data"), folder.path().join("saved"), folder.path().join("new"));
    fs::create_dir(&data).expect("made");
    data_folder(&data);
    let saved = save(&data, &file).expect("saved").to_string();
    assert!(saved.contains("configuration 4"), "{saved}");
    let told = restore(&file, &new, "relay-9").expect("restored").to_string();
    assert!(told.contains("relay-9 alone as the core") && told.contains("lost"), "{told}");
    let text = describe(&new, false).expect("told");
    assert!(text.contains("core: relay-9") && text.contains("was forced on top of state"), "{text}");
    let mut root = DataFolder::open(&new).expect("a folder");
    let info = info("relay-9", open_disk_id(&mut root).expect("it is there"));
    let mut member = Member::new(&info, false, recovered(&new));
    member.run(8 * SECOND);
    assert!(member.control.is_leader() && member.control.is_current(member.now));
    let next = CONFIGURATION.replace("\"version\":4", "\"version\":5");
    assert_eq!(member.order(OperatorRequest::put(4, next.into())), Some(Outcome::Accepted { version: 5 }));
}

// Danger: a member that still holds something is overwritten, or a damaged file or an empty log is taken for a state.
#[test]
fn nothing_is_overwritten_and_nothing_damaged_is_restored() {
    let folder = tempfile::tempdir().expect("a folder");
    let (data, file) = (folder.path().join("data"), folder.path().join("saved"));
    fs::create_dir(&data).expect("made");
    assert!(matches!(save(&data, &file), Err(ConsoleError::NoLog { .. })));
    fs::create_dir(data.join("control")).expect("made");
    assert!(matches!(save(&data, &file), Err(ConsoleError::NoState { .. })));
    data_folder(&data);
    save(&data, &file).expect("saved");
    let before = fs::read(&file).expect("read");
    assert!(matches!(save(&data, &file), Err(ConsoleError::Write { .. })));
    assert!(matches!(restore(&file, &data, "relay-1"), Err(ConsoleError::NotEmpty { .. })));
    assert_eq!(fs::read(&file).expect("read"), before);
    let cut = folder.path().join("cut");
    fs::write(&cut, &before[..before.len() - 1]).expect("written");
    let new = folder.path().join("new");
    assert!(matches!(restore(&cut, &new, "relay-1"), Err(ConsoleError::NoSnapshot { .. })));
    assert!(!new.exists());
}
