//! A client that sends requests in a row and in pieces, breaks off, and reads or does not, by seed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pewterseam_ingress::{Front, Phase, Stopper};
use pewterseam_wire::random::Random;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{sleep, timeout};

use crate::answers;
use crate::judge::Journal;
use crate::relay::{Log, answer_all, router};
use crate::requests::Request;
use crate::stream::DoorStream;

const MOST_REQUESTS: usize = 8;
const MOST_PIECE: usize = 3_000;
const MOST_PAUSE_MS: usize = 60;
const LEAST_BUFFER: usize = 64;
const MORE_BUFFER: usize = 4_000;
/// A client that does not read goes after so long.
const PATIENCE: Duration = Duration::from_secs(5);
/// By then a connection has ended whose client says nothing more: longer than the door's times for heads and bodies.
const END: Duration = Duration::from_secs(60);

/// What a client does when it has sent all that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// Reads until the door closes.
    Waits,
    /// Says that nothing more comes, and reads on.
    HalfCloses,
    Closes,
    Resets,
}

/// When a client reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reading {
    Always,
    Late(Duration),
    Never,
}

/// What a client is going to do.
#[derive(Clone, Debug)]
pub struct Script {
    pub requests: Vec<Request>,
    /// So many bytes of them are sent.
    pub sent_bytes: usize,
    pub ending: Ending,
    pub reading: Reading,
    /// The door begins to close then.
    pub stops: Option<(Duration, Phase)>,
}

impl Script {
    fn draw(random: &mut Random) -> Self {
        let count = 1 + random.below(MOST_REQUESTS);
        let requests: Vec<Request> =
            (0..count).map(|number| Request::draw(random, &format!("m{number}"))).collect();
        let all: usize = requests.iter().map(|request| request.bytes.len()).sum();
        let is_cut = random.below(2) == 0;
        let late = Duration::from_millis(random.below(3_000) as u64);
        let phase = if random.below(2) == 0 { Phase::Leaving } else { Phase::Closed };
        let stop_at = Duration::from_millis(random.below(400) as u64);
        Script {
            requests,
            sent_bytes: if is_cut { random.below(all) } else { all },
            ending: [Ending::Waits, Ending::HalfCloses, Ending::Closes, Ending::Resets][random.below(4)],
            reading: [Reading::Always, Reading::Always, Reading::Late(late), Reading::Never][random.below(4)],
            stops: (random.below(6) == 0).then_some((stop_at, phase)),
        }
    }

    /// The requests that were sent whole.
    pub fn whole(&self) -> Vec<&Request> {
        let mut end = 0;
        let is_whole = |request: &&Request| {
            end += request.bytes.len();
            end <= self.sent_bytes
        };
        self.requests.iter().take_while(is_whole).collect()
    }
}

/// Plays the script of a seed.
pub async fn play(seed: u64) -> Journal {
    let mut random = Random::new(seed.wrapping_mul(0x9e37_79b9));
    let script = Script::draw(&mut random);
    let (sender, requests) = unbounded_channel();
    let (stopper, log, is_reset) = (Stopper::default(), Log::default(), Rc::new(Cell::new(false)));
    let (_, configured) = tokio::sync::watch::channel(true);
    let front = Front::new(sender, router(), configured, stopper.clone());
    tokio::task::spawn_local(answer_all(requests, log.clone()));
    let (inner, client) = tokio::io::duplex(LEAST_BUFFER + random.below(MORE_BUFFER));
    let (door, served) = (front.clone(), DoorStream { inner, is_reset: is_reset.clone() });
    let serving = tokio::task::spawn_local(async move { door.serve_connection(served).await });
    if let Some((after, phase)) = script.stops {
        tokio::task::spawn_local(async move {
            sleep(after).await;
            stopper.set(phase);
        });
    }
    let (reader, writer) = tokio::io::split(client);
    let sending = tokio::task::spawn_local(send(writer, script.clone(), random));
    let (read, is_closed) = read(reader, &script, sending, &is_reset).await;
    let ends = timeout(END, serving).await.is_ok();
    let (answers, is_cut) = answers::read(&read);
    let handed_on = log.borrow().clone();
    Journal { script, answers, is_cut, is_closed, ends, handed_on, under_way: front.under_way() }
}

/// Sends what the script says; gives back its half, so that it stays open.
async fn send(
    mut writer: WriteHalf<DuplexStream>, script: Script, mut random: Random,
) -> WriteHalf<DuplexStream> {
    let all: Vec<u8> = script.requests.iter().flat_map(|request| request.bytes.clone()).collect();
    let mut rest = &all[..script.sent_bytes];
    while !rest.is_empty() {
        let (piece, after) = rest.split_at((1 + random.below(MOST_PIECE)).min(rest.len()));
        // A door that has closed takes nothing more.
        if writer.write_all(piece).await.is_err() {
            break;
        }
        if random.below(2) == 0 {
            sleep(Duration::from_millis(random.below(MOST_PAUSE_MS) as u64)).await;
        }
        rest = after;
    }
    if script.ending == Ending::HalfCloses {
        let _ = writer.shutdown().await;
    }
    writer
}

/// Reads as the script says, to its end; what came, and whether the door closed.
async fn read(
    mut reader: ReadHalf<DuplexStream>, script: &Script,
    sending: tokio::task::JoinHandle<WriteHalf<DuplexStream>>, is_reset: &Cell<bool>,
) -> (Vec<u8>, bool) {
    let sender = sending.abort_handle();
    let mut read = Vec::new();
    let goes = matches!(script.ending, Ending::Closes | Ending::Resets);
    match script.reading {
        Reading::Never => drop(timeout(PATIENCE, sending).await),
        Reading::Late(after) => {
            sleep(after).await;
            read_until(&mut reader, &mut read, goes, sending).await;
        }
        Reading::Always => read_until(&mut reader, &mut read, goes, sending).await,
    }
    let stays = script.reading != Reading::Never && !goes;
    let is_closed = stays && timeout(END, reader.read_to_end(&mut read)).await.is_ok();
    is_reset.set(script.ending == Ending::Resets);
    // One that the door does not read is still at work.
    sender.abort();
    (read, is_closed)
}

/// Reads while requests are sent; a client that waits for more goes on until the door closes.
async fn read_until(
    reader: &mut ReadHalf<DuplexStream>, read: &mut Vec<u8>, goes: bool,
    mut sending: tokio::task::JoinHandle<WriteHalf<DuplexStream>>,
) {
    let mut piece = [0; 512];
    loop {
        tokio::select! {
            biased;
            count = reader.read(&mut piece) => match count {
                Ok(count @ 1..) => read.extend_from_slice(&piece[..count]),
                _ => return,
            },
            writer = &mut sending => {
                let _writer = writer;
                if !goes {
                    drop(timeout(END, reader.read_to_end(read)).await);
                }
                return;
            }
        }
    }
}
