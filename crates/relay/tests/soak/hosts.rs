//! Stand-ins for the platform's list and for hosts, as threads of this process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use pewterseam_wire::random::Random;

use crate::http::{Connection, answer};
use crate::judge::{Judge, Run};
use crate::plan::Service;
use crate::senders;

const LIST_PORT: u16 = 7_500;
const FIRST_HOST_PORT: u16 = 7_501;
/// An outage of the limited service ends its listener, which begins again so soon after it.
const LISTEN_AGAIN: Duration = Duration::from_millis(5);
const SLOTS: u32 = 6;
/// Out of a hundred requests.
const TURNED_AWAY: usize = 2;
const FAILED: usize = 3;
const MOST_WORK_MS: usize = 25;
const IDLE: Duration = Duration::from_secs(30);

struct Host {
    service: Service,
    address: SocketAddr,
    /// The number of its incarnation.
    incarnation: AtomicU64,
    is_down: Mutex<bool>,
}

impl Host {
    fn is_down(&self) -> bool {
        *self.is_down.lock().expect("whole")
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.address.port(), self.incarnation.load(Ordering::Relaxed))
    }
}

/// All hosts.
pub struct Hosts {
    all: Vec<Arc<Host>>,
    judge: Arc<Judge>,
    runs: AtomicU64,
    seed: u64,
}

impl Hosts {
    /// Starts the list and the hosts. Their threads end with this process.
    pub fn start(address: Ipv4Addr, judge: Arc<Judge>, seed: u64) -> Arc<Self> {
        let mut all = Vec::new();
        for service in Service::ALL {
            for _ in 0..hosts_of(service) {
                let address = SocketAddr::from((address, FIRST_HOST_PORT + all.len() as u16));
                let (incarnation, is_down) = (AtomicU64::new(1), Mutex::new(false));
                all.push(Arc::new(Host { service, address, incarnation, is_down }));
            }
        }
        let hosts = Arc::new(Hosts { all, judge, runs: AtomicU64::new(0), seed });
        hosts.serve(Hosts::list_address(address), None);
        for host in &hosts.all {
            match host.service {
                Service::Limited => hosts.serve_between_outages(host),
                Service::Left | Service::Right => hosts.serve(host.address, Some(host.clone())),
            }
        }
        hosts
    }

    /// The one host of the limited service.
    pub fn limited_host(&self) -> SocketAddr {
        self.of(Service::Limited).next().expect("it has one").address
    }

    /// Serves a host that refuses connections while it is down.
    fn serve_between_outages(self: &Arc<Self>, host: &Arc<Host>) {
        let (hosts, host) = (self.clone(), host.clone());
        let mut listener = TcpListener::bind(host.address).ok();
        thread::spawn(move || {
            loop {
                let accepted = listener.as_ref().map(TcpListener::accept);
                if host.is_down() {
                    listener = None;
                    thread::sleep(LISTEN_AGAIN);
                    continue;
                }
                if let Some(Ok((stream, _))) = accepted {
                    let (hosts, host) = (hosts.clone(), host.clone());
                    thread::spawn(move || hosts.serve_host(&host, stream));
                }
                if listener.is_none() {
                    listener = TcpListener::bind(host.address).ok();
                }
            }
        });
    }

    pub fn list_address(address: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((address, LIST_PORT))
    }

    fn serve(self: &Arc<Self>, address: SocketAddr, host: Option<Arc<Host>>) {
        let listener = TcpListener::bind(address).expect("an address of this run");
        let hosts = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (hosts, host) = (hosts.clone(), host.clone());
                thread::spawn(move || match host {
                    Some(host) => hosts.serve_host(&host, stream),
                    None => hosts.serve_list(stream),
                });
            }
        });
    }

    fn serve_list(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while connection.read_request().is_ok() {
            let listed = self.all.iter().filter(|host| host.service != Service::Limited);
            let entries: Vec<String> = listed.map(|host| entry(host)).collect();
            let text = format!("{{\"instances\":[{}],\"nextToken\":null}}", entries.join(","));
            if connection.write(&answer(200, &[("Content-Type", "application/json")], &text)).is_err() {
                return;
            }
        }
    }

    fn serve_host(&self, host: &Host, stream: TcpStream) {
        let Ok(from) = stream.peer_addr() else { return };
        let accepted = senders::Connection::accepted(from, host.address);
        let mut connection = Connection::new(stream);
        if connection.set_patience(IDLE).is_err() {
            return;
        }
        let mut random = Random::new(self.seed ^ self.runs.fetch_add(1, Ordering::Relaxed));
        while let Ok(request) = connection.read_request() {
            if host.service == Service::Limited && request.method != "GET" {
                self.judge.limited_arrived();
            }
            if host.is_down() {
                return;
            }
            if request.method == "GET" {
                let written = connection.write(&answer(200, &[("X-Instance-Id", &host.id())], ""));
                if written.is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            let is_for_another =
                request.header("x-target-instance").is_some_and(|target| target != host.id());
            let run = Run { began: Instant::now(), connection: accepted };
            let status = if is_for_another { 421 } else { self.run(host, &id, &mut random) };
            if !self.tell(&mut connection, &id, status, run) {
                return;
            }
        }
    }

    /// Works on a message, or turns it away.
    fn run(&self, host: &Host, id: &str, random: &mut Random) -> u16 {
        if random.below(100) < TURNED_AWAY {
            return 503;
        }
        self.judge.run_starts(id, host.service);
        thread::sleep(Duration::from_millis(1 + random.below(MOST_WORK_MS) as u64));
        if random.below(100) < FAILED { 500 } else { 200 }
    }

    fn tell(&self, connection: &mut Connection, id: &str, status: u16, run: Run) -> bool {
        let signature = format!("s-{}", self.runs.fetch_add(1, Ordering::Relaxed));
        let mut headers = vec![("X-Request-Id", id)];
        match status {
            200 => headers.push(("X-Response-Signature", &signature)),
            421 | 503 => headers.push(("X-Not-Executed", "1")),
            _ => {}
        }
        if status == 200 {
            self.judge.done(id);
        }
        let is_told = connection.write(&answer(status, &headers, "")).is_ok();
        if is_told && status == 200 {
            self.judge.succeeded(id, run);
        }
        is_told
    }

    fn of(&self, service: Service) -> impl Iterator<Item = &Arc<Host>> {
        self.all.iter().filter(move |host| host.service == service)
    }

    /// No host of the service takes anything for so long; new ones come at their addresses.
    pub fn outage(&self, service: Service, span: Duration) {
        let set = |is_down: bool| {
            self.of(service).for_each(|host| *host.is_down.lock().expect("whole") = is_down);
        };
        let number = self.judge.outage_began();
        set(true);
        if service == Service::Limited {
            // The thread that accepts connections notices the outage.
            drop(TcpStream::connect(self.limited_host()));
        }
        thread::sleep(span);
        for host in self.of(service) {
            host.incarnation.fetch_add(1, Ordering::Relaxed);
        }
        set(false);
        self.judge.outage_ended(number);
    }
}

fn hosts_of(service: Service) -> u16 {
    if service == Service::Limited { 1 } else { 2 }
}

fn entry(host: &Host) -> String {
    format!(
        "{{\"id\":\"{}\",\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{SLOTS},\
         \"state\":\"ready\",\"coldRemainingMs\":0}}",
        host.id(),
        host.service.name(),
        host.address
    )
}
