//! One relay: its folder, which lasts, and its process, which may end at any time.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam::interface::Micros;
use pewterseam_node::io::Input;
use pewterseam_node::notice::Notice;
use pewterseam_node::pool::ConnectionId;

use crate::story::{CallNumber, HostNumber};

use super::event::{Event, Life};
use super::journal::Folder;
use super::machine::Machine;
use super::registry::Follow;

/// A connection to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Load {
    Opening,
    Idle,
    Carrying(CallNumber),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Wire {
    pub(super) host: HostNumber,
    pub(super) load: Load,
    /// It opened and is silent both ways.
    pub(super) mute: bool,
}

/// A stop that was asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    pub(super) since: Micros,
    pub(super) closed: bool,
}

#[derive(Debug, Default)]
pub(super) struct Notices {
    pub(super) waiting: BTreeMap<u64, Notice>,
    /// The request that is out, or was last.
    pub(super) told: u64,
    pub(super) out: bool,
}

pub(super) struct Process {
    pub(super) zone: usize,
    pub(super) folder: Folder,
    /// Counted from the first; what is meant for an earlier one is void.
    pub(super) life: Life,
    /// The running process, if there is one.
    pub(super) machine: Option<Box<dyn Machine>>,
    pub(super) inbox: Vec<Input>,
    pub(super) turn_due: bool,
    pub(super) wake_at: Option<Micros>,
    pub(super) wires: BTreeMap<ConnectionId, Wire>,
    /// Requests that were read and have no answer.
    pub(super) open: BTreeSet<usize>,
    /// Faults by which it stands still, and its own timers that are due meanwhile.
    pub(super) stalls: BTreeSet<usize>,
    pub(super) deferred: Vec<Event>,
    /// Faults by which it is not started.
    pub(super) holds: BTreeSet<usize>,
    /// Faults by which its disk takes nothing.
    pub(super) full_disk: BTreeSet<usize>,
    pub(super) died_at: Option<Micros>,
    pub(super) start_entered: bool,
    pub(super) stop: Option<Stop>,
    /// This process said that it is ready.
    pub(super) ready: bool,
    /// Clients are led to it.
    pub(super) in_use: bool,
    /// What its agent has of the list.
    pub(super) agent_rev: u64,
    /// What of it counts as told.
    pub(super) told_rev: u64,
    pub(super) follow: Follow,
    pub(super) notices: Notices,
}

impl Process {
    pub(super) fn new(zone: usize) -> Self {
        Process {
            zone,
            folder: Folder::default(),
            life: 0,
            machine: None,
            inbox: Vec::new(),
            turn_due: false,
            wake_at: None,
            wires: BTreeMap::new(),
            open: BTreeSet::new(),
            stalls: BTreeSet::new(),
            deferred: Vec::new(),
            holds: BTreeSet::new(),
            full_disk: BTreeSet::new(),
            died_at: None,
            start_entered: false,
            stop: None,
            ready: false,
            in_use: false,
            agent_rev: 0,
            told_rev: 0,
            follow: Follow::default(),
            notices: Notices::default(),
        }
    }

    pub(super) fn is_up(&self, life: Life) -> bool {
        self.life == life && self.machine.is_some()
    }

    pub(super) fn is_stalled(&self) -> bool {
        !self.stalls.is_empty()
    }

    /// Forgets all that is the process's own.
    pub(super) fn end(&mut self, now: Micros) {
        self.machine = None;
        self.life += 1;
        self.died_at = Some(now);
        self.inbox.clear();
        self.turn_due = false;
        self.wake_at = None;
        self.wires.clear();
        self.open.clear();
        self.stalls.clear();
        self.deferred.clear();
        self.stop = None;
        self.ready = false;
        let Follow { asked, .. } = self.follow;
        self.follow = Follow { asked, ..Follow::default() };
        self.notices = Notices::default();
    }
}
