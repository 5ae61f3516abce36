//! Clients: each uses its open connection until the process at its other end is gone.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pewterseam_wire::random::Random;

use crate::cluster::Cluster;
use crate::http::{self, Connection, Message, ReadEnd};
use crate::judge::{Judge, Lost};
use crate::operator::{HOSTNAME, LIMITED, MOVED, ORDERED};

/// `X-Deadline-Ms`.
const DEADLINE_MS: &str = "2000";
const PATIENCE: Duration = Duration::from_millis(4_000);
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);
/// Clients are impatient.
const MOST_RETRY_AFTER: Duration = Duration::from_millis(200);
const LEAST_PAUSE_MS: usize = 5;
const MORE_PAUSE_MS: usize = 60;
/// Of so many clients one sends messages with an ordering key.
const ORDERED_EACH: usize = 3;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Moved,
    Ordered,
    Limited,
}

impl Kind {
    /// What a client sends by its number, where it is not one of the limited service.
    pub fn of_number(number: usize) -> Self {
        if number.is_multiple_of(ORDERED_EACH) { Kind::Ordered } else { Kind::Moved }
    }

    fn path(self) -> &'static str {
        match self {
            Kind::Moved => MOVED,
            Kind::Ordered => ORDERED,
            Kind::Limited => LIMITED,
        }
    }
}

/// A client.
pub struct Client<'a> {
    pub number: usize,
    pub kind: Kind,
    pub cluster: &'a Cluster,
    pub judge: &'a Judge,
    pub random: Random,
}

/// What a request came to.
enum End {
    Answered,
    /// The connection is gone.
    Lost,
}

impl Client<'_> {
    /// Sends messages until told to end.
    pub fn run(&mut self, is_over: &AtomicBool) {
        let mut sent = 0;
        while !is_over.load(Ordering::Relaxed) {
            let relay = self.random.below(self.cluster.relays().len());
            let address = self.cluster.relays()[relay].front();
            let opened = Connection::open(address, CONNECT_PATIENCE);
            let Ok(mut connection) = opened else {
                self.pause();
                continue;
            };
            if connection.set_patience(PATIENCE).is_err() {
                continue;
            }
            while !is_over.load(Ordering::Relaxed) {
                sent += 1;
                if matches!(self.send(&mut connection, relay, sent), End::Lost) {
                    break;
                }
                self.pause();
            }
        }
    }

    fn pause(&mut self) {
        let span = LEAST_PAUSE_MS + self.random.below(MORE_PAUSE_MS);
        thread::sleep(Duration::from_millis(span as u64));
    }

    /// Waits for as long as a relay asks, within reason.
    fn heed(&self, answer: &Message) {
        let asked = answer.header("retry-after").and_then(|text| text.parse().ok());
        thread::sleep(asked.map_or(Duration::ZERO, Duration::from_secs).min(MOST_RETRY_AFTER));
    }

    fn send(&mut self, connection: &mut Connection, relay: usize, sent: u64) -> End {
        let id = format!("m{}-{sent}", self.number);
        let key = (self.kind == Kind::Ordered).then_some(self.number);
        let key_text = format!("key-{}", self.number);
        let mut headers = vec![("Host", HOSTNAME), ("X-Request-Id", &id), ("X-Deadline-Ms", DEADLINE_MS)];
        if key.is_some() {
            headers.push(("X-Ordering-Key", &key_text));
        }
        let bytes = http::request("POST", self.kind.path(), &headers, "body of a message");
        self.judge.sent(&id, self.kind == Kind::Moved, key);
        if connection.write(&bytes).is_err() {
            return End::Lost;
        }
        let written = Instant::now();
        match connection.read_answer() {
            Ok(answer) => {
                self.judge.answered(&id, relay, answer.status, answer.header("x-queue-message-id"));
                self.heed(&answer);
                let closes =
                    answer.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
                if closes { End::Lost } else { End::Answered }
            }
            Err(end) => {
                let lost = if matches!(end, ReadEnd::Broken) { Lost::CutShort } else { Lost::Unanswered };
                self.judge.unanswered(&id, relay, written.elapsed(), lost);
                End::Lost
            }
        }
    }
}
