//! Answers to clients.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use pewterseam_queue::Answer;
use serde::Serialize;

use crate::requests::{BodyAnswer, StatusAnswer};

/// Names the message that was accepted.
const MESSAGE_ID: HeaderName = HeaderName::from_static("x-queue-message-id");

const MILLISECONDS_A_SECOND: u64 = 1_000;

pub(crate) type HttpAnswer = Response<Full<Bytes>>;

/// The state of a message as clients read it.
#[derive(Serialize)]
struct StateDocument<'a> {
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    signature: Option<&'a str>,
}

pub(crate) fn plain(status: StatusCode) -> HttpAnswer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// The request was not taken and never will run.
pub(crate) fn not_taken(retry_after_ms: u64) -> HttpAnswer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = HeaderValue::from(retry_after_ms / MILLISECONDS_A_SECOND);
    answer.headers_mut().insert(RETRY_AFTER, seconds);
    // The client's next connection may lead to a relay that can take it.
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

pub(crate) fn of_message(answer: Answer) -> HttpAnswer {
    match answer {
        Answer::Accepted { name } => accepted(&name.0),
        Answer::Declined { retry_after_ms } => not_taken(retry_after_ms),
        Answer::Unknown => plain(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn accepted(name: &Arc<str>) -> HttpAnswer {
    let mut answer = plain(StatusCode::ACCEPTED);
    if let Ok(value) = HeaderValue::from_str(name) {
        answer.headers_mut().insert(MESSAGE_ID, value);
    }
    answer
}

/// No message of this name is known. The page asks for no body here; this one is for people.
fn unknown_message(name: &str) -> HttpAnswer {
    let text = format!(
        "no message {name:?} is known here: ask for the name that the 202 gave in X-Queue-Message-Id; states are kept \
         for statusTtlS after a message's end\n"
    );
    let mut answer = plain(StatusCode::NOT_FOUND);
    *answer.body_mut() = Full::new(Bytes::from(text));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}

pub(crate) fn of_status(name: &str, answer: &StatusAnswer) -> HttpAnswer {
    let (state, signature) = match answer {
        StatusAnswer::Pending => ("pending", None),
        StatusAnswer::Completed { signature } => ("completed", Some(signature.as_ref())),
        StatusAnswer::DeadLetter => ("dead_letter", None),
        StatusAnswer::Unknown => return unknown_message(name),
        StatusAnswer::Unavailable => return not_taken(0),
    };
    let Ok(text) = serde_json::to_vec(&StateDocument { state, signature }) else {
        return plain(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

pub(crate) fn of_body(name: &str, answer: BodyAnswer) -> HttpAnswer {
    match answer {
        BodyAnswer::Found(bytes) => Response::new(Full::new(bytes)),
        BodyAnswer::Unknown => unknown_message(name),
        BodyAnswer::Unavailable => not_taken(0),
    }
}
