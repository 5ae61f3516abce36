//! Comparison of whole tables: how a process joins, and how halves that were cut apart come together again.
//!
//! Two members compare the hashes of 64 parts of their tables and send each other the members of the parts that
//! differ, a few datagrams at a time. A process that joins compares often, with ever other members, until it finds no
//! difference, so that no seed has to send everything to everybody.

use std::net::SocketAddr;

use pewterseam_wire::Micros;
use serde_bytes::ByteBuf;

use crate::MOST_DATAGRAM_BYTES;
use crate::change::Effect;
use crate::machine::Membership;
use crate::message::{Body, Rumor};
use crate::table::{BUCKETS, Status, Table};

/// The most datagrams that answer one comparison.
const MOST_DATAGRAMS: usize = 12;

/// After so many comparisons without a difference in a row, a process has caught up.
const EQUAL_ENOUGH: u32 = 2;

/// Bytes of a datagram that members fill in an answer.
const FILL_BYTES: usize = MOST_DATAGRAM_BYTES - 200;

/// Remembered members that are tried at a time: few, as many processes start at once.
const REMEMBERED_AT_ONCE: usize = 8;

impl Membership {
    /// A stranger spoke, or a later life of a member: it is asked who it is.
    pub(crate) fn ask_stranger(&mut self, from: SocketAddr, body: &Body, effects: &mut Vec<Effect>) {
        if !matches!(body, Body::Compare { .. }) {
            self.send_compare(from, true, effects);
        }
    }

    fn send_compare(&mut self, to: SocketAddr, answer: bool, effects: &mut Vec<Effect>) {
        let buckets = self.table.bucket_hashes(&self.own);
        let own = vec![self.own.rumor().write()];
        self.send_rumors(to, Body::Compare { buckets, answer }, own, effects);
    }

    fn compare_pause(&self) -> Micros {
        let is_catching_up = self.equal_in_row < EQUAL_ENOUGH;
        if is_catching_up { self.settings.catch_up_period } else { self.settings.compare_period }
    }

    /// A rumor told something new: others may have been missed, so a comparison follows.
    pub(crate) fn heard_news(&mut self, now: Micros) {
        self.next_compare = self.next_compare.min(now + self.settings.check_period);
    }

    /// Members came that this process lacked: it compares again soon.
    pub(crate) fn found_difference(&mut self, now: Micros) {
        self.equal_in_row = 0;
        self.next_compare = self.next_compare.min(now + self.settings.catch_up_period);
    }

    /// Answers a comparison with the members of the parts that differ.
    pub(crate) fn compare(
        &mut self, now: Micros, from: SocketAddr, theirs: &[u8], answer: bool, effects: &mut Vec<Effect>,
    ) {
        let ours = self.table.bucket_hashes(&self.own);
        let differing = Table::differing(&ours, theirs);
        if answer {
            self.send_compare(from, false, effects);
        } else {
            self.equal_in_row = if differing.is_empty() { self.equal_in_row + 1 } else { 0 };
            self.next_compare = now + self.compare_pause();
        }
        self.send_buckets(from, &differing, effects);
    }

    /// Sends the members of some buckets, from a random one on, as far as the datagrams last.
    fn send_buckets(&mut self, to: SocketAddr, buckets: &[usize], effects: &mut Vec<Effect>) {
        if buckets.is_empty() {
            return;
        }
        let mut place = [usize::MAX; BUCKETS];
        let first = self.random.below(buckets.len());
        for (index, bucket) in buckets.iter().enumerate() {
            place[*bucket] = (index + buckets.len() - first) % buckets.len();
        }
        let chosen = self.table.iter().chain(std::iter::once(&self.own));
        let mut members: Vec<(usize, Rumor)> =
            chosen.map(|member| (place[Table::bucket_of(&member.info.name)], member.rumor())).collect();
        members.retain(|(place, _)| *place != usize::MAX);
        members.sort_by(|a, b| (a.0, &a.1.info.name).cmp(&(b.0, &b.1.info.name)));
        self.send_members(to, members.into_iter().map(|(_, rumor)| rumor), effects);
    }

    fn send_members(
        &mut self, to: SocketAddr, members: impl Iterator<Item = Rumor>, effects: &mut Vec<Effect>,
    ) {
        let (mut batch, mut bytes, mut sent): (Vec<ByteBuf>, usize, usize) = (Vec::new(), 0, 0);
        for rumor in members {
            let encoded = rumor.write();
            if bytes + encoded.len() > FILL_BYTES {
                self.send_rumors(to, Body::Members, std::mem::take(&mut batch), effects);
                bytes = 0;
                sent += 1;
                if sent >= MOST_DATAGRAMS {
                    return;
                }
            }
            bytes += encoded.len();
            batch.push(encoded);
        }
        if !batch.is_empty() {
            self.send_rumors(to, Body::Members, batch, effects);
        }
    }

    /// Compares tables when it is time, and tries seeds that are no live members.
    pub(crate) fn reach_out(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if now >= self.next_seed {
            let period = if self.answered { self.settings.seed_period } else { self.settings.join_period };
            self.next_seed = now + period;
            self.reach_lost(effects);
        }
        if now >= self.next_compare {
            self.next_compare = now + self.compare_pause();
            self.table.forget(now);
            if let Some(address) = self.random_members(1).pop() {
                self.send_compare(address, true, effects);
            }
        }
    }

    /// Calls the seeds that are no live members, and one dead member: they may be the other half of a cut.
    fn reach_lost(&mut self, effects: &mut Vec<Effect>) {
        let is_live =
            |address: &SocketAddr| self.table.live().any(|member| member.info.peer_address == *address);
        let mut lost: Vec<SocketAddr> =
            self.seeds.iter().filter(|address| !is_live(address)).copied().collect();
        let dead: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|member| member.status == Status::Dead)
            .map(|member| member.info.peer_address)
            .collect();
        if !dead.is_empty() {
            lost.push(dead[self.random.below(dead.len())]);
        }
        self.random.shuffle(&mut self.remembered);
        let known = self.remembered.iter().filter(|address| !lost.contains(address));
        let known: Vec<SocketAddr> = known.take(REMEMBERED_AT_ONCE).copied().collect();
        lost.extend(known);
        for address in lost {
            self.send_compare(address, true, effects);
        }
    }

    /// Sends fresh rumors to some members, without waiting for the next probes.
    pub(crate) fn gossip(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if now < self.next_gossip {
            return;
        }
        self.last_gossip = now;
        for address in self.random_members(self.settings.gossip_fanout) {
            self.send(address, Body::Gossip, effects);
        }
        let is_more = self.rumors.has_fresh();
        self.next_gossip = if is_more { now + self.settings.gossip_period } else { Micros::MAX };
    }

    /// Works out the next wake-up, after what happened at `now`.
    pub(crate) fn schedule_from(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let before = self.wake;
        let suspicions =
            self.suspects.iter().filter_map(|name| self.table.get(name)).map(|member| member.deadline);
        let wake = self.probing.next_wake().min(self.next_compare).min(self.next_seed).min(self.next_gossip);
        self.wake = suspicions.fold(wake, Micros::min).max(now);
        if self.wake != before {
            effects.push(Effect::Wake(self.wake));
        }
    }

    /// The same where no time is at hand.
    pub(crate) fn schedule(&mut self, effects: &mut Vec<Effect>) {
        self.schedule_from(0, effects);
    }
}
