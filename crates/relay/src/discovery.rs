//! The list of hosts: fetched whole, then watched for changes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::http::{Client, Request};
use crate::reducer::Input;
use crate::serve::Inputs;

/// The list or changes of it, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub rev: u64,
    /// It is whole: what is missing is gone.
    pub all: bool,
    pub targets: Vec<Target>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub az: String,
    pub model: String,
    pub pod_group: u32,
    pub state: State,
    #[serde(default)]
    pub capacity_hint: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

type Connection = Framed<TcpStream, Client>;

/// What is asked for at once, and how long the answer may take.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// How long discovery may hold an answer back while nothing changes.
    pub wait: Duration,
    /// How long it may take beyond that.
    pub patience: Duration,
}

/// Follows the list from each time that it is asked for until a call fails.
pub async fn follow(address: SocketAddr, mut asked: mpsc::UnboundedReceiver<Watch>, inputs: Inputs) {
    let mut connection = None;
    while let Some(watch) = asked.recv().await {
        let mut path = "/catalog/members".to_owned();
        let mut limit = watch.patience;
        while let Ok(Some(list)) = timeout(limit, fetch(&mut connection, address, &path)).await {
            path = format!("/catalog/members?index={}&wait={}", list.rev, watch.wait.as_millis());
            limit = watch.wait + watch.patience;
            inputs.send(Input::Listed(list));
        }
        connection = None;
        inputs.send(Input::ListFailed);
    }
}

async fn fetch(connection: &mut Option<Connection>, address: SocketAddr, path: &str) -> Option<List> {
    let kept = connection.take();
    let was_kept = kept.is_some();
    let mut framed = match kept {
        Some(framed) => framed,
        None => connect(address).await?,
    };
    let mut answer = ask(&mut framed, path).await;
    if answer.is_none() && was_kept {
        framed = connect(address).await?;
        answer = ask(&mut framed, path).await;
    }
    let (list, keep_alive) = answer?;
    *connection = keep_alive.then_some(framed);
    Some(list)
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Framed::new(stream, Client::new(address.to_string())))
}

async fn ask(framed: &mut Connection, path: &str) -> Option<(List, bool)> {
    framed.send(Request::get(path)).await.ok()?;
    let response = framed.next().await?.ok()?;
    let list = (response.status == 200).then(|| serde_json::from_slice(&response.body).ok()).flatten()?;
    Some((list, response.keep_alive))
}
