//! A TCP connection with one ring buffer a direction.
//!
//! What comes is taken off the socket into the inward ring before it is cut into messages; what goes waits in
//! the outward ring until the socket takes it. Both are of fixed size, so that a connection costs no more than
//! that however slow or fast the other side is.

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ringbuf::LocalRb;
use ringbuf::storage::Heap;
use ringbuf::traits::Observer;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of each ring.
pub const RING: usize = 8 * 1024;

/// What comes next on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Nothing,
    Bytes,
    /// The other side has closed it, or it broke.
    End,
}

/// A connection as `Framed` takes it.
pub struct Ringed {
    stream: TcpStream,
    inward: LocalRb<Heap<u8>>,
    outward: LocalRb<Heap<u8>>,
}

/// The socket's own reads and writes, which never wait.
struct Now<'a>(&'a TcpStream);

impl Read for Now<'_> {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        self.0.try_read(bytes)
    }
}

impl Write for Now<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.try_write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Ringed {
    /// Small writes go out at once.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Ringed { stream, inward: LocalRb::new(RING), outward: LocalRb::new(RING) })
    }

    /// What a read would meet next, without waiting and without taking it.
    pub fn next(&self) -> Next {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            _ if !self.inward.is_empty() => Next::Bytes,
            Ok(1..) => Next::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Next::Nothing,
            Ok(0) | Err(_) => Next::End,
        }
    }

    /// Waits until a read would meet bytes or an end. Danger: the reactor's word alone may be wrong.
    pub async fn come(&self) -> io::Result<()> {
        if self.inward.is_empty() {
            self.stream.peek(&mut [0]).await?;
        }
        Ok(())
    }

    /// Has the connection end by a reset when it is dropped. Danger: closed in order, what the network has not
    /// taken yet is still delivered, however much later.
    pub fn reset_at_end(&self) {
        // A connection that broke already can't be set, and needs no more.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Moves what waits to the socket until nothing does.
    fn poll_drain(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.outward.is_empty() {
            ready!(self.stream.poll_write_ready(context))?;
            match self.outward.write_into(&mut Now(&self.stream), None) {
                Some(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Some(Err(error)) if error.kind() != io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Err(error));
                }
                _ => {}
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Ringed {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while this.inward.is_empty() {
            ready!(this.stream.poll_read_ready(context))?;
            match this.inward.read_from(&mut Now(&this.stream), None) {
                Some(Ok(0)) => return Poll::Ready(Ok(())),
                Some(Err(error)) if error.kind() != io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Err(error));
                }
                _ => {}
            }
        }
        let taken = this.inward.pop_slice(into.initialize_unfilled());
        into.advance(taken);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Ringed {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.outward.is_full() {
            ready!(this.poll_drain(context))?;
        }
        Poll::Ready(Ok(this.outward.push_slice(bytes)))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().poll_drain(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_drain(context))?;
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
