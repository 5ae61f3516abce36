//! The listener for operators: one call a connection, each answered by the reducer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use pewterseam_node::client::RequestId;
use pewterseam_node::io::Input;
use pewterseam_node::operator::{Operation, Verdict};

use crate::inputs::Inputs;
use pewterseam_http1::{Request, Response, Server};

/// How many operators' connections may be open at once; the next is answered 503 at once.
pub const MOST_OPEN: usize = 32;

/// What is wanted of a call that is short of something.
const PIN: &str = "destination=NUMBER, zone=NAME, away=yes or no, and seconds=NUMBER are wanted\n";
const UNPIN: &str = "destination=NUMBER and zone=NAME are wanted\n";

/// The value that a query has for a key, the last one if it has several.
fn value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(other, _)| *other == key)
        .map(|(_, value)| value)
        .next_back()
        .filter(|value| !value.is_empty())
}

fn pin(query: &str) -> Option<Operation> {
    let destination = value(query, "destination")?.parse().ok()?;
    let away = match value(query, "away")? {
        "yes" => true,
        "no" => false,
        _ => return None,
    };
    let seconds = value(query, "seconds")?.parse().ok()?;
    Some(Operation::Pin { destination, zone: value(query, "zone")?.to_owned(), away, seconds })
}

fn unpin(query: &str) -> Option<Operation> {
    let destination = value(query, "destination")?.parse().ok()?;
    Some(Operation::Unpin { destination, zone: value(query, "zone")?.to_owned() })
}

/// What an operator's request asks for, or the answer to one that asks for nothing that is here.
pub fn read(request: &Request) -> Result<Operation, Response> {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let name = || value(query, "name").map(str::to_owned);
    let named =
        |make: fn(String) -> Operation| name().map(make).ok_or_else(|| no(400, "name=ID is wanted\n"));
    match (request.method.as_str(), path) {
        ("GET", "/status") => Ok(Operation::Status),
        ("GET", "/status/metrics") => Ok(Operation::Metrics),
        ("POST", "/maintenance/enter") => named(Operation::Enter),
        ("POST", "/maintenance/exit") => named(Operation::Exit),
        ("POST", "/fleet/pin") => pin(query).ok_or_else(|| no(400, PIN)),
        ("POST", "/fleet/unpin") => unpin(query).ok_or_else(|| no(400, UNPIN)),
        ("POST", "/standby") => Ok(Operation::Standby),
        ("POST", "/active") => Ok(Operation::Active),
        (
            _,
            "/status" | "/status/metrics" | "/maintenance/enter" | "/maintenance/exit" | "/standby"
            | "/active" | "/fleet/pin" | "/fleet/unpin",
        ) => Err(no(405, "the method is another one\n")),
        _ => Err(no(404, "there is nothing here\n")),
    }
}

/// The answer while another process still serves from the folder: this one is there to take over.
pub fn waiting(operation: &Operation) -> (Verdict, &'static str) {
    match operation {
        Operation::Status => (Verdict::Yes, "taking over"),
        _ => (Verdict::NotNow, "another process serves until it ends"),
    }
}

fn response(verdict: Verdict, text: &str) -> Response {
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let status = match verdict {
        Verdict::Yes => 200,
        Verdict::NotNow => 503,
        Verdict::Unknown => 400,
        Verdict::Conflict => 409,
    };
    Response::text(status, format!("{text}{end}"))
}

fn no(status: u16, text: &str) -> Response {
    Response { keep_alive: false, ..Response::text(status, text) }
}

/// What the operators' connections share.
#[derive(Default)]
struct Shared {
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Response>>>,
    last: Cell<u64>,
    open: Cell<usize>,
}

/// The relay's side of the operators.
#[derive(Clone)]
pub struct Operators {
    shared: Rc<Shared>,
    /// For a whole call, and for its answer.
    patience: Duration,
    pause: Duration,
    inputs: Inputs,
}

impl Operators {
    pub fn new(patience: Duration, pause: Duration, inputs: Inputs) -> Self {
        Operators { shared: Rc::default(), patience, pause, inputs }
    }

    pub fn answer(&self, id: RequestId, verdict: Verdict, text: &str) {
        if let Some(waiting) = self.shared.waiting.borrow_mut().remove(&id) {
            let _ = waiting.send(response(verdict, text));
        }
    }

    /// Takes operators' connections for as long as the process runs.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let open = &self.shared.open;
                    open.set(open.get() + 1);
                    let this = self.clone();
                    tokio::task::spawn_local(async move {
                        let crowded = this.shared.open.get() > MOST_OPEN;
                        this.serve(stream, crowded).await;
                        this.shared.open.set(this.shared.open.get() - 1);
                    });
                }
                // Danger: descriptors are short for a while, and a loop without a pause would take the core.
                Err(_) => sleep(self.pause).await,
            }
        }
    }

    /// Reads one call and answers it. Danger: a caller that sends nothing, or half a call, holds only its own
    /// task, and is closed after `patience`.
    async fn serve(&self, stream: TcpStream, crowded: bool) {
        let mut connection = Framed::new(stream, Server::default());
        let response = if crowded {
            self.inputs.send(Input::BadOps);
            no(503, "too many calls at once\n")
        } else {
            match timeout(self.patience, connection.next()).await {
                Ok(Some(Ok(request))) => match read(&request) {
                    Ok(operation) => self.ask(operation).await,
                    Err(response) => {
                        self.inputs.send(Input::BadOps);
                        response
                    }
                },
                Ok(Some(Err(fault))) => {
                    self.inputs.send(Input::BadOps);
                    no(fault.status(), &format!("{fault}\n"))
                }
                Ok(None) => return,
                Err(_) => {
                    self.inputs.send(Input::BadOps);
                    no(408, "no whole call in time\n")
                }
            }
        };
        let response = Response { keep_alive: false, ..response };
        let _ = timeout(self.patience, connection.send(response)).await;
    }

    async fn ask(&self, operation: Operation) -> Response {
        let shared = &self.shared;
        shared.last.set(shared.last.get() + 1);
        let id = RequestId(shared.last.get());
        let (answer, answered) = oneshot::channel();
        shared.waiting.borrow_mut().insert(id, answer);
        self.inputs.send(Input::Operation { id, operation });
        let response = timeout(self.patience, answered).await;
        shared.waiting.borrow_mut().remove(&id);
        match response {
            Ok(Ok(response)) => response,
            _ => no(503, "no answer in time\n"),
        }
    }
}
