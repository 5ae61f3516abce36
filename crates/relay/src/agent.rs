//! The agent on the relay's own machine that speaks for discovery and takes notices: one kept connection, and
//! questions that may be put twice.

use std::net::SocketAddr;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::http::{Client, MOST_LIST, Request, Response};
use crate::ring::Ringed;

type Connection = Framed<Ringed, Client>;

pub struct Agent {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Agent {
    pub fn new(address: SocketAddr) -> Self {
        Agent { address, connection: None }
    }

    /// Its answer; none where it can't be had. A kept connection that turns out to be closed is replaced, since
    /// asking and telling twice do no harm here.
    pub async fn ask(&mut self, request: Request) -> Option<Response> {
        if let Some(kept) = self.connection.take()
            && let Some(response) = self.exchange(kept, request.clone()).await
        {
            return Some(response);
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        let codec = Client::new(self.address.to_string(), MOST_LIST);
        let fresh = Framed::new(Ringed::new(stream).ok()?, codec);
        self.exchange(fresh, request).await
    }

    /// Gives its connection up, with whatever may still come on it.
    pub fn hang_up(&mut self) {
        self.connection = None;
    }

    async fn exchange(&mut self, mut connection: Connection, request: Request) -> Option<Response> {
        connection.send(request).await.ok()?;
        let response = connection.next().await?.ok()?;
        self.connection = response.keep_alive.then_some(connection);
        Some(response)
    }
}
