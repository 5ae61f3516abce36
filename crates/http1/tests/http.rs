//! The HTTP codecs on bytes as they may come: whole, in parts, and broken.

use bytes::{Bytes, BytesMut};
use pewterseam_http1::{Client, Fault, Headers, MAX_BODY_BYTES, Request, Response, Server};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::{Decoder, Encoder};

fn requests(bytes: &[u8]) -> Vec<Request> {
    let (mut codec, mut buffer) = (Server::default(), BytesMut::from(bytes));
    std::iter::from_fn(|| codec.decode(&mut buffer).expect("well formed")).collect()
}

fn response(bytes: &[u8]) -> Result<Option<Response>, Fault> {
    Client::new("x", MAX_BODY_BYTES).decode(&mut BytesMut::from(bytes))
}

fn response_at_end(bytes: &[u8]) -> Result<Option<Response>, Fault> {
    Client::new("x", MAX_BODY_BYTES).decode_eof(&mut BytesMut::from(bytes))
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

const TWO: &[u8] = b"\r\nPOST /api HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nx-a: 2\r\nContent-Length: 3\r\n\r\n\x00\r\n\
    POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";

#[test]
fn requests_are_read_one_after_another() {
    let two = requests(TWO);
    assert_eq!(two.len(), 2);
    assert_eq!((two[0].method.as_str(), two[0].path.as_str(), two[0].keep_alive), ("POST", "/api", true));
    assert_eq!(two[0].headers.text("X-A"), Some("1"));
    assert_eq!(&two[0].body[..], b"\x00\r\n");
    assert_eq!((&two[1].body[..], two[1].keep_alive), (&b"abc"[..], false));
}

#[test]
fn bytes_that_come_in_parts_make_the_same_requests() {
    let whole = requests(TWO);
    let cuts = prop::collection::vec(any::<prop::sample::Index>(), 0..30);
    runner(300)
        .run(&cuts, |cuts| {
            let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(TWO.len())).collect();
            cuts.push(TWO.len());
            cuts.sort_unstable();
            let (mut codec, mut buffer, mut read, mut from) =
                (Server::default(), BytesMut::new(), Vec::new(), 0);
            for cut in cuts {
                buffer.extend_from_slice(&TWO[from..cut]);
                from = cut;
                while let Some(request) = codec.decode(&mut buffer).expect("well formed") {
                    read.push(request);
                }
            }
            prop_assert_eq!(&read, &whole);
            Ok(())
        })
        .expect("the same");
}

#[test]
fn no_bytes_make_either_side_panic() {
    let piece = prop_oneof![
        Just(b"POST /api HTTP/1.1\r\n".to_vec()),
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"Content-Length: 5\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"5\r\nabcde\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..40),
    ];
    runner(2_000)
        .run(&prop::collection::vec(piece, 0..12), |pieces| {
            let bytes = pieces.concat();
            let mut buffer = BytesMut::from(&bytes[..]);
            let mut server = Server::default();
            while let Ok(Some(_)) = server.decode(&mut buffer) {}
            let _ = Server::default().decode_eof(&mut BytesMut::from(&bytes[..]));
            let mut buffer = BytesMut::from(&bytes[..]);
            let mut client = Client::new("x", MAX_BODY_BYTES);
            while let Ok(Some(_)) = client.decode(&mut buffer) {}
            let _ = response_at_end(&bytes);
            Ok(())
        })
        .expect("no panic");
}

#[test]
fn heads_and_bodies_beyond_the_limits_are_turned_away_before_they_are_held() {
    let fault = |bytes: &[u8]| Server::default().decode(&mut BytesMut::from(bytes)).expect_err("too long");
    let long = [&b"GET / HTTP/1.1\r\nX: "[..], &vec![b'a'; 20_000]].concat();
    assert!(matches!(fault(&long), Fault::HeadTooLong));
    let many = [&b"GET / HTTP/1.1\r\n"[..], &b"A: 1\r\n".repeat(100), b"\r\n"].concat();
    assert!(matches!(fault(&many), Fault::HeadTooLong));
    assert!(matches!(fault(b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), Fault::BodyTooLong));
    let chunk = [&b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"[..], b"10001\r\n"].concat();
    assert!(matches!(fault(&chunk), Fault::BodyTooLong));
}

#[test]
fn responses_end_by_length_by_chunks_or_with_the_connection() {
    let read = |bytes: &[u8]| response(bytes).expect("well formed").expect("whole");
    let plain = read(b"HTTP/1.1 429 Too Many\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n");
    assert_eq!((plain.status, plain.keep_alive), (429, true));
    assert_eq!(plain.headers.text("x-retry-in-ms"), Some("250"));
    assert!(read(b"HTTP/1.1 204 No\r\n\r\n").keep_alive);
    assert_eq!(read(b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").status, 200);
    assert!(!read(b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n").keep_alive);
    let open = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert!(response(open).expect("well formed").is_none());
    let whole = response_at_end(open).expect("well formed").expect("whole");
    assert_eq!((&whole.body[..], whole.keep_alive), (&b"abc"[..], false));
    // Danger: half an answer is taken for a whole one.
    assert!(response_at_end(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").is_err());
    assert!(response_at_end(b"HTTP/1.1 200 OK\r\n").is_err());
    assert!(response(b"SSH-2.0-x\r\n\r\n").is_err());
}

#[test]
fn what_one_side_writes_the_other_reads() {
    let headers = Headers::default().with("Request-Id", "9b1f").with("Idempotency-Key", &b"\xff\x80"[..]);
    let sent = Request::post("/v1/messages", headers, Bytes::from_static(b"\x00\xff"));
    let mut bytes = BytesMut::new();
    Client::new("10.0.0.1:80", MAX_BODY_BYTES).encode(sent, &mut bytes).expect("written");
    let read = requests(&bytes).remove(0);
    assert_eq!(read.headers.text("Host"), Some("10.0.0.1:80"));
    assert_eq!(read.headers.get("Idempotency-Key").map(|key| &key[..]), Some(&b"\xff\x80"[..]));
    assert_eq!(&read.body[..], b"\x00\xff");
    let sent = Response { keep_alive: false, ..Response::text(503, "full\n") };
    let mut bytes = BytesMut::new();
    Server::default().encode(sent, &mut bytes).expect("written");
    let read = response(&bytes).expect("well formed").expect("whole");
    assert_eq!((read.status, &read.body[..], read.keep_alive), (503, &b"full\n"[..], false));
}

#[test]
fn the_head_of_an_answer_whose_body_broke_off_is_kept() {
    let mut codec = Client::new("x", MAX_BODY_BYTES);
    let mut buffer =
        BytesMut::from(&b"HTTP/1.1 429 Too Many\r\nX-Retry-In-Ms: 700\r\nContent-Length: 40\r\n\r\nnot"[..]);
    assert_eq!(codec.decode(&mut buffer).expect("well formed so far"), None);
    let head = codec.head().expect("the head came whole");
    assert_eq!((head.status, head.headers.text("X-Retry-In-Ms")), (429, Some("700")));
    let mut codec = Client::new("x", MAX_BODY_BYTES);
    let mut buffer = BytesMut::from(&b"HTTP/1.1 429 Too Many\r\nX-Retry-In"[..]);
    assert_eq!(codec.decode(&mut buffer).expect("well formed so far"), None);
    assert!(codec.head().is_none());
    assert_eq!(codec.status(&buffer), Some(429));
}
