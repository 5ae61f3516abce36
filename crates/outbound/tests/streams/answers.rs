//! Answers byte by byte. Each carries a tag of its own as its signature, so that it is known wherever it turns up.

use pewterseam_wire::random::Random;

const STATUSES: [&str; 5] = ["200 OK", "200 OK", "500 No", "422 No", "503 Busy"];
const MOST_BODY: usize = 300;
const MOST_PIECE: usize = 40;

/// An answer in its parts.
pub struct Answer {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer with a body of known length.
    pub fn whole(random: &mut Random, id: Option<&str>, tag: &str) -> Self {
        let body = random_body(random);
        let length = format!("Content-Length: {}\r\n", body.len());
        Answer { head: head(random, id, tag, &length), body }
    }

    /// One after which the host means to close.
    pub fn closing(random: &mut Random, id: &str, tag: &str) -> Self {
        let body = random_body(random);
        let lines = format!("Connection: close\r\nContent-Length: {}\r\n", body.len());
        Answer { head: head(random, Some(id), tag, &lines), body }
    }

    /// One whose body has no marked end.
    pub fn endless(random: &mut Random, id: &str, tag: &str) -> Self {
        Answer { head: head(random, Some(id), tag, ""), body: random_body(random) }
    }

    /// One whose body comes in chunks, without the last one.
    pub fn unfinished_chunks(random: &mut Random, id: &str, tag: &str) -> Self {
        let mut body = Vec::new();
        for _ in 0..1 + random.below(3) {
            let chunk = random_body(random);
            body.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            body.extend_from_slice(&chunk);
            body.extend_from_slice(b"\r\n");
        }
        Answer { head: head(random, Some(id), tag, "Transfer-Encoding: chunked\r\n"), body }
    }

    pub fn bytes(&self) -> Vec<u8> {
        [self.head.as_slice(), &self.body].concat()
    }
}

/// The last chunk of a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn random_body(random: &mut Random) -> Vec<u8> {
    vec![b'a' + random.below(26) as u8; 1 + random.below(MOST_BODY)]
}

fn head(random: &mut Random, id: Option<&str>, tag: &str, lines: &str) -> Vec<u8> {
    let status = STATUSES[random.below(STATUSES.len())];
    let id = id.map_or_else(String::new, |id| format!("X-Request-Id: {id}\r\n"));
    let keep = if random.below(3) == 0 { "Keep-Alive: timeout=2\r\n" } else { "" };
    format!("HTTP/1.1 {status}\r\n{id}X-Response-Signature: {tag}\r\n{keep}{lines}\r\n").into_bytes()
}

/// The bytes in pieces of random lengths.
pub fn pieces(random: &mut Random, bytes: &[u8]) -> Vec<Vec<u8>> {
    let (mut rest, mut pieces) = (bytes, Vec::new());
    while !rest.is_empty() {
        let (piece, after) = rest.split_at((1 + random.below(MOST_PIECE)).min(rest.len()));
        pieces.push(piece.to_vec());
        rest = after;
    }
    pieces
}
