//! A connection to a host or to the platform: opened, then one call at a time.

use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::{FutureExt, Sink, SinkExt, StreamExt};
use pewterseam_delivery::BreakCause;
use pewterseam_http1::{Client, Fault, Request, Response};
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::dialer::{ByteStream, Dialer};
use crate::reading::Reading;

/// Ids that a connection remembers. Of a host's second answers only the latest are of danger: a retry comes soon.
const MOST_CARRIED: usize = 64;
/// Answers to other messages that one call passes over.
const MOST_PASSED_OVER: u32 = 64;

/// An open connection, in the hands of one request or idle. It is closed when this goes.
pub(crate) struct Connection {
    stream: Framed<Box<dyn ByteStream>, Client>,
    /// None while it never carried a request.
    pub(crate) idle_since: Option<Instant>,
    /// Until when its host keeps it open, as far as is known.
    pub(crate) kept_until: Option<Instant>,
    /// Ids of the messages that it carried last.
    carried: VecDeque<Arc<str>>,
    /// Answers to other messages than the one that was out.
    pub(crate) passed_over: u32,
    /// When the last request had gone whole.
    pub(crate) written_at: Option<Instant>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Connection { idle_since, kept_until, carried, .. } = self;
        f.debug_struct("Connection")
            .field("idle_since", idle_since)
            .field("kept_until", kept_until)
            .field("carried", carried)
            .finish_non_exhaustive()
    }
}

/// A call that was answered.
#[derive(Debug)]
pub(crate) struct Called {
    pub(crate) response: Response,
    /// The connection may carry another call: the request has gone whole, and nothing but its answer came.
    pub(crate) is_clean: bool,
}

/// Why a call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The connection was closed already, or something had come on it. Not a byte was written.
    Unwritten,
    Broken(BreakCause),
}

/// How far the writing of a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writing {
    UnderWay,
    Done,
    Failed,
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

    /// Whether an idle connection is open and nothing has come on it that nobody asked for.
    pub(crate) fn is_quiet(&mut self) -> bool {
        let has_come = self.stream.next().now_or_never().is_some();
        let buffered = self.stream.read_buffer();
        !has_come && buffered.is_empty() && !self.stream.codec().is_midway(buffered)
    }

    /// Writes a request and reads answers until its own.
    ///
    /// Danger: a host sends an answer twice, the second one seconds late. If a call took what comes first for its end, it would
    /// give up the own answer behind it, and a message that has run would run again. What ends a call is the message that
    /// an answer names, never its place on the connection.
    pub(crate) async fn call(
        &mut self, request: &Request, read_as: impl Fn(&Response) -> Reading,
    ) -> Result<Called, CallFailure> {
        // Danger: what a host said before it was asked is read as the answer to a health check.
        if !self.is_quiet() {
            return Err(CallFailure::Unwritten);
        }
        self.stream.feed(request).await.map_err(|_| CallFailure::Unwritten)?;
        let size = self.stream.write_buffer().len();
        let mut writing = Writing::UnderWay;
        loop {
            let come = poll_fn(|context| self.poll_exchange(context, &mut writing)).await;
            let was_written = writing != Writing::Failed || self.stream.write_buffer().len() < size;
            let reason = match come {
                Some(Ok(response)) if read_as(&response) == Reading::Own => {
                    let is_alone = self.passed_over == 0 && self.stream.read_buffer().is_empty();
                    let is_clean = is_alone && writing == Writing::Done && response.keep_alive;
                    return Ok(Called { response, is_clean });
                }
                Some(Ok(_)) if self.passed_over < MOST_PASSED_OVER => {
                    self.passed_over += 1;
                    continue;
                }
                Some(Ok(_)) => BreakCause::UnmatchedResponse,
                _ if !was_written => return Err(CallFailure::Unwritten),
                Some(Err(fault)) => self.broken_by(&fault),
                None => BreakCause::ConnectionClosed,
            };
            return Err(CallFailure::Broken(reason));
        }
    }

    /// Goes on writing, and reads what has come: a host may answer before it has read the whole request.
    fn poll_exchange(
        &mut self, context: &mut Context<'_>, writing: &mut Writing,
    ) -> Poll<Option<Result<Response, Fault>>> {
        if *writing == Writing::UnderWay {
            let stream = Pin::new(&mut self.stream);
            *writing = match Sink::<&Request>::poll_flush(stream, context) {
                Poll::Ready(Ok(())) => {
                    self.written_at = Some(Instant::now());
                    Writing::Done
                }
                Poll::Ready(Err(_)) => Writing::Failed,
                Poll::Pending => Writing::UnderWay,
            };
        }
        self.stream.poll_next_unpin(context)
    }

    fn broken_by(&self, fault: &Fault) -> BreakCause {
        match fault {
            Fault::Io(_) if self.stream.codec().is_midway(self.stream.read_buffer()) => {
                BreakCause::TruncatedResponse
            }
            Fault::Io(_) => BreakCause::ConnectionClosed,
            _ => BreakCause::NotHttp,
        }
    }
}

/// Why no connection was opened.
#[derive(Debug)]
pub(crate) enum ConnectError {
    TimedOut,
    Io(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::TimedOut => f.write_str("no connection in time"),
            ConnectError::Io(error) => write!(f, "no connection: {error}"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Opens a connection; a peer that says nothing for `silence` to what was sent has it broken by the system.
pub(crate) async fn connect(
    dialer: &dyn Dialer, address: SocketAddr, within: Duration, silence: Duration, client: Client,
) -> Result<Connection, ConnectError> {
    let opening = tokio::time::timeout(within, dialer.dial(address, silence)).await;
    let stream = opening.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::Io)?;
    let stream = Framed::new(stream, client);
    Ok(Connection {
        stream,
        idle_since: None,
        kept_until: None,
        carried: VecDeque::new(),
        passed_over: 0,
        written_at: None,
    })
}
