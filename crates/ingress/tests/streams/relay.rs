//! The rest of the relay, as the door knows it: it answers after a while, each request by its own name.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pewterseam_ingress::{BodyAnswer, FrontRequest, RequestRoute, RouteChoice, Router, StatusAnswer};
use pewterseam_queue::Answer;
use pewterseam_wire::placement::hash;
use pewterseam_wire::record::{MessageName, RouteKey};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::requests::MOST_BODY_BYTES;

const MOST_WORK_MS: u64 = 80;

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Accepted,
    Declined,
    Unknown,
    /// Nobody answers.
    Forgotten,
}

impl Fate {
    pub fn of(id: &str) -> Self {
        match hash(id.as_bytes(), 0) % 12 {
            0 => Fate::Declined,
            1 => Fate::Unknown,
            2 => Fate::Forgotten,
            _ => Fate::Accepted,
        }
    }
}

/// What the door handed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandedOn {
    pub id: String,
    pub body: Vec<u8>,
}

/// What the door handed on, in order.
pub type Log = Rc<RefCell<Vec<HandedOn>>>;

/// The routes: one path.
pub fn router() -> Router {
    Rc::new(|_, path| {
        if path.starts_with("/x/") {
            let key = RouteKey { hostname: Arc::from("h.example"), path_prefix: Arc::from("/x/") };
            let name = Arc::from("x");
            RouteChoice::Route(RequestRoute {
                name,
                key,
                is_ordered: false,
                most_body_bytes: MOST_BODY_BYTES,
            })
        } else {
            RouteChoice::NoRoute
        }
    })
}

/// Answers what the door hands on, each request in its own time.
pub async fn answer_all(mut requests: UnboundedReceiver<FrontRequest>, log: Log) {
    while let Some(request) = requests.recv().await {
        log.borrow_mut().push(handed_on(&request));
        tokio::task::spawn_local(answer(request));
    }
}

fn handed_on(request: &FrontRequest) -> HandedOn {
    match request {
        FrontRequest::Message { new, .. } => {
            HandedOn { id: new.request_id.to_string(), body: new.body.to_vec() }
        }
        FrontRequest::Status { name, .. } | FrontRequest::Body { name, .. } => {
            HandedOn { id: name.to_string(), body: Vec::new() }
        }
    }
}

async fn answer(request: FrontRequest) {
    let id = handed_on(&request).id;
    tokio::time::sleep(Duration::from_millis(hash(id.as_bytes(), 1) % MOST_WORK_MS)).await;
    // Whoever is gone hears nothing.
    match request {
        FrontRequest::Message { reply, .. } => match Fate::of(&id) {
            Fate::Accepted => drop(reply.send(Answer::Accepted { name: MessageName(Arc::from(id)) })),
            Fate::Declined => drop(reply.send(Answer::Declined { retry_after_ms: 0 })),
            Fate::Unknown => drop(reply.send(Answer::Unknown)),
            Fate::Forgotten => drop(reply),
        },
        FrontRequest::Status { reply, .. } => {
            drop(reply.send(StatusAnswer::Completed { signature: Arc::from(id) }));
        }
        FrontRequest::Body { reply, .. } => drop(reply.send(BodyAnswer::Found(Bytes::from(id)))),
    }
}
