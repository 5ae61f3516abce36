//! One attempt at a host, from the connection to the end of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use pewterseam_delivery::{AttemptEnd, AttemptId, AttemptResult, BrokenBy, Target};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::answer;
use crate::connection::{Connection, connect};
use crate::outbound::{OutboundEvent, Shared, Word};
use crate::request::{DeliveryRequest, request};

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
}

impl Ended {
    fn without_connection(result: AttemptResult, idle_for: Option<Duration>) -> Self {
        Ended { result, idle_for, kept: None }
    }
}

/// Makes an attempt and tells of its end, unless it was withheld.
pub(crate) async fn run(
    shared: Arc<Shared>, plan: Plan, word: oneshot::Receiver<Word>, aborted: oneshot::Receiver<()>,
) {
    let began = Instant::now();
    let call = call(&shared, &plan, word);
    let ended = tokio::select! {
        ended = call => ended,
        Ok(()) = aborted => {
            Some(Ended::without_connection(AttemptResult::Broken(BrokenBy::CalledOff), None))
        }
    };
    let Some(Ended { result, idle_for, kept }) = ended else { return };
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
    shared.tell(OutboundEvent::Ended { attempt: plan.attempt, end });
}

async fn call(shared: &Shared, plan: &Plan, word: oneshot::Receiver<Word>) -> Option<Ended> {
    let Ok(mut request) = request(&plan.message, &plan.target, plan.timeout) else {
        return Some(Ended::without_connection(AttemptResult::Broken(BrokenBy::Unwritable), None));
    };
    let (address, mut word) = (plan.target.address, Some(word));
    loop {
        let idle = shared.pool().take(address, Some(&plan.message.request_id), Instant::now());
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let silence = plan.timeout.max(plan.connect_timeout);
                match connect(&*shared.dialer, address, plan.connect_timeout, silence).await {
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
            if !matches!(word.await, Ok(Word::Write)) {
                connection.rest(Instant::now(), shared.settings.idle_close);
                shared.pool().put(address, connection);
                return None;
            }
        }
        // Danger: a connection that was long in opening, or a process that stood still, outlives the right to send.
        if Instant::now() >= plan.write_by {
            let kept = Some((connection, shared.settings.idle_close));
            return Some(Ended { result: AttemptResult::Unsent, idle_for, kept });
        }
        connection.carries(&plan.message.request_id);
        match exchange(shared, plan, &mut connection, request).await {
            Exchange::Ended(result, keep_for) => {
                let kept = keep_for.map(|span| (connection, span));
                return Some(Ended { result, idle_for, kept });
            }
            // The host had closed it while it was idle; nothing was written. Danger: the word to write was for that
            // moment, and a new connection may take long to open.
            Exchange::Unwritten(_) if !is_new && word.is_none() => {
                return Some(Ended::without_connection(AttemptResult::Unsent, None));
            }
            Exchange::Unwritten(unwritten) if !is_new => request = unwritten,
            Exchange::Unwritten(_) => {
                return Some(Ended::without_connection(AttemptResult::ConnectFailed, None));
            }
        }
    }
}

enum Exchange {
    Ended(AttemptResult, Option<Duration>),
    Unwritten(Request<Full<Bytes>>),
}

async fn exchange(
    shared: &Shared, plan: &Plan, connection: &mut Connection, request: Request<Full<Bytes>>,
) -> Exchange {
    let by = Instant::now() + plan.timeout + shared.settings.answer_grace;
    let sending = tokio::time::timeout_at(by, connection.sender.try_send_request(request)).await;
    let response = match sending {
        Ok(Ok(response)) => response,
        Ok(Err(mut failed)) => {
            let reason = broken_by(failed.error());
            return match failed.take_message() {
                Some(request) => Exchange::Unwritten(request),
                None => Exchange::Ended(AttemptResult::Broken(reason), None),
            };
        }
        Err(_) => return Exchange::Ended(AttemptResult::TimedOut, None),
    };
    let id = &plan.message.request_id;
    let reading = tokio::time::timeout_at(by, answer::read(response, id, shared.settings.idle_close)).await;
    match reading {
        Ok(Ok(read)) => Exchange::Ended(AttemptResult::Answered(read.answer), read.keep_for),
        Ok(Err(reason)) => Exchange::Ended(AttemptResult::Broken(reason), None),
        Err(_) => Exchange::Ended(AttemptResult::TimedOut, None),
    }
}

/// Why a call whose request was written has no head of an answer.
fn broken_by(error: &hyper::Error) -> BrokenBy {
    if error.is_parse() { BrokenBy::NotHttp } else { BrokenBy::Close }
}

/// Whether a host answers its health path with 200 as the instance that is meant.
pub(crate) async fn probe(shared: &Shared, target: &Target, path: &str, timeout: Duration) -> bool {
    let checking = async {
        let idle = shared.pool().take(target.address, None, Instant::now());
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(&*shared.dialer, target.address, timeout, timeout).await.ok()?,
        };
        let request = Request::get(path).header("host", target.address.to_string());
        let response = connection.sender.send_request(request.body(Full::default()).ok()?).await.ok()?;
        let is_well = response.status() == StatusCode::OK;
        let told = response.headers().get("x-instance-id").and_then(|value| value.to_str().ok());
        // Danger: a host sends the answer to a message twice, and it is read as that to the check.
        let is_of_message = response.headers().contains_key("x-request-id");
        let is_meant = target.instance.as_deref().is_none_or(|meant| told.is_none_or(|told| told == meant));
        Some(is_well && is_meant && !is_of_message)
    };
    tokio::time::timeout(timeout, checking).await.ok().flatten().unwrap_or(false)
}
