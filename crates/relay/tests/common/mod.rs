//! Stand-ins on loopback for what a relay speaks to, and the relay as a process of its own.
#![allow(dead_code)]

#[path = "../../../node/tests/common/settings.rs"]
mod settings;

use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Pid;
pub use rustix::process::Signal;
use serde_json::{Value, json};
pub use settings::settings;

/// Longer than anything here should take, so that a busy machine changes no verdict.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// One HTTP message as it came: first line, headers, body.
#[derive(Clone, Debug)]
pub struct Heard {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Heard {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = |(other, _): &&(String, String)| other.eq_ignore_ascii_case(name);
        self.headers.iter().find(named).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
    }
}

/// Reads one message off a connection; none at its end.
pub fn hear(stream: &mut TcpStream) -> io::Result<Option<Heard>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let header = |line: &str| line.split_once(": ").map(|(name, value)| (name.to_owned(), value.to_owned()));
    let mut heard = Heard { line, headers: lines.filter_map(header).collect(), body: Vec::new() };
    let length = heard.header("Content-Length").map_or(0, |length| length.parse().expect("a length"));
    heard.body = vec![0; length];
    stream.read_exact(&mut heard.body)?;
    Ok(Some(heard))
}

/// What a stand-in does with a request: write these bytes, or keep silent.
pub type Answer = Option<Vec<u8>>;

pub fn answer(status: u16, headers: &str, body: &str) -> Answer {
    Some(format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes())
}

type Behaviour = Box<dyn Fn(&Heard) -> Answer + Send>;

/// A server whose answers a test can change, and that remembers what it heard.
#[derive(Clone)]
pub struct StandIn {
    pub address: SocketAddr,
    heard: Arc<Mutex<Vec<Heard>>>,
    behaviour: Arc<Mutex<Behaviour>>,
    connections: Arc<Mutex<usize>>,
}

impl StandIn {
    pub fn start(behaviour: impl Fn(&Heard) -> Answer + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let stand_in = StandIn {
            address: listener.local_addr().expect("bound"),
            heard: Arc::default(),
            behaviour: Arc::new(Mutex::new(Box::new(behaviour))),
            connections: Arc::default(),
        };
        let server = stand_in.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                *server.connections.lock().expect("whole") += 1;
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        stand_in
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some(heard)) = hear(&mut stream) {
            self.heard.lock().expect("whole").push(heard.clone());
            let answer = (self.behaviour.lock().expect("whole"))(&heard);
            if let Some(bytes) = answer
                && stream.write_all(&bytes).is_err()
            {
                return;
            }
        }
    }

    pub fn behave(&self, behaviour: impl Fn(&Heard) -> Answer + Send + 'static) {
        *self.behaviour.lock().expect("whole") = Box::new(behaviour);
    }

    pub fn heard(&self) -> Vec<Heard> {
        self.heard.lock().expect("whole").clone()
    }

    /// The `Request-Id` of each request to hosts, in order.
    pub fn ids(&self) -> Vec<String> {
        let ids = self.heard().into_iter().filter_map(|heard| heard.header("Request-Id").map(str::to_owned));
        ids.collect()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock().expect("whole")
    }
}

/// The platform's agent: a list of one host of destination 7, watches that tell nothing new, and notices.
pub fn platform(host: SocketAddr) -> StandIn {
    StandIn::start(move |heard| platform_answer(heard, host))
}

pub fn list(host: SocketAddr, state: &str) -> Value {
    json!({"rev": 4, "all": true, "targets": [{"uid": "s-1", "endpoint": host, "az": "a", "model": "partner",
        "pod_group": 7, "state": state, "capacity_hint": 4.0, "boot_ms": 0}]})
}

pub fn platform_answer(heard: &Heard, host: SocketAddr) -> Answer {
    if heard.line.starts_with("POST /reports") {
        return answer(204, "", "");
    }
    if heard.line.contains("index=") {
        thread::sleep(Duration::from_millis(50));
        return answer(200, "", &json!({"rev": 4, "all": false, "targets": []}).to_string());
    }
    answer(200, "", &list(host, "Ready").to_string())
}

/// The notices that a platform was told, as (id, state).
pub fn notices(platform: &StandIn) -> Vec<(String, String)> {
    let told = platform.heard().into_iter().filter(|heard| heard.line.starts_with("POST /reports"));
    let lines = told.flat_map(|heard| {
        let text = String::from_utf8(heard.body).expect("text");
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect::<Vec<Value>>()
    });
    let text = |value: &Value| value.as_str().expect("text").to_owned();
    lines.map(|line| (text(&line["id"]), text(&line["state"]))).collect()
}

/// A free address for the relay to listen on. Each has a loopback address of its own, so that nobody else is
/// given its port before it is used.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicU8 = AtomicU8::new(1);
    let (process, given) = (std::process::id(), GIVEN.fetch_add(1, Ordering::Relaxed));
    let address = Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 128, process as u8, given);
    TcpListener::bind((address, 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Waits for something to become true.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "in vain: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs what a test does in tasks, within its patience.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let whole = async { tokio::time::timeout(PATIENCE, test).await.expect("in time") };
    tokio::task::LocalSet::new().block_on(&runtime, whole);
}

/// Lets tasks go on until something becomes true.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A relay's folder and configuration; processes come and go.
pub struct Place {
    pub folder: tempfile::TempDir,
    pub listen: SocketAddr,
    pub config: Value,
    /// Forms a fleet.
    pub operator: Option<PathBuf>,
}

impl Place {
    pub fn new(platform: SocketAddr) -> Self {
        let listen = free_address();
        let config = json!({
            "name": "n0", "listen": listen, "discovery": platform, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "settings": settings(),
        });
        Place { folder: tempfile::tempdir().expect("a folder"), listen, config, operator: None }
    }

    pub fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Writes the configuration file.
    pub fn configure(&self) -> PathBuf {
        let path = self.folder.path().join("config.json");
        fs::write(&path, self.config.to_string()).expect("written");
        path
    }

    fn command(&self) -> Command {
        let path = self.configure();
        fs::create_dir_all(self.state()).expect("made");
        let mut command = Command::new(env!("CARGO_BIN_EXE_pewterseam"));
        command.arg("serve").env("NODE_CONFIG", path).env("NODE_STATE", self.state());
        command.env_remove("PEWTERSEAM_OPERATOR");
        command.envs(self.operator.iter().map(|operator| ("PEWTERSEAM_OPERATOR", operator)));
        command
    }

    /// Starts a relay and waits until it is ready.
    pub fn start(&self) -> Relay {
        let child = self.command().stderr(Stdio::piped()).spawn().expect("started");
        let relay = Relay { child, listen: self.listen };
        wait_for("ready", || matches!(relay.try_get("/_health"), Ok(heard) if heard.status() == 200));
        relay
    }

    /// Runs one that is expected to end by itself.
    pub fn run(&self) -> Output {
        self.command().output().expect("started")
    }
}

/// A running relay, ended with the test.
pub struct Relay {
    child: Child,
    pub listen: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Relay {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream
    }

    pub fn try_get(&self, path: &str) -> io::Result<Heard> {
        let mut stream = TcpStream::connect(self.listen)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
        hear(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    pub fn get(&self, path: &str) -> Heard {
        self.try_get(path).expect("answered")
    }

    /// The value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.get("/_counters").body).expect("text");
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.and_then(|value| value.parse().ok()).expect("a counter")
    }

    /// Closes the pipe that its log goes to.
    pub fn stop_reading_its_log(&mut self) {
        drop(self.child.stderr.take());
    }

    pub fn send(&self, bytes: &[u8]) -> Heard {
        send_to(self.listen, bytes)
    }

    pub fn hand_in(&self, message: &[u8]) -> u16 {
        self.send(message).status()
    }

    pub fn signal(&self, signal: Signal) {
        let process = Pid::from_child(&self.child);
        rustix::process::kill_process(process, signal).expect("signalled");
        if signal == Signal::STOP {
            // A stop takes hold some time after the call, and the relay would go on reading until then.
            let state = format!("/proc/{}/stat", self.child.id());
            wait_for("stopped", || fs::read_to_string(&state).is_ok_and(|text| text.contains(") T ")));
        }
    }

    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    /// Waits for its end; gives whether it ended well, and its log.
    pub fn ended(mut self) -> (bool, String) {
        let end = Instant::now() + PATIENCE;
        while self.child.try_wait().expect("asked").is_none() {
            assert!(Instant::now() < end, "the relay does not end");
            thread::sleep(Duration::from_millis(10));
        }
        let mut log = String::new();
        let stderr = self.child.stderr.as_mut().expect("piped");
        stderr.read_to_string(&mut log).expect("text");
        (self.child.wait().expect("ended").success(), log)
    }
}

/// What is answered to bytes on a new connection.
pub fn send_to(address: SocketAddr, bytes: &[u8]) -> Heard {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    // Turned away by its head, the rest of a long request may not be taken any more.
    let _ = stream.write_all(bytes);
    hear(&mut stream).expect("read").expect("answered")
}

/// Closes a connection, once the other side's system has its end.
///
/// Danger: on a busy machine the end of a connection arrives some time after the call, and a relay that goes on before
/// that finds its client still there.
pub fn leave(stream: TcpStream) {
    stream.shutdown(Shutdown::Write).expect("shut down");
    wait_for("its end has arrived", || state_of(&stream) == Some(FIN_WAIT_2));
}

/// The state of a connection whose end the other side has acknowledged, as `/proc/net/tcp` names it.
const FIN_WAIT_2: u8 = 5;

/// The state of a connection over IPv4, as the system has it.
fn state_of(stream: &TcpStream) -> Option<u8> {
    let (own, other) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    let ports = [own, other].map(|address| format!(":{:04X}", address.port()));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table.lines().map(|line| line.split_whitespace().skip(1).take(3).collect::<Vec<_>>());
    let row =
        rows.find(|row| row.len() == 3 && row[0].ends_with(&ports[0]) && row[1].ends_with(&ports[1]))?;
    u8::from_str_radix(row[2], 16).ok()
}

/// A request that hands a message in.
pub fn message(id: &str, class: &str, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let key = key.map_or(String::new(), |key| format!("Cookie: about={key}\r\n"));
    let mut bytes = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\n{key}Request-Timeout: 30.0\r\nIdempotency-Key: k-{id}\r\nX-Envelope: dest=7\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Files of a folder and their bytes in all.
pub fn size_of(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).expect("a folder").flatten();
    entries.map(|entry| entry.metadata().map_or(0, |metadata| metadata.len())).sum()
}
