//! A voter: the library's machine with its log, driven by ticks.

use std::hash::{Hash, Hasher};

use raft::eraftpb as pb;
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::disk::Disk;
use super::guard::{self, Wrong};
use super::machine::{Command, Machine};
use super::proof::Floor;
use super::wire::{self, Change, Message};
use crate::interface::{Batch, InForce, MemberId, Snapshot, VoterId};

/// Ticks between a leader's heartbeats, and without any before an election.
const HEARTBEAT: usize = 2;
const ELECTION: usize = 10;
/// Bytes of entries in one message, and of those that are proposed and not decided.
const MOST_MESSAGE_BYTES: u64 = 64 * 1024;
const MOST_PROPOSED_BYTES: u64 = 1024 * 1024;
const MOST_IN_FLIGHT: usize = 32;
/// A learner so many entries behind may be given a vote.
const NEARLY: u64 = 8;

/// Who votes, as far as a member knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// The life under which the log began, and its entry up to which it is so: what is newer replaces what
    /// is older.
    pub at: (u32, u64),
    pub voters: Vec<VoterId>,
    pub learners: Vec<VoterId>,
    pub leader: Option<MemberId>,
}

impl Voters {
    pub fn seats(&self, voter: VoterId) -> bool {
        self.voters.contains(&voter) || self.learners.contains(&voter)
    }
}

pub struct Voter {
    pub(super) id: VoterId,
    pub(super) node: RawNode<Disk>,
    pub(super) mark: u64,
    pub(super) floor: Floor,
    pub(super) seed: u64,
}

impl Voter {
    /// The first voters' common beginning.
    pub fn beginning(voters: &[VoterId]) -> Snapshot {
        let lives = voters.iter().map(|voter| (voter.place, voter.life)).collect();
        let machine = Machine::beginning(lives);
        let data = postcard::to_stdvec(&machine).unwrap_or_default();
        Snapshot { index: 1, term: 1, voters: voters.to_vec(), learners: Vec::new(), data }
    }

    /// A voter with what its batches say, bound by what the others told; none if they can't be read, or the
    /// library does not take them.
    pub fn new(saved: &Batch, floor: Floor, seed: u64) -> Option<Self> {
        if saved.snapshot.as_ref().is_some_and(|snapshot| !guard::sound(snapshot)) {
            return None;
        }
        let mut disk = Disk::begin(saved.snapshot.as_ref())?;
        let entries: Vec<pb::Entry> = saved.entries.iter().map(wire::entry_in).collect();
        disk.append(&entries);
        disk.hard.term = saved.term.max(disk.hard.term);
        disk.hard.vote = saved.vote.map_or(0, wire::raft_id);
        disk.hard.commit = saved.commit.max(disk.hard.commit).min(raft::Storage::last_index(&disk).ok()?);
        let id = wire::raft_id(saved.voter);
        if floor.term > disk.hard.term
            || floor.term == disk.hard.term && disk.hard.vote == 0 && floor.term > 1
        {
            // Danger: it may have voted in that term. A vote for itself is one that nobody counts.
            (disk.hard.term, disk.hard.vote) = (floor.term, id);
        }
        let config = Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            min_election_tick: ELECTION,
            max_election_tick: 2 * ELECTION + 1,
            applied: disk.applied,
            max_size_per_msg: MOST_MESSAGE_BYTES,
            max_inflight_msgs: MOST_IN_FLIGHT,
            max_uncommitted_size: MOST_PROPOSED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, disk, &logger).ok()?;
        let mut voter = Voter { id: saved.voter, node, mark: saved.mark, floor, seed };
        voter.stagger();
        Some(voter)
    }

    pub fn id(&self) -> VoterId {
        self.id
    }

    pub fn mark(&self) -> u64 {
        self.mark
    }

    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Whom it follows, itself if it leads.
    pub fn leader(&self) -> Option<VoterId> {
        wire::voter_of(self.node.raft.leader_id)
    }

    pub fn in_force(&self) -> &InForce {
        &self.node.store().machine.in_force
    }

    pub fn lives(&self) -> &std::collections::BTreeMap<crate::interface::MemberId, u32> {
        &self.node.store().machine.lives
    }

    pub fn applied(&self) -> u64 {
        self.node.store().applied
    }

    /// Who votes by what is applied here.
    pub fn seats(&self) -> Voters {
        let disk = self.node.store();
        let ids = |ids: &[u64]| ids.iter().filter_map(|id| wire::voter_of(*id)).collect();
        Voters {
            at: (disk.machine.begun, disk.applied),
            voters: ids(disk.conf.get_voters()),
            learners: ids(disk.conf.get_learners()),
            leader: self.leader().map(|leader| leader.place),
        }
    }

    /// Term and index of its last entry.
    pub fn last(&self) -> (u64, u64) {
        (self.node.raft.raft_log.last_term(), self.node.raft.raft_log.last_index())
    }

    /// As its leader: whether a voter or learner has nearly all of the log.
    pub fn caught_up(&self, id: VoterId) -> bool {
        let progress = self.node.raft.prs().get(wire::raft_id(id));
        progress.is_some_and(|progress| progress.matched + NEARLY >= self.last().1 && progress.matched > 0)
    }

    /// As its leader: whether all that others decided before it is applied, and a change of voters may be
    /// proposed.
    pub fn settled(&self) -> bool {
        self.leads() && self.node.raft.apply_to_current_term() && !self.node.raft.has_pending_conf()
    }

    /// Whether it is bound to vote only for logs that go as far as one it was told of.
    pub fn below_floor(&self) -> bool {
        !guard::as_far(self.last(), self.floor.last)
    }

    pub fn tick(&mut self) {
        self.stagger();
        self.node.tick();
    }

    /// How long it waits before an election follows from seed, voter and term alone. Danger: the library
    /// draws it from a source of its own, and what two runs of one seed do would differ.
    fn stagger(&mut self) {
        let mut hasher = SipHasher13::new_with_keys(self.seed, wire::raft_id(self.id));
        self.node.raft.term.hash(&mut hasher);
        let ticks = ELECTION + 1 + hasher.finish() as usize % ELECTION;
        self.node.raft.set_randomized_election_timeout(ticks);
    }

    pub fn message(&mut self, message: &Message) -> Result<(), Wrong> {
        if message.to != self.id {
            return Err(Wrong::Senseless);
        }
        guard::check(&self.node, message)?;
        let asks_vote = matches!(message.kind, wire::Kind::Vote | wire::Kind::PreVote);
        let far = guard::as_far((message.log_term, message.index), self.floor.last);
        if asks_vote && self.below_floor() && !far {
            return Ok(());
        }
        let _ = self.node.step(wire::message_in(message));
        self.stagger();
        Ok(())
    }

    /// As its leader: the index and term that a command stands at, unless too many wait.
    pub fn propose(&mut self, command: &Command) -> Option<(u64, u64)> {
        let data = postcard::to_stdvec(command).ok()?;
        self.node.propose(Vec::new(), data).ok()?;
        Some((self.last().1, self.term()))
    }

    /// As its leader.
    pub fn change(&mut self, change: Change) {
        let context = postcard::to_stdvec(&change).unwrap_or_default();
        let _ = self.node.propose_conf_change(context, wire::change_in(change));
    }

    /// A message to a voter was lost.
    pub fn unreachable(&mut self, id: VoterId) {
        self.node.report_unreachable(wire::raft_id(id));
        self.node.report_snapshot(wire::raft_id(id), raft::SnapshotStatus::Failure);
    }

    /// A voter took a snapshot.
    pub fn took_snapshot(&mut self, id: VoterId) {
        self.node.report_snapshot(wire::raft_id(id), raft::SnapshotStatus::Finish);
    }
}
