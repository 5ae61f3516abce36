//! Anti-entropy: compares whole member tables. This is how a process joins, and how the sides of a network partition
//! merge again.
//!
//! Two members compare the hashes of 64 buckets of their tables and send each other the members of the buckets that
//! differ, a few datagrams at a time. A joining process compares often, each time with a random member, until it
//! finds no difference, so that no seed has to send the whole table to every process.

use std::net::SocketAddr;

use pewterseam_wire::Micros;
use serde_bytes::ByteBuf;

use crate::MAX_DATAGRAM_BYTES;
use crate::change::Effect;
use crate::machine::Membership;
use crate::message::{Body, Rumor};
use crate::table::{BUCKETS, Status, Table};

/// Maximum number of datagrams that answer one comparison.
const MAX_ANSWER_DATAGRAMS: usize = 12;

/// A process has caught up after this many consecutive comparisons without a difference.
const EQUAL_COMPARISONS_TO_CATCH_UP: u32 = 2;

/// Maximum bytes of encoded members in one datagram of an answer.
const MAX_MEMBER_BYTES: usize = MAX_DATAGRAM_BYTES - 200;

/// Number of remembered members that are contacted at a time. It is small because many processes may start at once.
const MAX_REMEMBERED_CONTACTS: usize = 8;

impl Membership {
    /// A datagram came from an unknown member, or from a later life of a known one: requests a comparison to learn
    /// about it.
    pub(crate) fn request_comparison(&mut self, from: SocketAddr, body: &Body, effects: &mut Vec<Effect>) {
        if !matches!(body, Body::Compare { .. }) {
            self.send_compare(from, true, effects);
        }
    }

    fn send_compare(&mut self, to: SocketAddr, answer: bool, effects: &mut Vec<Effect>) {
        let buckets = self.table.bucket_hashes(&self.own);
        let own = vec![self.own.rumor().write()];
        self.send_rumors(to, Body::Compare { buckets, answer }, own, effects);
    }

    fn compare_interval(&self) -> Micros {
        let is_catching_up = self.equal_comparisons < EQUAL_COMPARISONS_TO_CATCH_UP;
        if is_catching_up { self.settings.catch_up_period } else { self.settings.compare_period }
    }

    /// A rumor was new: this process may have missed others too, so it schedules a comparison.
    pub(crate) fn schedule_check(&mut self, now: Micros) {
        self.next_compare = self.next_compare.min(now + self.settings.check_delay);
    }

    /// A comparison returned members that this process lacked: it compares again soon.
    pub(crate) fn schedule_catch_up(&mut self, now: Micros) {
        self.equal_comparisons = 0;
        self.next_compare = self.next_compare.min(now + self.settings.catch_up_period);
    }

    /// Answers a comparison with the members of the buckets that differ.
    pub(crate) fn compare(
        &mut self, now: Micros, from: SocketAddr, theirs: &[u8], answer: bool, effects: &mut Vec<Effect>,
    ) {
        let ours = self.table.bucket_hashes(&self.own);
        let differing = Table::differing(&ours, theirs);
        if answer {
            self.send_compare(from, false, effects);
        } else {
            self.equal_comparisons = if differing.is_empty() { self.equal_comparisons + 1 } else { 0 };
            self.next_compare = now + self.compare_interval();
        }
        self.send_buckets(from, &differing, effects);
    }

    /// Sends the members of the given buckets, starting at a random one, up to the maximum number of datagrams.
    fn send_buckets(&mut self, to: SocketAddr, buckets: &[usize], effects: &mut Vec<Effect>) {
        if buckets.is_empty() {
            return;
        }
        let mut position = [usize::MAX; BUCKETS];
        let first = self.random.below(buckets.len());
        for (index, bucket) in buckets.iter().enumerate() {
            position[*bucket] = (index + buckets.len() - first) % buckets.len();
        }
        let chosen = self.table.iter().chain(std::iter::once(&self.own));
        let mut members: Vec<(usize, Rumor)> =
            chosen.map(|member| (position[Table::bucket_of(&member.info.name)], member.rumor())).collect();
        members.retain(|(position, _)| *position != usize::MAX);
        members.sort_by(|a, b| (a.0, &a.1.info.name).cmp(&(b.0, &b.1.info.name)));
        self.send_members(to, members.into_iter().map(|(_, rumor)| rumor), effects);
    }

    fn send_members(
        &mut self, to: SocketAddr, members: impl Iterator<Item = Rumor>, effects: &mut Vec<Effect>,
    ) {
        let (mut batch, mut bytes, mut sent): (Vec<ByteBuf>, usize, usize) = (Vec::new(), 0, 0);
        for rumor in members {
            let encoded = rumor.write();
            if bytes + encoded.len() > MAX_MEMBER_BYTES {
                self.send_rumors(to, Body::Members, std::mem::take(&mut batch), effects);
                bytes = 0;
                sent += 1;
                if sent >= MAX_ANSWER_DATAGRAMS {
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

    /// Compares tables when a comparison is due, and contacts seeds that are not live members.
    pub(crate) fn compare_and_contact(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if now >= self.next_seed {
            let period = if self.has_contact { self.settings.seed_period } else { self.settings.join_period };
            self.next_seed = now + period;
            self.contact_lost_members(effects);
        }
        if now >= self.next_compare {
            self.next_compare = now + self.compare_interval();
            self.table.forget(now);
            if let Some(address) = self.random_members(1).pop() {
                self.send_compare(address, true, effects);
            }
        }
    }

    /// Contacts the seeds that are not live members, one dead member and some remembered members: they may be on the
    /// other side of a network partition.
    fn contact_lost_members(&mut self, effects: &mut Vec<Effect>) {
        let is_live =
            |address: &SocketAddr| self.table.live().any(|member| member.info.peer_address == *address);
        let mut targets: Vec<SocketAddr> =
            self.seeds.iter().filter(|address| !is_live(address)).copied().collect();
        let dead: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|member| member.status == Status::Dead)
            .map(|member| member.info.peer_address)
            .collect();
        if !dead.is_empty() {
            targets.push(dead[self.random.below(dead.len())]);
        }
        self.random.shuffle(&mut self.remembered);
        let known = self.remembered.iter().filter(|address| !targets.contains(address));
        let known: Vec<SocketAddr> = known.take(MAX_REMEMBERED_CONTACTS).copied().collect();
        targets.extend(known);
        for address in targets {
            self.send_compare(address, true, effects);
        }
    }

    /// Sends fresh rumors to some members without waiting for the next probes.
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

    /// Computes the next wake-up time after the events at `now`.
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

    /// Like `schedule_from`, for callers that do not know the time.
    pub(crate) fn schedule(&mut self, effects: &mut Vec<Effect>) {
        self.schedule_from(0, effects);
    }
}
