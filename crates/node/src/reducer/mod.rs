//! All changes of the relay's state. Time and inputs go in; records for the journal and effects come out. It
//! reads no clock and touches no socket or file. What to do with a message is decided by the [`Brain`].

mod actions;
mod clients;
mod connections;
mod ends;
mod figures;
mod held;
mod inputs;
mod operators;
mod start;
mod steps;

use std::collections::{BTreeMap, HashMap};

use pewterseam::interface::{Event, Learnt, MessageId};
use pewterseam::{Brain, timeouts};
use pewterseam_durable::record::{Past, Record};
use pewterseam_settings::Deployment;

use crate::client::RequestId;
use crate::counters::Counters;
use crate::ended::EndedIds;
use crate::io::Step;
use crate::list::List;
use crate::names::Names;
use crate::pool::{ConnectionId, Pool};
use crate::together::Together;
use held::{Carried, Held};

/// How much a relay may hold.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Bytes of messages on hand.
    pub bytes: u64,
    /// Idle connections to hosts.
    pub idle_connections: usize,
}

/// What waits for the first word of discovery.
#[derive(Debug)]
struct Start {
    known: Option<List>,
    restored: Vec<Event>,
}

/// The relay's state.
pub struct Reducer {
    brain: Brain,
    names: Names,
    held: BTreeMap<MessageId, Held>,
    pool: Pool,
    carried: BTreeMap<ConnectionId, Carried>,
    by_client_id: HashMap<String, MessageId>,
    ended: EndedIds,
    /// The next message's number.
    next: u64,
    /// Bytes that messages on hand may take and do take.
    room: u64,
    footprint: u64,
    /// Asked to stop, and taking on nothing any more.
    stopping: bool,
    closed: bool,
    /// Until discovery has been asked: the list as last known, and what the journal told.
    start: Option<Start>,
    /// What the process before had learnt of hosts, until the first list.
    learnt: Option<Learnt>,
    /// Discovery, and the platform for notices, did not answer last time.
    list_fails: bool,
    notices_fail: bool,
    /// Requests of this step whose message may yet be refused in it.
    asking: BTreeMap<MessageId, RequestId>,
    /// Records that a failing journal did not take.
    backlog: Vec<Record>,
    step: Step,
    counters: Counters,
    /// Where an operator's file forms a fleet.
    together: Option<Together>,
    /// Hosts were listed since failover was told of them.
    listed_anew: bool,
    /// Sent away by an operator: `/_health` says no, while the rest goes on.
    standby: bool,
    /// By the name of the class, in the settings' order: delivered, refused or handed back, failed.
    ends: Vec<(String, [u64; 3])>,
}

/// Where a class's ends are counted.
const SUCCEEDED: usize = 0;
const DECLINED: usize = 1;
const ABORTED: usize = 2;

impl Reducer {
    pub fn new(deployment: Deployment, seed: u64, room: Room) -> Self {
        // Danger: a host closes an idle connection just as a call is written to it.
        let idle_close = deployment.settings.idle_close.saturating_sub(timeouts::RETRY_PAUSE);
        let longest = deployment.settings.classes.iter().map(|class| class.deadline).max();
        let deployment_classes = deployment.classes.clone();
        Reducer {
            ended: EndedIds::new(longest.unwrap_or(0)),
            brain: Brain::new(deployment.settings.clone(), seed),
            names: Names::new(deployment),
            held: BTreeMap::new(),
            pool: Pool::new(idle_close, room.idle_connections),
            carried: BTreeMap::new(),
            by_client_id: HashMap::new(),
            next: 1,
            room: room.bytes,
            footprint: 0,
            stopping: false,
            closed: false,
            start: None,
            learnt: None,
            list_fails: false,
            notices_fail: false,
            asking: BTreeMap::new(),
            backlog: Vec::new(),
            step: Step::default(),
            counters: Counters::default(),
            together: None,
            listed_anew: false,
            standby: false,
            ends: deployment_classes.into_iter().map(|class| (class, [0; 3])).collect(),
        }
    }

    /// Takes over the hosts under maintenance that an earlier process kept; before `start`.
    pub fn maintained(&mut self, names: Vec<String>) {
        for name in names {
            let _ = self.names.maintain(&name, true, true);
        }
    }

    /// Forms a fleet with others; before `start`.
    pub fn join(&mut self, together: Together) {
        self.together = Some(together);
    }

    /// What this relay knows of its fleet, if there is one.
    pub fn together(&self) -> Option<&Together> {
        self.together.as_ref()
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Messages on hand.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Calls out now.
    pub fn calls_out(&self) -> usize {
        self.held.values().filter(|held| held.out.is_some()).count()
    }

    /// Records that tell of all that is on hand, and the next message's number.
    pub fn records(&self) -> (u64, Vec<Record>) {
        let mut records = Vec::new();
        for (id, held) in &self.held {
            let (number, message) = (id.0, held.message.clone());
            let attempts = held.past.attempts - u32::from(held.out.is_some());
            records.push(Record::Taken { number, message, past: Past { attempts, ..held.past } });
            records.extend(held.past.failed_at.map(|at| Record::FailedAt { number, at }));
            records.extend(held.past.ran_in.map(|zone| Record::RanIn { number, zone }));
            let written = held.out.and_then(|out| Some((out.written_at?, out.zone)));
            records.extend(written.map(|(at, _)| Record::Started { number, at }));
            let zone = written.and_then(|(_, zone)| zone);
            records.extend(zone.map(|zone| Record::StartedIn { number, zone }));
            records.extend(held.closing.map(|end| Record::Closing { number, end }));
        }
        (self.next, records)
    }
}
