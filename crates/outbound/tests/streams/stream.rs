//! The caller's end of a stream in memory, which notes all that is written and can be reset.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::time::Instant;

/// Bytes that were written at one moment.
type Piece = (Instant, Vec<u8>);

/// What was written on a connection, and when.
#[derive(Clone, Debug, Default)]
pub struct Written(Arc<Mutex<Vec<Piece>>>);

impl Written {
    /// All of it, with the moment of each byte.
    pub fn bytes(&self) -> Vec<(Instant, u8)> {
        let pieces = self.0.lock().expect("what was written");
        pieces.iter().flat_map(|(at, piece)| piece.iter().map(|byte| (*at, *byte))).collect()
    }
}

/// Resets a stream: from then on reads beyond what is on its way and writes fail.
#[derive(Clone, Debug, Default)]
pub struct Reset(Arc<AtomicBool>);

impl Reset {
    pub fn reset(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::SeqCst) { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(()) }
    }
}

/// The caller's end.
pub struct CallerStream {
    pub inner: DuplexStream,
    pub written: Written,
    pub reset: Reset,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let is_at_end = matches!(read, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_at_end { Poll::Ready(self.reset.check()) } else { read }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.reset.check()?;
        let wrote = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &wrote {
            let piece = (Instant::now(), bytes[..*count].to_vec());
            self.written.0.lock().expect("what was written").push(piece);
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
