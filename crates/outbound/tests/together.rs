//! The machine and the calls together, over loopback, as a relay assembles them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pewterseam_delivery::{
    Delivery, DeliverySettings, Effect, Input, Instance, Outcome, ServiceConfig, Submission,
};
use pewterseam_outbound::{CallTimes, DeliveryRequest, Outbound, OutboundEvent, OutboundSettings};
use pewterseam_wire::identity::NodeName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

const SECOND: u64 = 1_000_000;
/// Permits to send outlast the test.
const WRITE_WITHIN: Duration = Duration::from_secs(60);

/// A host that answers each request with success, or with 500 where the path says so.
async fn host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut read = vec![0; 4096];
                while let Ok(count @ 1..) = stream.read(&mut read).await {
                    let text = String::from_utf8_lossy(&read[..count]).into_owned();
                    let id = text.split("x-request-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
                    let status = if text.starts_with("POST /fail") { "500 No" } else { "200 OK" };
                    let head = format!("HTTP/1.1 {status}\r\nX-Request-Id: {}\r\n", id.unwrap_or(""));
                    let answer = format!("{head}X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn message(key: u64) -> Arc<DeliveryRequest> {
    Arc::new(DeliveryRequest {
        request_id: Arc::from(format!("id-{key}")),
        method: Arc::from("POST"),
        host: Arc::from("lode17.example"),
        target: Arc::from(if key.is_multiple_of(5) { "/fail" } else { "/well" }),
        headers: vec![(Arc::from("X-Request-Id"), Arc::from(format!("id-{key}")))],
        body: Bytes::new(),
    })
}

fn machine() -> Delivery {
    Delivery::new(DeliverySettings {
        me: NodeName::new("relay"),
        life: 1,
        seed: 7,
        slots: 50,
        connect_timeout: SECOND,
        idle_close: 4 * SECOND,
        origin_window: 5 * SECOND,
        origin_overshoot: 1.1,
        bootstrap: true,
        core_lease: 2 * SECOND,
        homes_are_agreed: false,
    })
}

fn submission(key: u64, now: u64) -> Submission {
    let service = Arc::from(if key.is_multiple_of(3) { "limited" } else { "listed" });
    let (timeout, schedule_target) = (5 * SECOND, SECOND);
    Submission { key, service, priority: 0, timeout, due_at: now, schedule_target, failures: 0 }
}

/// Guards against effects and events that do not fit together: every message ends with what its host said.
#[tokio::test]
async fn messages_go_out_and_their_ends_come_back() {
    let (listed, fixed) = (host().await, host().await);
    let config = |name: &str, rate_per_s, static_address| ServiceConfig {
        name: Arc::from(name),
        rate_per_s,
        max_connections: 100,
        static_address,
        idempotent: true,
        health_path: Arc::from("/health"),
    };
    let instance = Instance {
        id: Arc::from("i-1"),
        service: Arc::from("listed"),
        address: listed,
        zone: Arc::from("a"),
        slots: 4,
        ready: true,
        cold_remaining_ms: 0,
    };
    let (sender, mut events) = unbounded_channel::<OutboundEvent>();
    let (mut machine, mut outbound) = (machine(), Outbound::new(OutboundSettings::default(), sender));
    let began = tokio::time::Instant::now();
    let now = || SECOND + began.elapsed().as_micros() as u64;
    let mut inputs = vec![
        Input::CoreLease { until: u64::MAX },
        Input::Relays(vec![NodeName::new("relay")]),
        Input::Services(vec![config("listed", 0.0, None), config("limited", 2000.0, Some(fixed))]),
        Input::Hosts(vec![instance]),
    ];
    inputs.extend((0..100).map(|key| Input::Submit(submission(key, now()))));
    let mut finished = BTreeMap::new();
    while finished.len() < 100 {
        let mut wake = u64::MAX;
        for effect in machine.step(now(), inputs.drain(..)) {
            match effect {
                Effect::Start { attempt, key, target, timeout, connect_timeout, confirm, .. } => {
                    let [timeout, connect] = [timeout, connect_timeout].map(Duration::from_micros);
                    let times = CallTimes { timeout, connect_timeout: connect, write_within: WRITE_WITHIN };
                    outbound.start(attempt, target, message(key), times, confirm);
                }
                Effect::Finished { key, outcome } => assert!(finished.insert(key, outcome).is_none()),
                Effect::Wake(at) => wake = at,
                other => outbound.carry_out(&other),
            }
        }
        assert!(now() < 30 * SECOND, "{} of 100 have ended", finished.len());
        let sleep = Duration::from_micros(wake.saturating_sub(now()));
        match tokio::time::timeout(sleep, events.recv()).await {
            Ok(event) => {
                let more = std::iter::from_fn(|| events.try_recv().ok());
                for event in event.into_iter().chain(more) {
                    outbound.heard(&event);
                    inputs.push(event.into());
                }
            }
            Err(_) => inputs.push(Input::Tick),
        }
    }
    for (key, outcome) in finished {
        let wanted = if key.is_multiple_of(5) {
            Outcome::Failed
        } else {
            Outcome::Completed { signature: Arc::from("s") }
        };
        assert_eq!(outcome, wanted, "message {key}");
    }
    assert!((1..=60).contains(&outbound.idle()), "{} idle connections", outbound.idle());
}
