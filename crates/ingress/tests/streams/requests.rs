//! The requests of clients, byte by byte.

use pewterseam_wire::random::Random;

/// The longest body that the route takes.
pub const MOST_BODY_BYTES: usize = 2_000;

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Message,
    /// One with a body in chunks.
    ChunkedMessage,
    /// One whose body reads as a request of its own.
    Nested,
    State,
    Bytes,
    NoRoute,
    NoHost,
    BadId,
    TooLarge,
}

/// A request as its client sends it.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: Kind,
    /// The id of its message, or the name that it asks for.
    pub id: String,
    pub body: Vec<u8>,
    pub bytes: Vec<u8>,
}

impl Request {
    pub fn draw(random: &mut Random, id: &str) -> Self {
        let kind = match random.below(16) {
            0..6 => Kind::Message,
            6 | 7 => Kind::ChunkedMessage,
            8 | 9 => Kind::Nested,
            10 => Kind::State,
            11 => Kind::Bytes,
            12 => Kind::NoRoute,
            13 => Kind::NoHost,
            14 => Kind::BadId,
            _ => Kind::TooLarge,
        };
        let body = body(random, kind, id);
        let bytes = bytes(random, kind, id, &body);
        Request { kind, id: id.to_owned(), body, bytes }
    }

    /// Whether it is a message that the door takes.
    pub fn is_message(&self) -> bool {
        matches!(self.kind, Kind::Message | Kind::ChunkedMessage | Kind::Nested)
    }

    /// Whether the door hands it on.
    pub fn is_handed_on(&self) -> bool {
        self.is_message() || matches!(self.kind, Kind::State | Kind::Bytes)
    }

    /// Whether the door may answer it without reading all of it, and close.
    pub fn may_close(&self) -> bool {
        matches!(self.kind, Kind::NoRoute | Kind::NoHost | Kind::TooLarge)
    }
}

fn body(random: &mut Random, kind: Kind, id: &str) -> Vec<u8> {
    let filler = vec![b'a' + random.below(26) as u8; random.below(MOST_BODY_BYTES)];
    match kind {
        Kind::State | Kind::Bytes => Vec::new(),
        Kind::TooLarge => vec![b'z'; MOST_BODY_BYTES + 1 + random.below(3 * MOST_BODY_BYTES)],
        // What a reader that loses its place takes for a message.
        Kind::Nested | Kind::NoRoute | Kind::NoHost => head("/x/", &format!("nested-in-{id}"), true, 0),
        Kind::Message | Kind::ChunkedMessage | Kind::BadId => filler,
    }
}

fn bytes(random: &mut Random, kind: Kind, id: &str, body: &[u8]) -> Vec<u8> {
    match kind {
        Kind::ChunkedMessage => chunked(random, id, body),
        Kind::State => format!("GET /-/message/{id} HTTP/1.1\r\nHost: h.example\r\n\r\n").into_bytes(),
        Kind::Bytes => format!("GET /-/message-body/{id} HTTP/1.1\r\nHost: h.example\r\n\r\n").into_bytes(),
        Kind::NoRoute => [head("/nowhere/", id, true, body.len()), body.to_vec()].concat(),
        Kind::NoHost => [head("/x/", id, false, body.len()), body.to_vec()].concat(),
        Kind::BadId => [head("/x/", &format!("{id} {id}"), true, body.len()), body.to_vec()].concat(),
        Kind::Message | Kind::Nested | Kind::TooLarge => {
            [head("/x/", id, true, body.len()), body.to_vec()].concat()
        }
    }
}

fn head(path: &str, id: &str, has_host: bool, length: usize) -> Vec<u8> {
    let host = if has_host { "Host: h.example\r\n" } else { "" };
    format!("POST {path} HTTP/1.1\r\n{host}X-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n")
        .into_bytes()
}

fn chunked(random: &mut Random, id: &str, body: &[u8]) -> Vec<u8> {
    let head =
        format!("POST /x/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nTransfer-Encoding: chunked");
    let mut bytes = format!("{head}\r\n\r\n").into_bytes();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at((1 + random.below(400)).min(rest.len()));
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        rest = after;
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}
