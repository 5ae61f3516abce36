//! The operators' listener on loopback, with the reducer's part played by a small stand-in.

use std::time::Duration;

use pewterseam_node::io::Input;
use pewterseam_node::operator::{Operation, Verdict};
use pewterseam_relay::inputs::Inputs;
use pewterseam_relay::ops::Operators;
use pewterseam_relay::sockets;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

async fn ask(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(bytes).await.expect("written");
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    read.expect("answered in time").expect("read");
    String::from_utf8_lossy(&answer).into_owned()
}

// Danger: callers that send nothing, or half a call, hold up the calls of others, or the listener panics on what
// is no HTTP.
#[test]
fn calls_are_answered_in_time_beside_silent_callers_and_what_is_none_gets_a_no() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = sockets::listen("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let address = listener.local_addr().expect("an address");
        let (inputs, mut incoming) = Inputs::new();
        let patience = Duration::from_millis(500);
        let operators = Operators::new(patience, Duration::from_millis(100), inputs);
        spawn_local(operators.clone().accept(listener));
        let answering = operators.clone();
        let bad = std::rc::Rc::new(std::cell::Cell::new(0));
        let counted = bad.clone();
        spawn_local(async move {
            while let Some(input) = incoming.recv().await {
                match input {
                    Input::Operation { id, operation } => {
                        assert_eq!(operation, Operation::Status);
                        answering.answer(id, Verdict::Yes, "serving");
                    }
                    Input::BadOps => counted.set(counted.get() + 1),
                    _ => {}
                }
            }
        });
        let mut silent = Vec::new();
        for _ in 0..4 {
            silent.push(TcpStream::connect(address).await.expect("connected"));
        }
        let mut half = TcpStream::connect(address).await.expect("connected");
        half.write_all(b"GET /status HTTP/1.1\r\nHo").await.expect("written");
        let began = Instant::now();
        let answer = ask(address, b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("Connection: close"), "{answer}");
        assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
        let answer = ask(address, b"\x16\x03\x01 no http at all\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
        for (line, status) in [
            ("GET /nothing", 404),
            ("POST /status", 405),
            ("GET /standby", 405),
            ("POST /maintenance/enter", 400),
        ] {
            let answer = ask(address, format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{line}: {answer}");
        }
        let mut rest = Vec::new();
        let read = timeout(Duration::from_secs(3), half.read_to_end(&mut rest)).await;
        let rest = String::from_utf8_lossy(&rest.clone()).into_owned();
        assert!(read.is_ok() && rest.starts_with("HTTP/1.1 408"), "{rest}");
        assert!(bad.get() >= 6, "{}", bad.get());
        drop(silent);
    });
}
