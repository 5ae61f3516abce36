//! Hosts that garble: answers that are sent twice, belong to the message before, carry no id, or break off.
//!
//! The connections of the simulation carry no bytes: what becomes of an answer follows from the rule of `pewterseam-outbound`
//! for what ends a call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::{Answer, AttemptResult};
use pewterseam_outbound::{Reading, read_as};
use pewterseam_wire::Micros;

use crate::calls::CallKey;
use crate::event::{Event, Life};
use crate::plan::{MILLISECOND, Scenario};
use crate::world::World;

/// Of a hundred answers, so many are followed by another one.
const FOLLOWED: usize = 10;
/// Of a hundred answers, so many break off in their body or do not tell where they end.
const CUT: usize = 3;
/// After the request has arrived, the answer that was there before is read.
const READ_AFTER: Micros = MILLISECOND;

/// An answer that a connection holds though nobody waits for it.
#[derive(Clone, Debug)]
pub struct Leftover {
    /// The message that the connection carried before it.
    carried: Arc<str>,
    status: u16,
    not_executed: bool,
    /// The id of the message that it was for, if it tells.
    request_id: Option<Arc<str>>,
    comes: Comes,
}

/// When an answer that nobody waits for comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Comes {
    /// As soon as the next request on the connection has arrived.
    AtOnce,
    /// Just before the answer to that request.
    BeforeTheNext,
}

impl Leftover {
    pub fn comes_before_the_next(&self) -> bool {
        self.comes == Comes::BeforeTheNext
    }

    /// What it means to the call of a message that finds it on its connection.
    pub fn read_by(&self, request_id: &str) -> Reading {
        read_as(self.request_id.as_deref(), request_id)
    }
}

/// The answers that idle connections hold.
pub type Leftovers = BTreeMap<(Life, SocketAddr), Leftover>;

impl World {
    /// Whether a host breaks off the answer that it sends now.
    pub(crate) fn is_cut_short(&mut self) -> bool {
        self.plan.scenario == Scenario::GarblingHosts && self.random.below(100) < CUT
    }

    /// A call was answered; the host may send something after it.
    pub(crate) fn leave_over(&mut self, life: Life, address: SocketAddr, request_id: &Arc<str>, status: u16) {
        let comes = match self.plan.scenario {
            Scenario::GarblingHosts => Comes::AtOnce,
            Scenario::SecondAnswers => Comes::BeforeTheNext,
            _ => return,
        };
        if self.random.below(100) >= FOLLOWED {
            return;
        }
        // Most are the same answer once more.
        let status = match self.random.below(5) {
            0 => 500,
            1 => 422,
            2 => 503,
            _ => status,
        };
        let not_executed = matches!(status, 421 | 429 | 503);
        let carried = request_id.clone();
        let request_id = (self.random.below(2) == 0).then(|| request_id.clone());
        self.leftovers.insert((life, address), Leftover { carried, status, not_executed, request_id, comes });
    }

    /// A call takes an idle connection. One that holds an answer is closed, if that is seen before the request goes. The
    /// retry of a message does not go where an earlier attempt of it went.
    pub(crate) fn take_leftover(
        &mut self, life: Life, address: SocketAddr, request_id: &str,
    ) -> TakenConnection {
        match self.leftovers.remove(&(life, address)) {
            Some(leftover) if *leftover.carried == *request_id => TakenConnection::Closed,
            None => TakenConnection::Clean,
            Some(leftover) if leftover.comes == Comes::AtOnce && self.random.below(2) == 0 => {
                TakenConnection::Closed
            }
            Some(leftover) => TakenConnection::Holds(leftover),
        }
    }

    /// A request was written on a connection that holds an answer, and arrives then. True where the call goes on.
    pub(crate) fn read_leftover(
        &mut self, key: CallKey, leftover: &Leftover, request_id: &str, arrival: Micros,
    ) -> bool {
        if leftover.read_by(request_id) == Reading::PassedOver {
            return true;
        }
        let result = AttemptResult::Answered(Answer {
            status: leftover.status,
            not_executed: leftover.not_executed,
            signature: None,
            retry_after: None,
        });
        self.agenda.add(arrival + READ_AFTER, Event::LeftoverRead(key, result));
        false
    }
}

/// An idle connection that a call takes.
pub enum TakenConnection {
    Clean,
    /// Its pool found it closed; a new one is opened.
    Closed,
    Holds(Leftover),
}
