//! A message as it goes to a host.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Request, Uri};
use http_body_util::Full;
use pewterseam_delivery::Target;

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
) -> Result<Request<Full<Bytes>>, Unwritable> {
    let uri: Uri = message.target.parse().map_err(|_| Unwritable)?;
    let method = Method::from_bytes(message.method.as_bytes()).map_err(|_| Unwritable)?;
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.uri_mut() = uri;
    *request.method_mut() = method;
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_str(&message.host).map_err(|_| Unwritable)?);
    for (name, value) in &message.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| Unwritable)?;
        let is_ours = name == "host" || name == DEADLINE || name == TARGET_INSTANCE;
        if !is_ours && !is_of_one_hop(&name) {
            headers.append(name, HeaderValue::from_bytes(value.as_bytes()).map_err(|_| Unwritable)?);
        }
    }
    if !headers.contains_key("x-request-id") {
        headers.insert("x-request-id", HeaderValue::from_str(&message.request_id).map_err(|_| Unwritable)?);
    }
    headers.insert(DEADLINE, HeaderValue::from(timeout.as_millis() as u64));
    if let Some(instance) = &target.instance {
        headers.insert(TARGET_INSTANCE, HeaderValue::from_str(instance).map_err(|_| Unwritable)?);
    }
    Ok(request)
}
