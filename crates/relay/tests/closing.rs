//! How connections of clients are closed, and when they have ended.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::*;
use pewterseam_http1::MAX_BODY_BYTES;
use pewterseam_node::client::Answer;
use pewterseam_node::io::Input;
use pewterseam_relay::clients::{Clients, Pace};
use pewterseam_relay::inputs::Inputs;
use pewterseam_relay::limits::Budget;
use pewterseam_relay::sockets;
use tokio::sync::mpsc::UnboundedReceiver;

const PACE: Pace = Pace {
    patience: Duration::from_secs(10),
    idle: Duration::from_secs(10),
    // Long, so that a connection that is being closed stays so for as long as a test looks at it.
    pause: Duration::from_secs(15),
};
const BUDGET: Budget = Budget { clients: 4, leaving: 4, idle: 4, held: 1_000_000 };

fn serve() -> (Clients, std::net::SocketAddr, UnboundedReceiver<Input>) {
    let address = free_address();
    let listener = sockets::listen(address).expect("bound");
    let (inputs, incoming) = Inputs::new();
    let clients = Clients::new(BUDGET, PACE, MAX_BODY_BYTES, inputs);
    tokio::task::spawn_local(clients.clone().accept(listener));
    (clients, address, incoming)
}

// Danger: the process ends while a connection is being closed, with bytes of its client unread. The system resets it
// then, and the last answer is lost on its way.
#[test]
fn a_connection_counts_until_its_client_has_closed_it_too_and_late_bytes_reset_nothing() {
    run(async {
        let (clients, address, mut incoming) = serve();
        let (go, gone) = std::sync::mpsc::channel();
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("connected");
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
            gone.recv().expect("told");
            // In the very moment in which the connection is shut, and before its client has read the answer.
            stream.write_all(&message("m2", "balance", None, b"late")).expect("written");
            gone.recv().expect("told");
            let heard = hear(&mut stream).expect("no reset").expect("answered");
            let end = stream.read(&mut [0]).expect("no reset");
            (heard.status(), end)
        });
        let Some(Input::Question { id, .. }) = incoming.recv().await else { panic!("no question") };
        clients.stop();
        clients.answer(id, Answer::Ready(false));
        // Written and shut by then: nothing else is to be done on it but to wait for the client.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        go.send(()).expect("listening");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(clients.unended(), 1, "the client has not closed it");
        go.send(()).expect("listening");
        until(|| clients.unended() == 0).await;
        assert_eq!(client.join().expect("ended"), (503, 0));
        // What came behind the shutdown is not handed in.
        assert!(incoming.try_recv().is_err());
    });
}

// Danger: a request that comes in the moment in which its resting connection is shut is read after that, and sent on,
// though its client can't be answered any more and hands it in again.
#[test]
fn a_request_that_comes_behind_the_shutdown_of_a_resting_connection_is_not_handed_in() {
    run(async {
        let (clients, address, mut incoming) = serve();
        let mut stream = TcpStream::connect(address).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
        let Some(Input::Question { id, .. }) = incoming.recv().await else { panic!("no question") };
        clients.answer(id, Answer::Ready(true));
        let mut stream = tokio::task::spawn_blocking(move || {
            assert_eq!(hear(&mut stream).expect("read").expect("answered").status(), 200);
            stream
        })
        .await
        .expect("read");
        clients.stop();
        let mut stream = tokio::task::spawn_blocking(move || {
            assert_eq!(stream.read(&mut [0]).expect("no reset"), 0, "shut");
            stream.write_all(&message("m2", "balance", None, b"late")).expect("written");
            stream
        })
        .await
        .expect("shut");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(incoming.try_recv().is_err() && clients.unended() == 1);
        assert_eq!(stream.read(&mut [0]).expect("no reset"), 0);
        drop(stream);
        until(|| clients.unended() == 0).await;
    });
}
