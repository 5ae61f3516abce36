//! Calls over HTTP: to a relay's operator API, and to its clients' door.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A call without an answer by then is given up.
const PATIENCE: Duration = Duration::from_secs(3);

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: Bytes,
}

impl<'a> Call<'a> {
    /// A call without headers or a body.
    pub fn get(path: &'a str) -> Self {
        Call { method: "GET", path, headers: Vec::new(), body: Bytes::new() }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

/// Makes a call on a connection of its own. None: no whole answer came in time.
pub async fn call(address: SocketAddr, call: Call<'_>) -> Option<Reply> {
    timeout(PATIENCE, exchange(address, call)).await.ok().flatten()
}

async fn exchange(address: SocketAddr, call: Call<'_>) -> Option<Reply> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let mut request = Request::builder().method(call.method).uri(call.path);
    if !call.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request = request.header("Host", address.to_string());
    }
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    let request = request.body(Full::new(call.body)).ok()?;
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(Reply { status, body })
    };
    tokio::select! {
        answer = answer => answer,
        // The connection ends only after its last answer, or breaks.
        _ = async { let _ = connection.await; std::future::pending::<()>().await } => None,
    }
}
