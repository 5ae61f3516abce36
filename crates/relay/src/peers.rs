//! Small messages between relays, as UDP datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::reducer::Input;
use crate::serve::Inputs;

/// Longest datagram that may be sent.
pub const MOST_BYTES: usize = 256;

/// The relay's socket towards its peers.
#[derive(Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    peers: Rc<[SocketAddr]>,
    all: Option<SocketAddr>,
    me: usize,
}

impl Peers {
    pub async fn bind(
        listen: SocketAddr, peers: &[SocketAddr], all: Option<SocketAddr>, me: usize,
    ) -> std::io::Result<Self> {
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        Ok(Peers { socket, peers: peers.into(), all, me })
    }

    /// Sends to one peer or to all. A datagram that can't be sent now is lost, as any may be.
    pub fn tell(&self, to: Option<u16>, bytes: &[u8]) -> bool {
        if bytes.len() > MOST_BYTES {
            return false;
        }
        match (to, self.all) {
            (Some(peer), _) => self.send(self.peers.get(usize::from(peer)), bytes),
            (None, Some(all)) => self.send(Some(&all), bytes),
            (None, None) => {
                let others = self.peers.iter().enumerate().filter(|(number, _)| *number != self.me);
                others.fold(true, |sent, (_, peer)| self.send(Some(peer), bytes) && sent)
            }
        }
    }

    fn send(&self, to: Option<&SocketAddr>, bytes: &[u8]) -> bool {
        to.is_some_and(|to| self.socket.try_send_to(bytes, *to).is_ok())
    }

    /// Takes in what peers send; what comes from elsewhere or is too long is dropped.
    pub async fn listen(self, inputs: Inputs) {
        let mut bytes = [0; MOST_BYTES + 1];
        loop {
            // An error here tells of an earlier datagram that met a closed port.
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else { continue };
            let number = self.peers.iter().position(|peer| *peer == from);
            match number.and_then(|number| u16::try_from(number).ok()) {
                Some(from) if length <= MOST_BYTES => {
                    inputs.send(Input::Peer { from, bytes: bytes[..length].to_vec() });
                }
                _ => inputs.send(Input::Stray),
            }
        }
    }
}
