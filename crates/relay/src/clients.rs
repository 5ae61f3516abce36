//! The listener for clients: requests come in, each gets one answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::http::{Request, Response, Server};
use crate::reducer::Input;
use crate::serve::Inputs;

/// A request of one connection that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Pause after a failure to accept, such as too many open files in all.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What connections share.
struct Shared {
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Response>>>,
    last: Cell<u64>,
    open: Cell<usize>,
    most: usize,
    /// A half-sent request is given up after this.
    patience: Duration,
    inputs: Inputs,
    stopping: watch::Sender<bool>,
}

/// The relay's side of all clients.
#[derive(Clone)]
pub struct Clients(Rc<Shared>);

impl Clients {
    /// `most` is the part of the descriptors that clients may take.
    pub fn new(most: usize, patience: Duration, inputs: Inputs) -> Self {
        Clients(Rc::new(Shared {
            waiting: RefCell::default(),
            last: Cell::new(0),
            open: Cell::new(0),
            most: most.max(1),
            patience,
            inputs,
            stopping: watch::channel(false).0,
        }))
    }

    pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    /// Takes connections for as long as the process runs.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().connection(stream));
                }
                // Danger: no descriptor is left for a while. The ones in the queue wait.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    pub fn respond(&self, request: RequestId, response: Response) {
        if let Some(waiting) = self.0.waiting.borrow_mut().remove(&request) {
            let _ = waiting.send(response);
        }
    }

    /// Closes connections as soon as nothing is read on them without an answer.
    pub fn stop(&self) {
        self.0.stopping.send_replace(true);
    }

    /// Connections that are still open.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    async fn connection(self, stream: TcpStream) {
        let shared = self.0;
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, Server::default());
        if shared.open.get() >= shared.most {
            // At the edge of the descriptors: turned away, not left waiting.
            let response = Response { keep_alive: false, ..Response::text(503, "too many connections\n") };
            let _ = framed.send(response).await;
            return finish(framed).await;
        }
        shared.open.set(shared.open.get() + 1);
        serve(&shared, &mut framed).await;
        shared.open.set(shared.open.get() - 1);
        finish(framed).await;
    }
}

/// Answers the requests of a connection until it ends or is to be closed.
async fn serve(shared: &Shared, framed: &mut Framed<TcpStream, Server>) {
    let mut stopping = shared.stopping.subscribe();
    loop {
        let next = tokio::select! {
            biased;
            next = timeout(shared.patience, framed.next()) => next,
            _ = stopping.wait_for(|stopping| *stopping) => match timeout(Duration::ZERO, framed.next()).await {
                Ok(next) => Ok(next),
                Err(_) => return,
            },
        };
        let request = match next {
            Ok(Some(Ok(request))) => request,
            Ok(Some(Err(fault))) => {
                shared.inputs.send(Input::BadRequest);
                let response = Response::text(fault.status(), format!("{fault}\n"));
                let _ = framed.send(Response { keep_alive: false, ..response }).await;
                return;
            }
            Ok(None) => return,
            Err(_) if framed.codec().is_midway(framed.read_buffer()) => {
                shared.inputs.send(Input::BadRequest);
                let response = Response::text(408, "the request did not come in time\n");
                let _ = framed.send(Response { keep_alive: false, ..response }).await;
                return;
            }
            Err(_) => continue,
        };
        let keep_alive = request.keep_alive && !*stopping.borrow();
        let Some(response) = ask(shared, request).await else { return };
        let keep_alive = keep_alive && response.keep_alive;
        if framed.send(Response { keep_alive, ..response }).await.is_err() || !keep_alive {
            return;
        }
    }
}

/// Has a request answered.
async fn ask(shared: &Shared, request: Request) -> Option<Response> {
    let id = RequestId(shared.last.get() + 1);
    shared.last.set(id.0);
    let (answer, answered) = oneshot::channel();
    shared.waiting.borrow_mut().insert(id, answer);
    shared.inputs.send(Input::Request { id, request });
    answered.await.ok()
}

/// Ends the sending side, then reads on for a moment. Danger: closing with bytes unread resets the
/// connection, and the last answer may be lost on its way.
async fn finish(framed: Framed<TcpStream, Server>) {
    let mut stream = framed.into_inner();
    if stream.shutdown().await.is_ok() {
        let mut rest = [0; 1024];
        let drain = async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} };
        let _ = timeout(Duration::from_millis(200), drain).await;
    }
}
