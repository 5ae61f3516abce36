//! Requests that come before the relay has a configuration, over streams in memory and on a clock that stands still.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pewterseam_ingress::{Front, FrontRequest, RequestRoute, RouteChoice, Router, Stopper};
use pewterseam_queue::Answer;
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{MessageName, RouteKey};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

const REQUEST: &[u8] =
    b"POST /a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: m1\r\nX-Deadline-Ms: 800\r\nContent-Length: 0\r\n\r\n";
/// Half of the client's patience.
const MOST_HELD: Duration = Duration::from_millis(400);

fn router(is_known: Rc<Cell<bool>>) -> Router {
    Rc::new(move |_, _| {
        if !is_known.get() {
            return RouteChoice::NotConfigured;
        }
        let key = RouteKey { hostname: Arc::from("h.example"), path_prefix: Arc::from("/a/") };
        let name = Arc::from("a");
        RouteChoice::Route(RequestRoute { name, key, is_ordered: false, most_body_bytes: 1024 })
    })
}

async fn accept_all(mut requests: mpsc::UnboundedReceiver<FrontRequest>) {
    while let Some(request) = requests.recv().await {
        if let FrontRequest::Message { new, reply } = request {
            let name = MessageName::new(&new.request_id, Partition(1));
            let _ = reply.send(Answer::Accepted { name });
        }
    }
}

/// The status that a client gets where the configuration comes after so long, and how long it waited.
async fn status_after(configured_after: Duration) -> (String, Duration) {
    let (sender, requests) = mpsc::unbounded_channel();
    let (tell, configured) = watch::channel(false);
    let is_known = Rc::new(Cell::new(false));
    let front = Front::new(sender, router(is_known.clone()), configured, Stopper::default());
    tokio::task::spawn_local(accept_all(requests));
    tokio::task::spawn_local(async move {
        sleep(configured_after).await;
        is_known.set(true);
        tell.send_replace(true);
    });
    let (served, mut client) = tokio::io::duplex(4096);
    tokio::task::spawn_local(async move { front.serve_connection(served).await });
    let began = Instant::now();
    client.write_all(REQUEST).await.expect("a door that reads");
    let mut answer = vec![0; 64];
    let length = client.read(&mut answer).await.expect("an answer");
    (String::from_utf8_lossy(&answer[9..length.min(12)]).into_owned(), began.elapsed())
}

fn play(configured_after: Duration) -> (String, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime.expect("a runtime"), status_after(configured_after))
}

/// Guards against clients that use up their retries in the moment between the start of a relay and its configuration.
#[test]
fn a_request_is_held_until_the_configuration_is_there() {
    let (status, waited) = play(Duration::from_millis(300));
    assert_eq!(status, "202");
    assert!(waited < MOST_HELD, "{waited:?}");
}

/// Guards against requests that are held for as long as the client waits: it could have come to another relay.
#[test]
fn a_request_is_refused_in_time_where_no_configuration_comes() {
    let (status, waited) = play(Duration::from_secs(5));
    assert_eq!(status, "503");
    assert!(waited <= MOST_HELD + Duration::from_millis(5), "{waited:?}");
}
