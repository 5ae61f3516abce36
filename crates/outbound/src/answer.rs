//! Reading a host's answer: it counts only if it is the answer to this message and shows that it is whole.

use std::sync::Arc;
use std::time::Duration;

use pewterseam_delivery::{Answer, BreakCause};
use pewterseam_http1::{Headers, Response};

use crate::reading::{self, Reading};

/// The header by which an answer names its message.
pub(crate) const REQUEST_ID: &str = "x-request-id";

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
const MICROS_A_SECOND: f64 = 1e6;
const LONGEST_KEEP_ALIVE_S: f64 = 1e6;
const LONGEST_RETRY_AFTER_S: f64 = 3600.0;

/// What was read of an answer.
#[derive(Debug)]
pub(crate) struct ReadAnswer {
    pub(crate) answer: Answer,
    /// How long its connection may idle, as far as its host tells.
    pub(crate) keep_for: Duration,
}

/// What an answer means to the call of a message.
pub(crate) fn read_as(response: &Response, request_id: &str) -> Reading {
    reading::read_as(response.headers.text(REQUEST_ID), request_id)
}

/// Whether the end of the body is marked, so that a part of it is not taken for the whole.
fn has_marked_end(response: &Response) -> bool {
    let headers = &response.headers;
    let is_bodiless = matches!(response.status, NO_CONTENT | NOT_MODIFIED);
    is_bodiless || headers.get("Content-Length").is_some() || headers.get("Transfer-Encoding").is_some()
}

/// How long the connection may idle: the host's word less a margin for what is on its way.
fn keep_for(headers: &Headers, usual: Duration) -> Duration {
    let told = headers.text("Keep-Alive").and_then(|value| {
        let of = |part: &str| part.trim().strip_prefix("timeout=")?.parse::<f64>().ok();
        value.split(',').find_map(of).filter(|seconds| (0.0..LONGEST_KEEP_ALIVE_S).contains(seconds))
    });
    let span = told.map_or(usual, Duration::from_secs_f64);
    span.saturating_sub((span / 4).min(Duration::from_millis(500)))
}

/// Reads an answer to a message; its body is of no use.
pub(crate) fn read(response: &Response, usual_keep: Duration) -> Result<ReadAnswer, BreakCause> {
    if !has_marked_end(response) {
        return Err(BreakCause::UnmarkedEnd);
    }
    let headers = &response.headers;
    let retry_after = headers.text("Retry-After").and_then(|value| value.parse::<f64>().ok());
    let retry_after = retry_after.filter(|seconds| (0.0..LONGEST_RETRY_AFTER_S).contains(seconds));
    let answer = Answer {
        status: response.status,
        not_executed: headers.get("X-Not-Executed").is_some(),
        signature: headers.text("X-Response-Signature").map(Arc::from),
        retry_after: retry_after.map(|seconds| (seconds * MICROS_A_SECOND) as u64),
    };
    Ok(ReadAnswer { answer, keep_for: keep_for(headers, usual_keep) })
}
