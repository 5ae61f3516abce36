//! Who opens streams to hosts: TCP, or whatever a test puts in its place.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin + 'static> ByteStream for S {}

/// A stream that is being opened.
pub type Dialing = Pin<Box<dyn Future<Output = io::Result<Box<dyn ByteStream>>> + Send>>;

/// Opens streams to addresses.
pub trait Dialer: fmt::Debug + Send + Sync {
    /// Opens a stream. It breaks where its peer says nothing for `silence` to what was sent.
    fn dial(&self, address: SocketAddr, silence: Duration) -> Dialing;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl Dialer for TcpDialer {
    fn dial(&self, address: SocketAddr, silence: Duration) -> Dialing {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            SockRef::from(&stream).set_tcp_user_timeout(Some(silence))?;
            Ok(Box::new(stream) as Box<dyn ByteStream>)
        })
    }
}
