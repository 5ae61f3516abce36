//! The agent on a relay's machine: watches, and notices.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::registry::{Mood, Registry};
use crate::real::traffic::Traffic;
use crate::story::{Happened, RelayNumber};

/// Longest that a watch may wait.
const MOST_WAIT: Duration = Duration::from_secs(60);
const MOST_BODY: usize = 1 << 20;

type Answer = Response<Full<Bytes>>;

/// Serves one connection of a relay until it is over.
pub async fn serve(registry: Rc<Registry>, traffic: Rc<Traffic>, relay: RelayNumber, stream: TcpStream) {
    let service = service_fn(|request| {
        let agent = Agent { registry: registry.clone(), traffic: traffic.clone(), relay };
        async move { Ok::<_, Infallible>(agent.answer(request).await) }
    });
    // A connection that breaks is the relay's to open anew.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

struct Agent {
    registry: Rc<Registry>,
    traffic: Rc<Traffic>,
    relay: RelayNumber,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    state: State,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Failed,
    Returned,
}

impl Agent {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/catalog/members") => self.members(request.uri().query()).await,
            (&Method::POST, "/reports") => self.reports(request).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn members(&self, query: Option<&str>) -> Answer {
        let value = |name: &str| -> Option<u64> {
            let parts = query?.split('&').filter_map(|part| part.split_once('='));
            parts.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
        };
        let mut mood = self.registry.mood();
        if *mood.borrow_and_update() == Mood::Overloaded {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let since = value("index");
        if let Some(since) = since {
            let wait = Duration::from_millis(value("wait").unwrap_or(0)).min(MOST_WAIT);
            let mut revs = self.registry.revs();
            let _ = timeout(wait, revs.wait_for(|rev| *rev > since)).await;
        }
        let _ = mood.wait_for(|mood| *mood != Mood::Silent).await;
        let (rev, all, entries) = self.registry.answer(since);
        self.registry.tell(self.relay, &entries);
        let body = self.registry.wire(self.relay, rev, all, &entries).to_string();
        Response::new(Full::new(Bytes::from(body)))
    }

    /// Answered at once, also while discovery is down.
    async fn reports(&self, request: Request<Incoming>) -> Answer {
        let Ok(body) = Limited::new(request.into_body(), MOST_BODY).collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let read: Result<Vec<Line>, _> = lines.map(serde_json::from_slice).collect();
        let Ok(read) = read else { return status(StatusCode::BAD_REQUEST) };
        for line in read {
            if let Some((message, times)) = self.traffic.find(&line.id) {
                let failed = line.state == State::Failed;
                self.registry.book.tell(Happened::Noticed { message, times, relay: self.relay, failed });
            }
        }
        status(StatusCode::NO_CONTENT)
    }
}

fn status(status: StatusCode) -> Answer {
    let mut answer = Answer::default();
    *answer.status_mut() = status;
    answer
}
