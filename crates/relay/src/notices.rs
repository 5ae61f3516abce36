//! Notices to the platform: the ends of messages that were taken on and not delivered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use pewterseam_durable::message::End;
use pewterseam_node::io::Input;
use pewterseam_node::notice::Notice;

use crate::agent::{Agent, Silence};
use crate::inputs::Inputs;
use pewterseam_http1::{Headers, MAX_BODY_BYTES, Request};

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

fn line(notice: &Notice) -> String {
    let (state, after_ms) = match notice.end {
        End::Failed => ("failed", None),
        End::Returned { after_ms } => ("returned", Some(after_ms).filter(|after| *after > 0)),
    };
    let line = Line { id: &notice.id, state, after_ms };
    // Texts and a number always make JSON.
    serde_json::to_string(&line).unwrap_or_default() + "\n"
}

/// How long an answer may take, and the pause before the same is told again after another answer.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The first time, twice as long each next time, and at the most.
    pub first: Duration,
    pub patience: Duration,
    pub pause: Duration,
}

/// Tells notices in order, many at once where many wait, each until it is answered.
pub async fn tell(
    address: watch::Receiver<SocketAddr>, pace: Pace, mut notices: mpsc::UnboundedReceiver<Notice>,
    inputs: Inputs,
) {
    let mut agent = Agent::new(address);
    let mut waiting: BTreeMap<u64, Notice> = BTreeMap::new();
    // Lines that go together at most, and how long their answer may take.
    let (mut most, mut within) = (usize::MAX, pace.first);
    loop {
        if waiting.is_empty() {
            let Some(notice) = notices.recv().await else { return };
            waiting.insert(notice.number, notice);
        }
        while let Ok(notice) = notices.try_recv() {
            waiting.insert(notice.number, notice);
        }
        let (body, numbers) = lines(waiting.values(), most);
        let headers = Headers::default().with("Content-Type", "application/x-ndjson");
        let request = Request::post("/reports", headers, Bytes::from(body));
        let asked = Instant::now();
        let status = match agent.ask(request, within).await {
            Ok(response) => Some(response.status),
            Err(Silence::NoAnswer) => None,
            // What is owed is told there.
            Err(Silence::Moved) => continue,
        };
        let over = match status {
            Some(200..300) => true,
            // Danger: one line that the platform can't read holds back all others. They go one by one; one that
            // is turned away alone won't be read better later.
            Some(400) if numbers.len() == 1 => true,
            Some(400) => {
                most = 1;
                false
            }
            _ => false,
        };
        if !over {
            agent.hang_up();
            inputs.send(Input::NotTold { status });
            // Danger: the kept connection has fallen silent, and what is told at the end of a message's time is lost
            // before it is given up. A new one is tried at once; the rest is for a platform that is slow or away.
            if asked.elapsed() < within {
                sleep(pace.pause).await;
            }
            within = (2 * within).min(pace.patience);
            continue;
        }
        within = pace.first;
        for number in &numbers {
            waiting.remove(number);
        }
        if waiting.is_empty() {
            most = usize::MAX;
        }
        inputs.send(Input::Told { numbers, read: status != Some(400) });
    }
}

/// As many lines as fit in a body, and whose they are.
fn lines<'a>(notices: impl Iterator<Item = &'a Notice>, most: usize) -> (String, Vec<u64>) {
    let (mut body, mut numbers) = (String::new(), Vec::new());
    for notice in notices.take(most) {
        let line = line(notice);
        if !numbers.is_empty() && body.len() + line.len() > MAX_BODY_BYTES {
            break;
        }
        body += &line;
        numbers.push(notice.number);
    }
    (body, numbers)
}
