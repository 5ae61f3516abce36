//! Small messages between relays, as UDP datagrams.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use pewterseam_node::io::Input;

use crate::inputs::Inputs;

/// Longest datagram that may be sent.
pub const MOST_BYTES: usize = 256;

/// The relay's socket towards its peers.
#[derive(Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    peers: Rc<[SocketAddr]>,
    /// Reaches all at once.
    all: Option<SocketAddr>,
    me: usize,
}

impl Peers {
    pub async fn bind(
        listen: SocketAddr, peers: &[SocketAddr], all: Option<SocketAddr>, me: usize,
    ) -> io::Result<Self> {
        let socket = Rc::new(crate::sockets::datagrams(listen)?);
        // Until it has been seen to be writable, nothing would be sent.
        socket.writable().await?;
        Ok(Peers { socket, peers: peers.into(), all, me })
    }

    /// Sends to one peer or to all. A datagram that can't be sent now is lost, as any may be.
    pub fn tell(&self, to: Option<u16>, bytes: &[u8]) {
        debug_assert!(bytes.len() <= MOST_BYTES, "a datagram is too long");
        let others = self.peers.iter().enumerate().filter(|(number, _)| *number != self.me);
        match (to, self.all) {
            _ if bytes.len() > MOST_BYTES => {}
            (Some(peer), _) => self.send(self.peers.get(usize::from(peer)), bytes),
            (None, Some(all)) => self.send(Some(&all), bytes),
            (None, None) => others.for_each(|(_, peer)| self.send(Some(peer), bytes)),
        }
    }

    fn send(&self, to: Option<&SocketAddr>, bytes: &[u8]) {
        if let Some(to) = to {
            let _ = self.socket.try_send_to(bytes, *to);
        }
    }

    /// Takes in what peers send. What comes from elsewhere or is too long is dropped.
    pub async fn listen(self, inputs: Inputs) {
        let mut bytes = [0; MOST_BYTES + 1];
        loop {
            // An error here tells of an earlier datagram that met a closed port.
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else { continue };
            match self.peers.iter().position(|peer| *peer == from) {
                Some(number) if number == self.me => {}
                Some(number) if length <= MOST_BYTES => {
                    inputs.send(Input::Peer { from: number as u16, bytes: bytes[..length].to_vec() });
                }
                _ => inputs.send(Input::Stray),
            }
        }
    }
}
