//! Reads a message out of a client's request, and says in plain words what is wrong with one that is none.

use pewterseam::interface::Micros;
use pewterseam_settings::time::micros;

use crate::http::{Request, Response};
use crate::message::Message;

/// The message that a request hands in at `now`, or the answer to a bad one.
pub fn message(now: Micros, request: Request) -> Result<Message, Response> {
    let span = needed(&request, "Request-Timeout")?.parse().ok().and_then(micros);
    let span = span.ok_or_else(|| bad("Request-Timeout is no number of seconds"))?;
    let envelope = needed(&request, "X-Envelope")?;
    let destination = value(envelope, [',', ';'], "dest").and_then(|dest| dest.parse().ok());
    let key = value(text(&request, "Cookie")?.unwrap_or_default(), [';', ';'], "about");
    Ok(Message {
        id: needed(&request, "Request-Id")?.to_owned(),
        class: needed(&request, "Request-Class")?.to_owned(),
        tenant: text(&request, "Tenant")?.unwrap_or_default().to_owned(),
        key: key.filter(|key| !key.is_empty()).map(str::to_owned),
        destination: destination.ok_or_else(|| bad("X-Envelope names no destination"))?,
        deadline: now.saturating_add(span),
        idempotency_key: request.headers.get("Idempotency-Key").map(|key| key.to_vec()),
        body: request.body,
    })
}

fn bad(text: &str) -> Response {
    Response::text(400, format!("{text}\n"))
}

/// A header as text, if it is there.
fn text<'a>(request: &'a Request, name: &'static str) -> Result<Option<&'a str>, Response> {
    let present = request.headers.get(name).is_some();
    let text = request.headers.text(name);
    if present && text.is_none() { Err(bad(&format!("{name} is no text"))) } else { Ok(text) }
}

fn needed<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, Response> {
    let text = text(request, name)?.filter(|text| !text.is_empty());
    text.ok_or_else(|| bad(&format!("{name} is missing")))
}

/// What a list of `name=value` has for a name.
fn value<'a>(list: &'a str, separators: [char; 2], name: &str) -> Option<&'a str> {
    let parts = list.split(separators).filter_map(|part| part.trim().split_once('='));
    parts.filter(|(other, _)| *other == name).map(|(_, value)| value.trim()).next()
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::*;
    use crate::http::Headers;

    fn request(change: (&str, &str)) -> Request {
        let fields = [
            ("Request-Id", "9b1f03aa5c7e2d41"),
            ("Request-Class", "notice"),
            ("Tenant", "acme"),
            ("Cookie", "theme=dark; about=7f3a; lang=zh"),
            ("Request-Timeout", "0.480"),
            ("Idempotency-Key", "5c0f"),
            ("X-Envelope", "dest=7"),
        ];
        let fields = fields.into_iter().filter(|(name, _)| *name != change.0).chain([change]);
        let headers = fields
            .filter(|(_, value)| !value.is_empty())
            .fold(Headers::default(), |all, (name, value)| all.with(name, value.to_owned()));
        Request::post("/api", headers, Bytes::from_static(b"\x00\xff"))
    }

    #[test]
    fn a_message_is_read_and_its_opaque_parts_go_on_unchanged() {
        let message = message(1_000_000, request(("X-Other", "1"))).expect("well formed");
        assert_eq!((message.id.as_str(), message.class.as_str()), ("9b1f03aa5c7e2d41", "notice"));
        assert_eq!((message.tenant.as_str(), message.key.as_deref()), ("acme", Some("7f3a")));
        assert_eq!((message.destination, message.deadline), (7, 1_480_000));
        assert_eq!(message.idempotency_key.as_deref(), Some(&b"5c0f"[..]));
        assert_eq!(&message.body[..], b"\x00\xff");
    }

    #[test]
    fn what_may_be_missing_is_missing() {
        let message = message(0, request(("Cookie", ""))).expect("well formed");
        assert_eq!(message.key, None);
        let message = super::message(0, request(("Idempotency-Key", ""))).expect("well formed");
        assert_eq!(message.idempotency_key, None);
    }

    #[test]
    fn bad_requests_are_told_apart_from_good_ones() {
        let changes = [
            ("Request-Id", ""),
            ("Request-Class", ""),
            ("Request-Timeout", ""),
            ("Request-Timeout", "soon"),
            ("Request-Timeout", "-1"),
            ("Request-Timeout", "inf"),
            ("Request-Timeout", "1e300"),
            ("X-Envelope", ""),
            ("X-Envelope", "dest=seven"),
            ("X-Envelope", "dest=-7"),
            ("X-Envelope", "to=7"),
        ];
        for change in changes {
            let answer = message(0, request(change)).expect_err(change.1);
            assert_eq!(answer.status, 400, "{change:?}");
        }
    }
}
