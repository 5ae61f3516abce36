//! Relays and stores as processes of the program, on loopback addresses of their own.

use std::collections::BTreeSet;
use std::fs::{self, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::judge::{Judge, KilledRelay};
use crate::plan::Size;
use crate::senders::{Connection, connections_of};

const FRONT_PORT: u16 = 7_400;
const READINESS_PORT: u16 = 7_401;
const CONTROL_PORT: u16 = 7_402;
const PEER_PORT: u16 = 7_403;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// `graceS`, with a second for a busy machine.
const GRACE: Duration = Duration::from_secs(7);
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// The kernel stops a process within this, on a busy machine.
const STOPPED_WITHIN: Duration = Duration::from_millis(500);
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// A relay or a store.
#[derive(Clone)]
pub struct Node {
    pub index: usize,
    pub name: String,
    pub address: Ipv4Addr,
    is_relay: bool,
    has_disk: bool,
    folder: PathBuf,
}

impl Node {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.address, port))
    }

    pub fn front(&self) -> SocketAddr {
        self.at(FRONT_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.at(READINESS_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL_PORT)
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join("settings.toml")
    }

    fn settings(&self, list: SocketAddr, seeds: &[SocketAddr], bootstrap: bool) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (role, zone) = (if self.is_relay { "relay" } else { "store" }, ZONES[self.index % ZONES.len()]);
        let mut text = format!(
            "nodeName = \"{}\"\nrole = \"{role}\"\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"local\"\n\
             portRange = [{PEER_PORT}, {PEER_PORT}]\nseeds = [{}]\nbootstrap = {bootstrap}\ncountsForQuorum = {}\n",
            self.name,
            self.address,
            seeds.join(", "),
            self.has_disk,
        );
        if self.has_disk {
            text += &format!("dataDir = {:?}\n", self.folder.join("data"));
        }
        if self.is_relay {
            let (front, readiness, control) = (self.front(), self.readiness(), self.control());
            text += &format!(
                "[bindAddrs]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\ncontrol = \"{control}\"\n"
            );
        }
        text += "[limits]\ncores = 1\nmemoryMb = 160\nmaxFds = 1024\ndiskMb = 64\n";
        text += "[faultTolerance]\nmachines = 1\n";
        text + &format!("[cloudApi]\naddress = \"{list}\"\nratePerS = 100.0\nlagMs = 0\n")
    }
}

/// Whether any thread of a process may run.
fn is_running(process: u32) -> bool {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let mut states = tasks.filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    // The state follows the name, which stands in brackets.
    states.any(|stat| stat.rsplit_once(") ").is_some_and(|(_, rest)| !rest.starts_with(['T', 't', 'Z', 'X'])))
}

/// The name of a relay.
pub fn relay_name(index: usize) -> String {
    format!("relay-{index}")
}

/// Who is there, and where the platform's list is.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub size: Size,
    list: SocketAddr,
    judge: Arc<Judge>,
    processes: Vec<std::sync::Mutex<Option<Child>>>,
}

impl Cluster {
    /// Addresses of the cluster are those of the stand-ins' network, from the second on.
    pub fn new(folder: &Path, network: [u8; 2], size: Size, list: SocketAddr, judge: Arc<Judge>) -> Self {
        let relays = size.core + size.relays;
        let node = |index: usize| {
            let is_relay = index < relays;
            let name = if is_relay { relay_name(index) } else { format!("store-{}", index - relays) };
            let address = Ipv4Addr::new(127, network[0], network[1], index as u8 + 2);
            let has_disk = index < size.core || !is_relay;
            Node { index, folder: folder.join(&name), name, address, is_relay, has_disk }
        };
        let nodes: Vec<Node> = (0..relays + size.stores).map(node).collect();
        let processes = nodes.iter().map(|_| std::sync::Mutex::new(None)).collect();
        Cluster { nodes, size, list, judge, processes }
    }

    pub fn relays(&self) -> &[Node] {
        &self.nodes[..self.size.core + self.size.relays]
    }

    pub fn write_settings(&self, node: usize, bootstrap: bool) {
        let seeds: Vec<SocketAddr> = self.nodes[..self.size.core].iter().map(Node::control).collect();
        let node = &self.nodes[node];
        fs::create_dir_all(&node.folder).expect("a folder");
        fs::write(node.settings_file(), node.settings(self.list, &seeds, bootstrap)).expect("settings");
    }

    pub fn start(&self, node: usize) {
        let name = &self.nodes[node];
        let log = OpenOptions::new().create(true).append(true).open(name.folder.join("log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_pewterseam"))
            .arg(if name.is_relay { "relay" } else { "store" })
            .env("PEWTERSEAM_NODE_FILE", name.settings_file())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("started");
        *self.processes[node].lock().expect("whole") = Some(child);
        self.judge.disturbed(name.is_relay);
    }

    pub fn signal(&self, node: usize, signal: Signal) -> bool {
        let process = self.processes[node].lock().expect("whole");
        let id = process.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        id.is_some_and(|id| kill_process(id, signal).is_ok())
    }

    /// Waits until a process has ended, and takes it away. False where there was none.
    fn wait_for_end(&self, node: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let mut process = self.processes[node].lock().expect("whole");
            let Some(child) = process.as_mut() else { return false };
            if let Some(status) = child.try_wait().expect("a child of this process") {
                use std::os::unix::process::ExitStatusExt;
                if !status.success() && status.signal() != Some(9) {
                    self.judge.breach(format!("END: {} ended by itself: {status}", self.nodes[node].name));
                }
                *process = None;
                return true;
            }
            if Instant::now() >= until {
                let name = &self.nodes[node].name;
                self.judge.breach(format!("END: {name} runs {within:?} after its signal"));
                // Danger: none. It is reaped right after.
                let _ = child.kill();
            }
            drop(process);
            thread::sleep(LOOK_PERIOD);
        }
    }

    /// What a relay that is stopped has open to hosts.
    fn relay_connections(&self, node: usize) -> BTreeSet<Connection> {
        let process = self.processes[node].lock().expect("whole").as_ref().map(Child::id);
        process.map_or_else(BTreeSet::new, connections_of)
    }

    /// Tells the judge of a kill that follows at once. A relay stands still from then on: one that went on would open
    /// connections that are not among those seen, and send on them.
    fn announce_kill(&self, node: usize) {
        if !self.nodes[node].is_relay {
            return self.judge.killed(node, None);
        }
        let at = self.signal(node, Signal::STOP).then(|| self.wait_until_stopped(node));
        let connections = self.relay_connections(node);
        self.judge.killed(node, Some(KilledRelay { at: at.unwrap_or_else(Instant::now), connections }));
    }

    /// Waits until the kernel has stopped a process after its signal; gives the time.
    fn wait_until_stopped(&self, node: usize) -> Instant {
        let process = self.processes[node].lock().expect("whole").as_ref().map(Child::id);
        let until = Instant::now() + STOPPED_WITHIN;
        while process.is_some_and(is_running) && Instant::now() < until {
            thread::yield_now();
        }
        Instant::now()
    }

    /// Ends a process with a signal and starts it again.
    pub fn cycle(&self, node: usize, signal: Signal) {
        let is_kill = signal == Signal::KILL;
        if is_kill {
            self.announce_kill(node);
        } else {
            self.judge.disturbed(self.nodes[node].is_relay);
        }
        if self.signal(node, signal) && self.wait_for_end(node, GRACE) {
            thread::sleep(RESTART_PAUSE);
            self.write_settings(node, false);
            self.start(node);
            self.judge.returned(is_kill);
        }
    }

    pub fn reload(&self, node: usize) {
        self.write_settings(node, false);
        self.judge.disturbed(self.nodes[node].is_relay);
        self.signal(node, Signal::HUP);
    }

    /// Ends all processes, relays first.
    pub fn end(&self) {
        for range in [0..self.relays().len(), self.relays().len()..self.nodes.len()] {
            for node in range.clone() {
                self.signal(node, Signal::TERM);
            }
            for node in range {
                self.wait_for_end(node, GRACE);
            }
        }
    }

    /// What processes wrote that says that they failed.
    pub fn check_logs(&self) {
        for node in &self.nodes {
            let log = fs::read_to_string(node.folder.join("log")).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains("panicked")) {
                self.judge.breach(format!("PANIC: {}: {line}", node.name));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &self.processes {
            if let Ok(mut process) = process.lock()
                && let Some(child) = process.as_mut()
            {
                // Danger: none. One that has ended needs no kill.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
