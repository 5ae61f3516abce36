//! What the platform and other firms are to the local system: the list of hosts, and two hosts that run what they are
//! sent at once. `/fail/` always fails, `/refuse/` refuses for good, all else succeeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use serde_json::json;
use tokio::net::TcpListener;
use warp::http::{HeaderMap, Method, Response, StatusCode};
use warp::path::FullPath;
use warp::{Filter, Reply};

use super::layout::{Layout, SERVICE};
use crate::error::ConsoleError;

/// Messages that a host runs at a time.
const SLOTS: u32 = 8;
const HEALTH_PATH: &str = "/health";

/// Starts to serve the list and the hosts.
pub async fn start(layout: &Layout) -> Result<(), ConsoleError> {
    let instances: Vec<_> = layout.hosts().map(|(id, zone, address)| instance(&id, zone, address)).collect();
    let list = json!({ "instances": instances, "nextToken": null }).to_string();
    let answer = warp::path!("instances").and(warp::get()).map(move || {
        warp::reply::with_header(list.clone(), "Content-Type", "application/json").into_response()
    });
    let listener = bind(layout.list()).await?;
    tokio::spawn(warp::serve(answer).incoming(listener).run());
    println!("list at {}", layout.list());
    for (id, _, address) in layout.hosts() {
        serve_host(&id, address).await?;
        println!("{id} at {address}");
    }
    Ok(())
}

fn instance(id: &str, zone: &str, address: SocketAddr) -> serde_json::Value {
    json!({ "id": id, "backend": SERVICE, "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": SLOTS, "state": "ready", "coldRemainingMs": 0 })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ConsoleError> {
    TcpListener::bind(address).await.map_err(|error| ConsoleError::AddressTaken { address, error })
}

async fn serve_host(id: &str, address: SocketAddr) -> Result<(), ConsoleError> {
    let host = Arc::new(Host { id: id.to_owned(), runs: AtomicU64::new(0) });
    let request = warp::method().and(warp::path::full()).and(warp::header::headers_cloned());
    let answer = request.and(warp::body::bytes()).map(
        move |method: Method, path: FullPath, headers: HeaderMap, body: Bytes| {
            host.answer(&method, path.as_str(), &headers, &body)
        },
    );
    let listener = bind(address).await?;
    tokio::spawn(warp::serve(answer).incoming(listener).run());
    Ok(())
}

/// A host.
struct Host {
    id: String,
    runs: AtomicU64,
}

impl Host {
    fn answer(&self, method: &Method, path: &str, headers: &HeaderMap, body: &Bytes) -> Response<Bytes> {
        let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        if method == Method::GET && path == HEALTH_PATH {
            return self.response(StatusCode::OK, &[]);
        }
        if header("x-target-instance").is_some_and(|target| target != self.id) {
            return self.response(StatusCode::MISDIRECTED_REQUEST, &[("X-Not-Executed", "1")]);
        }
        let request = header("x-request-id").unwrap_or("-").to_owned();
        println!("{} ran {request}: {method} {path}, {} bytes", self.id, body.len());
        let run = self.runs.fetch_add(1, Ordering::Relaxed) + 1;
        if path.starts_with("/fail/") {
            return self.response(StatusCode::INTERNAL_SERVER_ERROR, &[("X-Request-Id", &request)]);
        }
        if path.starts_with("/refuse/") {
            return self.response(StatusCode::UNPROCESSABLE_ENTITY, &[("X-Request-Id", &request)]);
        }
        let signature = format!("{}.{run}", self.id);
        self.response(StatusCode::OK, &[("X-Request-Id", &request), ("X-Response-Signature", &signature)])
    }

    fn response(&self, status: StatusCode, headers: &[(&str, &str)]) -> Response<Bytes> {
        let mut response = Response::builder().status(status).header("X-Instance-Id", &self.id);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        // A request id that is no header value was none when it came.
        response.body(Bytes::new()).unwrap_or_default()
    }
}
