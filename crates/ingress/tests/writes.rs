//! Clients that do not read what is written to them, and what is told of unknown messages, over streams in memory on a clock
//! that stands still.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pewterseam_ingress::{BodyAnswer, Front, FrontRequest, RouteChoice, StatusAnswer, Stopper};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

const REQUEST: &[u8] = b"GET /-/message-body/m1.a HTTP/1.1\r\nHost: h.example\r\n\r\n";
const BODY_BYTES: usize = 8 * 1024;
/// The stream holds less than an answer.
const STREAM_BYTES: usize = 256;
/// A client that reads nothing for so long has lost its connection.
const CUT_AFTER: Duration = Duration::from_secs(16);
const LONG: Duration = Duration::from_secs(3_600);

/// Tells the bytes of a message, or that it is unknown.
async fn answer_all(mut requests: mpsc::UnboundedReceiver<FrontRequest>, is_known: bool) {
    while let Some(request) = requests.recv().await {
        match request {
            FrontRequest::Body { reply, .. } => {
                let found = BodyAnswer::Found(Bytes::from(vec![b'x'; BODY_BYTES]));
                let _ = reply.send(if is_known { found } else { BodyAnswer::Unknown });
            }
            FrontRequest::Status { reply, .. } => {
                let _ = reply.send(StatusAnswer::Unknown);
            }
            FrontRequest::Message { .. } => panic!("no message is handed in"),
        }
    }
}

/// Starts a door on a stream. Its end comes on the channel.
fn open(is_known: bool) -> (DuplexStream, tokio::sync::oneshot::Receiver<()>) {
    let (sender, requests) = mpsc::unbounded_channel();
    let (_, configured) = watch::channel(true);
    let front = Front::new(sender, Rc::new(|_, _| RouteChoice::NoRoute), configured, Stopper::default());
    tokio::task::spawn_local(answer_all(requests, is_known));
    let (served, client) = tokio::io::duplex(STREAM_BYTES);
    let (tell_end, ended) = tokio::sync::oneshot::channel();
    tokio::task::spawn_local(async move {
        front.serve_connection(served).await;
        let _ = tell_end.send(());
    });
    (client, ended)
}

fn play<T>(script: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), script)
}

/// Guards against a client that does not read and keeps its connection for ever.
#[test]
fn a_client_that_does_not_read_loses_its_connection() {
    play(async {
        let (mut client, ended) = open(true);
        client.write_all(REQUEST).await.expect("a door that reads");
        let began = Instant::now();
        timeout(LONG, ended).await.expect("the connection ends").expect("it is told");
        assert!(began.elapsed() <= CUT_AFTER, "{:?}", began.elapsed());
    });
}

/// Guards against an answer that is cut because its client is slow.
#[test]
fn a_client_that_reads_slowly_has_its_answer() {
    play(async {
        let (mut client, _ended) = open(true);
        client.write_all(REQUEST).await.expect("a door that reads");
        let mut read = 0;
        while read < BODY_BYTES {
            sleep(CUT_AFTER / 2).await;
            let mut piece = [0; STREAM_BYTES];
            let count = client.read(&mut piece).await.expect("a stream");
            assert!(count > 0, "cut after {read} bytes");
            read += count;
        }
    });
}

/// Guards against a newcomer who asks for the id that was sent, and is told nothing.
#[test]
fn an_unknown_message_is_named_in_its_answer() {
    play(async {
        for path in ["/-/message/first-1.c0", "/-/message-body/first-1.c0"] {
            let (mut client, _ended) = open(false);
            let request = format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
            client.write_all(request.as_bytes()).await.expect("a door that reads");
            let mut answer = String::new();
            client.read_to_string(&mut answer).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
            assert!(answer.contains("first-1.c0") && answer.contains("X-Queue-Message-Id"), "{answer}");
        }
    });
}

/// Guards against an answer that is cut because nobody reads the body of a request that is not taken: what follows on the
/// connection would reset it (five of 500,000 scripts of the stream tests, seed 108599 among them).
#[test]
fn a_request_without_a_host_is_read_whole_before_its_answer() {
    play(async {
        let (mut client, ended) = open(true);
        let head = format!("POST /a HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        client.write_all(head.as_bytes()).await.expect("a door that reads");
        client.write_all(&vec![b'x'; BODY_BYTES]).await.expect("a door that reads bodies");
        client.write_all(b"POST /b HT").await.expect("a door that reads on");
        client.shutdown().await.expect("a half-closed stream");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        timeout(LONG, ended).await.expect("the connection ends").expect("it is told");
    });
}
