//! Calls to hosts: one at a time on a connection, idle connections used again, nothing sent twice.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pewterseam::interface::{Carrier, HostId, MessageId, Micros, Outcome};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::http::{Client, Fault, MOST_BODY, Request, Response};
use crate::inputs::Inputs;
use crate::io::Input;
use crate::ring::{Next, Ringed};

/// One attempt of a message at a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub id: MessageId,
    pub attempt: u32,
    pub host: HostId,
    pub address: SocketAddr,
    pub request: Request,
    /// Time to wait in all, and that part of it in which a connection must open.
    pub timeout: Micros,
    pub connect: Micros,
}

/// What came of a call or a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub outcome: Outcome,
    /// The message is over by the host's word.
    pub closed: bool,
    pub took: Micros,
    /// The load report, as it was written.
    pub report: Option<String>,
    pub carrier: Carrier,
}

/// What an answer to a call means: the protocol's table, and whether the message is over.
fn called(response: &Response) -> (Outcome, bool) {
    match response.status {
        200 => (Outcome::Ok, true),
        429 => {
            let wait = response.headers.text("X-Retry-In-Ms").and_then(|text| text.parse::<u64>().ok());
            (Outcome::Full { wait: wait.unwrap_or(0).saturating_mul(1000) }, false)
        }
        503 if response.headers.text("X-No-Slot") == Some("1") => (Outcome::Moot, false),
        503 => (Outcome::Full { wait: 0 }, false),
        504 => (Outcome::Moot, false),
        410 => (Outcome::Moot, true),
        _ => (Outcome::Error, false),
    }
}

/// What an answer to a probe means.
fn probed(response: &Response) -> Outcome {
    if response.status == 200 { Outcome::Ok } else { Outcome::Full { wait: 0 } }
}

/// The load report that an answer carries, as it was written.
fn report(response: &Response) -> Option<String> {
    response.headers.text("Server-Load").map(str::to_owned)
}

type Connection = Framed<Ringed, Client>;

struct Idle {
    connection: Connection,
    address: SocketAddr,
    since: Instant,
}

/// The idle connections to all hosts.
struct Pool {
    idle: RefCell<HashMap<HostId, Vec<Idle>>>,
    /// Hosts close what has been idle for this long.
    idle_close: Duration,
    /// For the rest of an answer once it has begun.
    patience: Duration,
    most: usize,
}

impl Pool {
    /// The connection that was used last, if one can still be used, and how long it has been idle.
    fn take(&self, host: HostId, address: SocketAddr) -> Option<(Connection, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let of_host = idle.get_mut(&host)?;
        of_host.retain(|kept| kept.address == address && kept.since.elapsed() < self.idle_close);
        while let Some(kept) = of_host.pop() {
            if is_quiet(&kept.connection) {
                return Some((kept.connection, kept.since.elapsed()));
            }
        }
        None
    }

    fn put(&self, host: HostId, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        for of_host in idle.values_mut() {
            of_host.retain(|kept| kept.since.elapsed() < self.idle_close);
        }
        idle.retain(|_, of_host| !of_host.is_empty());
        // Danger: descriptors run out. The longest idle makes room.
        if idle.values().map(Vec::len).sum::<usize>() >= self.most {
            let oldest = idle.iter().min_by_key(|(_, of_host)| of_host[0].since).map(|(host, _)| *host);
            if let Some(of_host) = oldest.and_then(|host| idle.get_mut(&host)) {
                of_host.remove(0);
            }
        }
        let kept = Idle { connection, address, since: Instant::now() };
        idle.entry(host).or_default().push(kept);
    }
}

/// Nothing has come on an idle connection: neither bytes nor its end.
fn is_quiet(connection: &Connection) -> bool {
    connection.read_buffer().is_empty() && connection.get_ref().next() == Next::Nothing
}

/// How to stop each call that is out.
type Calls = RefCell<BTreeMap<(MessageId, u32), oneshot::Sender<()>>>;

/// The relay's side of all calls.
pub struct Hosts {
    pool: Rc<Pool>,
    calls: Rc<Calls>,
    inputs: Inputs,
}

impl Hosts {
    /// `patience` is for the rest of an answer that has begun, `most_idle` the part of the descriptors that idle connections may take.
    pub fn new(idle_close: Micros, patience: Micros, most_idle: usize, inputs: Inputs) -> Self {
        let (idle_close, patience) = (Duration::from_micros(idle_close), Duration::from_micros(patience));
        let pool = Pool { idle: RefCell::default(), idle_close, patience, most: most_idle.max(1) };
        Hosts { pool: Rc::new(pool), calls: Rc::default(), inputs }
    }

    pub fn call(&self, call: Call) {
        let (stop, stopped) = oneshot::channel();
        let key = (call.id, call.attempt);
        self.calls.borrow_mut().insert(key, stop);
        let (pool, calls, inputs) = (self.pool.clone(), self.calls.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (took, carrier, ended) = run(&pool, &call, stopped).await;
            calls.borrow_mut().remove(&key);
            let (outcome, closed) = ended.as_ref().map_or_else(|outcome| (*outcome, false), called);
            let report = ended.as_ref().ok().and_then(report);
            let reply = Reply { outcome, closed, took, report, carrier };
            inputs.send(Input::Called { id: call.id, attempt: call.attempt, reply });
        });
    }

    pub fn probe(&self, host: HostId, address: SocketAddr, path: &str, timeout: Micros) {
        let request = Request::get(path);
        let id = MessageId(0);
        let call = Call { id, attempt: 0, host, address, request, timeout, connect: timeout };
        let (pool, inputs) = (self.pool.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (_stop, stopped) = oneshot::channel();
            let (took, carrier, ended) = run(&pool, &call, stopped).await;
            let outcome = ended.as_ref().map_or_else(|outcome| *outcome, probed);
            let body = |response: &Response| String::from_utf8(response.body.to_vec()).ok();
            let report = ended.as_ref().ok().and_then(|response| report(response).or_else(|| body(response)));
            let reply = Reply { outcome, closed: false, took, report, carrier };
            inputs.send(Input::Probed { host, reply });
        });
    }

    /// Stops waiting for a call and closes its connection.
    pub fn cancel(&self, id: MessageId, attempt: u32) {
        if let Some(stop) = self.calls.borrow_mut().remove(&(id, attempt)) {
            let _ = stop.send(());
        }
    }

    pub fn close_idle(&self, host: HostId) {
        self.pool.idle.borrow_mut().remove(&host);
    }
}

/// Makes a call and waits for its answer, or for how else it ends; tells how long that took and on what. What is
/// dropped midway closes its connection.
async fn run(
    pool: &Pool, call: &Call, stopped: oneshot::Receiver<()>,
) -> (Micros, Carrier, Result<Response, Outcome>) {
    let start = Instant::now();
    let carrier = Carrier { idle_for: None, kept: false };
    let mut exchange = Exchange { connection: None, carrier, written: false, heard_at: None };
    let limit = Duration::from_micros(call.timeout);
    let ended = tokio::select! {
        biased;
        ended = timeout(limit, exchange.run(pool, call)) => ended.unwrap_or(Err(Outcome::Timeout)),
        _ = stopped => Err(Outcome::Cancelled),
    };
    let took = exchange.heard_at.unwrap_or_else(Instant::now) - start;
    (took.as_micros() as Micros, exchange.carrier, ended.or_else(|outcome| exchange.fall_back(outcome)))
}

/// A call under way, and what is known of it should it be given up.
struct Exchange {
    connection: Option<Connection>,
    carrier: Carrier,
    /// The whole call was handed to the connection.
    written: bool,
    /// When the first byte of an answer came.
    heard_at: Option<Instant>,
}

impl Exchange {
    async fn run(&mut self, pool: &Pool, call: &Call) -> Result<Response, Outcome> {
        let connection = match pool.take(call.host, call.address) {
            Some((connection, idle)) => {
                self.carrier.idle_for = Some(idle.as_micros() as Micros);
                connection
            }
            None => connect(call).await.ok_or(Outcome::ConnectFailed)?,
        };
        let connection = self.connection.insert(connection);
        connection.send(call.request.clone()).await.map_err(|_| Outcome::ConnectFailed)?;
        self.written = true;
        let response = loop {
            // An interim answer may come long before the answer itself.
            connection.get_ref().come().await.map_err(|_| Outcome::Reset)?;
            self.heard_at = Some(Instant::now());
            match timeout(pool.patience, connection.next()).await {
                Ok(Some(Ok(response))) => break response,
                Ok(Some(Err(Fault::Io(_))) | None) => return Err(Outcome::Reset),
                // Danger: a spoilt answer holds its slot until the call's time is up.
                Ok(Some(Err(_))) => return Err(Outcome::Error),
                Err(_) if connection.codec().is_midway(connection.read_buffer()) => {
                    return Err(Outcome::Error);
                }
                Err(_) => self.heard_at = None,
            }
        };
        // Danger: bytes behind an answer are taken for the answer to the next call.
        if let Some(connection) = self.connection.take().filter(|kept| response.keep_alive && is_quiet(kept))
        {
            pool.put(call.host, call.address, connection);
            self.carrier.kept = true;
        }
        Ok(response)
    }

    /// What a call that ended without a whole answer came to. What was not written in full never ran, whatever
    /// kept it. Danger: a delivered message is taken for one that may have run, and is sent again or failed; its
    /// first line tells that it was, whatever became of the rest.
    fn fall_back(&self, outcome: Outcome) -> Result<Response, Outcome> {
        let status = |connection: &Connection| connection.codec().status(connection.read_buffer());
        // Danger: a wait told in the head of an answer whose body broke off is not heeded, and the next call
        // goes before it is over. A whole head of a 429 is the host's word; other spoilt answers stay unsure.
        let head = self.connection.as_ref().and_then(|connection| connection.codec().head());
        match (head.filter(|head| head.status == 429), self.connection.as_ref().and_then(status)) {
            _ if !self.written => Err(Outcome::ConnectFailed),
            (Some(head), _) => Ok(Response { keep_alive: false, body: Bytes::new(), ..head.clone() }),
            (None, Some(200)) => Ok(Response { keep_alive: false, ..Response::new(200) }),
            _ => Err(outcome),
        }
    }
}

async fn connect(call: &Call) -> Option<Connection> {
    let limit = Duration::from_micros(call.connect);
    let stream = timeout(limit, TcpStream::connect(call.address)).await.ok()?.ok()?;
    Some(Framed::new(Ringed::new(stream).ok()?, Client::new(call.address.to_string(), MOST_BODY)))
}
