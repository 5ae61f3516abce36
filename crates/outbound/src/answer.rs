//! Reading a host's answer: it counts only if it is whole and is the answer to this message.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pewterseam_delivery::{Answer, BrokenBy};

use crate::reading::{Reading, read_as};

/// What was read of an answer.
#[derive(Debug)]
pub(crate) struct ReadAnswer {
    pub(crate) answer: Answer,
    /// How long its connection may idle, if it may carry another request.
    pub(crate) keep_for: Option<Duration>,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether the end of the body is marked, so that a part of it is not taken for the whole.
fn has_marked_end(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// How long the connection may idle: the host's word less a margin for what is on its way.
fn keep_for(headers: &HeaderMap, usual: Duration) -> Option<Duration> {
    let connection = headers.get(CONNECTION).and_then(|value| value.to_str().ok()).unwrap_or("");
    if connection.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let told = text(headers, "keep-alive").and_then(|value| {
        let of = |part: &str| part.trim().strip_prefix("timeout=")?.parse::<f64>().ok();
        value.split(',').find_map(of).filter(|seconds| (0.0..1e6).contains(seconds))
    });
    let span = told.map_or(usual, Duration::from_secs_f64);
    Some(span.saturating_sub((span / 4).min(Duration::from_millis(500))))
}

/// Reads an answer to its end; the body itself is of no use.
pub(crate) async fn read(
    mut response: Response<Incoming>, request_id: &str, usual_keep: Duration,
) -> Result<ReadAnswer, BrokenBy> {
    let headers = response.headers();
    let told = text(headers, "x-request-id");
    // Danger: a host sends an answer a second time, or one to nobody, and it is read as that to the next message. Every
    // answer carries the id of its message.
    if read_as(told, request_id) != Reading::Own {
        return Err(BrokenBy::OtherAnswer);
    }
    let marked = has_marked_end(&response);
    let retry_after = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let retry_after = retry_after.and_then(|value| value.trim().parse::<f64>().ok());
    let retry_after = retry_after.filter(|seconds| (0.0..3600.0).contains(seconds));
    let answer = Answer {
        status: response.status().as_u16(),
        not_executed: response.headers().contains_key("x-not-executed"),
        signature: text(response.headers(), "x-response-signature").map(Arc::from),
        retry_after: retry_after.map(|seconds| (seconds * 1e6) as u64),
    };
    let keep_for = keep_for(response.headers(), usual_keep).filter(|_| marked);
    while let Some(frame) = response.body_mut().frame().await {
        frame.map_err(|_| BrokenBy::CutShort)?;
    }
    if !marked {
        return Err(BrokenBy::NoMarkedEnd);
    }
    Ok(ReadAnswer { answer, keep_for })
}
