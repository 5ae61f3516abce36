//! Hosts at the other ends of streams in memory, which play their scripts.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use pewterseam_outbound::{ByteStream, Dialer, Dialing};
use pewterseam_wire::random::Random;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

use crate::answers::{Answer, LAST_CHUNK, pieces};
use crate::judge::{Connection, request_length, request_line};
use crate::script::{Close, ExtraId, ExtraTime, Reaction, Welcome};
use crate::stream::{CallerStream, Reset, Written};

/// Longer than any call here waits.
const TOO_LATE: Duration = Duration::from_secs(3);
const MOST_WORK_MS: usize = 60;
const MOST_PAUSE_MS: usize = 20;
/// An extra answer comes while the connection idles, or carries the next request.
const MOST_SOON_EXTRA_DELAY_MS: usize = 150;
const MOST_EXTRA_DELAY_MS: usize = 900;
const LEAST_BUFFER: usize = 64;
const MORE_BUFFER: usize = 4_000;

/// The connections of all hosts, as they were made.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<Mutex<Vec<Connection>>>);

impl Connections {
    pub fn all(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.0.lock().expect("the connections")
    }
}

/// Opens streams to hosts in memory.
#[derive(Debug)]
pub struct MemoryDialer {
    pub seed: u64,
    /// What the hosts of this script do most often.
    pub favourite: Reaction,
    pub connections: Connections,
}

impl Dialer for MemoryDialer {
    fn dial(&self, _: SocketAddr, _: Duration) -> Dialing {
        let (written, reset) = (Written::default(), Reset::default());
        let number = {
            let mut all = self.connections.all();
            all.push(Connection { written: written.clone(), ..Connection::default() });
            all.len() - 1
        };
        let mut random = Random::new(self.seed.wrapping_mul(1_000_003) + number as u64);
        let (inner, stream) = tokio::io::duplex(LEAST_BUFFER + random.below(MORE_BUFFER));
        let welcome = Welcome::draw(&mut random);
        let (connections, favourite) = (self.connections.clone(), self.favourite);
        let (caller, reset_by_host) = (CallerStream { inner, written, reset: reset.clone() }, reset);
        Box::pin(async move {
            match welcome {
                Welcome::Refuses => return Err(io::ErrorKind::ConnectionRefused.into()),
                Welcome::TakesLate(delay) => tokio::time::sleep(delay).await,
                Welcome::Takes | Welcome::SpeaksFirst(_) => {}
            }
            let host = Host {
                stream,
                random,
                favourite,
                connections,
                number,
                reset: reset_by_host,
                tags: 0,
                later: None,
            };
            tokio::spawn(host.serve(welcome));
            Ok(Box::new(caller) as Box<dyn ByteStream>)
        })
    }
}

/// A host's end of one connection.
struct Host {
    stream: DuplexStream,
    random: Random,
    favourite: Reaction,
    connections: Connections,
    number: usize,
    reset: Reset,
    tags: usize,
    /// An extra answer that comes at a time of its own.
    later: Option<(Instant, Vec<u8>)>,
}

/// A request that was read whole.
struct Request {
    id: String,
    attempt: String,
}

impl Host {
    async fn serve(mut self, welcome: Welcome) {
        if let Welcome::SpeaksFirst(id) = welcome {
            let extra = self.extra("", "", id);
            self.doubt();
            self.write(&extra).await;
        }
        while let Some(bytes) = self.read_request().await {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Some(path) = text.strip_prefix("GET ").and_then(|rest| rest.split(' ').next()) {
                self.check(path).await;
                continue;
            }
            let request = Request { id: header(&text, "x-request-id"), attempt: header(&text, "x-attempt") };
            let reaction = Reaction::draw_with(&mut self.random, self.favourite);
            let known = (request.attempt.clone(), reaction);
            self.note(|connection| connection.reactions.push(known));
            if !self.react(reaction, &request).await {
                return;
            }
        }
    }

    fn note(&self, change: impl FnOnce(&mut Connection)) {
        change(&mut self.connections.all()[self.number]);
    }

    /// From now on whoever reads can tell that something is wrong with this connection.
    fn doubt(&self) {
        self.note(|connection| {
            connection.doubted_at.get_or_insert(Instant::now());
        });
    }

    /// Reads a request to its end; None if the caller is gone.
    async fn read_request(&mut self) -> Option<Vec<u8>> {
        let mut read = Vec::new();
        while request_length(&read).is_none_or(|length| read.len() < length) {
            let mut piece = [0; 512];
            let due = self.later.as_ref().map_or_else(|| Instant::now() + TOO_LATE, |(at, _)| *at);
            tokio::select! {
                biased;
                count = self.stream.read(&mut piece) => match count {
                    Ok(count @ 1..) => read.extend_from_slice(&piece[..count]),
                    _ => return None,
                },
                () = tokio::time::sleep_until(due) => {
                    if let Some((_, extra)) = self.later.take_if(|(at, _)| *at <= Instant::now()) {
                        self.doubt();
                        self.write(&extra).await;
                    }
                }
            }
        }
        Some(read)
    }

    /// One that the caller does not read is no matter.
    async fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Works on a request; an extra answer to an earlier one may come meanwhile.
    async fn work(&mut self) {
        let done_at = Instant::now() + Duration::from_millis(self.random.below(MOST_WORK_MS) as u64);
        if let Some((at, extra)) = self.later.take_if(|(at, _)| *at <= done_at) {
            tokio::time::sleep_until(at).await;
            self.doubt();
            self.write(&extra).await;
        }
        tokio::time::sleep_until(done_at).await;
    }

    async fn pause(&mut self, most_ms: usize) {
        let pause = Duration::from_millis(self.random.below(most_ms) as u64);
        tokio::time::sleep(pause).await;
    }

    /// A tag for an answer that counts for an attempt, or for one that counts for none.
    fn tag(&mut self, attempt: &str) -> String {
        self.tags += 1;
        format!("t{attempt}-{}.{}", self.number, self.tags)
    }

    /// An answer that nobody asked for.
    fn extra(&mut self, own: &str, attempt: &str, id: ExtraId) -> Vec<u8> {
        let (id, counts_for) = match id {
            ExtraId::Same => (Some(own), attempt),
            ExtraId::Other => (Some("m0"), "none"),
            ExtraId::None => (None, "none"),
        };
        let tag = self.tag(counts_for);
        Answer::whole(&mut self.random, id, &tag).bytes()
    }

    fn end(&self, close: Close) -> bool {
        if close == Close::Reset {
            self.reset.reset();
        }
        self.doubt();
        false
    }

    /// Plays a reaction; whether the connection goes on.
    async fn react(&mut self, reaction: Reaction, request: &Request) -> bool {
        self.work().await;
        match reaction {
            Reaction::CutInHead(close)
            | Reaction::CutInBody(close)
            | Reaction::CutInChunks(close)
            | Reaction::AnswersWithoutEnd(close) => {
                let part = self.part_of_answer(reaction, request);
                self.write(&part).await;
                return self.end(close);
            }
            Reaction::StopsInBody => {
                let part = self.part_of_answer(reaction, request);
                // Whatever came now would be the rest of the body to any reader.
                self.later = None;
                self.write(&part).await;
            }
            Reaction::ClosesBeforeAnswer(close) => return self.end(close),
            Reaction::ClosesAfterAnswer(close) => {
                self.answer(reaction, request).await;
                self.pause(MOST_PAUSE_MS).await;
                return self.end(close);
            }
            Reaction::ClosesAtNextRequest(close) => {
                self.answer(reaction, request).await;
                // The first byte of the next request, or the end.
                let _ = self.stream.read(&mut [0]).await;
                return self.end(close);
            }
            Reaction::Silent => {}
            Reaction::Nonsense => {
                self.doubt();
                self.write(b"\0\x01 nonsense\r\n\r\n").await;
            }
            _ => self.answer(reaction, request).await,
        }
        true
    }

    /// An answer that is not whole, or does not show that it is.
    fn part_of_answer(&mut self, reaction: Reaction, request: &Request) -> Vec<u8> {
        let (tag, random) = (format!("cut-{}", self.tag(&request.attempt)), &mut self.random);
        let whole = Answer::whole(random, Some(&request.id), &tag);
        match reaction {
            Reaction::CutInHead(_) => whole.head[..random.below(whole.head.len())].to_vec(),
            Reaction::CutInChunks(_) => Answer::unfinished_chunks(random, &request.id, &tag).bytes(),
            Reaction::AnswersWithoutEnd(_) => Answer::endless(random, &request.id, &tag).bytes(),
            _ => {
                let end = random.below(whole.body.len());
                [&whole.head, &whole.body[..end]].concat()
            }
        }
    }

    /// Gives a whole answer, alone or with another.
    async fn answer(&mut self, reaction: Reaction, request: &Request) {
        let tag = self.tag(&request.attempt);
        let answer = Answer::whole(&mut self.random, Some(&request.id), &tag).bytes();
        match reaction {
            Reaction::AnswersInPieces => self.write_in_pieces(&answer).await,
            Reaction::AnswersInChunks => {
                let chunks = Answer::unfinished_chunks(&mut self.random, &request.id, &tag).bytes();
                self.write_in_pieces(&[&chunks, LAST_CHUNK].concat()).await;
            }
            Reaction::AnswersLate => {
                tokio::time::sleep(TOO_LATE).await;
                self.write(&answer).await;
            }
            Reaction::AnswersTwice(time) => self.write_both(answer.clone(), answer, time).await,
            Reaction::AnswersWithExtra(id, time) => {
                let extra = self.extra(&request.id, &request.attempt, id);
                self.write_both(answer, extra, time).await;
            }
            Reaction::SaysThatItCloses => {
                let closing = Answer::closing(&mut self.random, &request.id, &tag).bytes();
                self.doubt();
                self.write(&closing).await;
            }
            Reaction::SaysContinue => {
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
                self.pause(MOST_PAUSE_MS).await;
                self.write(&answer).await;
            }
            _ => self.write(&answer).await,
        }
        if let Ok(attempt) = request.attempt.parse() {
            self.note(|connection| connection.answered.push((attempt, Instant::now())));
        }
    }

    async fn write_in_pieces(&mut self, bytes: &[u8]) {
        for piece in pieces(&mut self.random, bytes) {
            self.write(&piece).await;
            self.pause(3).await;
        }
    }

    async fn write_both(&mut self, answer: Vec<u8>, extra: Vec<u8>, time: ExtraTime) {
        match time {
            ExtraTime::Merged => {
                self.doubt();
                self.write(&[answer, extra].concat()).await;
            }
            ExtraTime::Before => {
                self.doubt();
                self.write(&[extra, answer].concat()).await;
            }
            ExtraTime::Later => {
                self.write(&answer).await;
                let most = [MOST_SOON_EXTRA_DELAY_MS, MOST_EXTRA_DELAY_MS][self.random.below(2)];
                let delay = Duration::from_millis(self.random.below(most) as u64);
                self.later = Some((Instant::now() + delay, extra));
            }
        }
    }

    /// Answers a health check, or not.
    async fn check(&mut self, path: &str) {
        self.work().await;
        let is_well = self.random.below(2) == 0;
        let status = if is_well { "200 OK" } else { "503 No" };
        let answer = format!("HTTP/1.1 {status}\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
        if self.random.below(5) == 0 {
            return;
        }
        if is_well {
            self.note(|connection| connection.passed_checks.push(path.to_owned()));
        }
        self.write(answer.as_bytes()).await;
    }
}

fn header(text: &str, name: &str) -> String {
    request_line(text, name).unwrap_or_default().to_owned()
}
