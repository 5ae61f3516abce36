//! A host's connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::host::{Call, Host, Progress};
use crate::plan::ClassPlan;
use crate::real::links::reset;
use crate::real::noted::{Marks, Noted};
use crate::real::traffic::Traffic;
use crate::story::{Ending, Happened, RelayNumber};

/// Longest body of a call.
const MOST_BODY: usize = 64 * 1024;

type Answer = Response<Full<Bytes>>;

/// Serves one connection of a relay until it is over.
pub async fn serve(host: Rc<Host>, relay: RelayNumber, traffic: Rc<Traffic>, stream: TcpStream) {
    let marks = Rc::new(Marks::default());
    let mut changes = host.changes();
    changes.mark_unchanged();
    let io = TokioIo::new(Noted::new(stream, marks.clone()));
    let service = service_fn(|request| {
        let visit = Visit { host: host.clone(), relay, traffic: traffic.clone(), marks: marks.clone() };
        async move { Ok::<_, Infallible>(visit.answer(request).await) }
    });
    let mut connection = http1::Builder::new().serve_connection(io, service);
    let mut was_out = host.condition().is_out();
    loop {
        tokio::select! {
            _ = &mut connection => return,
            Ok(()) = changes.changed() => {
                let condition = *changes.borrow_and_update();
                // A machine that ends, or starts again, knows nothing of its connections.
                if condition.takes_no_connections() || (was_out && !condition.is_out()) {
                    break;
                }
                was_out = condition.is_out();
            }
        }
    }
    reset(&connection.into_parts().io.into_inner().into_inner());
}

struct Visit {
    host: Rc<Host>,
    relay: RelayNumber,
    traffic: Rc<Traffic>,
    marks: Rc<Marks>,
}

/// A call that is out; dropped without an answer when its connection ends.
struct Out<'a> {
    host: &'a Host,
    call: Call,
    class: &'a ClassPlan,
    progress: Progress,
    over: Cell<bool>,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        if !self.over.get() {
            self.host.left(&self.call, self.class, &self.progress);
            let how = Ending::Left { ran: self.progress.ran() };
            self.host.book.tell(Happened::Ended { call: self.call.number, how });
        }
    }
}

impl Visit {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let began = self.host.book.clock.of(self.marks.take_first_read());
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/messages") => self.call(began, request).await,
            (&Method::GET, "/ping" | "/_load") => self.probe().await,
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    async fn probe(&self) -> Answer {
        let failed = self.host.condition().is_out();
        let (relay, host) = (self.relay, self.host.number);
        self.host.book.tell(Happened::Probed { relay, host, failed });
        if failed {
            std::future::pending::<()>().await;
        }
        let report = self.host.destination.report(self.host.book.clock.now()).unwrap_or_default();
        Response::new(Full::new(Bytes::from(report)))
    }

    async fn call(&self, began: u64, request: Request<Incoming>) -> Answer {
        let text = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.to_owned());
        let (id, key) = (text("Request-Id"), text("Idempotency-Key"));
        let body = Limited::new(request.into_body(), MOST_BODY).collect().await;
        self.marks.taken();
        let known = id.as_deref().and_then(|id| self.traffic.find(id));
        let (Some((message, times)), Ok(body)) = (known, body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        if !self.traffic.is_whole(message, key.as_deref(), &body.to_bytes()) {
            return plain(StatusCode::BAD_REQUEST);
        }
        let number = self.traffic.next_call();
        let (relay, host) = (self.relay, self.host.number);
        self.host.book.tell(Happened::Arrived { call: number, message, times, relay, host, began });
        let (call, class) = (Call { number, key }, self.traffic.class_of(message));
        let (progress, over) = (Progress::default(), Cell::new(false));
        let out = Out { host: &self.host, call, class, progress, over };
        let ended = self.host.run(&out.call, class, &out.progress).await;
        let Some(how) = ended else { return std::future::pending().await };
        out.over.set(true);
        if how == Ending::Served {
            self.host.book.delivered(message);
        }
        self.host.book.tell(Happened::Ended { call: number, how });
        self.written(how)
    }

    fn written(&self, how: Ending) -> Answer {
        let answer = match how {
            Ending::Served => Response::builder().status(StatusCode::OK),
            Ending::Refused { wait: 0 } => Response::builder().status(StatusCode::SERVICE_UNAVAILABLE),
            Ending::Refused { wait } => Response::builder()
                .status(StatusCode::TOO_MANY_REQUESTS)
                .header("X-Retry-In-Ms", wait.div_ceil(1000).to_string()),
            Ending::Error | Ending::Left { .. } => {
                Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        };
        let answer = match self.host.destination.report(self.host.book.clock.now()) {
            Some(report) => answer.header("Server-Load", report),
            None => answer,
        };
        // Its parts are words of our own.
        answer.body(Full::default()).unwrap_or_default()
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Answer::default();
    *answer.status_mut() = status;
    answer
}

/// The future of one connection, as the doors of its link take it.
pub fn boxed(serving: impl Future<Output = ()> + 'static) -> Pin<Box<dyn Future<Output = ()>>> {
    Box::pin(serving)
}
