//! Sockets with the options that the system needs.

use std::io;
use std::net::{SocketAddr, UdpSocket as StdUdpSocket};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Bytes sent that nobody acknowledges for this long break a connection: a machine without power says nothing.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An idle connection is probed after this long, and again each second.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(5);
const KEEPALIVE_EACH: Duration = Duration::from_secs(1);

/// Listens for connections, also right after an earlier process ended.
pub(crate) fn bind_tcp(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A socket for datagrams.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = StdUdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Has a connection send at once and notice a peer that is gone.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_AFTER).with_interval(KEEPALIVE_EACH))
}
