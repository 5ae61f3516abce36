//! All members on one clock, and the network between them.

use std::collections::BTreeSet;
use std::sync::Arc;

use pewterseam_control::ControlError;
use pewterseam_discovery::Page;
use pewterseam_wire::Micros;

use crate::member::Member;
use crate::site::{self, SiteSize};
use crate::usage::Usage;

/// Time goes on in steps of this; what is sent in one step arrives in the next.
pub const STEP: Micros = 5_000;

/// The members and the network.
pub struct Network {
    pub now: Micros,
    pub size: SiteSize,
    members: Vec<Option<Member>>,
    lives: Vec<u64>,
    /// Members that only reach each other.
    pub cut_off: BTreeSet<usize>,
    threads: usize,
    page: Arc<Page>,
    /// What members that have ended had used.
    ended: Usage,
}

impl Network {
    /// A network of so many members of which none runs.
    pub fn new(count: usize, threads: usize, size: SiteSize) -> Self {
        Network {
            now: 1_000_000,
            size,
            members: (0..count).map(|_| None).collect(),
            lives: vec![0; count],
            cut_off: BTreeSet::new(),
            threads: threads.max(1),
            page: Arc::new(site::page(size)),
            ended: Usage::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The life of a member.
    pub fn life(&self, index: usize) -> u64 {
        self.lives[index]
    }

    /// The members that run, with their numbers.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.members.iter().enumerate().filter_map(|(index, member)| Some((index, member.as_ref()?)))
    }

    pub fn get_mut(&mut self, index: usize) -> Option<&mut Member> {
        self.members.get_mut(index)?.as_mut()
    }

    /// Starts a member in a new life.
    pub fn start(&mut self, index: usize, bootstrap: bool) -> Result<(), ControlError> {
        self.lives[index] += 1;
        let page = self.page.clone();
        self.members[index] = Some(Member::start(self.now, index, self.lives[index], bootstrap, page)?);
        Ok(())
    }

    /// Ends a member without a word, or with a goodbye.
    pub fn stop(&mut self, index: usize, says_goodbye: bool) {
        let Some(mut member) = self.members[index].take() else { return };
        if says_goodbye {
            member.leave();
        }
        self.ended += member.usage;
        let out = std::mem::take(&mut member.outbox);
        self.deliver(index, out);
    }

    /// What all members have used so far.
    pub fn usage(&self) -> Usage {
        self.running().fold(self.ended, |mut sum, (_, member)| {
            sum += member.usage;
            sum
        })
    }

    /// One step of time, on some threads.
    pub fn step(&mut self) {
        self.now += STEP;
        let (now, share) = (self.now, self.members.len().div_ceil(self.threads));
        std::thread::scope(|scope| {
            for members in self.members.chunks_mut(share) {
                scope.spawn(move || members.iter_mut().flatten().for_each(|member| member.run(now)));
            }
        });
        for index in 0..self.members.len() {
            let Some(member) = &mut self.members[index] else { continue };
            let out = std::mem::take(&mut member.outbox);
            self.deliver(index, out);
        }
    }

    fn deliver(&mut self, from: usize, out: Vec<(usize, crate::member::Arrival)>) {
        let is_cut = self.cut_off.contains(&from);
        for (to, arrival) in out {
            let is_reachable = self.cut_off.contains(&to) == is_cut;
            if let Some(Some(member)) = self.members.get_mut(to)
                && is_reachable
            {
                member.inbox.push(arrival);
            }
        }
    }

    /// Steps until something holds, or for so long at most. Returns how long it took.
    pub fn run_until(&mut self, at_most: Micros, mut holds: impl FnMut(&Network) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + at_most {
            if holds(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    pub fn run_for(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }
}
