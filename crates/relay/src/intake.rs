//! What a client's request asks for, in the node's terms, and the answer in HTTP's; what is wrong with one that is none
//! is said in plain words.

use pewterseam_node::client::{Answer, Offer, Question};
use pewterseam_settings::time::micros;

use pewterseam_http1::{MEMBER_CALL, Request, Response};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// A member of the fleet calls.
    Member(Vec<u8>),
    Offer(Offer),
    Question(Question),
}

/// What a request asks for, or the answer to one that asks for nothing that is here.
pub fn read(request: Request) -> Result<Asked, Response> {
    let path = request.path.split('?').next().unwrap_or_default();
    match (request.method.as_str(), path) {
        ("POST", "/api") => offer(request).map(Asked::Offer),
        ("POST", MEMBER_CALL) => Ok(Asked::Member(request.body.to_vec())),
        ("GET", "/_health") => Ok(Asked::Question(Question::Ready)),
        ("GET", "/_counters") => Ok(Asked::Question(Question::Counters)),
        (_, "/api" | "/_health" | "/_counters") => Err(Response::text(405, "the method is another one\n")),
        _ => Err(Response::text(404, "there is nothing here\n")),
    }
}

/// The answer as clients read it.
pub fn response(answer: Answer) -> Response {
    match answer {
        Answer::Taken => Response::new(202),
        Answer::OnHand => Response::text(200, "on hand already\n"),
        Answer::Delivered => Response::text(200, "delivered already\n"),
        Answer::GivenUp => Response::text(409, "given up already\n"),
        Answer::Refused { after_ms: 0 } => Response::text(429, "not now\n"),
        Answer::Refused { after_ms } => {
            let response = Response::text(429, "not now\n");
            let seconds = format!("{}.{:03}", after_ms / 1000, after_ms % 1000);
            Response { headers: response.headers.with("Retry-After", seconds), ..response }
        }
        Answer::Failed => Response::text(500, "given up\n"),
        Answer::NotReady { last } => Response { keep_alive: !last, ..Response::text(503, "not ready\n") },
        Answer::NoRoom => Response::text(503, "no room for more bytes\n"),
        Answer::NotKept => Response::text(503, "the journal takes nothing\n"),
        Answer::Unknown(text) => Response::text(422, format!("{text}\n")),
        Answer::Ready(true) => Response::text(200, "ready\n"),
        Answer::Ready(false) => Response::text(503, "not ready\n"),
        Answer::Counters(text) => Response::text(200, text),
        Answer::Member { status, body } => Response { body: body.into(), ..Response::new(status) },
        Answer::NoFleet => Response::text(404, "there is nothing here\n"),
    }
}

/// The message that a request hands in, or the answer to a bad one.
fn offer(request: Request) -> Result<Offer, Response> {
    let lifetime = needed(&request, "Request-Timeout")?.parse().ok().and_then(micros);
    let envelope = needed(&request, "X-Envelope")?;
    let destination = value(envelope, [',', ';'], "dest").and_then(|dest| dest.parse().ok());
    let key = value(text(&request, "Cookie")?.unwrap_or_default(), [';', ';'], "about");
    Ok(Offer {
        lifetime: lifetime.ok_or_else(|| bad("Request-Timeout is no number of seconds"))?,
        id: needed(&request, "Request-Id")?.to_owned(),
        class: needed(&request, "Request-Class")?.to_owned(),
        tenant: text(&request, "Tenant")?.unwrap_or_default().to_owned(),
        key: key.filter(|key| !key.is_empty()).map(str::to_owned),
        destination: destination.ok_or_else(|| bad("X-Envelope names no destination"))?,
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
    use pewterseam_http1::Headers;

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
        let offer = offer(request(("X-Other", "1"))).expect("well formed");
        assert_eq!((offer.id.as_str(), offer.class.as_str()), ("9b1f03aa5c7e2d41", "notice"));
        assert_eq!((offer.tenant.as_str(), offer.key.as_deref()), ("acme", Some("7f3a")));
        assert_eq!((offer.destination, offer.lifetime), (7, 480_000));
        assert_eq!(offer.idempotency_key.as_deref(), Some(&b"5c0f"[..]));
        assert_eq!(&offer.body[..], b"\x00\xff");
    }

    #[test]
    fn what_may_be_missing_is_missing() {
        assert_eq!(offer(request(("Cookie", ""))).expect("well formed").key, None);
        let offer = offer(request(("Idempotency-Key", ""))).expect("well formed");
        assert_eq!(offer.idempotency_key, None);
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
            let answer = offer(request(change)).expect_err(change.1);
            assert_eq!(answer.status, 400, "{change:?}");
        }
    }

    #[test]
    fn what_is_asked_besides_and_what_is_not_here_are_told_apart() {
        let asked = |method: &str, path: &str| {
            let request = Request { method: method.to_owned(), ..Request::get(path) };
            read(request).map_err(|response| response.status)
        };
        assert_eq!(asked("GET", "/_health?x=1"), Ok(Asked::Question(Question::Ready)));
        assert_eq!(asked("GET", "/_counters"), Ok(Asked::Question(Question::Counters)));
        assert_eq!(
            [asked("POST", "/_health"), asked("GET", "/api"), asked("GET", "/x")],
            [405, 405, 404].map(Err)
        );
    }

    #[test]
    fn a_refusal_says_when_to_come_again() {
        let after = |after_ms| response(Answer::Refused { after_ms });
        assert_eq!((after(0).status, after(0).headers.get("Retry-After")), (429, None));
        assert_eq!(after(1_250).headers.text("Retry-After"), Some("1.250"));
        let last = response(Answer::NotReady { last: true });
        assert_eq!((last.status, last.keep_alive), (503, false));
    }
}
