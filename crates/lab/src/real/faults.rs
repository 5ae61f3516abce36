//! Puts faults on the day and takes them off again. Whatever a party is to be follows from all faults that
//! are active now, so that they overlap freely.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

use super::book::Book;
use super::clients::Clients;
use super::discovery::{Mood, Registry};
use super::hosts::{Condition, Destination, Host};
use super::links::Weather;
use super::places::Places;
use super::processes::{Keeps, Wanted};
use super::timeline::{Step, Strikes, Timeline};
use crate::plan::How;
use crate::story::{Happened, HostNumber, Listed, RelayNumber};

/// All that faults act on.
pub struct Faults {
    pub book: Rc<Book>,
    pub places: Rc<Places>,
    pub weather: Rc<Weather>,
    pub hosts: Vec<Rc<Host>>,
    pub destinations: Vec<Rc<Destination>>,
    pub registry: Rc<Registry>,
    pub clients: Rc<Clients>,
    /// What each relay is wanted to be.
    pub relays: Vec<watch::Sender<Wanted>>,
    pub strikes: Vec<Strikes>,
    pub active: RefCell<Active>,
}

/// Faults that are active, by their places.
#[derive(Default)]
pub struct Active {
    faults: BTreeSet<usize>,
    /// Flapping hosts' silent turns.
    silent: BTreeSet<usize>,
    gone: BTreeSet<HostNumber>,
    there: BTreeSet<HostNumber>,
    /// What the next process of a relay finds.
    keeps: BTreeMap<RelayNumber, Keeps>,
    ends: BTreeMap<RelayNumber, u64>,
}

/// What a relay is at the start of a day with these faults.
pub fn at_the_start(timeline: &Timeline, relay: RelayNumber) -> Wanted {
    let late = timeline.strikes.iter().any(|strike| {
        matches!(strike, Strikes::Process { who, process }
            if process.how == How::StartLate && who.contains(&relay))
    });
    let keeps = Keeps::All;
    Wanted { up: !late, ends: 0, gently: false, keeps, stalled: false, disk_full: false }
}

impl Faults {
    pub fn step(&self, place: usize, step: Step) {
        let begins = match step {
            Step::Begin => true,
            Step::End => false,
            Step::Turn { silent } => {
                {
                    let turns = &mut self.active.borrow_mut().silent;
                    let _ = if silent { turns.insert(place) } else { turns.remove(&place) };
                }
                self.afflict();
                return;
            }
            Step::Drain { host, successor } => return self.drain(host, successor),
            Step::Gone { host } => return self.remove(host),
        };
        self.book.tell(Happened::Fault { place, begins });
        {
            let active = &mut *self.active.borrow_mut();
            let _ = if begins { active.faults.insert(place) } else { active.faults.remove(&place) };
            active.silent.remove(&place);
        }
        match &self.strikes[place] {
            Strikes::Link { from, to, link } if begins => {
                self.weather.begin(place, from.clone(), to.clone(), link.clone());
            }
            Strikes::Link { .. } => self.weather.end(place),
            Strikes::Process { who, process } => self.process(who, process.how, begins),
            Strikes::Server { .. } => self.afflict(),
            Strikes::Discovery { .. } => self.registry.feel(self.mood()),
            Strikes::Replace => {}
            Strikes::Load { .. } => self.clients.change_load(self.times(|strike| match strike {
                Strikes::Load { times } => Some(*times),
                _ => None,
            })),
            Strikes::Limit { .. } => self.limit(),
        }
    }

    fn active(&self) -> Vec<&Strikes> {
        self.active.borrow().faults.iter().map(|place| &self.strikes[*place]).collect()
    }

    fn times(&self, of: impl Fn(&Strikes) -> Option<f64>) -> f64 {
        self.active().into_iter().filter_map(of).product()
    }

    fn mood(&self) -> Mood {
        let told = self.active().into_iter().filter_map(|strike| match strike {
            Strikes::Discovery { turned_away: true } => Some(Mood::Overloaded),
            Strikes::Discovery { turned_away: false } => Some(Mood::Silent),
            _ => None,
        });
        // One that is silent can't turn anybody away.
        told.reduce(|one, other| if one == Mood::Silent { one } else { other }).unwrap_or(Mood::Well)
    }

    fn limit(&self) {
        for destination in &self.destinations {
            let number = destination.plan.number;
            let is_its = |host: &HostNumber| self.places.hosts[*host as usize].destination == number;
            let times = self.times(|strike| match strike {
                Strikes::Limit { who, times } if who.iter().any(is_its) => Some(*times),
                _ => None,
            });
            if let Some(limit) = &destination.limit {
                limit.borrow_mut().change(times);
            }
        }
    }

    /// Gives each host the condition that its troubles come to.
    fn afflict(&self) {
        for host in &self.hosts {
            let active = self.active.borrow();
            let troubles = active.faults.iter().filter_map(|place| match &self.strikes[*place] {
                Strikes::Server { who, trouble } if who.contains(&host.number) => {
                    Some((trouble, active.silent.contains(place)))
                }
                _ => None,
            });
            let is_first = self.places.first().any(|first| first == host.number);
            let there = is_first || active.there.contains(&host.number);
            let gone = !there || active.gone.contains(&host.number);
            let condition = Condition { gone, ..Condition::of(troubles) };
            drop(active);
            host.suffer(condition);
        }
    }

    fn drain(&self, host: HostNumber, successor: HostNumber) {
        let is_new = {
            let active = &mut *self.active.borrow_mut();
            !active.gone.contains(&host) && active.there.insert(successor)
        };
        if is_new {
            self.afflict();
            let boot = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            self.registry.change(&[(host, Listed::Draining, 0), (successor, Listed::Ready, boot)]);
        }
    }

    fn remove(&self, host: HostNumber) {
        if self.active.borrow_mut().gone.insert(host) {
            self.afflict();
            self.registry.change(&[(host, Listed::Gone, 0)]);
        }
    }

    fn process(&self, who: &BTreeSet<RelayNumber>, how: How, begins: bool) {
        for relay in who {
            if begins {
                let active = &mut *self.active.borrow_mut();
                let keeps = match how {
                    How::CrashAndForget => Keeps::Nothing,
                    How::CrashAndRestore => Keeps::TheStart,
                    How::Crash | How::Restart => Keeps::All,
                    How::Stall | How::StartLate | How::DiskFull => continue,
                };
                *active.ends.entry(*relay).or_default() += 1;
                let kept = active.keeps.entry(*relay).or_insert(Keeps::All);
                *kept = keeps.max(*kept);
                if keeps != Keeps::All {
                    self.book.tell(Happened::FolderLost { relay: *relay });
                    // Whoever handed in what is lost learns of it, and does so again.
                    self.clients.again(self.book.lose(*relay));
                }
            }
        }
        for relay in who {
            self.want(*relay);
        }
    }

    fn want(&self, relay: RelayNumber) {
        let hows: Vec<How> = self
            .active()
            .into_iter()
            .filter_map(|strike| match strike {
                Strikes::Process { who, process } if who.contains(&relay) => Some(process.how),
                _ => None,
            })
            .collect();
        let has = |wanted: &[How]| hows.iter().any(|how| wanted.contains(how));
        let forced = has(&[How::Crash, How::CrashAndForget, How::CrashAndRestore]);
        let down = forced || has(&[How::Restart, How::StartLate]);
        let active = &mut *self.active.borrow_mut();
        let ends = active.ends.get(&relay).copied().unwrap_or(0);
        let keeps = active.keeps.get(&relay).copied().unwrap_or(Keeps::All);
        let wanted = Wanted {
            up: !down,
            ends,
            gently: has(&[How::Restart]) && !forced,
            keeps,
            stalled: has(&[How::Stall]),
            disk_full: has(&[How::DiskFull]),
        };
        self.relays[usize::from(relay)].send_replace(wanted);
        if !down {
            // The process that starts now finds it so, and the next one what that left.
            active.keeps.remove(&relay);
        }
    }
}
