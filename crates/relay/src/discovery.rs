//! The list of hosts: fetched whole, then watched for changes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use pewterseam_node::io::Input;
use pewterseam_node::list::List;

use crate::agent::{Agent, Silence};
use crate::http::{Request, Response};
use crate::inputs::Inputs;

/// Where the whole list is.
const WHOLE: &str = "/catalog/members";

/// What is asked for, and how long the answer may take.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// How long discovery may hold an answer back while nothing changes.
    pub wait: Duration,
    /// How long it may take beyond that.
    pub patience: Duration,
}

/// Follows the list from each time that it is asked for until a call fails. The next watch goes out as soon as
/// the last one is answered, since changes in a gap between them might be missed.
pub async fn follow(
    address: watch::Receiver<SocketAddr>, mut asked: mpsc::UnboundedReceiver<Watch>, inputs: Inputs,
) {
    let mut agent = Agent::new(address);
    while let Some(watch) = asked.recv().await {
        let whole = || (WHOLE.to_owned(), watch.patience);
        let (mut path, mut limit) = whole();
        loop {
            let list = match agent.ask(Request::get(&path), limit).await {
                Ok(response) => read(&response),
                Err(Silence::NoAnswer) => None,
                // The new one is asked for all, since its versions may be others.
                Err(Silence::Moved) => {
                    (path, limit) = whole();
                    continue;
                }
            };
            let Some(list) = list else { break };
            path = format!("{WHOLE}?index={}&wait={}", list.rev, watch.wait.as_millis());
            limit = watch.wait + watch.patience;
            inputs.send(Input::Listed(list));
        }
        agent.hang_up();
        inputs.send(Input::ListFailed);
    }
}

fn read(response: &Response) -> Option<List> {
    (response.status == 200).then(|| serde_json::from_slice(&response.body).ok())?
}
