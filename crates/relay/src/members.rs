//! Calls to other members of the fleet, on their listeners for clients.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use pewterseam_fleet::interface::{CallId, MOST_CALL_BYTES, Unanswered};
use pewterseam_node::io::Input;

use crate::inputs::Inputs;
use crate::ring::{Next, Ringed};
use pewterseam_http1::{Client, Headers, MEMBER_CALL, Request};

type Connection = Framed<Ringed, Client>;

/// Idle connections that are kept to one member: a voter has a call of the log and one of another kind under way.
const MOST_IDLE: usize = 2;

/// The relay's side of the other members.
#[derive(Clone)]
pub struct Members {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    /// Where members are reached that are not where they say.
    reach: Rc<BTreeMap<SocketAddr, SocketAddr>>,
    patience: Duration,
    inputs: Inputs,
}

impl Members {
    /// A call that has no answer in `patience` is given up.
    pub fn new(reach: BTreeMap<SocketAddr, SocketAddr>, patience: Duration, inputs: Inputs) -> Self {
        Members { idle: Rc::default(), reach: Rc::new(reach), patience, inputs }
    }

    /// Calls a member; what becomes of it is told to the reducer.
    pub fn call(&self, call: CallId, address: SocketAddr, body: Vec<u8>) {
        let this = self.clone();
        let address = self.reach.get(&address).copied().unwrap_or(address);
        tokio::task::spawn_local(async move {
            let answer = timeout(this.patience, this.ask(address, body.into())).await;
            let answer = answer.unwrap_or(Err(Unanswered::TooLate));
            this.inputs.send(Input::MemberAnswered { call, answer });
        });
    }

    async fn ask(&self, address: SocketAddr, body: Bytes) -> Result<Vec<u8>, Unanswered> {
        let mut connection = match self.kept(address) {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect(address).await.map_err(|_| Unanswered::NotConnected)?;
                let stream = Ringed::new(stream).map_err(|_| Unanswered::NotConnected)?;
                Framed::new(stream, Client::new(address.to_string(), MOST_CALL_BYTES))
            }
        };
        let headers = Headers::default().with("Content-Type", "application/octet-stream");
        let request = Request::post(MEMBER_CALL, headers, body);
        // Danger: it is not sent once more on another connection, since the member may have taken it already.
        connection.send(request).await.map_err(|_| Unanswered::NotConnected)?;
        let Some(Ok(response)) = connection.next().await else { return Err(Unanswered::NotConnected) };
        if response.keep_alive {
            let mut idle = self.idle.borrow_mut();
            let of_member = idle.entry(address).or_default();
            if of_member.len() < MOST_IDLE {
                of_member.push(connection);
            }
        }
        match response.status {
            200 => Ok(response.body.to_vec()),
            status => Err(Unanswered::Status(status)),
        }
    }

    /// An idle connection on which nothing has come, neither bytes nor its end.
    fn kept(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_member = idle.get_mut(&address)?;
        let quiet = |connection: &Connection| {
            connection.read_buffer().is_empty() && connection.get_ref().next() == Next::Nothing
        };
        of_member.retain(quiet);
        of_member.pop()
    }
}
