//! The door's end of a stream in memory, which its client can reset.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};

/// The door's end.
pub struct DoorStream {
    pub inner: DuplexStream,
    /// The end of what comes is a reset.
    pub is_reset: Rc<Cell<bool>>,
}

impl DoorStream {
    fn check(&self) -> io::Result<()> {
        if self.is_reset.get() { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(()) }
    }
}

impl AsyncRead for DoorStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let is_at_end = matches!(read, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_at_end { Poll::Ready(self.check()) } else { read }
    }
}

impl AsyncWrite for DoorStream {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
