//! Frames between the processes of the system over TCP.
//!
//! A process keeps at most one connection to each peer address and dials it when there is something to send. Messages
//! are sent without waiting; whoever needs an answer matches it by a number in the message. A connection that breaks is
//! reported, and what was on its way may or may not have arrived.
//!
//! Everything here runs on one thread, in a `tokio::task::LocalSet`.

mod connection;
mod error;
mod link;
mod sockets;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pewterseam_wire::frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub use error::TransportError;
use link::Link;
pub use sockets::bind_udp;

/// A connection that a peer opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Where a message came from, and where an answer to it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Origin {
    /// On the connection that this process keeps to a peer.
    Dialed(SocketAddr),
    /// On a connection that a peer opened.
    Accepted(ConnectionId),
}

/// What happens on the connections.
#[derive(Debug)]
pub enum TransportEvent<M> {
    Received {
        from: Origin,
        message: M,
    },
    /// The connection could not be opened, broke or fell silent.
    Lost(Origin),
}

/// The connections of this process.
pub struct Transport<M> {
    links: Rc<RefCell<HashMap<Origin, Link>>>,
    events: mpsc::UnboundedSender<TransportEvent<M>>,
    last_connection: Rc<RefCell<u64>>,
}

impl<M> Clone for Transport<M> {
    fn clone(&self) -> Self {
        Transport {
            links: self.links.clone(),
            events: self.events.clone(),
            last_connection: self.last_connection.clone(),
        }
    }
}

impl<M: Serialize + DeserializeOwned + 'static> Transport<M> {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<TransportEvent<M>>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let transport = Transport { links: Rc::default(), events, last_connection: Rc::default() };
        (transport, receiver)
    }

    /// Takes connections of peers until the process ends.
    pub async fn listen(self, address: SocketAddr) -> Result<(), TransportError> {
        let listener = sockets::bind_tcp(address).map_err(|error| TransportError::Bind { address, error })?;
        self.serve(listener).await;
        Ok(())
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(connection::ACCEPT_PAUSE).await;
                continue;
            };
            let number = {
                let mut last = self.last_connection.borrow_mut();
                *last += 1;
                *last
            };
            let origin = Origin::Accepted(ConnectionId(number));
            let link = Link::default();
            self.links.borrow_mut().insert(origin, link.clone());
            let transport = self.clone();
            tokio::task::spawn_local(async move {
                connection::run(stream, origin, link.clone(), &transport.events).await;
                transport.forget(origin, &link);
            });
        }
    }

    /// Sends a message to a peer, dialing it if need be.
    pub fn send(&self, to: SocketAddr, message: &M) -> Result<(), TransportError> {
        let origin = Origin::Dialed(to);
        let known = self.links.borrow().get(&origin).cloned();
        let link = known.unwrap_or_else(|| self.dial(to));
        self.push(&link, message)
    }

    /// Sends a message on the connection that another one came on. Nothing happens if it is gone.
    pub fn reply(&self, to: Origin, message: &M) -> Result<(), TransportError> {
        if let Origin::Dialed(address) = to {
            return self.send(address, message);
        }
        let known = self.links.borrow().get(&to).cloned();
        known.map_or(Ok(()), |link| self.push(&link, message))
    }

    fn push(&self, link: &Link, message: &M) -> Result<(), TransportError> {
        link.push(|buffer| frame::write_frame(buffer, message)).map_err(TransportError::Frame)
    }

    fn dial(&self, to: SocketAddr) -> Link {
        let (origin, link) = (Origin::Dialed(to), Link::default());
        self.links.borrow_mut().insert(origin, link.clone());
        let (transport, kept) = (self.clone(), link.clone());
        tokio::task::spawn_local(async move {
            if let Some(stream) = connection::dial(to).await {
                connection::run(stream, origin, link.clone(), &transport.events).await;
            }
            transport.forget(origin, &link);
        });
        kept
    }

    fn forget(&self, origin: Origin, link: &Link) {
        link.close();
        let mut links = self.links.borrow_mut();
        if links.get(&origin).is_some_and(|known| known.is(link)) {
            links.remove(&origin);
        }
        drop(links);
        let _ = self.events.send(TransportEvent::Lost(origin));
    }

    /// Closes the connection to a peer that is gone.
    pub fn hang_up(&self, to: SocketAddr) {
        if let Some(link) = self.links.borrow().get(&Origin::Dialed(to)) {
            link.close();
        }
    }

    /// Whether everything that was sent has been handed to the system's sockets.
    pub fn is_flushed(&self) -> bool {
        self.links.borrow().values().all(Link::is_empty)
    }
}
