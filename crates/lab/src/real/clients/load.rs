//! Who hands in what, when, and again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pewterseam::interface::Micros;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use super::connections::{Came, Exchange, Relays};
use super::front::Front;
use crate::plan::{EffectPlan, Load};
use crate::real::book::Book;
use crate::real::draws::{Draws, between, gap};
use crate::real::settings::TENANT;
use crate::real::traffic::{Message, Traffic};
use crate::story::{Happened, MessageNumber, RelayNumber};

/// What is due sooner is not handed in any more.
const LEAST_LIFETIME: Micros = 50_000;
/// Before a message goes to another relay, where no time was told, in seconds.
const PAUSE_S: (f64, f64) = (0.1, 0.3);
/// Hand-ins to relays that take no connection, before the client waits.
const MOST_TRIED: u32 = 4;

/// All clients of a day.
pub struct Clients {
    pub traffic: Rc<Traffic>,
    book: Rc<Book>,
    front: Rc<Front>,
    relays: Rc<Relays>,
    load: Load,
    /// The load is so many times the plan's.
    times: Cell<f64>,
    draws: RefCell<Draws>,
    /// Messages of one key go one after the other.
    keys: RefCell<HashMap<u32, Rc<Mutex<()>>>>,
    /// Hand-ins of each message so far.
    hand_ins: RefCell<HashMap<MessageNumber, u32>>,
    at_work: Cell<usize>,
}

/// Why a message is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Why {
    Anew,
    Refused,
    /// A relay died with it, or did not answer.
    Unheard,
}

impl Clients {
    pub fn new(
        traffic: Rc<Traffic>, book: Rc<Book>, front: Rc<Front>, relays: Rc<Relays>, load: &Load, draws: Draws,
    ) -> Self {
        Clients {
            traffic,
            book,
            front,
            relays,
            load: load.clone(),
            times: Cell::new(1.0),
            draws: RefCell::new(draws),
            keys: RefCell::default(),
            hand_ins: RefCell::default(),
            at_work: Cell::new(0),
        }
    }

    pub fn change_load(&self, times: f64) {
        self.times.set(times.max(0.0));
    }

    /// Messages that are still being handed in.
    pub fn at_work(&self) -> usize {
        self.at_work.get()
    }

    /// Hands messages in until a time; what comes does not wait for what went before.
    pub async fn run(self: Rc<Self>, mut draws: Draws, until: Micros) {
        let clock = self.book.clock.clone();
        let mut next: f64 = 0.0;
        loop {
            let rate = self.load.messages_a_second * self.times.get();
            next += gap(&mut draws, rate.max(1e-3)) * 1e6;
            let at = next as Micros;
            if at >= until {
                return;
            }
            let message = self.traffic.draw(&mut draws, at);
            sleep_until(clock.instant(at)).await;
            spawn_local(self.clone().see_through(message, Why::Anew));
        }
    }

    /// Hands in again what a relay held that lost its folder.
    pub fn again(self: &Rc<Self>, lost: Vec<MessageNumber>) {
        for message in lost.into_iter().filter_map(|number| self.traffic.message(number)) {
            spawn_local(self.clone().see_through(message, Why::Unheard));
        }
    }

    /// Whether a message may be handed in again though a relay had it: of what must not be repeated freely only that
    /// of which no call has come to a host, since nobody knows when and where it ran.
    fn is_safe(&self, message: &Message) -> bool {
        let is_free = self.traffic.class_of(message.number).effect == EffectPlan::Free;
        is_free || !self.book.is_called(message.number)
    }

    /// Hands one message in, and again where it is refused, until it is taken on or not worth it any more.
    async fn see_through(self: Rc<Self>, message: Message, mut why: Why) {
        self.at_work.set(self.at_work.get() + 1);
        let lock = message.facts.key.map(|key| self.keys.borrow_mut().entry(key).or_default().clone());
        let turn = match &lock {
            Some(lock) => Some(lock.lock().await),
            None => None,
        };
        for _ in 0..=self.load.retries {
            // Danger: what ran under an old id would be taken for a relay's repeat.
            let is_safe = why != Why::Unheard || self.is_safe(&message);
            if !is_safe || self.book.clock.now() + LEAST_LIFETIME >= message.until {
                break;
            }
            let exchange = self.hand_in(&message, why).await;
            let after = match exchange.map(|exchange| exchange.came) {
                Some(Came::Answer { status: 429 | 503, after }) => {
                    why = Why::Refused;
                    after
                }
                Some(Came::Answer { .. }) => break,
                Some(Came::Broken | Came::Nothing) => {
                    why = Why::Unheard;
                    None
                }
                None => None,
            };
            let pause = between(&mut self.draws.borrow_mut(), PAUSE_S.0, PAUSE_S.1);
            sleep(after.unwrap_or(Duration::from_secs_f64(pause))).await;
        }
        drop(turn);
        self.at_work.set(self.at_work.get() - 1);
    }

    /// Hands a message in at a relay that takes connections; none where there is none.
    async fn hand_in(&self, message: &Message, why: Why) -> Option<Exchange> {
        for _ in 0..MOST_TRIED {
            let key = message.facts.key;
            let relay = self.front.deal(&mut self.draws.borrow_mut(), key)?;
            let times = self.hand_ins.borrow().get(&message.number).copied().unwrap_or(0);
            let exchange = self.relays.ask(relay, self.request(message, times, why)).await;
            let Some(sent) = exchange.sent else {
                if let (Some(key), Came::Broken) = (key, &exchange.came) {
                    self.front.leave(key);
                }
                continue;
            };
            self.hand_ins.borrow_mut().insert(message.number, times + 1);
            self.tell(message, times, relay as RelayNumber, self.book.clock.of(sent), &exchange.came);
            return Some(exchange);
        }
        None
    }

    fn tell(&self, message: &Message, times: u32, relay: RelayNumber, sent: Micros, came: &Came) {
        let (number, deadline, facts) = (message.number, message.until, message.facts.clone());
        self.book.tell_at(sent, Happened::HandedIn { message: number, times, relay, deadline, facts });
        self.book.tell(match came {
            Came::Answer { status, .. } => {
                Happened::Answered { message: number, times, relay, status: *status }
            }
            came => {
                let broken = *came == Came::Broken;
                Happened::Unanswered { message: number, times, relay, broken }
            }
        });
    }

    fn request(&self, message: &Message, times: u32, why: Why) -> Request<Full<Bytes>> {
        let left = message.until.saturating_sub(self.book.clock.now()) as f64 / 1e6;
        let class = self.traffic.class_of(message.number);
        let request = Request::post("/api")
            .header("Host", "service.internal")
            .header("Request-Id", self.traffic.id(message.number, times))
            .header("Request-Class", class.name.as_str())
            .header("Tenant", TENANT)
            .header("Request-Timeout", format!("{left:.6}"))
            .header("X-Envelope", format!("dest={}", message.facts.destination));
        let request = match message.facts.key {
            Some(key) => request.header("Cookie", format!("about=key-{key}")),
            None => request,
        };
        let request = match self.traffic.idempotency_key(message) {
            Some(key) => request.header("Idempotency-Key", key),
            None => request,
        };
        let request = match why {
            Why::Anew => request,
            Why::Refused => request.header("Client-Retry", "1"),
            Why::Unheard => request.header("Client-Retry", "again"),
        };
        // A class's name that is no header is refused by the relays' own settings.
        request.body(Full::new(message.body.clone())).unwrap_or_default()
    }
}
