//! The listener for clients: requests come in, each gets one answer.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::codec::Framed;

use pewterseam_node::client::{Answer, RequestId};
use pewterseam_node::io::Input;

use crate::inputs::Inputs;
use crate::intake::{self, Asked};
use crate::limits::Budget;
use crate::ring::{Next, Ringed};
use pewterseam_http1::{Fault, MAX_BODY_BYTES, Request, Response, Server};

type Connection = Framed<Ringed, Server>;

/// How long things may take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// For the first request on a connection, for the rest of a later one, and for a client to take its answer.
    pub patience: Duration,
    /// For the next request.
    pub idle: Duration,
    /// Until connections are accepted again after a failure, and for the last bytes on one that is closed.
    pub pause: Duration,
}

/// What connections share.
struct Shared {
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    /// Connections on which nothing has come since they opened or since their last answer.
    idle: RefCell<BTreeMap<Place, Rc<Notify>>>,
    last: Cell<u64>,
    open: Cell<usize>,
    /// Connections that are served, turned away or being closed: none of them has ended yet.
    unended: Cell<usize>,
    budget: Budget,
    pace: Pace,
    most_member_call: usize,
    inputs: Inputs,
    phase: watch::Sender<Phase>,
    /// The listener is to be closed.
    shut: Notify,
}

/// An idle connection's place in the order of those that have carried a request and those that have not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    is_fresh: bool,
    since: Instant,
    number: u64,
}

/// Which connections are closed as soon as no request is on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// Those that have carried a request.
    Stopping,
    /// All.
    Leaving,
}

/// The relay's side of all clients.
#[derive(Clone)]
pub struct Clients(Rc<Shared>);

impl Clients {
    /// `most_member_call`: bytes of the body of a call between members.
    pub fn new(budget: Budget, pace: Pace, most_member_call: usize, inputs: Inputs) -> Self {
        Clients(Rc::new(Shared {
            waiting: RefCell::default(),
            idle: RefCell::default(),
            last: Cell::new(0),
            open: Cell::new(0),
            unended: Cell::new(0),
            budget,
            pace,
            most_member_call,
            inputs,
            phase: watch::Sender::new(Phase::Serving),
            shut: Notify::new(),
        }))
    }

    /// Takes connections for as long as the process runs. At the edge of the budget the rest wait in the
    /// listener's queue.
    pub async fn accept(self, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(self.0.budget.clients + self.0.budget.leaving));
        while let Ok(place) = room.clone().acquire_owned().await {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.0.shut.notified() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().connection(stream, place));
                }
                // Danger: descriptors are short for a while, and a loop without a pause would take the core.
                Err(_) => sleep(self.0.pace.pause).await,
            }
        }
    }

    pub fn answer(&self, request: RequestId, answer: Answer) {
        if let Some(waiting) = self.0.waiting.borrow_mut().remove(&request) {
            let _ = waiting.send(answer);
        }
    }

    /// Closes connections between requests from now on.
    pub fn stop(&self) {
        self.0.phase.send_replace(Phase::Stopping);
    }

    /// Sends clients away, as a stop does, or takes them again; a stop that has begun stays.
    pub fn standby(&self, on: bool) {
        self.0.phase.send_if_modified(|phase| {
            let next = match (*phase, on) {
                (Phase::Serving, true) => Phase::Stopping,
                (Phase::Stopping, false) => Phase::Serving,
                (other, _) => other,
            };
            std::mem::replace(phase, next) != next
        });
    }

    /// Takes no more connections, and closes those it has between requests: a new process takes clients now.
    pub fn hand_over(&self) {
        self.stop();
        self.shut();
    }

    /// Takes no more connections.
    pub fn shut(&self) {
        self.0.shut.notify_one();
    }

    /// Closes all that have no request on them.
    pub fn leave(&self) {
        self.0.phase.send_replace(Phase::Leaving);
    }

    /// Connections that have not ended yet. Danger: the process ends while one is being closed, with bytes of its client
    /// unread; that resets it, and the last answer may be lost on its way.
    pub fn unended(&self) -> usize {
        self.0.unended.get()
    }

    async fn connection(self, stream: TcpStream, _place: OwnedSemaphorePermit) {
        let unended = &self.0.unended;
        unended.set(unended.get() + 1);
        self.serve_and_close(stream).await;
        unended.set(unended.get() - 1);
    }

    async fn serve_and_close(&self, stream: TcpStream) {
        let shared = &self.0;
        let opened = Instant::now();
        let Ok(stream) = Ringed::new(stream) else { return };
        let mut connection = Framed::new(stream, Server::new(shared.most_member_call));
        if shared.open.get() >= shared.budget.clients && !shared.dismiss_idle() {
            shared.inputs.send(Input::Crowded);
            shared.send(&mut connection, last(Response::text(503, "too many connections\n"))).await;
        } else {
            shared.open.set(shared.open.get() + 1);
            let answered = shared.serve(&mut connection, opened).await;
            shared.open.set(shared.open.get() - 1);
            if !answered {
                return;
            }
        }
        finish(connection, shared.pace.pause).await;
    }
}

/// An answer after which the connection ends.
fn last(response: Response) -> Response {
    Response { keep_alive: false, ..response }
}

impl Shared {
    fn number(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// Closes an idle connection, if there is one.
    fn dismiss_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let place = least_missed(idle.keys(), Instant::now(), self.pace.pause);
        place.and_then(|place| idle.remove(&place)).inspect(|dismissed| dismissed.notify_one()).is_some()
    }

    /// Answers the requests of a connection until it ends or is to be closed; tells whether it answered any.
    async fn serve(&self, connection: &mut Connection, opened: Instant) -> bool {
        let mut answered = false;
        loop {
            let request = match self.next(connection, (!answered).then_some(opened)).await {
                Some(Ok(request)) => request,
                Some(Err(fault)) => {
                    self.inputs.send(Input::BadRequest);
                    let response = Response::text(fault.status(), format!("{fault}\n"));
                    self.send(connection, last(response)).await;
                    return true;
                }
                None => return answered,
            };
            // Danger: the relay stood still, and the client has long gone to another one with its message.
            if connection.get_ref().next() == Next::End {
                self.send(connection, last(Response::text(503, "the client has left\n"))).await;
                return true;
            }
            let keep_alive = request.keep_alive;
            let Some(response) = self.answer(request).await else { return true };
            let keep_alive = keep_alive && response.keep_alive && *self.phase.borrow() == Phase::Serving;
            if !self.send(connection, Response { keep_alive, ..response }).await || !keep_alive {
                return true;
            }
            answered = true;
        }
    }

    /// Writes an answer. Danger: a client that reads nothing holds its place for ever.
    async fn send(&self, connection: &mut Connection, response: Response) -> bool {
        matches!(timeout(self.pace.patience, connection.send(response)).await, Ok(Ok(())))
    }

    /// The next request, or what is wrong with what came instead; nothing where the connection is to be closed.
    /// The first request counts from when the connection `opened`. Danger: a stopping relay closes a connection
    /// on which the first request is just on its way, and a client that has not seen this one work does not send
    /// it again.
    async fn next(
        &self, connection: &mut Connection, opened: Option<Instant>,
    ) -> Option<Result<Request, Fault>> {
        loop {
            if connection.read_buffer().is_empty() && !self.begins(connection, opened).await {
                return None;
            }
            let by = opened.unwrap_or_else(Instant::now) + self.pace.patience;
            return match timeout_at(by, connection.next()).await {
                // Danger: a length that is wrong, or a request hidden behind another. A client sends one at a time.
                Ok(Some(Ok(_))) if is_midway(connection) || connection.get_ref().next() == Next::Bytes => {
                    Some(Err(Fault::Malformed("bytes follow the request")))
                }
                Ok(Some(Err(Fault::Io(_))) | None) => None,
                Ok(next) => next,
                Err(_) if is_midway(connection) => Some(Err(Fault::TooSlow)),
                // Empty lines between requests.
                Err(_) => continue,
            };
        }
    }

    /// Waits until something comes on an idle connection; false where it is to be closed instead.
    async fn begins(&self, connection: &Connection, opened: Option<Instant>) -> bool {
        let mut phase = self.phase.subscribe();
        let leaves_in = if opened.is_some() { Phase::Leaving } else { Phase::Stopping };
        let since = opened.unwrap_or_else(Instant::now);
        let by = since + if opened.is_some() { self.pace.patience } else { self.pace.idle };
        let place = Place { is_fresh: opened.is_some(), since, number: self.number() };
        let dismissed = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(place, dismissed.clone());
        let stream = connection.get_ref();
        // What has come is looked at first: no request that was read goes without an answer.
        let begins = tokio::select! {
            biased;
            come = stream.come() => come.is_ok(),
            () = sleep_until(by) => false,
            () = dismissed.notified() => false,
            _ = phase.wait_for(|phase| *phase >= leaves_in) => false,
        };
        self.idle.borrow_mut().remove(&place);
        let begins = begins || stream.next() == Next::Bytes;
        if !begins && opened.is_some() {
            self.inputs.send(Input::Silent);
        }
        begins
    }

    /// Has a request answered.
    async fn answer(&self, request: Request) -> Option<Response> {
        let asked = match intake::read(request) {
            Ok(asked) => asked,
            Err(response) => {
                self.inputs.send(Input::BadRequest);
                return Some(response);
            }
        };
        let id = RequestId(self.number());
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, answer);
        self.inputs.send(match asked {
            Asked::Member(body) => Input::MemberCall { id, body },
            Asked::Offer(offer) => Input::Offer { id, offer },
            Asked::Question(question) => Input::Question { id, question },
        });
        answered.await.ok().map(intake::response)
    }
}

/// Of idle connections in their order, the one whose end does least harm: one that has been silent for a while, else
/// the one idle for longest. Danger: a client that has just connected loses its first request, which it does not
/// send again; on a connection that has carried one it does.
fn least_missed<'a>(
    idle: impl Iterator<Item = &'a Place> + Clone, now: Instant, pause: Duration,
) -> Option<Place> {
    let first = |is_fresh: bool| idle.clone().find(|place| place.is_fresh == is_fresh).copied();
    let (silent, used) = (first(true), first(false));
    silent.filter(|place| now - place.since >= pause).or(used).or(silent)
}

/// A part of a request has come, but not all of it.
fn is_midway(connection: &Connection) -> bool {
    connection.codec().is_midway(connection.read_buffer())
}

/// Ends the sending side, then reads on for a moment. Danger: closing with bytes unread resets the
/// connection, and the last answer may be lost on its way; but reading a body without end takes the core.
async fn finish(connection: Connection, linger: Duration) {
    let mut stream = connection.into_inner();
    let end = async {
        let mut rest = [0; 1024];
        if stream.shutdown().await.is_ok() {
            let mut most = MAX_BODY_BYTES;
            while let Ok(length @ 1..) = stream.read(&mut rest).await
                && length < most
            {
                most -= length;
            }
        }
    };
    let _ = timeout(linger, end).await;
}

#[cfg(test)]
mod tests;
