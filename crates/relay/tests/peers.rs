//! What the relay says to each peer and how it hears it, against stand-ins on loopback.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::*;
use pewterseam::interface::{HostId, MessageId, Micros, Outcome};
use pewterseam_durable::message::End;
use pewterseam_http1::MAX_BODY_BYTES;
use pewterseam_node::call::{Call, Reply};
use pewterseam_node::io::Input;
use pewterseam_node::notice::Notice;
use pewterseam_node::pool::ConnectionId;
use pewterseam_relay::hosts::Hosts;
use pewterseam_relay::inputs::Inputs;
use pewterseam_relay::notices::{self, Pace};
use pewterseam_relay::peers::Peers;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::watch;

const SECOND: Micros = 1_000_000;
const ANSWER_PATIENCE: Micros = 200_000;

// ---- Hosts

struct Caller {
    hosts: Hosts,
    incoming: UnboundedReceiver<Input>,
    last: u64,
    /// The last call that was started, and where it goes.
    call: Option<(SocketAddr, Call)>,
    /// Open connections that carry nothing.
    idle: Vec<(SocketAddr, ConnectionId)>,
}

impl Caller {
    fn new() -> Self {
        let (inputs, incoming) = Inputs::new();
        Caller { hosts: Hosts::new(ANSWER_PATIENCE, inputs), incoming, last: 0, call: None, idle: Vec::new() }
    }

    /// Opens a connection, or uses an idle one, and writes a call with this body to it.
    async fn start_with(
        &mut self, address: SocketAddr, timeout: Micros, body: &[u8],
    ) -> Option<ConnectionId> {
        self.last += 1;
        let place = self.idle.iter().position(|(to, _)| *to == address);
        let connection = match place {
            Some(place) => self.idle.remove(place).1,
            None => self.open(address).await?,
        };
        let (id, host) = (MessageId(self.last), HostId(u64::from(address.port())));
        let (message, body) = (format!("m{}", self.last), Bytes::copy_from_slice(body));
        let call = Call { connection, id, attempt: 0, host, message, idempotency_key: None, body, timeout };
        self.call = Some((address, call.clone()));
        self.hosts.call(call);
        Some(connection)
    }

    async fn open(&mut self, address: SocketAddr) -> Option<ConnectionId> {
        self.last += 1;
        let connection = ConnectionId(self.last);
        self.hosts.open(connection, address, SECOND);
        loop {
            match self.incoming.recv().await {
                Some(Input::Opened(opened)) if opened == connection => return Some(connection),
                Some(Input::NotOpened(_)) => return None,
                Some(Input::Closed(closed)) => self.idle.retain(|(_, idle)| *idle != closed),
                other => panic!("{other:?}"),
            }
        }
    }

    async fn start(&mut self, address: SocketAddr, timeout: Micros) -> ConnectionId {
        self.start_with(address, timeout, b"\x00\xff").await.expect("opened")
    }

    /// How the next call ended, and on which connection. One whose idle connection had closed by then is made
    /// on a new one, as the reducer would have it.
    async fn next(&mut self) -> (ConnectionId, Reply) {
        loop {
            match self.incoming.recv().await {
                Some(Input::Called { connection, reply }) => return (connection, reply),
                Some(Input::Stalled { .. }) => {}
                Some(Input::Closed(closed)) => {
                    self.idle.retain(|(_, idle)| *idle != closed);
                    let of_closed = |(_, call): &(SocketAddr, Call)| call.connection == closed;
                    if let Some((address, call)) = self.call.take_if(|call| of_closed(call)) {
                        let connection = self.open(address).await.expect("opened");
                        self.hosts.call(Call { connection, ..call });
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }

    async fn ended(&mut self) -> Reply {
        self.next().await.1
    }

    async fn call(&mut self, address: SocketAddr) -> Reply {
        self.start(address, 5 * SECOND).await;
        let (connection, reply) = self.next().await;
        if reply.kept {
            self.idle.push((address, connection));
        }
        reply
    }
}

#[test]
fn answers_mean_what_the_protocol_says() {
    let full = |wait| (Outcome::Rejected { wait }, false);
    let table = [
        (200, "", (Outcome::Ok, true)),
        (500, "", (Outcome::Error, false)),
        (429, "X-Retry-In-Ms: 250\r\n", full(250_000)),
        (429, "", full(0)),
        (429, "X-Retry-In-Ms: soon\r\n", full(0)),
        (503, "", full(0)),
        (503, "X-No-Slot: 1\r\n", (Outcome::NotSent, false)),
        (504, "", (Outcome::NotSent, false)),
        (410, "", (Outcome::NotSent, true)),
        // What is not in the table may have run.
        (404, "", (Outcome::Error, false)),
        (201, "", (Outcome::Error, false)),
    ];
    run(async {
        let mut caller = Caller::new();
        for (status, headers, meaning) in table {
            let host = StandIn::start(move |_| answer(status, headers, ""));
            let reply = caller.call(host.address).await;
            assert_eq!((reply.outcome, reply.closed), meaning, "{status} {headers}");
        }
        let host = StandIn::start(|_| answer(200, "Server-Load: x0=0.4,x1=25\r\n", ""));
        assert_eq!(caller.call(host.address).await.report.as_deref(), Some("x0=0.4,x1=25"));
        // A call's body means nothing.
        let host = StandIn::start(|_| answer(200, "", "x1=25"));
        assert_eq!(caller.call(host.address).await.report, None);
    });
}

#[test]
fn an_idle_connection_is_used_again_and_a_busy_one_is_not() {
    run(async {
        let host = StandIn::start(|_| {
            thread::sleep(Duration::from_millis(30));
            answer(200, "", "")
        });
        let mut caller = Caller::new();
        for _ in 0..5 {
            let reply = caller.call(host.address).await;
            assert!(reply.kept);
            // Danger: the time to the first byte of an answer comes out too short, and slow hosts count as silent.
            assert!(reply.outcome == Outcome::Ok && reply.took >= 30_000, "{reply:?}");
        }
        assert_eq!(host.connections(), 1);
        let (_, idle) = caller.idle.remove(0);
        caller.hosts.close(idle);
        caller.call(host.address).await;
        assert_eq!(host.connections(), 2);
    });
}

#[test]
fn a_connection_that_the_host_has_closed_is_not_used_and_nothing_is_sent_twice() {
    run(async {
        // Each connection answers once and is then closed without a word.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if let Ok(Some(_)) = hear(&mut stream) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            }
        });
        let mut caller = Caller::new();
        for _ in 0..5 {
            assert_eq!(caller.call(address).await.outcome, Outcome::Ok);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn a_break_after_the_last_byte_is_a_reset_and_is_not_tried_again() {
    run(async {
        let host = StandIn::start(|_| answer(200, "", ""));
        let mut caller = Caller::new();
        assert_eq!(caller.call(host.address).await.outcome, Outcome::Ok);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let heard = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            hear(&mut stream).expect("read").expect("a call");
            drop(stream);
            listener.set_nonblocking(true).expect("set");
            thread::sleep(Duration::from_millis(200));
            listener.accept().is_err()
        });
        // Danger: a library sends a call again by itself, and it runs twice.
        assert_eq!(caller.call(address).await.outcome, Outcome::Reset);
        assert!(heard.join().expect("ended"), "the call came a second time");
        // Its first line tells how a call ended, though the rest is lost.
        let cut = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = cut.local_addr().expect("bound");
        thread::spawn(move || {
            let (mut stream, _) = cut.accept().expect("a connection");
            hear(&mut stream).expect("read").expect("a call");
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").expect("written");
        });
        assert_eq!(caller.call(address).await.outcome, Outcome::Ok);
    });
}

// Danger: an answer that is spoilt behind its first line is taken for none, and what was delivered goes again or is
// failed; or it holds its slot until the call's time is up.
#[test]
fn a_spoilt_answer_is_what_its_first_line_says_if_that_is_200_and_else_may_have_run() {
    let table = [
        ("HTTP/1.1 200 OK\r\nContent-Le", Outcome::Ok),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", Outcome::Ok),
        ("HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n", Outcome::Ok),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", Outcome::Ok),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok", Outcome::Ok),
        ("HTTP/1.1 200 OK\r\n\x01\x02: \x7f\r\n\r\n", Outcome::Ok),
        ("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nnothing like a head\r\n\r\n", Outcome::Ok),
        ("HTTP/1.1 20", Outcome::Error),
        ("HTTP/1.1 2000 OK\r\n\r\n", Outcome::Error),
        ("SSH-2.0-OpenSSH\r\n", Outcome::Error),
        ("\x00\x01\x02\x03", Outcome::Error),
        // What says that it never ran is not to be trusted once it is spoilt.
        ("HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nhalf", Outcome::Error),
        ("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 5\r\nContent-Length: -1\r\n\r\n", Outcome::Error),
        // But a wait in a whole head is told, whatever became of the body.
        (
            "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 5\r\nContent-Length: 9\r\n\r\nhalf",
            Outcome::Rejected { wait: 5_000 },
        ),
    ];
    run(async {
        let mut caller = Caller::new();
        for (bytes, outcome) in table {
            let host = StandIn::start(move |_| Some(bytes.as_bytes().to_vec()));
            let reply = caller.call(host.address).await;
            assert_eq!((reply.outcome, reply.closed), (outcome, outcome == Outcome::Ok), "{bytes:?}");
            // Danger: what is closed counts as an idle connection.
            assert!(!reply.kept, "{bytes:?}");
            // The host was heard at once, whatever was waited for then.
            assert!(reply.took < ANSWER_PATIENCE, "{bytes:?}: {}", reply.took);
            caller.call(host.address).await;
            assert_eq!(host.connections(), 2, "{bytes:?}");
        }
        let endless = StandIn::start(|_| {
            Some(b"HTTP/1.1 200 OK\r\nX: ".iter().chain(&[b'x'; 50_000]).copied().collect())
        });
        assert_eq!(caller.call(endless.address).await.outcome, Outcome::Ok);
        // The call's time may be up before.
        let half = StandIn::start(|_| Some(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec()));
        caller.start(half.address, 100_000).await;
        assert_eq!(caller.ended().await.outcome, Outcome::Ok);
    });
}

#[test]
fn what_comes_behind_an_answer_is_not_the_answer_to_the_next_call() {
    run(async {
        let mut caller = Caller::new();
        let twice = StandIn::start(|_| answer(503, "", "").map(|bytes| bytes.repeat(2)));
        for _ in 0..3 {
            assert_eq!(caller.call(twice.address).await.outcome, Outcome::Rejected { wait: 0 });
        }
        assert_eq!(twice.connections(), 3);
    });
}

#[test]
fn an_interim_answer_may_come_long_before_the_answer() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            hear(&mut stream).expect("read").expect("a call");
            stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").expect("written");
            thread::sleep(2 * Duration::from_micros(ANSWER_PATIENCE));
            stream.write_all(&answer(200, "", "").expect("bytes")).expect("written");
        });
        let mut caller = Caller::new();
        let reply = caller.call(address).await;
        assert_eq!(reply.outcome, Outcome::Ok);
        assert!(reply.took > ANSWER_PATIENCE);
    });
}

#[test]
fn what_never_got_out_in_full_never_ran() {
    run(async {
        let mut caller = Caller::new();
        assert_eq!(caller.start_with(free_address(), SECOND, b"").await, None);
        // One that takes connections and reads nothing: a body beyond all buffers never gets out.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        caller.start_with(address, 300_000, &vec![0; 64 << 20]).await.expect("opened");
        assert_eq!(caller.ended().await.outcome, Outcome::ConnectFailed);
        // Called off by the relay before all of it was out, which says nothing of the host.
        let ours = caller.start_with(address, 10 * SECOND, &vec![0; 64 << 20]).await.expect("opened");
        match caller.incoming.recv().await {
            Some(Input::Stalled { connection, stalled: true }) => assert_eq!(connection, ours),
            other => panic!("{other:?}"),
        }
        caller.hosts.abandon(ours);
        assert_eq!(caller.ended().await.outcome, Outcome::NotSent);
        drop(listener);
    });
}

#[test]
fn a_call_that_is_given_up_ends_its_connection_by_a_reset() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let server = thread::spawn(move || {
            let mut ends = Vec::new();
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().expect("a connection");
                stream.set_read_timeout(Some(PATIENCE)).expect("set");
                hear(&mut stream).expect("read").expect("a call");
                let end = hear(&mut stream).expect_err("no call and no end in order");
                ends.push(end.kind() == ErrorKind::ConnectionReset);
            }
            ends
        });
        let mut caller = Caller::new();
        caller.start(address, 50_000).await;
        let reply = caller.ended().await;
        assert_eq!(reply.outcome, Outcome::Timeout);
        assert!(reply.took >= 50_000);
        let connection = caller.start(address, 10 * SECOND).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.hosts.abandon(connection);
        assert_eq!(caller.ended().await.outcome, Outcome::Cancelled);
        assert_eq!(server.join().expect("ended"), [true, true]);
    });
}

// Danger: what was given up waits in buffers while a network is cut, and arrives when the cut is over.
#[test]
fn a_call_that_was_given_up_never_arrives_at_a_host_that_reads_on_later() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("set");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("bound");
    socket.listen(8).expect("listening");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    let (given_up, go_on) = std::sync::mpsc::channel();
    // It stops reading until the call was given up, and then takes all that still comes.
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        go_on.recv().expect("given up");
        let mut bytes = Vec::new();
        let end = stream.read_to_end(&mut bytes);
        (bytes.len(), end.is_err())
    });
    run(async move {
        let mut caller = Caller::new();
        let body = vec![7; MAX_BODY_BYTES];
        caller.start_with(address, 200_000, &body).await.expect("opened");
        let outcome = caller.ended().await.outcome;
        assert!(matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed), "{outcome:?}");
        given_up.send(()).expect("heard");
        until(|| server.is_finished()).await;
        let (length, reset) = server.join().expect("ended");
        assert!(reset && length < body.len(), "{length} bytes came, by a reset: {reset}");
    });
}

#[test]
fn a_probe_is_told_apart_from_a_call() {
    run(async {
        let host = StandIn::start(|heard| {
            if heard.line.starts_with("GET /_load") {
                answer(200, "", "x0=1,x1=3")
            } else {
                answer(503, "", "")
            }
        });
        let mut caller = Caller::new();
        for (path, outcome, report) in
            [("/_load", Outcome::Ok, "x0=1,x1=3"), ("/ping", Outcome::Rejected { wait: 0 }, "")]
        {
            caller.hosts.probe(HostId(1), host.address, path, SECOND);
            match caller.incoming.recv().await {
                Some(Input::Probed { host: HostId(1), reply }) => {
                    assert_eq!((reply.outcome, reply.report.as_deref()), (outcome, Some(report)));
                }
                other => panic!("{other:?}"),
            }
        }
    });
}

// ---- Notices

struct Teller {
    address: watch::Sender<SocketAddr>,
    notices: mpsc::UnboundedSender<Notice>,
    incoming: UnboundedReceiver<Input>,
}

fn teller(address: SocketAddr) -> Teller {
    let (inputs, incoming) = Inputs::new();
    let (notices, told) = mpsc::unbounded_channel();
    let (patience, pause) = (Duration::from_secs(10), Duration::from_millis(10));
    let pace = Pace { first: Duration::from_millis(100), patience, pause };
    let address = watch::Sender::new(address);
    tokio::task::spawn_local(notices::tell(address.subscribe(), pace, told, inputs));
    Teller { address, notices, incoming }
}

fn notice(number: u64, end: End) -> Notice {
    Notice { number, id: format!("m{number}\" \u{e9}"), end }
}

async fn told(incoming: &mut UnboundedReceiver<Input>) -> (Vec<u64>, bool) {
    loop {
        match incoming.recv().await {
            Some(Input::Told { numbers, read }) => return (numbers, read),
            Some(Input::NotTold { .. }) => {}
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn notices_are_lines_of_json() {
    run(async {
        let platform = StandIn::start(|_| answer(204, "", ""));
        let Teller { address: _address, notices, mut incoming } = teller(platform.address);
        let ends = [End::Failed, End::Returned { after_ms: 500 }, End::Returned { after_ms: 0 }];
        for (number, end) in (1..).zip(ends) {
            notices.send(notice(number, end)).expect("listening");
        }
        assert_eq!(told(&mut incoming).await, (vec![1, 2, 3], true));
        let body = String::from_utf8(platform.heard().remove(0).body).expect("text");
        let lines: Vec<serde_json::Value> =
            body.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
        assert_eq!(lines[0], json!({"id": "m1\" \u{e9}", "state": "failed"}));
        assert_eq!(lines[1], json!({"id": "m2\" \u{e9}", "state": "returned", "after_ms": 500}));
        assert_eq!(lines[2], json!({"id": "m3\" \u{e9}", "state": "returned"}));
    });
}

#[test]
fn a_notice_is_told_again_until_it_is_answered() {
    run(async {
        let platform = StandIn::start(|_| None);
        let Teller { address: _address, notices, mut incoming } = teller(platform.address);
        notices.send(notice(1, End::Failed)).expect("listening");
        assert!(matches!(incoming.recv().await, Some(Input::NotTold { status: None })));
        platform.behave(|_| answer(503, "", ""));
        while !matches!(incoming.recv().await, Some(Input::NotTold { status: Some(503) })) {}
        platform.behave(|_| answer(204, "", ""));
        assert_eq!(told(&mut incoming).await, (vec![1], true));
    });
}

// Danger: the kept connection to the platform has fallen silent. A notice that goes as its message's time ends is only
// told again after a long patience, and the message is lost by then.
#[test]
fn a_notice_on_a_connection_that_has_fallen_silent_is_told_again_at_once_on_another() {
    run(async {
        // The first connection answers once and is then silent; any other one answers.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for (number, mut stream) in listener.incoming().flatten().enumerate() {
                thread::spawn(move || {
                    let mut answered = 0;
                    while let Ok(Some(_)) = hear(&mut stream) {
                        if number > 0 || answered == 0 {
                            let _ = stream.write_all(&answer(204, "", "").expect("bytes"));
                        }
                        answered += 1;
                    }
                });
            }
        });
        let Teller { address: _address, notices, mut incoming } = teller(address);
        notices.send(notice(1, End::Failed)).expect("listening");
        assert_eq!(told(&mut incoming).await, (vec![1], true));
        let begun = Instant::now();
        notices.send(notice(2, End::Failed)).expect("listening");
        assert_eq!(told(&mut incoming).await, (vec![2], true));
        // Long before the patience of 10 s, and within the half second after which it would be lost.
        assert!(begun.elapsed() < Duration::from_millis(400), "{:?}", begun.elapsed());
    });
}

#[test]
fn notices_that_are_owed_go_to_where_the_platform_has_moved() {
    run(async {
        let (old, new) = (StandIn::start(|_| None), StandIn::start(|_| answer(204, "", "")));
        let Teller { address, notices, mut incoming } = teller(old.address);
        notices.send(notice(1, End::Failed)).expect("listening");
        until(|| !old.heard().is_empty()).await;
        notices.send(notice(2, End::Failed)).expect("listening");
        address.send_replace(new.address);
        let mut all = Vec::new();
        while all.len() < 2 {
            all.extend(told(&mut incoming).await.0);
        }
        assert_eq!(all, [1, 2]);
        assert!(!new.heard().is_empty());
    });
}

#[test]
fn one_notice_that_can_not_be_read_does_not_hold_back_the_others() {
    run(async {
        let platform = StandIn::start(|heard| {
            let bad = String::from_utf8_lossy(&heard.body).contains("m2");
            answer(if bad { 400 } else { 204 }, "", "")
        });
        let Teller { address: _address, notices, mut incoming } = teller(platform.address);
        for number in 1..=3 {
            notices.send(notice(number, End::Failed)).expect("listening");
        }
        let mut all = Vec::new();
        while all.len() < 3 {
            let (numbers, read) = told(&mut incoming).await;
            all.extend(numbers.into_iter().map(|number| (number, read)));
        }
        assert_eq!(all, [(1, true), (2, false), (3, true)]);
    });
}

// ---- Peers

#[test]
fn datagrams_reach_one_peer_or_all_and_strays_are_dropped() {
    run(async {
        let socket = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let (other, all, stray) = (socket(), socket(), socket());
        let address = |socket: &UdpSocket| socket.local_addr().expect("bound");
        let listen = free_address();
        let list = [address(&other), listen];
        let peers = Peers::bind(listen, &list, Some(address(&all)), 1).await.expect("bound");
        let (inputs, mut incoming) = Inputs::new();
        tokio::task::spawn_local(peers.clone().listen(inputs));
        for socket in [&other, &all] {
            socket.set_read_timeout(Some(PATIENCE)).expect("set");
        }
        let mut bytes = [0; 300];
        peers.tell(Some(0), b"one");
        assert_eq!(other.recv_from(&mut bytes).expect("heard"), (3, listen));
        peers.tell(None, b"every");
        assert_eq!(all.recv_from(&mut bytes).expect("heard"), (5, listen));
        peers.tell(Some(9), b"nobody");
        other.send_to(&[7; 256], listen).expect("sent");
        assert!(matches!(incoming.recv().await, Some(Input::Peer { from: 0, bytes }) if bytes == [7; 256]));
        other.send_to(&[7; 257], listen).expect("sent");
        assert!(matches!(incoming.recv().await, Some(Input::Stray)));
        stray.send_to(b"who", listen).expect("sent");
        assert!(matches!(incoming.recv().await, Some(Input::Stray)));
        // Without an address for all, each is told.
        let listen = free_address();
        let peers = Peers::bind(listen, &[address(&other), listen], None, 1).await.expect("bound");
        peers.tell(None, b"each");
        assert_eq!(other.recv_from(&mut bytes).expect("heard"), (4, listen));
    });
}
