//! The clients' connections to relays, one request at a time on each.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};

use crate::real::links::{Link, dial};
use crate::real::noted::{Marks, Noted};

/// For a connection to come up, and from a request on for its answer (the protocol's figure).
const PATIENCE: Duration = Duration::from_millis(400);

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// When its last byte was written; none where none was.
    pub sent: Option<Instant>,
    pub came: Came,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    /// With the wait that a refusal asks for.
    Answer {
        status: u16,
        after: Option<Duration>,
    },
    Broken,
    Nothing,
}

struct Open {
    sender: SendRequest<Full<Bytes>>,
    marks: Rc<Marks>,
    task: JoinHandle<()>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Reached {
    link: Link,
    address: SocketAddr,
    idle: RefCell<Vec<Open>>,
}

/// All relays as clients reach them.
pub struct Relays(Vec<Reached>);

impl Relays {
    pub fn new(relays: impl Iterator<Item = (Link, SocketAddr)>) -> Self {
        let reached = |(link, address)| Reached { link, address, idle: RefCell::default() };
        Relays(relays.map(reached).collect())
    }

    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// A new connection to a relay, for questions.
    pub async fn dial(&self, relay: usize) -> std::io::Result<tokio::net::TcpStream> {
        dial(&self.0[relay].link, self.0[relay].address).await
    }

    /// Puts a request to a relay. On a kept connection that turns out to be closed it goes once more on a new
    /// one.
    pub async fn ask(&self, relay: usize, request: Request<Full<Bytes>>) -> Exchange {
        let reached = &self.0[relay];
        let mut sent = None;
        // Danger: a borrow of the idle ones lasts through the exchange.
        let kept = reached.kept();
        if let Some(open) = kept {
            let exchange = reached.exchange(open, request.clone()).await;
            if exchange.came != Came::Broken {
                return exchange;
            }
            sent = exchange.sent;
        }
        let exchange = match timeout(PATIENCE, reached.open()).await {
            Ok(Some(open)) => reached.exchange(open, request).await,
            Ok(None) => Exchange { sent: None, came: Came::Broken },
            Err(_) => Exchange { sent: None, came: Came::Nothing },
        };
        Exchange { sent: exchange.sent.or(sent), ..exchange }
    }
}

impl Reached {
    fn kept(&self) -> Option<Open> {
        let mut idle = self.idle.borrow_mut();
        std::iter::from_fn(|| idle.pop()).find(|open| open.sender.is_ready())
    }

    async fn open(&self) -> Option<Open> {
        let stream = dial(&self.link, self.address).await.ok()?;
        let marks = Rc::new(Marks::default());
        let io = TokioIo::new(Noted::new(stream, marks.clone()));
        let (sender, connection) = http1::handshake(io).await.ok()?;
        let task = spawn_local(async move {
            // Its end is seen by the one whose request it carries.
            let _ = connection.await;
        });
        Some(Open { sender, marks, task })
    }

    async fn exchange(&self, mut open: Open, request: Request<Full<Bytes>>) -> Exchange {
        open.marks.take_last_written();
        let until = Instant::now() + PATIENCE;
        let answer = async {
            let response = open.sender.send_request(request).await.ok()?;
            let (head, body) = response.into_parts();
            body.collect().await.ok()?;
            Some(Response::from_parts(head, ()))
        };
        let came = match timeout_at(until, answer).await {
            Ok(Some(response)) => {
                let after = response.headers().get("Retry-After").and_then(|value| value.to_str().ok());
                let after = after.and_then(|text| text.parse().ok());
                let after = after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
                Came::Answer { status: response.status().as_u16(), after }
            }
            Ok(None) => Came::Broken,
            Err(_) => Came::Nothing,
        };
        let sent = open.marks.take_last_written();
        if matches!(came, Came::Answer { .. }) && !open.sender.is_closed() {
            self.idle.borrow_mut().push(open);
        }
        Exchange { sent, came }
    }
}
