//! The codec that reads bodies without keeping them.

use bytes::{Bytes, BytesMut};
use pewterseam_http1::{Client, Headers, Request, Response};
use tokio_util::codec::{Decoder, Encoder};

const LONG: usize = 300_000;
const PIECE: usize = 1_000;

/// Feeds bytes in pieces; gives the responses, and the most that was buffered.
fn responses(codec: &mut Client, bytes: &[u8], piece: usize) -> (Vec<Response>, usize) {
    let (mut buffer, mut read, mut most) = (BytesMut::new(), Vec::new(), 0);
    for piece in bytes.chunks(piece) {
        buffer.extend_from_slice(piece);
        most = most.max(buffer.len());
        while let Some(response) = codec.decode(&mut buffer).expect("well formed") {
            read.push(response);
        }
    }
    (read, most)
}

/// Guards against answers that are cut out of the stream at the wrong place, and against memory for what nobody reads.
#[test]
fn bodies_of_all_kinds_are_passed_without_being_kept() {
    let long = "x".repeat(LONG);
    let chunk = "y".repeat(PIECE / 2);
    let chunks = format!("{:x}\r\n{chunk}\r\n", chunk.len()).repeat(LONG / PIECE);
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{long}\
         HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n\
         HTTP/1.1 204 Done\r\n\r\n\
         HTTP/1.1 422 No\r\nContent-Length: 3\r\n\r\nend"
    );
    for piece in [1, 7, PIECE, bytes.len()] {
        let (read, most) = responses(&mut Client::discarding(), bytes.as_bytes(), piece);
        let statuses: Vec<u16> = read.iter().map(|response| response.status).collect();
        assert_eq!(statuses, [200, 500, 204, 422], "in pieces of {piece}");
        assert!(read.iter().all(|response| response.body.is_empty()));
        assert!(most <= piece + 2 * PIECE, "{most} bytes are kept of pieces of {piece}");
    }
}

/// Guards against a body without an end passing for a whole one, or filling the memory.
#[test]
fn a_body_up_to_the_end_of_the_connection_is_passed() {
    let (mut codec, mut buffer) = (Client::discarding(), BytesMut::from(&b"HTTP/1.1 200 OK\r\n\r\nsome"[..]));
    assert_eq!(codec.decode(&mut buffer).expect("well formed"), None);
    assert!(buffer.is_empty() && codec.is_midway(&buffer));
    let response = codec.decode_eof(&mut buffer).expect("well formed").expect("a response");
    assert!(response.body.is_empty() && !response.keep_alive);
}

/// Guards against the answer to `HEAD` being read with the body that it does not have.
#[test]
fn no_body_follows_the_answer_to_head() {
    let (mut codec, mut out) = (Client::discarding(), BytesMut::new());
    let request = Request { method: "HEAD".to_owned(), ..Request::get("/") };
    codec.encode(&request, &mut out).expect("room");
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    assert_eq!(responses(&mut codec, answer, PIECE).0.len(), 1);
    codec.encode(&Request::get("/"), &mut out).expect("room");
    assert_eq!(responses(&mut codec, answer, PIECE).0.len(), 0);
}

/// Guards against two hosts or two lengths in one request.
#[test]
fn a_request_has_one_host_and_one_length() {
    let headers = Headers::default().with("host", "a.example").with("content-length", "2");
    let request = Request::post("/x", headers, Bytes::from_static(b"ab"));
    let mut out = BytesMut::new();
    Client::discarding().encode(&request, &mut out).expect("room");
    let wanted: &[u8] = b"POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 2\r\n\r\nab";
    assert_eq!(&out[..], wanted);
}
