//! The list of hosts: fetched whole, then watched for changes.

mod line;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use pewterseam_node::io::Input;
use pewterseam_node::list::List;

use crate::agent::Silence;
use crate::inputs::Inputs;
use pewterseam_http1::Response;

use line::{Line, TURNED_AWAY};

/// What is asked for, and how long the answer may take.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// How long discovery may hold an answer back while nothing changes.
    pub wait: Duration,
    /// The same where no second question is put beside a silent one.
    pub wait_alone: Duration,
    /// How long it may take beyond that: the first, for which a start waits, and any later one.
    pub first: Duration,
    pub patience: Duration,
    /// Silence after which the question is put once more on another connection, and again after as long.
    pub again: Duration,
}

/// Follows the list from each time that it is asked for until a call fails. The next watch goes out as soon as
/// the last one is answered, since changes in a gap between them might be missed.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>, mut asked: mpsc::UnboundedReceiver<Watch>, inputs: Inputs,
) {
    let mut line = Line::new(address.clone());
    // What was asked for last.
    let mut last: Option<Watch> = None;
    // The version that the relay has, as long as discovery is sure to know it: changes since then will do.
    let mut known: Option<u64> = None;
    // Whether this process was answered at all, and whether discovery has turned calls away since.
    let (mut first, mut answered, mut overloaded) = (true, false, false);
    loop {
        let watch = tokio::select! {
            biased;
            watch = asked.recv() => watch,
            // Danger: it moves while the relay lets one that failed or turned it away rest, and the new one's list counts
            // as told before that rest is over.
            Ok(()) = address.changed(), if last.is_some() => last,
        };
        let Some(watch) = watch else { return };
        last = Some(watch);
        // Danger: in the line of an overloaded discovery a call takes longer than a start may wait, and each
        // that is given up there was work for nothing.
        let patience = if first { watch.first } else { watch.patience };
        first = false;
        let end = loop {
            // Danger: a start has no list that could be old, and discovery may have all relays to answer: it is not
            // asked twice at once. The same while it turns calls away.
            let again = Some(watch.again).filter(|_| answered && !overloaded);
            let wait = if again.is_some() { watch.wait } else { watch.wait_alone };
            let since = known.map(|rev| (rev, wait));
            match line.ask(since, patience, again).await {
                // Danger: a whole list costs an overloaded discovery most, and it has all relays to answer.
                Ok(response) if response.status == TURNED_AWAY => {
                    overloaded = true;
                    break Input::ListRefused;
                }
                Ok(response) => {
                    let Some(list) = read(&response) else { break Input::ListFailed };
                    (answered, overloaded) = (true, false);
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
        line.hang_up();
        // What was asked for, or where, before this end is past.
        while asked.try_recv().is_ok() {}
        address.mark_unchanged();
        inputs.send(end);
    }
}

fn read(response: &Response) -> Option<List> {
    (response.status == 200).then(|| serde_json::from_slice(&response.body).ok())?
}
