//! Opening a connection to a host.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::dialer::Dialer;

/// The most that is read or kept to be written at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Ids that a connection remembers. Whatever a host sends unasked is read by the next request, which closes it.
const MOST_CARRIED: usize = 64;

/// An open connection, in the hands of one request or idle. It is closed when this goes.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// None while it never carried a request.
    pub(crate) idle_since: Option<Instant>,
    /// Until when its host keeps it open, as far as is known.
    pub(crate) kept_until: Option<Instant>,
    /// Ids of the messages that it carried last.
    carried: VecDeque<Arc<str>>,
    driver: AbortHandle,
}

impl Connection {
    /// Books that it idles from now on, for so long if nothing was told before.
    pub(crate) fn rest(&mut self, now: Instant, keep_for: Duration) {
        self.idle_since = Some(now);
        self.kept_until.get_or_insert(now + keep_for);
    }

    /// A message is written on it.
    pub(crate) fn carries(&mut self, request_id: &Arc<str>) {
        if self.carried.len() >= MOST_CARRIED {
            self.carried.pop_front();
        }
        self.carried.push_back(request_id.clone());
    }

    /// Whether an earlier attempt of a message was written on it.
    ///
    /// Danger: a host sends an answer twice, with the id of its message, and the second one is read as that to the retry.
    pub(crate) fn has_carried(&self, request_id: &str) -> bool {
        self.carried.iter().any(|carried| **carried == *request_id)
    }

    /// Whether no message was written on it.
    ///
    /// Danger: a host sends an answer that nobody asked for, without an id, and it is read as that to a health check.
    pub(crate) fn has_carried_none(&self) -> bool {
        self.carried.is_empty()
    }

    pub(crate) fn is_kept(&self, now: Instant) -> bool {
        self.kept_until.is_some_and(|until| until > now)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why no connection was opened.
#[derive(Debug)]
pub(crate) enum ConnectError {
    TimedOut,
    Io(io::Error),
    Http(hyper::Error),
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConnectError::TimedOut => f.write_str("no connection in time"),
            ConnectError::Io(error) => write!(f, "no connection: {error}"),
            ConnectError::Http(error) => write!(f, "no HTTP on a connection: {error}"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Opens a connection; a peer that says nothing for `silence` to what was sent has it broken by the system.
pub(crate) async fn connect(
    dialer: &dyn Dialer, address: SocketAddr, within: Duration, silence: Duration,
) -> Result<Connection, ConnectError> {
    let opening = tokio::time::timeout(within, dialer.dial(address, silence)).await;
    let stream = opening.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::Io)?;
    let handshake = Builder::new().max_buf_size(BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(ConnectError::Http)?;
    // Its end shows in the sender.
    let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Connection { sender, idle_since: None, kept_until: None, carried: VecDeque::new(), driver })
}
