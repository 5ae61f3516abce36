//! A message as it goes to a host.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Uri};
use pewterseam_delivery::Target;
use pewterseam_http1::{Headers, Request};

use crate::answer::REQUEST_ID;

/// Headers of a single hop, beside those that `http` names.
const OF_ONE_HOP: [&str; 4] = ["keep-alive", "proxy-connection", "proxy-authorization", "expect"];
/// What the relay sets itself.
const DEADLINE: &str = "x-deadline-ms";
const TARGET_INSTANCE: &str = "x-target-instance";

/// A message as it arrived.
#[derive(Clone, Debug)]
pub struct DeliveryRequest {
    /// `X-Request-Id`, which is among the headers as well.
    pub request_id: Arc<str>,
    pub method: Arc<str>,
    /// The `Host` header.
    pub host: Arc<str>,
    /// Path and query, byte for byte.
    pub target: Arc<str>,
    /// The client's headers in their order; those of one hop are left out here.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    pub body: Bytes,
}

/// Why a message cannot be written as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unwritable;

fn is_of_one_hop(name: &HeaderName) -> bool {
    let known = [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    known.contains(name) || OF_ONE_HOP.contains(&name.as_str())
}

/// The request of one attempt.
pub(crate) fn request(
    message: &DeliveryRequest, target: &Target, timeout: Duration,
) -> Result<Request, Unwritable> {
    // Danger: bytes that end a line would smuggle in lines, or a request, of their own.
    let _: Uri = message.target.parse().map_err(|_| Unwritable)?;
    let method = Method::from_bytes(message.method.as_bytes()).map_err(|_| Unwritable)?;
    let mut headers = Headers::default().with("host", value(&message.host)?);
    for (name, text) in &message.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| Unwritable)?;
        let is_ours = name == "host" || name == DEADLINE || name == TARGET_INSTANCE;
        if !is_ours && !is_of_one_hop(&name) {
            headers = headers.with(name.as_str(), value(text)?);
        }
    }
    if headers.get(REQUEST_ID).is_none() {
        headers = headers.with(REQUEST_ID, value(&message.request_id)?);
    }
    headers = headers.with(DEADLINE, timeout.as_millis().to_string());
    if let Some(instance) = &target.instance {
        headers = headers.with(TARGET_INSTANCE, value(instance)?);
    }
    if method != Method::GET || !message.body.is_empty() {
        headers = headers.with(CONTENT_LENGTH.as_str(), message.body.len().to_string());
    }
    Ok(Request {
        method: method.as_str().to_owned(),
        path: message.target.to_string(),
        headers,
        body: message.body.clone(),
        keep_alive: true,
    })
}

/// A value that fits in one line.
fn value(text: &str) -> Result<Bytes, Unwritable> {
    HeaderValue::from_str(text).map_err(|_| Unwritable)?;
    Ok(Bytes::copy_from_slice(text.as_bytes()))
}
