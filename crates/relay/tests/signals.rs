//! Signals in the first moments of a process: relays and stores that run alone, on loopback.
//!
//! A store that had just started died of SIGTERM's default (seed 706 of the soak), as it took signals only once its disk
//! and its doors were open. Between the start of a program and its first line nothing can be taken; what is promised is
//! that a process that has touched its disk heeds signals.

use std::fs::{self, OpenOptions};
use std::net::Ipv4Addr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Each millisecond from the start up to this has a process of its own.
const LAST_MS: u64 = 50;
/// Processes that run at a time.
const THREADS: u64 = 4;
/// Longer than a stop takes, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK_PERIOD: Duration = Duration::from_millis(5);
/// A process that dies of a signal has died within this.
const DEATH_TIME: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug)]
enum Role {
    Relay,
    Store,
}

/// A process of its own folder and address.
struct Process {
    child: Child,
    folder: PathBuf,
}

impl Process {
    fn start(role: Role, signal: Signal, folder: &Path, number: u64) -> Self {
        let own = std::process::id();
        let test =
            if matches!(role, Role::Relay) { 0 } else { 1 } + if signal == Signal::HUP { 2 } else { 0 };
        let address = Ipv4Addr::new(127, 212 + test, (own % 250) as u8, (number + 1) as u8);
        let folder = folder.join(number.to_string());
        fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("settings.toml");
        fs::write(&file, settings(role, address, &folder)).expect("settings");
        let log = OpenOptions::new().create(true).append(true).open(folder.join("log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_pewterseam"))
            .arg(if matches!(role, Role::Relay) { "relay" } else { "store" })
            .env("PEWTERSEAM_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("started");
        Process { child, folder }
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.child.id() as i32).expect("an id");
        kill_process(id, signal).expect("a child that was not waited for");
    }

    fn has_touched_its_disk(&self) -> bool {
        self.folder.join("data").exists()
    }

    fn end(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            match self.child.try_wait().expect("a child of this process") {
                None if Instant::now() < until => thread::sleep(LOOK_PERIOD),
                status => return status,
            }
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Danger: none. One that has ended needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(role: Role, address: Ipv4Addr, folder: &Path) -> String {
    let name = if matches!(role, Role::Relay) { "relay" } else { "store" };
    let mut text = format!(
        "nodeName = \"{name}\"\nrole = \"{name}\"\nip = \"{address}\"\nzone = \"a\"\nregion = \"local\"\n\
         portRange = [7403, 7403]\nseeds = [\"{address}:7402\"]\nbootstrap = true\ncountsForQuorum = true\n\
         dataDir = {:?}\n",
        folder.join("data"),
    );
    if matches!(role, Role::Relay) {
        text += &format!(
            "[bindAddrs]\nfront = \"{address}:7400\"\nreadiness = \"{address}:7401\"\ncontrol = \"{address}:7402\"\n"
        );
    }
    text +=
        "[limits]\ncores = 1\nmemoryMb = 160\nmaxFds = 1024\ndiskMb = 64\n[faultTolerance]\nmachines = 1\n";
    text + &format!("[cloudApi]\naddress = \"{address}:7500\"\nratePerS = 100.0\nlagMs = 0\n")
}

/// What went wrong with a process that was signalled so long after its start.
fn play(role: Role, signal: Signal, folder: &Path, after_ms: u64) -> Option<String> {
    let mut process = Process::start(role, signal, folder, after_ms);
    thread::sleep(Duration::from_millis(after_ms));
    process.signal(signal);
    let wrong = |process: &Process, what: &str| {
        Some(format!("{role:?}, {signal:?} after {after_ms} ms: {what}; its log:\n{}", process.log()))
    };
    if signal == Signal::HUP {
        let Some(status) = process.end(DEATH_TIME) else {
            process.signal(Signal::TERM);
            let ended_well = process.end(PATIENCE).is_some_and(|status| status.success());
            return if ended_well { None } else { wrong(&process, "does not stop afterwards") };
        };
        let is_early = status.signal() == Some(1) && !process.has_touched_its_disk();
        return if is_early { None } else { wrong(&process, &format!("ended, {status}")) };
    }
    match process.end(PATIENCE) {
        None => wrong(&process, "runs on"),
        Some(status) if status.success() => None,
        Some(status) if status.signal() == Some(15) && !process.has_touched_its_disk() => None,
        Some(status) => wrong(&process, &format!("ended, {status}")),
    }
}

fn play_all(role: Role, signal: Signal) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    let play_some = |first: u64| {
        let times = (first..=LAST_MS).step_by(THREADS as usize);
        times.filter_map(|after_ms| play(role, signal, path, after_ms)).collect::<Vec<_>>()
    };
    let wrong: Vec<String> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(move || play_some(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a thread that plays")).collect()
    });
    assert!(wrong.is_empty(), "{} of {}\n{}", wrong.len(), LAST_MS + 1, wrong.join("\n"));
}

/// Guards against a relay that dies of SIGTERM's default once it has begun to start.
#[test]
fn a_relay_that_starts_ends_in_order() {
    play_all(Role::Relay, Signal::TERM);
}

/// Guards against a store that dies of SIGTERM's default once it has begun to start.
#[test]
fn a_store_that_starts_ends_in_order() {
    play_all(Role::Store, Signal::TERM);
}

/// Guards against a relay that dies of SIGHUP's default once it has begun to start.
#[test]
fn a_relay_that_starts_outlasts_a_reload() {
    play_all(Role::Relay, Signal::HUP);
}

/// Guards against a store that dies of SIGHUP's default once it has begun to start.
#[test]
fn a_store_that_starts_outlasts_a_reload() {
    play_all(Role::Store, Signal::HUP);
}
