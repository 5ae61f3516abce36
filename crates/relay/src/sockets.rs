//! Listening sockets that a second process of a new version may bind beside this one.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};

/// How many connections wait to be accepted.
const BACKLOG: i32 = 1024;

/// Danger: during an upgrade the old process still holds the addresses, and a plain bind fails.
fn socket(address: SocketAddr, kind: Type, protocol: Protocol) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), kind, Some(protocol))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// A TCP listener that shares its address with other processes that ask the same.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket(address, Type::STREAM, Protocol::TCP)?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A UDP socket that shares its address likewise.
pub fn datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::from_std(socket(address, Type::DGRAM, Protocol::UDP)?.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_second_process_binds_beside_the_first() {
        let first = listen("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let address = first.local_addr().expect("an address");
        let second = listen(address).expect("bound beside the first");
        assert_eq!(second.local_addr().expect("an address"), address);
        let first = datagrams("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let address = first.local_addr().expect("an address");
        assert!(datagrams(address).is_ok());
    }
}
