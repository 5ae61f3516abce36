//! The agent on the relay's own machine that speaks for discovery and takes notices: one kept connection, and
//! questions that may be put twice.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::ring::Ringed;
use pewterseam_http1::{Client, MAX_LIST_BYTES, Request, Response};

type Connection = Framed<Ringed, Client>;

pub struct Agent {
    address: watch::Receiver<SocketAddr>,
    connection: Option<Connection>,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    NoAnswer,
    /// The agent is at another address from now on; whatever it was asked is to be asked there.
    Moved,
}

impl Agent {
    pub fn new(address: watch::Receiver<SocketAddr>) -> Self {
        Agent { address, connection: None }
    }

    /// Its answer, if it can be had in that time. Danger: the agent has moved, and what is asked at the old address
    /// is answered by nobody until it is given up.
    pub async fn ask(&mut self, request: Request, limit: Duration) -> Result<Response, Silence> {
        let Agent { address, connection } = self;
        let to = *address.borrow();
        let answer = tokio::select! {
            biased;
            Ok(()) = address.changed() => Err(Silence::Moved),
            answer = timeout(limit, ask(to, connection, request)) => {
                answer.ok().flatten().ok_or(Silence::NoAnswer)
            }
        };
        if answer.is_err() {
            self.hang_up();
        }
        answer
    }

    /// Gives its connection up, with whatever may still come on it.
    pub fn hang_up(&mut self) {
        self.connection = None;
    }
}

/// The answer; none where it can't be had. A kept connection that turns out to be closed is replaced, since asking
/// and telling twice do no harm here.
async fn ask(to: SocketAddr, kept: &mut Option<Connection>, request: Request) -> Option<Response> {
    if let Some(connection) = kept.take()
        && let Some(response) = exchange(connection, kept, request.clone()).await
    {
        return Some(response);
    }
    let stream = TcpStream::connect(to).await.ok()?;
    let fresh = Framed::new(Ringed::new(stream).ok()?, Client::new(to.to_string(), MAX_LIST_BYTES));
    exchange(fresh, kept, request).await
}

async fn exchange(
    mut connection: Connection, kept: &mut Option<Connection>, request: Request,
) -> Option<Response> {
    connection.send(request).await.ok()?;
    let response = connection.next().await?.ok()?;
    *kept = response.keep_alive.then_some(connection);
    Some(response)
}
