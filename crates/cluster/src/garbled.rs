//! Hosts that garble: answers that are sent twice, belong to the message before, carry no id, or break off.
//!
//! The connections of the simulation carry no bytes: what becomes of a garbled answer follows from the rule of
//! `pewterseam-outbound` for what counts as the answer to a request, which stands here as [`counts`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::{Answer, AttemptResult, BrokenBy};
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
}

/// The answers that idle connections hold.
pub type Leftovers = BTreeMap<(Life, SocketAddr), Leftover>;

/// Whether an answer is the one to a request, as `pewterseam-outbound` decides it in `answer.rs`.
fn counts(told: Option<&str>, request_id: &str) -> bool {
    told == Some(request_id)
}

impl World {
    /// Whether a host breaks off the answer that it sends now.
    pub(crate) fn is_cut_short(&mut self) -> bool {
        self.plan.scenario == Scenario::GarblingHosts && self.random.below(100) < CUT
    }

    /// A call was answered; the host may send something after it.
    pub(crate) fn leave_over(&mut self, life: Life, address: SocketAddr, request_id: &Arc<str>, status: u16) {
        if self.plan.scenario != Scenario::GarblingHosts || self.random.below(100) >= FOLLOWED {
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
        self.leftovers.insert((life, address), Leftover { carried, status, not_executed, request_id });
    }

    /// A call takes an idle connection. One that holds an answer is closed, if that is seen before the request goes. The
    /// retry of a message does not go where an earlier attempt of it went.
    pub(crate) fn take_leftover(
        &mut self, life: Life, address: SocketAddr, request_id: &str,
    ) -> TakenConnection {
        match self.leftovers.remove(&(life, address)) {
            Some(leftover) if *leftover.carried == *request_id => TakenConnection::Closed,
            None => TakenConnection::Clean,
            Some(_) if self.random.below(2) == 0 => TakenConnection::Closed,
            Some(leftover) => TakenConnection::Holds(leftover),
        }
    }

    /// A request was written on a connection that holds an answer, and arrives then.
    pub(crate) fn read_leftover(
        &mut self, key: CallKey, leftover: &Leftover, request_id: &str, arrival: Micros,
    ) {
        let result = if counts(leftover.request_id.as_deref(), request_id) {
            AttemptResult::Answered(Answer {
                status: leftover.status,
                not_executed: leftover.not_executed,
                signature: None,
                retry_after: None,
            })
        } else {
            AttemptResult::Broken(BrokenBy::OtherAnswer)
        };
        self.agenda.add(arrival + READ_AFTER, Event::LeftoverRead(key, result));
    }
}

/// An idle connection that a call takes.
pub enum TakenConnection {
    Clean,
    /// Its pool found it closed; a new one is opened.
    Closed,
    Holds(Leftover),
}
