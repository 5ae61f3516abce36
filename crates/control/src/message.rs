//! Control messages between processes.

use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{PlacementEpoch, StoreId};
use serde::{Deserialize, Serialize};

use crate::entry::{CoreMember, Entry, Stamp};
use crate::operator::{CallId, OperatorRequest, Outcome};
use crate::transfer::{StateName, StatePiece};

/// A control message. The driver passes the sender's name separately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    Formation(FormationMessage),
    /// Asks whether the receiver would promise this epoch. Changes nothing at the receiver.
    PreVote {
        epoch: u64,
    },
    PreVoteAnswer {
        epoch: u64,
        member: CoreMember,
        granted: bool,
    },
    /// Asks the receiver to promise that it accepts nothing of an earlier epoch.
    Prepare {
        epoch: u64,
    },
    /// The epoch is promised durably. `stamp` identifies the state accepted so far.
    Promise {
        epoch: u64,
        member: CoreMember,
        stamp: Stamp,
    },
    /// Rejects an epoch: this higher one was promised already.
    Refused {
        promised: u64,
    },
    /// A candidate requests the accepted state of the receiver, which sends it in pieces.
    ReadAccepted {
        epoch: u64,
    },
    /// Asks the receiver to accept the state that results from this entry.
    Accept {
        epoch: u64,
        entry: Entry,
        committed: Stamp,
    },
    /// The state is accepted durably.
    AcceptAnswer {
        epoch: u64,
        member: CoreMember,
        stamp: Stamp,
    },
    /// The receiver of an `Accept` lacks the state before the entry. The leader sends the state after the entry in
    /// pieces.
    NeedState {
        epoch: u64,
    },
    Heartbeat {
        epoch: u64,
        round: u64,
        committed: Stamp,
    },
    /// `committed` is the index of the newest committed state at the sender.
    HeartbeatAnswer {
        epoch: u64,
        round: u64,
        member: CoreMember,
        committed: u64,
    },
    /// Announces that a large entry is proposed and will be pushed. `bytes` is its size.
    Announce {
        index: u64,
        bytes: u64,
    },
    /// A committed entry, for a process outside the core. The receiver forwards it to the processes in `others`.
    Push {
        entry: Entry,
        leader: NodeName,
        others: Vec<NodeName>,
    },
    /// Requests what was committed after this state.
    Fetch {
        have: Stamp,
    },
    /// The receiver already has everything that the sender knows to be committed.
    NothingNewer,
    /// Committed entries, in order.
    Entries {
        entries: Vec<Entry>,
    },
    /// A piece of a complete state.
    StatePiece(StatePiece),
    /// Requests pieces of a state whose transfer has begun.
    FetchPieces {
        state: StateName,
        numbers: Vec<u32>,
    },
    /// The requested state is not available at the sender, or no longer.
    NoSuchState {
        state: StateName,
    },
    Operator {
        call: CallId,
        request: OperatorRequest,
    },
    OperatorAnswer {
        call: CallId,
        outcome: Outcome,
    },
    /// The sender does not lead and did not execute the call.
    NotLeader {
        call: CallId,
        leader: Option<NodeName>,
    },
    /// A store has copied everything that the placement of this epoch assigns to it.
    Copied {
        store: StoreId,
        epoch: PlacementEpoch,
    },
}

/// Messages of the seeds' single-decree Paxos on the first members of the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationMessage {
    Prepare {
        ballot: u64,
    },
    Promise {
        ballot: u64,
        accepted: Option<(u64, Vec<CoreMember>)>,
    },
    Accept {
        ballot: u64,
        members: Vec<CoreMember>,
    },
    Accepted {
        ballot: u64,
    },
    /// Rejects a ballot: this higher one was promised.
    Refused {
        promised: u64,
    },
    /// The members that were chosen.
    Formed {
        members: Vec<CoreMember>,
    },
}
