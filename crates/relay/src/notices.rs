//! Notices to the platform: the ends of messages that were taken on and not delivered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::http::{Client, Headers, MOST_BODY, Request, Response};
use crate::message::End;
use crate::reducer::Input;
use crate::serve::Inputs;

/// The end of a message, to be told until it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub number: u64,
    pub id: String,
    pub end: End,
}

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

impl Notice {
    fn line(&self) -> String {
        let (state, after_ms) = match self.end {
            End::Failed => ("failed", None),
            End::Returned { after_ms } => ("returned", Some(after_ms).filter(|after| *after > 0)),
        };
        let line = Line { id: &self.id, state, after_ms };
        // A text and a number always make JSON.
        serde_json::to_string(&line).unwrap_or_default() + "\n"
    }
}

/// How long an answer may take, and the pause before the same is told again.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub patience: Duration,
    pub pause: Duration,
}

/// Tells notices in order, many at once where many wait, each until it is answered.
pub async fn tell(
    address: SocketAddr, pace: Pace, mut notices: mpsc::UnboundedReceiver<Notice>, inputs: Inputs,
) {
    let mut connection = None;
    let mut waiting: BTreeMap<u64, Notice> = BTreeMap::new();
    loop {
        if waiting.is_empty() {
            match notices.recv().await {
                Some(notice) => waiting.insert(notice.number, notice),
                None => return,
            };
        }
        while let Ok(notice) = notices.try_recv() {
            waiting.insert(notice.number, notice);
        }
        let (mut body, mut numbers) = (String::new(), Vec::new());
        for notice in waiting.values() {
            let line = notice.line();
            if !numbers.is_empty() && body.len() + line.len() > MOST_BODY {
                break;
            }
            body += &line;
            numbers.push(notice.number);
        }
        let sent = timeout(pace.patience, post(&mut connection, address, body)).await.ok().flatten();
        match sent.map(|response| response.status) {
            Some(204 | 200) => {
                for number in &numbers {
                    waiting.remove(number);
                }
                inputs.send(Input::Told(numbers));
            }
            answer => {
                inputs.send(Input::NotTold { status: answer });
                connection = None;
                sleep(pace.pause).await;
            }
        }
    }
}

type Connection = Framed<TcpStream, Client>;

/// Telling twice does no harm, so that a kept connection that broke is replaced at once.
async fn post(connection: &mut Option<Connection>, address: SocketAddr, body: String) -> Option<Response> {
    let headers = Headers::default().with("Content-Type", "application/x-ndjson");
    let request = Request::post("/reports", headers, Bytes::from(body));
    if let Some(mut framed) = connection.take()
        && let Some(response) = exchange(&mut framed, request.clone()).await
    {
        *connection = response.keep_alive.then_some(framed);
        return Some(response);
    }
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = Framed::new(stream, Client::new(address.to_string()));
    let response = exchange(&mut framed, request).await?;
    *connection = response.keep_alive.then_some(framed);
    Some(response)
}

async fn exchange(framed: &mut Connection, request: Request) -> Option<Response> {
    framed.send(request).await.ok()?;
    framed.next().await?.ok()
}
