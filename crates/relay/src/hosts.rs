//! Connections to hosts, one call at a time on each: opened, written to, read and closed as the reducer says.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pewterseam::interface::{HostId, Micros, Outcome};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use pewterseam_node::call::{Call, Reply};
use pewterseam_node::io::Input;
use pewterseam_node::pool::ConnectionId;

use crate::inputs::Inputs;
use crate::ring::{Next, Ringed};
use pewterseam_http1::{Client, Fault, Headers, MAX_BODY_BYTES, Request, Response};

/// What an answer to a call means: the protocol's table, and whether the message is over.
fn called(response: &Response) -> (Outcome, bool) {
    match response.status {
        200 => (Outcome::Ok, true),
        429 => {
            let wait = response.headers.text("X-Retry-In-Ms").and_then(|text| text.parse::<u64>().ok());
            (Outcome::Rejected { wait: wait.unwrap_or(0).saturating_mul(1000) }, false)
        }
        503 if response.headers.text("X-No-Slot") == Some("1") => (Outcome::NotSent, false),
        503 => (Outcome::Rejected { wait: 0 }, false),
        504 => (Outcome::NotSent, false),
        410 => (Outcome::NotSent, true),
        _ => (Outcome::Error, false),
    }
}

/// What an answer to a probe means.
fn probed(response: &Response) -> Outcome {
    if response.status == 200 { Outcome::Ok } else { Outcome::Rejected { wait: 0 } }
}

/// The load report that an answer carries, as it was written.
fn report(response: &Response) -> Option<String> {
    response.headers.text("Server-Load").map(str::to_owned)
}

/// A call as hosts read it.
fn request(call: &Call) -> Request {
    let headers = Headers::default().with("Request-Id", call.message.clone());
    let headers = match &call.idempotency_key {
        Some(key) => headers.with("Idempotency-Key", key.clone()),
        None => headers,
    };
    let wait = format!("{}.{:06}", call.timeout / 1_000_000, call.timeout % 1_000_000);
    Request::post("/v1/messages", headers.with("Request-Timeout", wait), call.body.clone())
}

type Connection = Framed<Ringed, Client>;

/// Nothing has come on an idle connection: neither bytes nor its end.
fn is_quiet(connection: &Connection) -> bool {
    connection.read_buffer().is_empty() && connection.get_ref().next() == Next::Nothing
}

/// What a connection is told.
enum Order {
    Write(Call),
    Abandon,
}

struct Shared {
    orders: RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<Order>>>,
    /// For the rest of an answer that has begun.
    patience: Duration,
    inputs: Inputs,
}

/// The relay's side of all connections to hosts. Each is a task of its own, which closes its connection when it
/// is told nothing any more.
#[derive(Clone)]
pub struct Hosts(Rc<Shared>);

impl Hosts {
    pub fn new(patience: Micros, inputs: Inputs) -> Self {
        let patience = Duration::from_micros(patience);
        Hosts(Rc::new(Shared { orders: RefCell::default(), patience, inputs }))
    }

    /// Opens a connection; one that is not open in that time is given up.
    pub fn open(&self, id: ConnectionId, address: SocketAddr, within: Micros) {
        let (order, orders) = mpsc::unbounded_channel();
        self.0.orders.borrow_mut().insert(id, order);
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let last = shared.carry(id, address, within, orders).await;
            shared.orders.borrow_mut().remove(&id);
            if let Some(input) = last {
                shared.inputs.send(input);
            }
        });
    }

    /// Writes a call to an open connection.
    pub fn call(&self, call: Call) {
        let connection = call.connection;
        if !self.order(connection, Order::Write(call)) {
            self.0.inputs.send(Input::Closed(connection));
        }
    }

    /// Gives the call of a connection up, and the connection with it.
    pub fn abandon(&self, connection: ConnectionId) {
        self.order(connection, Order::Abandon);
    }

    /// Closes a connection that carries nothing.
    pub fn close(&self, connection: ConnectionId) {
        self.0.orders.borrow_mut().remove(&connection);
    }

    fn order(&self, connection: ConnectionId, order: Order) -> bool {
        self.0.orders.borrow().get(&connection).is_some_and(|orders| orders.send(order).is_ok())
    }

    /// Asks a host how it is, on a connection of its own.
    pub fn probe(&self, host: HostId, address: SocketAddr, path: &str, within: Micros) {
        let (request, shared) = (Request::get(path), self.0.clone());
        let limit = Duration::from_micros(within);
        tokio::task::spawn_local(async move {
            let (_order, mut orders) = mpsc::unbounded_channel();
            let start = Instant::now();
            let ended = match connect(address, within).await {
                Some(opened) => {
                    shared.exchange(opened, ConnectionId(0), request, limit, &mut orders).await.ended
                }
                None => Err(Outcome::ConnectFailed),
            };
            let body = |response: &Response| String::from_utf8(response.body.to_vec()).ok();
            let report = ended.as_ref().ok().and_then(|response| report(response).or_else(|| body(response)));
            let outcome = ended.as_ref().map_or_else(|outcome| *outcome, probed);
            let took = start.elapsed().as_micros() as Micros;
            let reply = Reply { outcome, closed: false, took, report, kept: false };
            shared.inputs.send(Input::Probed { host, reply });
        });
    }
}

impl Shared {
    /// Has a connection opened and carry what it is told to, until it ends; gives what is to be told of that.
    async fn carry(
        &self, id: ConnectionId, address: SocketAddr, within: Micros,
        mut orders: mpsc::UnboundedReceiver<Order>,
    ) -> Option<Input> {
        let opened = tokio::select! {
            biased;
            // Nobody needs it any more.
            _ = orders.recv() => return None,
            opened = connect(address, within) => opened,
        };
        let Some(mut connection) = opened else { return Some(Input::NotOpened(id)) };
        self.inputs.send(Input::Opened(id));
        loop {
            let order = tokio::select! {
                biased;
                order = orders.recv() => order,
                _ = connection.get_ref().come() => return Some(Input::Closed(id)),
            };
            let Some(Order::Write(call)) = order else { return None };
            // Danger: a host closes an idle connection just as a call is written to it.
            if !is_quiet(&connection) {
                return Some(Input::Closed(id));
            }
            let limit = Duration::from_micros(call.timeout);
            let exchanged = self.exchange(connection, id, request(&call), limit, &mut orders).await;
            let Exchanged { ended, took, kept } = exchanged;
            let (outcome, closed) = ended.as_ref().map_or_else(|outcome| (*outcome, false), called);
            let report = ended.as_ref().ok().and_then(report);
            let reply = Reply { outcome, closed, took, report, kept: kept.is_some() };
            let told = Input::Called { connection: id, reply };
            connection = match kept {
                Some(kept) => kept,
                None => return Some(told),
            };
            self.inputs.send(told);
        }
    }

    /// Makes a call and waits for its answer, or for how else it ends. Danger: what was written and given up arrives later, when whatever held it back is over; the
    /// connection ends by a reset, which drops what the network has not taken yet.
    async fn exchange(
        &self, connection: Connection, id: ConnectionId, request: Request, limit: Duration,
        orders: &mut mpsc::UnboundedReceiver<Order>,
    ) -> Exchanged {
        let start = Instant::now();
        let mut exchange = Exchange { connection, written: false, heard_at: None };
        let ended = tokio::select! {
            biased;
            ended = timeout(limit, exchange.run(self, id, request)) => ended.unwrap_or(Err(Outcome::Timeout)),
            _ = orders.recv() => Err(Outcome::Cancelled),
        };
        let took = exchange.heard_at.unwrap_or_else(Instant::now) - start;
        // Danger: bytes behind an answer are taken for the answer to the next call.
        let kept = ended.as_ref().is_ok_and(|response| response.keep_alive) && is_quiet(&exchange.connection);
        if ended.is_err() {
            exchange.connection.get_ref().reset_at_end();
        }
        let ended = ended.or_else(|outcome| exchange.fall_back(outcome));
        Exchanged { ended, took: took.as_micros() as Micros, kept: kept.then_some(exchange.connection) }
    }
}

/// What came of a call.
struct Exchanged {
    ended: Result<Response, Outcome>,
    /// Until the first byte of an answer, or the end.
    took: Micros,
    /// The connection, where it may carry another call.
    kept: Option<Connection>,
}

/// A call under way, and what is known of it should it be given up.
struct Exchange {
    connection: Connection,
    /// The whole call was handed to the network.
    written: bool,
    /// When the first byte of an answer came.
    heard_at: Option<Instant>,
}

impl Exchange {
    async fn run(
        &mut self, shared: &Shared, id: ConnectionId, request: Request,
    ) -> Result<Response, Outcome> {
        self.write(shared, id, request).await.map_err(|_| Outcome::ConnectFailed)?;
        self.written = true;
        let connection = &mut self.connection;
        loop {
            // An interim answer may come long before the answer itself.
            connection.get_ref().come().await.map_err(|_| Outcome::Reset)?;
            self.heard_at = Some(Instant::now());
            match timeout(shared.patience, connection.next()).await {
                Ok(Some(Ok(response))) => return Ok(response),
                Ok(Some(Err(Fault::Io(_))) | None) => return Err(Outcome::Reset),
                // Danger: a spoilt answer holds its slot until the call's time is up.
                Ok(Some(Err(_))) => return Err(Outcome::Error),
                Err(_) if connection.codec().is_midway(connection.read_buffer()) => {
                    return Err(Outcome::Error);
                }
                Err(_) => self.heard_at = None,
            }
        }
    }

    /// Writes the call whole; tells when part of it has to wait.
    async fn write(&mut self, shared: &Shared, id: ConnectionId, request: Request) -> std::io::Result<()> {
        let stalled = |stalled| {
            shared.inputs.send(Input::Stalled { connection: id, stalled });
        };
        let mut sent = std::pin::pin!(self.connection.send(request));
        let at_once = tokio::select! {
            biased;
            sent = &mut sent => Some(sent),
            () = std::future::ready(()) => None,
        };
        match at_once {
            Some(sent) => sent,
            None => {
                stalled(true);
                let sent = sent.await;
                stalled(false);
                sent
            }
        }
    }

    /// What a call that ended without a whole answer came to. What was not written in full never ran, whatever
    /// kept it. Danger: a delivered message is taken for one that may have run, and is sent again or failed; its
    /// first line tells that it was, whatever became of the rest.
    fn fall_back(&self, outcome: Outcome) -> Result<Response, Outcome> {
        let connection = &self.connection;
        // Danger: a wait told in the head of an answer whose body broke off is not heeded, and the next call
        // goes before it is over. A whole head of a 429 is the host's word; other spoilt answers stay unsure.
        let head = connection.codec().head().filter(|head| head.status == 429);
        match (head, connection.codec().status(connection.read_buffer())) {
            // Called off by the relay itself: that says nothing of the host.
            _ if !self.written && outcome == Outcome::Cancelled => Err(Outcome::NotSent),
            _ if !self.written => Err(Outcome::ConnectFailed),
            (Some(head), _) => Ok(Response { keep_alive: false, body: Bytes::new(), ..head.clone() }),
            (None, Some(200)) => Ok(Response { keep_alive: false, ..Response::new(200) }),
            _ => Err(outcome),
        }
    }
}

async fn connect(address: SocketAddr, within: Micros) -> Option<Connection> {
    let limit = Duration::from_micros(within);
    let stream = timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
    Some(Framed::new(Ringed::new(stream).ok()?, Client::new(address.to_string(), MAX_BODY_BYTES)))
}
