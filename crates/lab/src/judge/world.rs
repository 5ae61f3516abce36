//! What the story has told so far, in a form in which rules can ask for it.

use std::collections::{BTreeMap, HashMap};

use pewterseam::interface::Micros;
use serde::Serialize;

use super::excuses::{Excuses, Lag};
use super::figures::Figures;
use crate::plan::{ClassPlan, Plan};
use crate::story::{
    CallNumber, Ending, Happened, HostFacts, HostNumber, MessageFacts, MessageNumber, RelayNumber, Story,
    Told,
};

/// One occasion on which a message was handed in: under an id of its own, so that what a relay does under
/// another of the same message counts for nothing here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Occasion {
    pub message: MessageNumber,
    pub times: u32,
}

/// What became of one occasion.
#[derive(Clone, Debug)]
pub struct Offered {
    pub relay: RelayNumber,
    pub facts: MessageFacts,
    pub deadline: Micros,
    /// Place among all occasions, in the order of hand-in.
    pub order: usize,
    pub handed_at: Micros,
    pub answer: Option<(Micros, u16)>,
    /// The client left, or was left, without an answer.
    pub unanswered_at: Option<Micros>,
    pub delivered_at: Option<Micros>,
    /// When the platform read a notice of it, and whether that said failed.
    pub noticed: Option<(Micros, bool)>,
    pub calls: Vec<CallNumber>,
    /// The first call that took effect.
    pub first_ran: Option<CallNumber>,
}

impl Offered {
    /// The relay said that it owes the message its end, and the client heard that.
    pub fn is_taken(&self) -> bool {
        self.answer.is_some_and(|(_, status)| (200..300).contains(&status))
    }
}

#[derive(Clone, Debug)]
pub struct CallSeen {
    pub occasion: Occasion,
    pub relay: RelayNumber,
    pub host: HostNumber,
    pub began: Micros,
    pub arrived_at: Micros,
    pub ran_at: Option<Micros>,
    pub ended: Option<(Micros, Ending)>,
}

/// Where a relay stands as a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    pub ready_at: Option<Micros>,
    /// Asked to stop or dead, and not ready since.
    pub down_since: Option<Micros>,
    pub died_at: Option<Micros>,
}

/// All that rules know.
pub struct World<'a> {
    pub plan: &'a Plan,
    pub figures: Figures,
    pub hosts: &'a BTreeMap<HostNumber, HostFacts>,
    pub now: Micros,
    /// Looked up, and never gone through in their own order.
    pub offered: HashMap<Occasion, Offered>,
    pub calls: HashMap<CallNumber, CallSeen>,
    pub relays: HashMap<RelayNumber, Standing>,
    pub excuses: Excuses<'a>,
}

impl<'a> World<'a> {
    pub fn new(plan: &'a Plan, figures: Figures, story: &'a Story) -> Self {
        World {
            plan,
            figures,
            hosts: &story.hosts,
            now: 0,
            offered: HashMap::new(),
            calls: HashMap::new(),
            relays: HashMap::new(),
            excuses: Excuses::new(plan),
        }
    }

    pub fn class(&self, offered: &Offered) -> Option<&'a ClassPlan> {
        self.plan.load.classes.get(offered.facts.class)
    }

    pub fn offered_of(&self, call: CallNumber) -> Option<(Occasion, &Offered)> {
        let occasion = self.calls.get(&call)?.occasion;
        Some((occasion, self.offered.get(&occasion)?))
    }

    pub fn standing(&self, relay: RelayNumber) -> Standing {
        self.relays.get(&relay).copied().unwrap_or_default()
    }

    /// The caller of a call can wait no more for its answer: the process that made it is dead.
    pub fn is_orphan(&self, call: &CallSeen) -> bool {
        self.standing(call.relay).died_at.is_some_and(|died| died >= call.began)
    }

    /// Whether a call that begins now, as its host sees it, was surely begun after `limit` by its relay.
    pub fn begins_after(&self, call: CallNumber, limit: Micros) -> bool {
        let Some(seen) = self.calls.get(&call) else { return false };
        let Some(host) = self.hosts.get(&seen.host).filter(|_| !self.figures.began_at_relay) else {
            return seen.began > limit;
        };
        match self.excuses.lag(seen.relay, host, self.now) {
            Lag::Upto(lag) => seen.began > limit + lag,
            Lag::Unbounded => false,
        }
    }

    /// Until when ends that a relay owes by `due` may be told, where it could not tell them by then.
    pub fn excused_until(&self, relay: RelayNumber, due: Micros) -> Option<Micros> {
        let Standing { ready_at, down_since, .. } = self.standing(relay);
        if down_since.is_some_and(|since| since <= due) {
            return Some(self.now + self.figures.after_ready);
        }
        let restart = ready_at.map(|at| at + self.figures.after_ready);
        let fault = self.excuses.silenced_until(relay, self.figures.after_ready, due, self.now);
        restart.max(fault).filter(|until| *until > due)
    }

    pub(super) fn take(&mut self, told: &Told) {
        self.now = told.at;
        match &told.what {
            Happened::HandedIn { message, times, relay, deadline, facts } => {
                let order = self.offered.len();
                let offered = Offered {
                    relay: *relay,
                    facts: facts.clone(),
                    deadline: *deadline,
                    order,
                    handed_at: told.at,
                    answer: None,
                    unanswered_at: None,
                    delivered_at: None,
                    noticed: None,
                    calls: Vec::new(),
                    first_ran: None,
                };
                self.offered.insert(Occasion { message: *message, times: *times }, offered);
            }
            Happened::Answered { message, times, status, .. } => {
                if let Some(offered) = self.offered.get_mut(&Occasion { message: *message, times: *times }) {
                    offered.answer = Some((told.at, *status));
                }
            }
            Happened::Unanswered { message, times, .. } => {
                if let Some(offered) = self.offered.get_mut(&Occasion { message: *message, times: *times }) {
                    offered.unanswered_at = Some(told.at);
                }
            }
            Happened::Noticed { message, times, failed, .. } => {
                if let Some(offered) = self.offered.get_mut(&Occasion { message: *message, times: *times }) {
                    offered.noticed.get_or_insert((told.at, *failed));
                }
            }
            Happened::Arrived { call, message, times, relay, host, began } => {
                let occasion = Occasion { message: *message, times: *times };
                if let Some(offered) = self.offered.get_mut(&occasion) {
                    offered.calls.push(*call);
                }
                let seen = CallSeen {
                    occasion,
                    relay: *relay,
                    host: *host,
                    began: *began,
                    arrived_at: told.at,
                    ran_at: None,
                    ended: None,
                };
                self.calls.insert(*call, seen);
            }
            Happened::Ran { call } => {
                let Some(seen) = self.calls.get_mut(call) else { return };
                seen.ran_at = Some(told.at);
                if let Some(offered) = self.offered.get_mut(&seen.occasion) {
                    offered.first_ran.get_or_insert(*call);
                }
            }
            Happened::Ended { call, how } => {
                let Some(seen) = self.calls.get_mut(call) else { return };
                seen.ended = Some((told.at, *how));
                if let Some(offered) = self.offered.get_mut(&seen.occasion).filter(|_| *how == Ending::Served)
                {
                    offered.delivered_at.get_or_insert(told.at);
                }
            }
            Happened::Ready { relay } => {
                let standing = self.relays.entry(*relay).or_default();
                (standing.ready_at, standing.down_since) = (Some(told.at), None);
            }
            Happened::Stopping { relay } | Happened::Dead { relay } => {
                let standing = self.relays.entry(*relay).or_default();
                standing.down_since.get_or_insert(told.at);
                if matches!(told.what, Happened::Dead { .. }) {
                    standing.died_at = Some(told.at);
                }
            }
            Happened::Fault { place, begins } => self.excuses.fault(*place, *begins, told.at),
            Happened::Probed { .. }
            | Happened::ListTold { .. }
            | Happened::Capacity { .. }
            // What of it excuses a relay is read off the plan.
            | Happened::FolderLost { .. }
            | Happened::Said { .. } => {}
        }
    }
}
