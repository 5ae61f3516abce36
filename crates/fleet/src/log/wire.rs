//! Messages between voters in types of our own, and the library's.
//!
//! Danger: the library's protobuf is an old one. It never reads bytes that came from a link or a file:
//! those are read by postcard into these types, and these are converted.

use raft::eraftpb as pb;
use serde::{Deserialize, Serialize};

use crate::interface::{Entry, MemberId, Snapshot, VoterId};

/// How the voters change: one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Is to get the log, without a vote.
    Learner(VoterId),
    Voter(VoterId),
    Remove(VoterId),
}

/// What voters say to each other: those of the library's messages that go over links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    Append,
    AppendResponse,
    Vote,
    VoteResponse,
    Snapshot,
    Heartbeat,
    HeartbeatResponse,
    PreVote,
    PreVoteResponse,
}

/// A message; what a kind does not need is 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub kind: Kind,
    pub to: VoterId,
    pub from: VoterId,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub commit: u64,
    pub commit_term: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub request_snapshot: u64,
    pub entries: Vec<Entry>,
    pub snapshot: Option<Snapshot>,
}

const KINDS: [(Kind, pb::MessageType); 9] = [
    (Kind::Append, pb::MessageType::MsgAppend),
    (Kind::AppendResponse, pb::MessageType::MsgAppendResponse),
    (Kind::Vote, pb::MessageType::MsgRequestVote),
    (Kind::VoteResponse, pb::MessageType::MsgRequestVoteResponse),
    (Kind::Snapshot, pb::MessageType::MsgSnapshot),
    (Kind::Heartbeat, pb::MessageType::MsgHeartbeat),
    (Kind::HeartbeatResponse, pb::MessageType::MsgHeartbeatResponse),
    (Kind::PreVote, pb::MessageType::MsgRequestPreVote),
    (Kind::PreVoteResponse, pb::MessageType::MsgRequestPreVoteResponse),
];

/// The library's number of a voter; never 0, since lives begin at 1.
pub fn raft_id(voter: VoterId) -> u64 {
    u64::from(voter.place.0) << 32 | u64::from(voter.life)
}

/// The voter of a number; none of one that no voter has.
pub fn voter_of(id: u64) -> Option<VoterId> {
    let voter = VoterId { place: MemberId(u16::try_from(id >> 32).ok()?), life: id as u32 };
    (voter.life != 0).then_some(voter)
}

pub fn entry_out(entry: &pb::Entry) -> Entry {
    let voters = entry.get_entry_type() != pb::EntryType::EntryNormal;
    let data = if voters { entry.context.to_vec() } else { entry.data.to_vec() };
    Entry { index: entry.index, term: entry.term, voters, data }
}

/// A change of voters keeps its bytes in the library's context, where it does not look: what it parses of a
/// proposal is what it wrote itself.
pub fn entry_in(entry: &Entry) -> pb::Entry {
    let mut out = pb::Entry { index: entry.index, term: entry.term, ..pb::Entry::default() };
    if entry.voters {
        out.set_entry_type(pb::EntryType::EntryConfChange);
        out.context = entry.data.clone().into();
    } else {
        out.data = entry.data.clone().into();
    }
    out
}

pub fn snapshot_out(snapshot: &pb::Snapshot) -> Snapshot {
    let meta = snapshot.get_metadata();
    let ids = |ids: &[u64]| ids.iter().filter_map(|id| voter_of(*id)).collect();
    Snapshot {
        index: meta.index,
        term: meta.term,
        voters: ids(meta.get_conf_state().get_voters()),
        learners: ids(meta.get_conf_state().get_learners()),
        data: snapshot.data.to_vec(),
    }
}

pub fn snapshot_in(snapshot: &Snapshot) -> pb::Snapshot {
    let data = snapshot.data.clone().into();
    let mut out = pb::Snapshot { data, ..pb::Snapshot::default() };
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (snapshot.index, snapshot.term);
    *meta.mut_conf_state() = conf_in(&snapshot.voters, &snapshot.learners);
    out
}

pub fn conf_in(voters: &[VoterId], learners: &[VoterId]) -> pb::ConfState {
    let ids = |ids: &[VoterId]| ids.iter().copied().map(raft_id).collect::<Vec<_>>();
    (ids(voters), ids(learners)).into()
}

pub fn change_in(change: Change) -> pb::ConfChange {
    let (kind, voter) = match change {
        Change::Learner(voter) => (pb::ConfChangeType::AddLearnerNode, voter),
        Change::Voter(voter) => (pb::ConfChangeType::AddNode, voter),
        Change::Remove(voter) => (pb::ConfChangeType::RemoveNode, voter),
    };
    let mut out = pb::ConfChange { node_id: raft_id(voter), ..pb::ConfChange::default() };
    out.set_change_type(kind);
    out
}

/// None for a message that does not go over a link.
pub fn message_out(message: &pb::Message) -> Option<Message> {
    let (kind, _) = KINDS.into_iter().find(|(_, theirs)| *theirs == message.get_msg_type())?;
    Some(Message {
        kind,
        to: voter_of(message.to)?,
        from: voter_of(message.from)?,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        commit: message.commit,
        commit_term: message.commit_term,
        reject: message.reject,
        reject_hint: message.reject_hint,
        request_snapshot: message.request_snapshot,
        entries: message.get_entries().iter().map(entry_out).collect(),
        snapshot: message.has_snapshot().then(|| snapshot_out(message.get_snapshot())),
    })
}

pub fn message_in(message: &Message) -> pb::Message {
    let mut out = pb::Message::default();
    if let Some((_, theirs)) = KINDS.into_iter().find(|(ours, _)| *ours == message.kind) {
        out.set_msg_type(theirs);
    }
    (out.to, out.from) = (raft_id(message.to), raft_id(message.from));
    (out.term, out.log_term, out.index) = (message.term, message.log_term, message.index);
    (out.commit, out.commit_term) = (message.commit, message.commit_term);
    (out.reject, out.reject_hint) = (message.reject, message.reject_hint);
    out.request_snapshot = message.request_snapshot;
    out.set_entries(message.entries.iter().map(entry_in).collect::<Vec<_>>().into());
    if let Some(snapshot) = &message.snapshot {
        out.set_snapshot(snapshot_in(snapshot));
    }
    out
}
