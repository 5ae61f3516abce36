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
/// Answered while discovery has more calls than it can take.
const TURNED_AWAY: u16 = 503;

/// What is asked for, and how long the answer may take.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// How long discovery may hold an answer back while nothing changes.
    pub wait: Duration,
    /// How long it may take beyond that: the first, for which a start waits, and any later one.
    pub first: Duration,
    pub patience: Duration,
}

/// Follows the list from each time that it is asked for until a call fails. The next watch goes out as soon as
/// the last one is answered, since changes in a gap between them might be missed.
pub async fn follow(
    address: watch::Receiver<SocketAddr>, mut asked: mpsc::UnboundedReceiver<Watch>, inputs: Inputs,
) {
    let mut agent = Agent::new(address);
    // The version that the relay has, as long as discovery is sure to know it: changes since then will do.
    let mut known: Option<u64> = None;
    let mut first = true;
    while let Some(watch) = asked.recv().await {
        // Danger: in the line of an overloaded discovery a call takes longer than a start may wait, and each
        // that is given up there was work for nothing.
        let patience = if first { watch.first } else { watch.patience };
        first = false;
        let end = loop {
            let (path, limit) = match known {
                Some(rev) => {
                    let wait = watch.wait.as_millis();
                    (format!("{WHOLE}?index={rev}&wait={wait}"), watch.wait + patience)
                }
                None => (WHOLE.to_owned(), patience),
            };
            match agent.ask(Request::get(&path), limit).await {
                // Danger: a whole list costs an overloaded discovery most, and it has all relays to answer.
                Ok(response) if response.status == TURNED_AWAY => break Input::ListRefused,
                Ok(response) => {
                    let Some(list) = read(&response) else { break Input::ListFailed };
                    known = Some(list.rev);
                    inputs.send(Input::Listed(list));
                }
                Err(Silence::NoAnswer) => break Input::ListFailed,
                // The new one is asked for all, since its versions may be others.
                Err(Silence::Moved) => known = None,
            }
        };
        if matches!(end, Input::ListFailed) {
            known = None;
        }
        agent.hang_up();
        inputs.send(end);
    }
}

fn read(response: &Response) -> Option<List> {
    (response.status == 200).then(|| serde_json::from_slice(&response.body).ok())?
}
