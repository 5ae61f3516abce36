//! One way of a connection: bytes in at one side, held as the link says, out at the other.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::answers::Answers;
use super::state::{Struck, Weather};
use crate::real::draws::{Draws, happens};
use crate::real::places::Party;

/// Read at once at most.
const CHUNK: usize = 16 * 1024;
/// Held at once at most; a sender of more has to wait.
const MOST_HELD: usize = 1 << 20;
/// After which a lost piece of a stream is sent again: the least that Linux waits.
const REPEAT: Duration = Duration::from_millis(200);
/// Pieces a second of a stream that crawls.
const CRAWL_PIECES: f64 = 20.0;

/// How one way ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its sender sends no more, and the other side knows.
    Closed,
    /// Its sender has reset the connection, or was gone when what it sent could come through.
    SenderGone,
    /// Its receiver takes no more.
    ReceiverGone,
    /// Cut off before an answer's last byte.
    CutOff,
}

/// How the sender stopped sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Closed,
    Reset,
}

struct Piece {
    due: Instant,
    /// Goes on only when its sender has given up.
    late: bool,
    bytes: Vec<u8>,
}

pub struct Pump<'a> {
    weather: &'a Weather,
    way: (Party, Party),
    draws: &'a RefCell<Draws>,
    /// What comes first has the connection's own round trip before it.
    first_delay: Cell<Duration>,
    queue: RefCell<VecDeque<Piece>>,
    held: Cell<usize>,
    stop: Cell<Option<Stop>>,
    /// The queue or `stop` changed.
    came: Notify,
    went: Notify,
    /// For the way of the answers.
    answers: Option<RefCell<Answers>>,
}

impl<'a> Pump<'a> {
    pub fn new(
        weather: &'a Weather, way: (Party, Party), draws: &'a RefCell<Draws>, first_delay: Duration,
        answers: bool,
    ) -> Self {
        Pump {
            weather,
            way,
            draws,
            first_delay: Cell::new(first_delay),
            queue: RefCell::default(),
            held: Cell::new(0),
            stop: Cell::new(None),
            came: Notify::new(),
            went: Notify::new(),
            answers: answers.then(RefCell::default),
        }
    }

    /// Runs until that way is over.
    pub async fn run(&self, from: &TcpStream, to: &TcpStream) -> Ended {
        let reads = async {
            self.read(from).await;
            std::future::pending::<Ended>().await
        };
        tokio::select! {
            ended = reads => ended,
            ended = self.write(to) => ended,
        }
    }

    async fn read(&self, from: &TcpStream) {
        let mut buffer = vec![0; CHUNK];
        let mut last_due = Instant::now();
        loop {
            while self.held.get() > MOST_HELD {
                self.went.notified().await;
            }
            let read = match from.readable().await {
                Ok(()) => from.try_read(&mut buffer),
                Err(error) => Err(error),
            };
            let stop = match read {
                Ok(0) => Stop::Closed,
                Ok(length) => {
                    let piece = self.piece(&buffer[..length], &mut last_due);
                    self.held.set(self.held.get() + length);
                    self.queue.borrow_mut().push_back(piece);
                    self.came.notify_one();
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => Stop::Reset,
            };
            self.stop.set(Some(stop));
            self.came.notify_one();
            return;
        }
    }

    fn piece(&self, bytes: &[u8], last_due: &mut Instant) -> Piece {
        let state = self.weather.state(self.way.0, self.way.1);
        let draws = &mut *self.draws.borrow_mut();
        let delay = Duration::from_micros(state.drawn_delay(draws) as u64) + self.first_delay.take();
        let losses = state.drawn_losses(draws);
        if losses > 0 {
            self.weather.strike(Struck::Repeated);
        }
        let repeats = REPEAT * losses;
        // A stream keeps its order.
        *last_due = (Instant::now() + delay + repeats).max(*last_due);
        let late = happens(draws, state.late_part);
        if late {
            self.weather.strike(Struck::Late);
        }
        Piece { due: *last_due, late, bytes: bytes.to_vec() }
    }

    async fn write(&self, to: &TcpStream) -> Ended {
        loop {
            let piece = self.queue.borrow_mut().pop_front();
            let Some(piece) = piece else {
                match self.stop.get() {
                    Some(stop) => return self.finish(stop, to).await,
                    None => self.came.notified().await,
                }
                continue;
            };
            if !self.comes_through(&piece).await {
                return Ended::SenderGone;
            }
            let end = self.cut_off_at(&piece.bytes);
            if self.pass_on(&piece.bytes[..end.unwrap_or(piece.bytes.len())], to).await.is_err() {
                return Ended::ReceiverGone;
            }
            if end.is_some() {
                self.weather.strike(Struck::BrokenOff);
                return Ended::CutOff;
            }
            self.held.set(self.held.get() - piece.bytes.len());
            self.went.notify_one();
        }
    }

    async fn finish(&self, stop: Stop, to: &TcpStream) -> Ended {
        self.weather.clear(self.way.0, self.way.1).await;
        match stop {
            Stop::Reset => Ended::SenderGone,
            Stop::Closed => match SockRef::from(to).shutdown(Shutdown::Write) {
                Ok(()) => Ended::Closed,
                Err(_) => Ended::ReceiverGone,
            },
        }
    }

    /// Waits until a piece is through; it is not if its sender gave up while the link was cut.
    async fn comes_through(&self, piece: &Piece) -> bool {
        let mut changes = self.weather.changes();
        let mut was_cut = false;
        loop {
            if self.weather.state(self.way.0, self.way.1).cut {
                if !std::mem::replace(&mut was_cut, true) {
                    self.weather.strike(Struck::Held);
                }
            } else if was_cut && self.stop.get().is_some() {
                return false;
            } else if Instant::now() < piece.due {
                tokio::select! {
                    () = sleep_until(piece.due) => {}
                    _ = changes.changed() => {}
                }
                continue;
            } else if !piece.late || self.stop.get().is_some() {
                return true;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = self.came.notified() => {}
            }
        }
    }

    /// How many of these bytes go on, where an answer ends in them and loses its last one.
    fn cut_off_at(&self, bytes: &[u8]) -> Option<usize> {
        let end = self.answers.as_ref()?.borrow_mut().end_in(bytes)?;
        let (there, back) =
            (self.weather.state(self.way.0, self.way.1), self.weather.state(self.way.1, self.way.0));
        let part = there.reset_part.max(back.reset_part);
        happens(&mut self.draws.borrow_mut(), part).then_some(end)
    }

    async fn pass_on(&self, mut bytes: &[u8], to: &TcpStream) -> io::Result<()> {
        while !bytes.is_empty() {
            let crawl = self.weather.state(self.way.0, self.way.1).crawl_bytes_a_second;
            let piece = match crawl {
                Some(rate) => ((rate / CRAWL_PIECES) as usize).clamp(1, bytes.len()),
                None => bytes.len(),
            };
            to.writable().await?;
            match to.try_write(&bytes[..piece]) {
                Ok(written) => {
                    bytes = &bytes[written..];
                    if let Some(rate) = crawl {
                        self.weather.strike(Struck::Crawled);
                        sleep(Duration::from_secs_f64(written as f64 / rate.max(1.0))).await;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
