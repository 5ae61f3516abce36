//! From a request's head and body to a message.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use pewterseam_queue::{ClientToken, NewMessage};
use pewterseam_wire::record::Headers;

use crate::requests::RequestRoute;

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const ORDERING_KEY: HeaderName = HeaderName::from_static("x-ordering-key");
const DELAY: HeaderName = HeaderName::from_static("x-delay-ms");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Headers that concern this hop or this system alone and are not passed on to hosts.
const NOT_PASSED_ON: [&str; 14] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-delay-ms",
];

/// The longest request id, so that a message's name stays within 64 letters.
const MOST_ID_BYTES: usize = 56;
/// How long a client waits that does not say so.
const USUAL_PATIENCE_MS: u64 = 5_000;

/// Part of the client's patience for which a request is held by a relay that has just started and cannot take it yet. The
/// rest is left for another relay.
const HELD_PART: f64 = 0.5;

/// How long a request may be held before it is refused.
pub(crate) fn may_be_held(headers: &HeaderMap) -> Duration {
    Duration::from_millis(patience_ms(headers).unwrap_or(USUAL_PATIENCE_MS)).mul_f64(HELD_PART)
}

/// How long the client waits.
fn patience_ms(headers: &HeaderMap) -> Result<u64, MessageError> {
    Ok(number(headers, &DEADLINE)?.unwrap_or(USUAL_PATIENCE_MS))
}

/// Why a request is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageError {
    /// It has no request id, or one that cannot be part of a name.
    RequestId,
    /// A number in its head cannot be read.
    Number,
    /// A header's value is no text.
    Header,
}

pub(crate) fn read(
    parts: &Parts, route: RequestRoute, host: &str, body: Bytes,
) -> Result<NewMessage, MessageError> {
    let headers = &parts.headers;
    let request_id = text(headers, &REQUEST_ID)?.ok_or(MessageError::RequestId)?;
    if !is_name(request_id) {
        return Err(MessageError::RequestId);
    }
    let ordering_key = text(headers, &ORDERING_KEY)?.filter(|_| route.is_ordered);
    Ok(NewMessage {
        token: ClientToken(0),
        request_id: Arc::from(request_id),
        route: route.name,
        route_key: route.key,
        host: Arc::from(host),
        method: Arc::from(parts.method.as_str()),
        target: Arc::from(parts.uri.path_and_query().map_or("/", |target| target.as_str())),
        headers: passed_on(headers)?,
        body,
        ordering_key: ordering_key.map(Arc::from),
        delay_ms: number(headers, &DELAY)?.unwrap_or(0),
        client_timeout_ms: patience_ms(headers)?,
    })
}

fn is_name(id: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MOST_ID_BYTES && id.bytes().all(fits)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, MessageError> {
    let read = |value: &'a HeaderValue| value.to_str().map(str::trim).map_err(|_| MessageError::Header);
    headers.get(name).map(read).transpose()
}

/// A number of milliseconds; fractions are rounded up.
fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, MessageError> {
    let Some(text) = text(headers, name)? else { return Ok(None) };
    let value: f64 = text.parse().map_err(|_| MessageError::Number)?;
    let is_sane = value.is_finite() && (0.0..=1e12).contains(&value);
    if is_sane { Ok(Some(value.ceil() as u64)) } else { Err(MessageError::Number) }
}

fn passed_on(headers: &HeaderMap) -> Result<Headers, MessageError> {
    let mut kept = Vec::new();
    for (name, value) in headers {
        if NOT_PASSED_ON.contains(&name.as_str()) {
            continue;
        }
        let value = value.to_str().map_err(|_| MessageError::Header)?;
        kept.push((Arc::from(name.as_str()), Arc::from(value)));
    }
    Ok(kept)
}
