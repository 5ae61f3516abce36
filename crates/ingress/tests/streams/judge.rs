//! What happened in a script, and what of it breaks a rule.

use std::collections::BTreeMap;

use crate::answers::Answer;
use crate::client::{Ending, Reading, Script};
use crate::relay::{Fate, HandedOn};
use crate::requests::{Kind, Request};

/// What happened in a script.
#[derive(Debug)]
pub struct Journal {
    pub script: Script,
    pub answers: Vec<Answer>,
    /// The last answer did not come whole.
    pub is_cut: bool,
    /// The door closed the connection.
    pub is_closed: bool,
    /// The door had done with the connection at the end.
    pub ends: bool,
    pub handed_on: Vec<HandedOn>,
    /// Requests that the door counts when all is over.
    pub under_way: usize,
}

impl Journal {
    /// All that breaks a rule.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = self.check_handed_on();
        breaches.extend(self.check_answers());
        breaches.extend(self.check_missing());
        if !self.ends {
            breaches.push("the connection has no end".to_owned());
        }
        if self.under_way > 0 {
            breaches.push(format!("{} requests are counted for ever", self.under_way));
        }
        breaches
    }

    /// Only requests that came whole are handed on, as they came, once and in their order.
    fn check_handed_on(&self) -> Vec<String> {
        let whole = self.script.whole();
        let mut sent = whole.iter().filter(|request| request.is_handed_on());
        let mut is_next = |taken: &&HandedOn| {
            let request = sent.find(|request| request.id == taken.id);
            request.is_some_and(|request| !request.is_message() || request.body == taken.body)
        };
        let strange = self.handed_on.iter().filter(|taken| !is_next(taken));
        strange.map(|taken| format!("{} is handed on and was not sent so", taken.id)).collect()
    }

    /// Each answer is to the request in its place. One that did not come whole gets at most an error, the last one.
    fn check_answers(&self) -> Vec<String> {
        let whole = self.script.whole();
        let mut breaches = Vec::new();
        for (place, answer) in self.answers.iter().enumerate() {
            let fits = match (whole.get(place), self.script.requests.get(place)) {
                (Some(request), _) => fits(request, answer),
                (None, Some(_)) => place == whole.len() && answer.status >= 400 && answer.name.is_none(),
                (None, None) => false,
            };
            if !fits {
                breaches.push(format!("answer {place} is {answer:?}"));
            }
            if answer.closes && place + 1 < self.answers.len() {
                breaches.push(format!("an answer follows {answer:?}, which closes"));
            }
        }
        breaches
    }

    /// A client that reads to the end has an answer to each request, up to one that closes.
    fn check_missing(&self) -> Vec<String> {
        let reads_all = self.script.reading != Reading::Never
            && matches!(self.script.ending, Ending::Waits | Ending::HalfCloses);
        if !reads_all || self.script.stops.is_some() {
            return Vec::new();
        }
        let whole = self.script.whole();
        let closes = self.answers.last().is_some_and(|answer| answer.closes)
            || self
                .answers
                .len()
                .checked_sub(1)
                .is_some_and(|last| self.script.requests.get(last).is_some_and(Request::may_close));
        let mut breaches = Vec::new();
        if self.answers.len() < whole.len() && !closes {
            breaches.push(format!("{} answers to {} requests", self.answers.len(), whole.len()));
        }
        if self.is_cut {
            breaches.push("an answer is cut".to_owned());
        }
        if !self.is_closed {
            breaches.push("the door does not close".to_owned());
        }
        breaches
    }
}

/// Whether an answer is one to this request.
fn fits(request: &Request, answer: &Answer) -> bool {
    let status = match request.kind {
        Kind::State | Kind::Bytes => 200,
        Kind::NoRoute => 404,
        Kind::NoHost | Kind::BadId => 400,
        Kind::TooLarge => 413,
        Kind::Message | Kind::ChunkedMessage | Kind::Nested => match Fate::of(&request.id) {
            Fate::Accepted => 202,
            Fate::Declined => 503,
            Fate::Unknown | Fate::Forgotten => 504,
        },
    };
    let name = (status == 202).then(|| request.id.clone());
    let body = match request.kind {
        Kind::State => format!("{{\"state\":\"completed\",\"signature\":\"{}\"}}", request.id),
        Kind::Bytes => request.id.clone(),
        _ => String::new(),
    };
    answer.status == status && answer.name == name && answer.body == body
}

/// How much was played.
#[derive(Debug, Default)]
pub struct Figures {
    scripts: usize,
    requests: usize,
    whole: usize,
    handed_on: usize,
    answers: BTreeMap<u16, usize>,
    endings: BTreeMap<Ending, usize>,
    unread: usize,
}

impl Figures {
    pub fn add(&mut self, journal: &Journal) {
        self.scripts += 1;
        self.requests += journal.script.requests.len();
        self.whole += journal.script.whole().len();
        self.handed_on += journal.handed_on.len();
        for answer in &journal.answers {
            *self.answers.entry(answer.status).or_default() += 1;
        }
        *self.endings.entry(journal.script.ending).or_default() += 1;
        self.unread += usize::from(journal.script.reading == Reading::Never);
    }
}
