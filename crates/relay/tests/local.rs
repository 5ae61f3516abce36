//! `pewterseam local` as a person meets it: real processes on loopback.

mod common;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Heard, Signal, hear};
use rustix::process::{Pid, kill_process};

/// Longer than anything here should take, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// A running local system and all that it has printed.
struct Local {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Local {
    fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pewterseam"));
        command.args(["local", "--for", "240", "--port", "0"]).stdout(Stdio::piped());
        let mut child = command.spawn().expect("started");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let output: ChildStdout = child.stdout.take().expect("piped");
        let kept = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                kept.lock().expect("whole").push(line);
            }
        });
        let local = Local { child, lines };
        local.wait_for("ready", |lines| lines.iter().any(|line| line.starts_with("ready")));
        local
    }

    fn wait_for(&self, what: &str, is_so: impl Fn(&[String]) -> bool) {
        wait_for(
            what,
            || is_so(&self.lines.lock().expect("whole")),
            || self.lines.lock().expect("whole").join("\n"),
        );
    }

    /// Who is which process now, with the rest of the line that tells it.
    fn processes(&self) -> BTreeMap<String, (i32, String)> {
        let lines = self.lines.lock().expect("whole");
        let processes = lines.iter().filter_map(|line| {
            let (name, rest) = line.split_once(" is process ")?;
            let (id, doors) = rest.split_once(": ")?;
            Some((name.to_owned(), (id.parse().ok()?, doors.to_owned())))
        });
        processes.collect()
    }

    /// Where a relay takes what is called `what` in its line.
    fn address(&self, relay: &str, what: &str) -> SocketAddr {
        let (_, doors) = &self.processes()[relay];
        let (_, rest) = doors.split_once(what).expect("told");
        rest.trim_start_matches(" at ")
            .split(',')
            .next()
            .and_then(|text| text.parse().ok())
            .expect("an address")
    }

    fn signal(&self, name: &str, signal: Signal) {
        let (id, _) = self.processes()[name];
        kill_process(Pid::from_raw(id).expect("a process"), signal).expect("sent");
        wait_for("started again", || self.processes()[name].0 != id, || name.to_owned());
    }

    fn runs(&self, request: &str) -> usize {
        let word = format!(" ran {request}: ");
        self.lines.lock().expect("whole").iter().filter(|line| line.contains(&word)).count()
    }
}

impl Drop for Local {
    fn drop(&mut self) {
        if let Some(id) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(id, Signal::TERM);
        }
        let _ = self.child.wait();
    }
}

fn wait_for(what: &str, is_so: impl Fn() -> bool, told: impl Fn() -> String) {
    let give_up = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < give_up, "not in time: {what}\n{}", told());
        thread::sleep(LOOK_PERIOD);
    }
}

/// The answer to one request. None: there is none, as from a relay that is being started again.
fn ask(address: SocketAddr, request: &str) -> Option<Heard> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    hear(&mut stream).ok().flatten()
}

/// Hands a message in until it is accepted, as clients do after a promise that it was not taken. Returns its name.
fn hand_in(address: SocketAddr, path: &str, id: &str, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |key| format!("X-Ordering-Key: {key}\r\n"));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: local.example\r\nX-Request-Id: {id}\r\n{key}Content-Length: 5\r\n\r\nhello"
    );
    let give_up = Instant::now() + PATIENCE;
    loop {
        if let Some(heard) = ask(address, &request)
            && heard.status() == 202
        {
            return heard.header("X-Queue-Message-Id").unwrap_or(id).to_owned();
        }
        assert!(Instant::now() < give_up, "{id} is not accepted");
        thread::sleep(LOOK_PERIOD);
    }
}

fn state(address: SocketAddr, name: &str) -> Option<String> {
    let request = format!("GET /-/message/{name} HTTP/1.1\r\nHost: local.example\r\n\r\n");
    let heard = ask(address, &request).filter(|heard| heard.status() == 200)?;
    let value: serde_json::Value = serde_json::from_slice(&heard.body).ok()?;
    value["state"].as_str().map(str::to_owned)
}

fn wait_for_state(address: SocketAddr, name: &str, wanted: &str) {
    wait_for(
        &format!("{name} {wanted}"),
        || state(address, name).as_deref() == Some(wanted),
        || format!("{:?}", state(address, name)),
    );
}

fn pewterseam(arguments: &[&str]) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pewterseam"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("started");
    let mut text = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut text).expect("text");
    assert!(child.wait().expect("ended").success(), "{arguments:?}: {text}");
    text
}

// Danger: what was acknowledged is lost with the process that acknowledged it, or with one store.
#[test]
fn messages_are_delivered_and_nothing_is_lost_with_a_relay_or_a_store() {
    let local = Local::start();
    let relays = ["relay-a", "relay-b", "relay-c"].map(|name| local.address(name, "clients"));
    let mut names = vec![("completed", hand_in(relays[0], "/hello/1", "first", None))];
    names.push(("dead_letter", hand_in(relays[1], "/refuse/1", "refused", None)));
    names.push(("completed", hand_in(relays[2], "/ordered/1", "ordered", Some("thing"))));
    for (wanted, name) in &names {
        wait_for_state(relays[1], name, wanted);
    }
    for (turn, (node, signal)) in [
        ("relay-a", Signal::TERM),
        ("relay-b", Signal::KILL),
        ("store-a", Signal::TERM),
        ("store-b", Signal::KILL),
    ]
    .into_iter()
    .enumerate()
    {
        for number in 0..10 {
            let (id, to) = (format!("m-{turn}-{number}"), relays[number % relays.len()]);
            names.push(("completed", hand_in(to, "/hello/2", &id, None)));
        }
        local.signal(node, signal);
    }
    for (wanted, name) in &names {
        wait_for_state(relays[2], name, wanted);
    }
    assert_eq!(local.runs("refused"), 1);
    let known = ["first", "ordered"].map(|id| local.runs(id));
    assert_eq!(known, [1, 1]);
    let control = local.address("relay-b", "operator").to_string();
    wait_for(
        "all are seen again",
        || pewterseam(&["status", &control]).matches("member: ").count() == 6,
        || pewterseam(&["status", &control]),
    );
}

#[test]
fn the_operator_reads_and_puts_the_configuration_and_sees_what_a_store_holds() {
    let local = Local::start();
    let front = local.address("relay-a", "clients");
    let name = hand_in(front, "/hello/1", "kept", None);
    wait_for_state(front, &name, "completed");
    let control = local.address("relay-c", "operator").to_string();
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("next.json");
    let mut next: serde_json::Value =
        serde_json::from_str(&pewterseam(&["config", "get", &control])).expect("the configuration");
    next["version"] = 5.into();
    std::fs::write(&path, next.to_string()).expect("written");
    let file = path.to_string_lossy();
    assert_eq!(pewterseam(&["config", "check", &file]), "version 5: 4 routes, 1 services\n");
    assert_eq!(pewterseam(&["config", "put", &control, &file]), "version 5 is in place\n");
    // Given again, it is acknowledged again.
    assert_eq!(pewterseam(&["config", "put", &control, &file, "--if-match", "1"]), "version 5 is in place\n");
    wait_for(
        "in force",
        || pewterseam(&["status", &control]).contains("\nconfiguration 5, "),
        || pewterseam(&["status", &control]),
    );
    let found = ["store-a", "store-b", "store-c"].into_iter().filter(|store| {
        let (_, data) = &local.processes()[*store];
        let data = data.trim_start_matches("data in ");
        pewterseam(&["log", data, "--names"]).contains("kept completed")
    });
    assert!(found.count() >= 2, "an end is kept by a quorum");
}
