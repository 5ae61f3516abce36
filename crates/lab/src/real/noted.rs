//! A stream that remembers when bytes went over it, and tells of its end only after what came before it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// How long a stream's end is held back behind bytes that nobody has taken yet. Danger: a request that came
/// whole is dropped unseen, since its caller reset the connection right behind it; it would have arrived at a
/// real host.
const END_HELD: Duration = Duration::from_millis(5);

/// When bytes went over a stream.
#[derive(Debug, Default)]
pub struct Marks {
    first_read: Cell<Option<Instant>>,
    last_written: Cell<Option<Instant>>,
    /// Bytes came that are no whole request yet.
    untaken: Cell<bool>,
}

impl Marks {
    /// When the first byte came since this was last asked.
    pub fn take_first_read(&self) -> Instant {
        self.first_read.take().unwrap_or_else(Instant::now)
    }

    /// What came so far has been taken in.
    pub fn taken(&self) {
        self.untaken.set(false);
    }

    /// When the last byte went, if any did since this was last asked.
    pub fn take_last_written(&self) -> Option<Instant> {
        self.last_written.take()
    }
}

/// A stream with its marks.
pub struct Noted {
    stream: TcpStream,
    marks: Rc<Marks>,
    /// Its end, held back.
    end: Option<(Pin<Box<Sleep>>, io::Result<()>)>,
}

impl Noted {
    pub fn new(stream: TcpStream, marks: Rc<Marks>) -> Self {
        Noted { stream, marks, end: None }
    }

    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.end.is_none() {
            let before = buffer.filled().len();
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
            if read.is_ok() && buffer.filled().len() > before {
                if self.marks.first_read.get().is_none() {
                    self.marks.first_read.set(Some(Instant::now()));
                }
                self.marks.untaken.set(true);
                return Poll::Ready(Ok(()));
            }
            if !self.marks.untaken.get() {
                return Poll::Ready(read);
            }
            self.end = Some((Box::pin(sleep(END_HELD)), read));
        }
        if let Some((held, _)) = &mut self.end {
            ready!(held.as_mut().poll(context));
        }
        self.marks.untaken.set(false);
        Poll::Ready(self.end.take().map_or(Ok(()), |(_, end)| end))
    }
}

impl AsyncWrite for Noted {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.marks.last_written.set(Some(Instant::now()));
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, bytes))?;
        self.marks.last_written.set(Some(Instant::now()));
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
