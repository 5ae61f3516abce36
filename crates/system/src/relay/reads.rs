//! Reads of a message's state or body from the stores, for clients at any relay.

use std::collections::HashMap;
use std::sync::Arc;

use pewterseam_ingress::{BodyAnswer, StatusAnswer};
use pewterseam_queue::{BodyRead, StatusRead, StatusResult};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{End, Fact, MessageName};
use pewterseam_wire::store::{StoreRequest, StoreResponse};
use tokio::sync::oneshot;

use super::front::{NO_BODY, NO_STATUS};
use super::process::RelayProcess;
use crate::message::PeerMessage;

/// Numbers from here on are those of reads; the queue's are below.
pub const FIRST_READ_CALL: u64 = 1 << 63;
/// A read that has no quorum by then is answered with what is known.
const PATIENCE: Micros = 1_500_000;

enum Read {
    Status { read: StatusRead, reply: oneshot::Sender<StatusAnswer> },
    Body { read: BodyRead, reply: oneshot::Sender<BodyAnswer> },
}

struct OpenRead {
    name: MessageName,
    read: Read,
    deadline: Micros,
}

/// The reads that are under way.
#[derive(Default)]
pub struct Reads {
    last_call: u64,
    open: HashMap<u64, OpenRead>,
}

impl Reads {
    pub fn next_deadline(&self) -> Option<Micros> {
        self.open.values().map(|open| open.deadline).min()
    }

    fn add(&mut self, name: MessageName, read: Read, deadline: Micros) -> u64 {
        self.last_call += 1;
        let call = FIRST_READ_CALL + self.last_call;
        self.open.insert(call, OpenRead { name, read, deadline });
        call
    }
}

impl RelayProcess {
    pub(super) fn read_status(&mut self, name: &Arc<str>, reply: oneshot::Sender<StatusAnswer>) {
        let name = MessageName(name.clone());
        let Some(partition) = name.partition() else {
            let _ = reply.send(StatusAnswer::Unknown);
            return;
        };
        let read = StatusRead::new(self.node.state().placement.clone(), partition);
        let stores = read.stores();
        let call = self.reads.add(name.clone(), Read::Status { read, reply }, self.node.now() + PATIENCE);
        for store in stores {
            self.send_read(&store, call, StoreRequest::Look { names: vec![name.clone()] });
        }
    }

    pub(super) fn read_body(&mut self, name: &Arc<str>, reply: oneshot::Sender<BodyAnswer>) {
        let name = MessageName(name.clone());
        let Some(partition) = name.partition() else {
            let _ = reply.send(BodyAnswer::Unknown);
            return;
        };
        let read = BodyRead::new(self.node.state().placement.clone(), partition);
        let stores = read.stores();
        let call = self.reads.add(name.clone(), Read::Body { read, reply }, self.node.now() + PATIENCE);
        for store in stores {
            self.send_read(&store, call, StoreRequest::Fetch { name: name.clone() });
        }
    }

    fn send_read(&self, store: &StoreId, call: u64, request: StoreRequest) {
        if let Some(address) = self.node.address_of_store(store) {
            self.node.send_to(address, &PeerMessage::StoreRequest { call, request: Box::new(request) });
        }
    }

    /// A store answered a read.
    pub(super) fn read_answered(&mut self, call: u64, response: StoreResponse) {
        let Some(open) = self.reads.open.get_mut(&call) else { return };
        match (&mut open.read, response) {
            (Read::Status { read, .. }, StoreResponse::Statuses { store, statuses }) => {
                let Some(status) = statuses.into_iter().next() else { return };
                if let Some(result) = read.answered(store, status) {
                    self.write_back(call);
                    self.finish_status(call, status_answer(result));
                }
            }
            (Read::Body { read, .. }, StoreResponse::Found { store, record }) => {
                if let Some(found) = read.answered(store, record) {
                    let answer = found.map_or(BodyAnswer::Unknown, |record| BodyAnswer::Found(record.body));
                    self.finish_body(call, answer);
                }
            }
            _ => {}
        }
    }

    /// Tells an end that was read to the stores that lack it. Their answers are not waited for.
    fn write_back(&self, call: u64) {
        let Some(OpenRead { read: Read::Status { read, .. }, name, .. }) = self.reads.open.get(&call) else {
            return;
        };
        let Some((end, stores)) = read.write_back() else { return };
        for store in stores {
            let facts = vec![Fact::Ended { name: name.clone(), end: end.clone() }];
            self.send_read(store, call, StoreRequest::Settle { facts });
        }
    }

    fn finish_status(&mut self, call: u64, answer: StatusAnswer) {
        if let Some(OpenRead { read: Read::Status { reply, .. }, .. }) = self.reads.open.remove(&call) {
            let _ = reply.send(answer);
        }
    }

    fn finish_body(&mut self, call: u64, answer: BodyAnswer) {
        if let Some(OpenRead { read: Read::Body { reply, .. }, .. }) = self.reads.open.remove(&call) {
            let _ = reply.send(answer);
        }
    }

    /// Answers reads whose patience is over. An end or an open record that one store knows is certain.
    pub(super) fn expire_reads(&mut self, now: Micros) {
        let expired = self.reads.open.iter().filter(|(_, open)| open.deadline <= now);
        let expired: Vec<u64> = expired.map(|(call, _)| *call).collect();
        for call in expired {
            let Some(open) = self.reads.open.remove(&call) else { continue };
            match open.read {
                Read::Status { read, reply } => {
                    let _ = reply.send(match read.current_result() {
                        StatusResult::Unknown => NO_STATUS,
                        known => status_answer(known),
                    });
                }
                Read::Body { reply, .. } => drop(reply.send(NO_BODY)),
            }
        }
    }
}

fn status_answer(result: StatusResult) -> StatusAnswer {
    match result {
        StatusResult::Unknown => StatusAnswer::Unknown,
        StatusResult::Pending => StatusAnswer::Pending,
        StatusResult::Ended(End::Completed { signature }) => StatusAnswer::Completed { signature },
        StatusResult::Ended(_) => StatusAnswer::DeadLetter,
    }
}
