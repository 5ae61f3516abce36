//! The state machine: this process's own entry, the member table, and the handling of datagrams and timers.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{Life, NodeInfo, NodeName, Owner};
use pewterseam_wire::random::Random;

use crate::change::{Effect, MemberChange};
use crate::message::{Body, Datagram, MembershipError, Rumor};
use crate::probing::Probing;
use crate::rumors::Rumors;
use crate::settings::MembershipSettings;
use crate::table::{Member, Merge, Status, Table};

/// Number of members that are notified immediately when this process leaves or its own entry changes.
const ANNOUNCE_FANOUT: usize = 16;

/// Bytes reserved in a datagram for everything but its rumors.
const HEADER_BYTES: usize = 160;

/// SWIM membership of one process.
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) own: Member,
    pub(crate) table: Table,
    pub(crate) rumors: Rumors,
    pub(crate) probing: Probing,
    pub(crate) seeds: Vec<SocketAddr>,
    /// Addresses of members that an earlier process of this node knew; cleared once any member has answered.
    pub(crate) remembered: Vec<SocketAddr>,
    pub(crate) random: Random,
    /// Members that are suspected at present.
    pub(crate) suspects: Vec<NodeName>,
    pub(crate) next_compare: Micros,
    pub(crate) next_seed: Micros,
    /// Consecutive comparisons that found no difference.
    pub(crate) equal_comparisons: u32,
    pub(crate) next_gossip: Micros,
    pub(crate) last_gossip: Micros,
    /// Whether any other member has answered since the start.
    pub(crate) has_contact: bool,
    pub(crate) wake: Micros,
}

impl Membership {
    /// Creates the membership of a starting process. `info.life` should exceed all its earlier lives; the wall clock
    /// in milliseconds is a suitable value. `seeds` are the peer addresses of the seeds; its own address among them
    /// is ignored. Call [`Membership::tick`] immediately afterwards.
    pub fn new(
        now: Micros, info: NodeInfo, seeds: Vec<SocketAddr>, settings: MembershipSettings, random_seed: u64,
    ) -> Self {
        let own =
            Member { info: Arc::new(info), incarnation: 0, status: Status::Alive, deadline: 0, digest: 0 };
        let mut random = Random::new(random_seed);
        let first_probe = now + random.draw() % settings.probe_period.max(1);
        let next_compare = now + settings.catch_up_period;
        Membership {
            settings,
            own,
            table: Table::default(),
            rumors: Rumors::default(),
            probing: Probing::new(first_probe),
            seeds,
            remembered: Vec::new(),
            random,
            suspects: Vec::new(),
            next_compare,
            next_seed: now,
            equal_comparisons: 0,
            next_gossip: Micros::MAX,
            last_gossip: 0,
            has_contact: false,
            wake: now,
        }
    }

    /// The information about this process that is sent to other members.
    pub fn own(&self) -> &Arc<NodeInfo> {
        &self.own.info
    }

    /// The information about another member and its status, dead or alive.
    pub fn get(&self, name: &NodeName) -> Option<(&Arc<NodeInfo>, Status)> {
        self.table.get(name).map(|member| (&member.info, member.status))
    }

    /// The other members that are alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &Arc<NodeInfo>> {
        self.table.live().map(|member| &member.info)
    }

    /// The number of [`Membership::live`].
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// Whether this life of the node is in the table and not known to have ended. For this process itself, whether
    /// `owner` is its present life.
    pub fn is_alive(&self, owner: &Owner) -> bool {
        if owner.name == self.own.info.name {
            return owner.life == self.own.info.life;
        }
        let member = self.table.get(&owner.name);
        member.is_some_and(|member| member.status.is_live() && member.info.life == owner.life)
    }

    /// Whether any other member has answered since the start.
    pub fn has_joined(&self) -> bool {
        self.has_contact
    }

    /// When [`Membership::tick`] must be called next.
    pub fn next_wake(&self) -> Micros {
        self.wake
    }

    /// Sets the digest that is sent with each datagram from now on.
    pub fn set_digest(&mut self, digest: u64) {
        self.own.digest = digest;
    }

    /// Replaces the seeds, which are contacted at once.
    pub fn set_seeds(&mut self, now: Micros, seeds: Vec<SocketAddr>) -> Vec<Effect> {
        self.seeds = seeds;
        self.next_seed = now;
        let mut effects = Vec::new();
        self.schedule(&mut effects);
        effects
    }

    /// Sets the addresses of members that an earlier process of this node knew. Some of them are contacted in
    /// addition to the seeds until any member answers.
    pub fn remember(&mut self, addresses: Vec<SocketAddr>) {
        self.remembered = addresses;
    }

    /// Announces whether this process accepts new work.
    pub fn set_ready(&mut self, now: Micros, ready: bool) -> Vec<Effect> {
        if self.own.info.ready == ready {
            return Vec::new();
        }
        Arc::make_mut(&mut self.own.info).ready = ready;
        self.announce(self.own.incarnation + 1);
        let mut effects = Vec::new();
        self.send_queued_rumors(&mut effects);
        self.schedule_from(now, &mut effects);
        effects
    }

    /// Announces that this process leaves. Some members are notified at once, and the rumor spreads among the
    /// others.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.own.status = Status::Left;
        self.announce(self.own.incarnation);
        let mut effects = Vec::new();
        self.send_queued_rumors(&mut effects);
        effects
    }

    /// Handles a datagram. An undecodable datagram changes nothing.
    pub fn datagram(
        &mut self, now: Micros, from: SocketAddr, bytes: &[u8],
    ) -> Result<Vec<Effect>, MembershipError> {
        let datagram = Datagram::read(bytes)?;
        let mut effects = Vec::new();
        if datagram.sender == self.own.info.name && datagram.life == self.own.info.life {
            return Ok(effects);
        }
        self.has_contact = true;
        self.remembered = Vec::new();
        let is_bulk = datagram.body == Body::Members;
        let mut is_new = false;
        for encoded in &datagram.rumors {
            if let Ok(rumor) = Rumor::read(encoded) {
                is_new |= self.merge_rumor(now, rumor, !is_bulk, &mut effects);
            }
        }
        match (is_new, is_bulk) {
            (true, true) => self.schedule_catch_up(now),
            (true, false) => self.schedule_check(now),
            (false, _) => {}
        }
        self.handle_header(from, &datagram, &mut effects);
        match datagram.body {
            Body::Gossip | Body::Members => {}
            Body::Ping { number, target } => self.ping(from, number, &target, &mut effects),
            Body::Ack { number } => self.ack(number, &mut effects),
            Body::PingRequest { number, target, address } => {
                self.ping_request(now, (from, number), target, address, &mut effects);
            }
            Body::Compare { buckets, answer } => self.compare(now, from, &buckets, answer, &mut effects),
        }
        self.schedule_from(now, &mut effects);
        Ok(effects)
    }

    /// Fires all timers that are due, see [`Membership::next_wake`]. May be called at any time.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.own.status == Status::Left {
            return effects;
        }
        let delay = now.saturating_sub(self.wake);
        if delay > self.settings.stall_threshold {
            self.postpone_deadlines(delay);
        }
        self.probe(now, &mut effects);
        self.end_suspicions(now, &mut effects);
        self.compare_and_contact(now, &mut effects);
        self.gossip(now, &mut effects);
        self.schedule_from(now, &mut effects);
        effects
    }

    /// This process was paused, so answers that arrived meanwhile may not have been read yet: moves its deadlines by
    /// the delay.
    fn postpone_deadlines(&mut self, delay: Micros) {
        self.probing.postpone_deadlines(delay);
        for name in &self.suspects {
            if let Some(member) = self.table.get_mut(name) {
                member.deadline += delay;
            }
        }
    }

    /// Merges a rumor into the table, and queues it for other members if `pass_on` is set. Returns whether it was
    /// new.
    pub(crate) fn merge_rumor(
        &mut self, now: Micros, rumor: Rumor, pass_on: bool, effects: &mut Vec<Effect>,
    ) -> bool {
        if rumor.info.name == self.own.info.name {
            self.refute(&rumor, effects);
            return false;
        }
        let deadline = match rumor.status {
            Status::Suspect => now + self.settings.suspicion_for(self.table.live_count() + 1),
            Status::Dead | Status::Left => now + self.settings.forget_after,
            Status::Alive => 0,
        };
        let Merge::Newer { before } = self.table.merge(&rumor, deadline) else { return false };
        if pass_on {
            self.rumors.add(rumor.info.name.clone(), rumor.write());
            self.next_gossip =
                self.next_gossip.min((self.last_gossip + self.settings.gossip_period).max(now));
        }
        if rumor.status == Status::Suspect {
            self.add_suspect(now, &rumor.info, effects);
        }
        report_change(before, &rumor, effects);
        true
    }

    fn add_suspect(&mut self, now: Micros, info: &Arc<NodeInfo>, effects: &mut Vec<Effect>) {
        if !self.suspects.contains(&info.name) {
            self.suspects.push(info.name.clone());
        }
        self.check_suspect(now, info, effects);
    }

    /// Refutes a rumor about this process that is wrong.
    fn refute(&mut self, rumor: &Rumor, effects: &mut Vec<Effect>) {
        if self.own.status == Status::Left {
            return;
        }
        if rumor.info.life > self.own.info.life {
            let life = Life(rumor.info.life.0.saturating_add(1));
            Arc::make_mut(&mut self.own.info).life = life;
            effects.push(Effect::Restarted { life });
            self.announce(0);
            self.send_queued_rumors(effects);
        } else if rumor.info.life == self.own.info.life {
            let must_refute = rumor.status != Status::Alive && rumor.incarnation >= self.own.incarnation;
            if must_refute || rumor.incarnation > self.own.incarnation {
                self.announce(rumor.incarnation.saturating_add(1));
                self.send_queued_rumors(effects);
            }
        }
    }

    /// Processes the header of a datagram: unknown senders are asked for a comparison, outdated or wrong knowledge
    /// is corrected, and the digest is recorded.
    fn handle_header(&mut self, from: SocketAddr, datagram: &Datagram, effects: &mut Vec<Effect>) {
        let Some(member) = self.table.get_mut(&datagram.sender) else {
            return self.request_comparison(from, &datagram.body, effects);
        };
        if member.info.life < datagram.life {
            return self.request_comparison(from, &datagram.body, effects);
        }
        if member.info.life > datagram.life {
            let rumor = member.rumor().write();
            return self.send_rumors(from, Body::Gossip, vec![rumor], effects);
        }
        if datagram.digest > member.digest {
            member.digest = datagram.digest;
            effects.push(Effect::PeerDigest { name: datagram.sender.clone(), digest: datagram.digest });
        }
        if member.status != Status::Alive {
            let rumor = member.rumor().write();
            self.send_rumors(from, Body::Gossip, vec![rumor], effects);
        }
    }

    /// Sets the incarnation of this process's entry and queues the entry as a rumor.
    fn announce(&mut self, incarnation: u32) {
        self.own.incarnation = incarnation;
        self.rumors.add(self.own.info.name.clone(), self.own.rumor().write());
    }

    /// Sends queued rumors to some members at once.
    fn send_queued_rumors(&mut self, effects: &mut Vec<Effect>) {
        for address in self.random_members(ANNOUNCE_FANOUT) {
            self.send(address, Body::Gossip, effects);
        }
    }

    /// The addresses of up to `count` live members, chosen uniformly, in random order.
    pub(crate) fn random_members(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut chosen: Vec<SocketAddr> = Vec::with_capacity(count);
        for (seen, member) in self.table.live().enumerate() {
            if chosen.len() < count {
                chosen.push(member.info.peer_address);
            } else {
                let place = self.random.below(seen + 1);
                if let Some(replaced) = chosen.get_mut(place) {
                    *replaced = member.info.peer_address;
                }
            }
        }
        self.random.shuffle(&mut chosen);
        chosen
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, effects: &mut Vec<Effect>) {
        self.send_rumors(to, body, Vec::new(), effects);
    }

    /// Sends a datagram with these rumors, and as many queued rumors as fit.
    pub(crate) fn send_rumors(
        &mut self, to: SocketAddr, body: Body, mut rumors: Vec<serde_bytes::ByteBuf>,
        effects: &mut Vec<Effect>,
    ) {
        if to == self.own.info.peer_address {
            return;
        }
        let used_bytes: usize = rumors.iter().map(|rumor| rumor.len() + 3).sum();
        let buckets = if let Body::Compare { buckets, .. } = &body { buckets.len() } else { 0 };
        let room = crate::MAX_DATAGRAM_BYTES.saturating_sub(HEADER_BYTES + used_bytes + buckets);
        rumors.extend(self.rumors.take(room, self.table.live_count()));
        let sender = self.own.info.name.clone();
        let datagram = Datagram { sender, life: self.own.info.life, digest: self.own.digest, body, rumors };
        effects.push(Effect::Send { to, datagram: datagram.write() });
    }
}

/// Reports the member change that a newer rumor caused.
fn report_change(before: Option<(Arc<NodeInfo>, Status)>, rumor: &Rumor, effects: &mut Vec<Effect>) {
    let (was_live, same_life, same_info) = match &before {
        Some((info, status)) => (status.is_live(), info.life == rumor.info.life, *info == rumor.info),
        None => (false, true, false),
    };
    let is_live = rumor.status.is_live();
    if let Some((info, _)) = before.filter(|_| was_live && (!same_life || !is_live)) {
        let left = same_life && rumor.status == Status::Left;
        effects.push(Effect::Changed(MemberChange::Down { info, left }));
    }
    if is_live && (!was_live || !same_life) {
        effects.push(Effect::Changed(MemberChange::Up(rumor.info.clone())));
    } else if is_live && !same_info {
        effects.push(Effect::Changed(MemberChange::Updated(rumor.info.clone())));
    }
}
