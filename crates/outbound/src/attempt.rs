//! One attempt at a host, from the connection to the end of the answer.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pewterseam_delivery::{AttemptEnd, AttemptId, AttemptResult, BreakCause, Target};
use pewterseam_http1::{Client, Headers, Request, Response};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::answer::{self, REQUEST_ID, ReadAnswer};
use crate::connection::{CallFailure, Called, ConnectError, Connection, connect};
use crate::outbound::{CallNotes, OutboundEvent, Shared, Word};
use crate::reading::Reading;
use crate::request::{DeliveryRequest, request};

const OK: u16 = 200;
/// The header by which an answer to a health check names its host.
const INSTANCE_ID: &str = "X-Instance-Id";

/// What an attempt is to do.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) attempt: AttemptId,
    pub(crate) target: Target,
    pub(crate) message: Arc<DeliveryRequest>,
    pub(crate) timeout: Duration,
    pub(crate) connect_timeout: Duration,
    /// Nothing is written later.
    pub(crate) write_by: Instant,
    pub(crate) confirm: bool,
}

/// How an attempt ended, and its connection if that may carry another.
struct Ended {
    result: AttemptResult,
    idle_for: Option<Duration>,
    kept: Option<(Connection, Duration)>,
    notes: CallNotes,
}

impl Ended {
    fn without_connection(result: AttemptResult, idle_for: Option<Duration>) -> Self {
        Ended { result, idle_for, kept: None, notes: CallNotes::default() }
    }
}

/// Makes an attempt and tells of its end, unless it was withheld.
pub(crate) async fn run(
    shared: Arc<Shared>, plan: Plan, word: oneshot::Receiver<Word>, aborted: oneshot::Receiver<()>,
) {
    let began = Instant::now();
    let is_written = AtomicBool::new(false);
    let mut call = pin!(call(&shared, &plan, word, &is_written));
    let ended = tokio::select! {
        biased;
        Ok(()) = aborted => called_off(call, &is_written).await,
        ended = &mut call => ended,
    };
    let Some(Ended { result, idle_for, kept, notes }) = ended else { return };
    let end = AttemptEnd {
        result,
        took: began.elapsed().as_micros() as u64,
        idle_for: idle_for.map(|span| span.as_micros() as u64),
        kept: kept.is_some(),
    };
    if let Some((mut connection, keep_for)) = kept {
        connection.kept_until = None;
        connection.rest(Instant::now(), keep_for);
        shared.pool().put(plan.target.address, connection);
    }
    shared.tell(OutboundEvent::Ended { attempt: plan.attempt, end, notes });
}

/// The end of a call that is called off: by its answer if that is there already, as it may tell of a success.
///
/// Danger: a request that is not written yet must not be written after this.
async fn called_off(call: impl Future<Output = Option<Ended>>, is_written: &AtomicBool) -> Option<Ended> {
    let without_answer = Ended::without_connection(AttemptResult::Broken(BreakCause::Cancelled), None);
    if !is_written.load(Ordering::Relaxed) {
        return Some(without_answer);
    }
    // The runtime looks at its sockets before a task that has yielded goes on.
    tokio::task::yield_now().await;
    tokio::select! {
        biased;
        ended = call => ended,
        () = std::future::ready(()) => Some(without_answer),
    }
}

async fn call(
    shared: &Shared, plan: &Plan, word: oneshot::Receiver<Word>, is_written: &AtomicBool,
) -> Option<Ended> {
    let Ok(request) = request(&plan.message, &plan.target, plan.timeout) else {
        return Some(Ended::without_connection(AttemptResult::Broken(BreakCause::InvalidRequest), None));
    };
    let (address, mut word) = (plan.target.address, Some(word));
    let mut told_at = None;
    loop {
        let idle = shared.pool().take(address, Some(&plan.message.request_id), Instant::now());
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let silence = plan.timeout.max(plan.connect_timeout);
                match open(shared, address, plan.connect_timeout, silence).await {
                    Ok(connection) => connection,
                    Err(_) => return Some(Ended::without_connection(AttemptResult::ConnectFailed, None)),
                }
            }
        };
        let idle_for = connection.idle_since.map(|since| since.elapsed());
        // Whoever has been asked once has said what goes.
        if (is_new || plan.confirm)
            && let Some(word) = word.take()
        {
            shared.tell(OutboundEvent::Opened { attempt: plan.attempt });
            if let Ok(Word::Write { told_at: at }) = word.await {
                told_at = Some(at);
            } else {
                connection.rest(Instant::now(), shared.settings.idle_close);
                shared.pool().put(address, connection);
                return None;
            }
        }
        // Danger: a connection that was long in opening, or a process that stood still, outlives the right to send.
        if Instant::now() >= plan.write_by {
            let kept = Some((connection, shared.settings.idle_close));
            return Some(Ended {
                result: AttemptResult::Unsent,
                idle_for,
                kept,
                notes: CallNotes::default(),
            });
        }
        connection.carries(&plan.message.request_id);
        is_written.store(true, Ordering::Relaxed);
        match exchange(shared, plan, &mut connection, &request).await {
            Exchange::Ended(result, keep_for) => {
                let notes = notes(&connection, told_at);
                let kept = keep_for.map(|span| (connection, span));
                return Some(Ended { result, idle_for, kept, notes });
            }
            // The host had closed it while it was idle; nothing was written. Danger: the word to write was for that
            // moment, and a new connection may take long to open.
            Exchange::Unwritten if !is_new && word.is_none() => {
                return Some(Ended::without_connection(AttemptResult::Unsent, None));
            }
            Exchange::Unwritten if !is_new => is_written.store(false, Ordering::Relaxed),
            Exchange::Unwritten => {
                return Some(Ended::without_connection(AttemptResult::ConnectFailed, None));
            }
        }
    }
}

/// What is to be told of a call that ended on this connection; `told_at` is when its word to write was given.
fn notes(connection: &Connection, told_at: Option<Instant>) -> CallNotes {
    let write_delay =
        told_at.zip(connection.written_at).map(|(from, until)| until.saturating_duration_since(from));
    CallNotes { passed_over: connection.passed_over, write_delay: write_delay.unwrap_or_default() }
}

/// Opens a connection to a host.
async fn open(
    shared: &Shared, address: SocketAddr, within: Duration, silence: Duration,
) -> Result<Connection, ConnectError> {
    connect(&*shared.dialer, address, within, silence, Client::discarding()).await
}

enum Exchange {
    Ended(AttemptResult, Option<Duration>),
    Unwritten,
}

async fn exchange(shared: &Shared, plan: &Plan, connection: &mut Connection, request: &Request) -> Exchange {
    let by = Instant::now() + plan.timeout + shared.settings.answer_grace;
    let calling = connection.call(request, |response| answer::read_as(response, &plan.message.request_id));
    let called = match tokio::time::timeout_at(by, calling).await {
        Ok(Ok(called)) => called,
        Ok(Err(CallFailure::Unwritten)) => return Exchange::Unwritten,
        Ok(Err(CallFailure::Broken(reason))) => return Exchange::Ended(AttemptResult::Broken(reason), None),
        Err(_) => return Exchange::Ended(AttemptResult::TimedOut, None),
    };
    match answer::read(&called.response, shared.settings.idle_close) {
        Ok(ReadAnswer { answer, keep_for }) => {
            Exchange::Ended(AttemptResult::Answered(answer), called.is_clean.then_some(keep_for))
        }
        Err(reason) => Exchange::Ended(AttemptResult::Broken(reason), None),
    }
}

/// Whether a host answers its health path with 200 as the instance that is meant.
pub(crate) async fn probe(shared: &Shared, target: &Target, path: &str, timeout: Duration) -> bool {
    let checking = async {
        let idle = shared.pool().take(target.address, None, Instant::now());
        let mut connection = match idle {
            Some(connection) => connection,
            None => open(shared, target.address, timeout, timeout).await.ok()?,
        };
        let headers = Headers::default().with("host", target.address.to_string());
        let request = Request { headers, ..Request::get(path) };
        let names_instance = target.instance.is_some();
        let reading = |response: &Response| read_check(response, names_instance);
        let Called { response, .. } = connection.call(&request, reading).await.ok()?;
        let told = response.headers.text(INSTANCE_ID);
        let is_meant = target.instance.as_deref().is_none_or(|meant| told == Some(meant));
        Some(response.status == OK && is_meant)
    };
    tokio::time::timeout(timeout, checking).await.ok().flatten().unwrap_or(false)
}

/// What an answer means to a health check. That of a host on the list names its instance.
///
/// Danger: a host sends the answer to a message twice, or says something before it is asked, and it is read as that to a
/// health check.
fn read_check(response: &Response, names_instance: bool) -> Reading {
    let headers = &response.headers;
    let is_of_message = headers.get(REQUEST_ID).is_some();
    let is_of_check = !names_instance || headers.get(INSTANCE_ID).is_some();
    if is_of_check && !is_of_message { Reading::Own } else { Reading::PassedOver }
}
