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
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::http::{Fault, Request, Response, Server};
use crate::inputs::Inputs;
use crate::io::Input;
use crate::limits::Budget;
use crate::ring::{Next, Ringed};

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

type Connection = Framed<Ringed, Server>;

/// How long things may take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// For the rest of a request that came in part, and for a client to take its answer.
    pub patience: Duration,
    /// Until connections are accepted again after a failure, and for the last bytes on one that is closed.
    pub pause: Duration,
}

/// What connections share.
struct Shared {
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Response>>>,
    /// Connections between requests, the longest idle first, and how to dismiss each.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last: Cell<u64>,
    open: Cell<usize>,
    budget: Budget,
    pace: Pace,
    inputs: Inputs,
    phase: watch::Sender<Phase>,
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
    pub fn new(budget: Budget, pace: Pace, inputs: Inputs) -> Self {
        Clients(Rc::new(Shared {
            waiting: RefCell::default(),
            idle: RefCell::default(),
            last: Cell::new(0),
            open: Cell::new(0),
            budget,
            pace,
            inputs,
            phase: watch::Sender::new(Phase::Serving),
        }))
    }

    /// Takes connections for as long as the process runs. At the edge of the budget the rest wait in the
    /// listener's queue.
    pub async fn accept(self, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(self.0.budget.clients + self.0.budget.leaving));
        while let Ok(place) = room.clone().acquire_owned().await {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().connection(stream, place));
                }
                // Danger: descriptors are short for a while, and a loop without a pause would take the core.
                Err(_) => sleep(self.0.pace.pause).await,
            }
        }
    }

    pub fn respond(&self, request: RequestId, response: Response) {
        if let Some(waiting) = self.0.waiting.borrow_mut().remove(&request) {
            let _ = waiting.send(response);
        }
    }

    /// Closes connections between requests from now on.
    pub fn stop(&self) {
        self.0.phase.send_replace(Phase::Stopping);
    }

    /// Closes all that have no request on them.
    pub fn leave(&self) {
        self.0.phase.send_replace(Phase::Leaving);
    }

    /// Connections that are still served.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    async fn connection(self, stream: TcpStream, _place: OwnedSemaphorePermit) {
        let shared = self.0;
        let Ok(stream) = Ringed::new(stream) else { return };
        let mut connection = Framed::new(stream, Server::default());
        if shared.open.get() >= shared.budget.clients && !shared.dismiss_idle() {
            shared.send(&mut connection, last(Response::text(503, "too many connections\n"))).await;
        } else {
            shared.open.set(shared.open.get() + 1);
            shared.serve(&mut connection).await;
            shared.open.set(shared.open.get() - 1);
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

    /// Closes the connection that has been idle for longest, if one is.
    fn dismiss_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.inspect(|(_, dismissed)| dismissed.notify_one()).is_some()
    }

    /// Answers the requests of a connection until it ends or is to be closed.
    async fn serve(&self, connection: &mut Connection) {
        let mut is_fresh = true;
        loop {
            let request = match self.next(connection, is_fresh).await {
                Some(Ok(request)) => request,
                Some(Err(response)) => {
                    self.inputs.send(Input::BadRequest);
                    self.send(connection, last(response)).await;
                    return;
                }
                None => return,
            };
            is_fresh = false;
            // Danger: the relay stood still, and the client has long gone to another one with its message.
            if connection.read_buffer().is_empty() && connection.get_ref().next() == Next::End {
                self.send(connection, last(Response::text(503, "the client has left\n"))).await;
                return;
            }
            let keep_alive = request.keep_alive;
            let Some(response) = self.answer(request).await else { return };
            let keep_alive = keep_alive && response.keep_alive && *self.phase.borrow() == Phase::Serving;
            if !self.send(connection, Response { keep_alive, ..response }).await || !keep_alive {
                return;
            }
        }
    }

    /// Writes an answer. Danger: a client that reads nothing holds its place for ever.
    async fn send(&self, connection: &mut Connection, response: Response) -> bool {
        matches!(timeout(self.pace.patience, connection.send(response)).await, Ok(Ok(())))
    }

    /// The next request, or the answer to what is none; nothing where the connection is to be closed. Danger:
    /// a stopping relay closes a connection on which the first request is just on its way, and a client that
    /// has not seen this one work does not send it again.
    async fn next(&self, connection: &mut Connection, is_fresh: bool) -> Option<Result<Request, Response>> {
        let mut phase = self.phase.subscribe();
        let leaves_in = if is_fresh { Phase::Leaving } else { Phase::Stopping };
        let number = self.number();
        let dismissed = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(number, dismissed.clone());
        let mut leaves = false;
        let next = loop {
            // What has come is looked at first: no request that was read goes without an answer.
            let late = tokio::select! {
                biased;
                next = connection.next() => break next,
                () = sleep(self.pace.patience) => true,
                () = dismissed.notified(), if !leaves => false,
                _ = phase.wait_for(|phase| *phase >= leaves_in), if !leaves => false,
            };
            leaves |= !late;
            let midway = connection.codec().is_midway(connection.read_buffer());
            if late && midway {
                break Some(Err(Fault::TooSlow));
            }
            if leaves && !midway && connection.get_ref().next() != Next::Bytes {
                break None;
            }
        };
        self.idle.borrow_mut().remove(&number);
        match next? {
            Ok(request) => Some(Ok(request)),
            Err(Fault::Io(_)) => None,
            Err(fault) => Some(Err(Response::text(fault.status(), format!("{fault}\n")))),
        }
    }

    /// Has a request answered.
    async fn answer(&self, request: Request) -> Option<Response> {
        let id = RequestId(self.number());
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, answer);
        self.inputs.send(Input::Request { id, request });
        answered.await.ok()
    }
}

/// Ends the sending side, then reads on for a moment. Danger: closing with bytes unread resets the
/// connection, and the last answer may be lost on its way.
async fn finish(connection: Connection, linger: Duration) {
    let mut stream = connection.into_inner();
    let end = async {
        let mut rest = [0; 1024];
        if stream.shutdown().await.is_ok() {
            while matches!(stream.read(&mut rest).await, Ok(1..)) {}
        }
    };
    let _ = timeout(linger, end).await;
}
