//! Reads of a message's state or body from the stores, as `pewterseam_system::relay::reads` does them.

use std::collections::BTreeMap;

use pewterseam_queue::{BodyRead, StatusRead, StatusResult};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{Fact, MessageName};
use pewterseam_wire::store::{StoreRequest, StoreResponse};

use crate::event::Output;
use crate::message::PeerMessage;
use crate::plan::Planted;
use crate::relay::RelayProcess;

/// Numbers from here on are those of reads; the queue's are below.
pub const FIRST_READ_CALL: u64 = 1 << 63;
const PATIENCE: Micros = 1_500_000;

enum Kind {
    Status(StatusRead),
    Body(BodyRead),
}

struct OpenRead {
    number: u64,
    name: MessageName,
    kind: Kind,
    deadline: Micros,
}

/// The reads that are under way.
#[derive(Default)]
pub struct Reads {
    last_call: u64,
    open: BTreeMap<u64, OpenRead>,
}

impl Reads {
    pub fn next_deadline(&self) -> Option<Micros> {
        self.open.values().map(|open| open.deadline).min()
    }

    fn add(&mut self, number: u64, name: &MessageName, kind: Kind, deadline: Micros) -> u64 {
        self.last_call += 1;
        let call = FIRST_READ_CALL + self.last_call;
        self.open.insert(call, OpenRead { number, name: name.clone(), kind, deadline });
        call
    }
}

impl RelayProcess {
    pub fn read_status(&mut self, number: u64, name: &MessageName) {
        let Some(partition) = name.partition() else { return };
        let read = StatusRead::new(self.node.state().placement.clone(), partition);
        let stores = read.stores();
        let call = self.reads.add(number, name, Kind::Status(read), self.node.now + PATIENCE);
        for store in stores {
            self.send_read(&store, call, StoreRequest::Look { names: vec![name.clone()] });
        }
    }

    pub fn read_body(&mut self, number: u64, name: &MessageName) {
        let Some(partition) = name.partition() else { return };
        let read = BodyRead::new(self.node.state().placement.clone(), partition);
        let stores = read.stores();
        let call = self.reads.add(number, name, Kind::Body(read), self.node.now + PATIENCE);
        for store in stores {
            self.send_read(&store, call, StoreRequest::Fetch { name: name.clone() });
        }
    }

    fn send_read(&mut self, store: &StoreId, call: u64, request: StoreRequest) {
        if let Some(to) = self.node.address_of_store(store) {
            let message = PeerMessage::StoreRequest { call, request: Box::new(request) };
            self.node.out.push(Output::Send { to, message });
        }
    }

    pub(crate) fn read_answered(&mut self, call: u64, response: StoreResponse) {
        let is_hasty = self.has(Planted::HastyReads);
        let Some(open) = self.reads.open.get_mut(&call) else { return };
        let read = open.number;
        let done = match (&mut open.kind, response) {
            (Kind::Status(kind), StoreResponse::Statuses { store, statuses }) => {
                let result = statuses.into_iter().next().and_then(|status| kind.answered(store, status));
                let result = result.or_else(|| is_hasty.then(|| kind.current_result()));
                result.map(|result| Output::Status { read, result: Some(result) })
            }
            (Kind::Body(kind), StoreResponse::Found { store, record }) => {
                kind.answered(store, record).map(|found| Output::Body { read, result: Some(found) })
            }
            _ => None,
        };
        if let Some(output) = done {
            self.write_back(call);
            self.reads.open.remove(&call);
            self.node.out.push(output);
        }
    }

    /// Tells an end that was read to the stores that lack it.
    fn write_back(&mut self, call: u64) {
        let Some(OpenRead { kind: Kind::Status(read), name, .. }) = self.reads.open.get(&call) else {
            return;
        };
        let Some((end, stores)) = read.write_back() else { return };
        let fact = Fact::Ended { name: name.clone(), end: end.clone() };
        for store in stores.clone() {
            self.send_read(&store, call, StoreRequest::Settle { facts: vec![fact.clone()] });
        }
    }

    pub(crate) fn expire_reads(&mut self) {
        let now = self.node.now;
        let expired = self.reads.open.iter().filter(|(_, open)| open.deadline <= now);
        let expired: Vec<u64> = expired.map(|(call, _)| *call).collect();
        for call in expired {
            let Some(open) = self.reads.open.remove(&call) else { continue };
            let read = open.number;
            self.node.out.push(match open.kind {
                Kind::Status(kind) => {
                    let best = Some(kind.current_result()).filter(|best| *best != StatusResult::Unknown);
                    Output::Status { read, result: best }
                }
                Kind::Body(_) => Output::Body { read, result: None },
            });
        }
    }
}
