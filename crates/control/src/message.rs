//! What processes tell each other about control.

use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{PlacementEpoch, StoreId};
use serde::{Deserialize, Serialize};

use crate::entry::{CoreMember, Entry, Stamp};
use crate::operator::{CallId, OperatorRequest, Outcome};
use crate::transfer::{StateName, StatePiece};

/// A message of control. The driver tells the sender's name beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    Formation(FormationMessage),
    /// Would you promise this epoch? Changes nothing at the receiver.
    PreVote {
        epoch: u64,
    },
    PreVoteAnswer {
        epoch: u64,
        member: CoreMember,
        granted: bool,
    },
    /// Promise to accept nothing of an earlier epoch.
    Prepare {
        epoch: u64,
    },
    /// Promised durably. `stamp` is that of the state accepted so far.
    Promise {
        epoch: u64,
        member: CoreMember,
        stamp: Stamp,
    },
    /// This higher epoch was promised already.
    Refused {
        promised: u64,
    },
    /// A candidate asks for the state that was accepted. It comes in pieces.
    ReadAccepted {
        epoch: u64,
    },
    /// Accept the state after this entry.
    Accept {
        epoch: u64,
        entry: Entry,
        committed: Stamp,
    },
    /// Accepted durably.
    AcceptAnswer {
        epoch: u64,
        member: CoreMember,
        stamp: Stamp,
    },
    /// The receiver of an `Accept` lacks the state before the entry. The state after it comes in pieces.
    NeedState {
        epoch: u64,
    },
    Heartbeat {
        epoch: u64,
        round: u64,
        committed: Stamp,
    },
    /// `committed` is the index of the newest committed state here.
    HeartbeatAnswer {
        epoch: u64,
        round: u64,
        member: CoreMember,
        committed: u64,
    },
    /// A long entry is proposed, and will be passed on. `bytes` is its size.
    Announce {
        index: u64,
        bytes: u64,
    },
    /// A committed entry, for a process that is not of the core. The receiver passes it on to the others.
    Push {
        entry: Entry,
        leader: NodeName,
        others: Vec<NodeName>,
    },
    /// Asks for what was committed after this state.
    Fetch {
        have: Stamp,
    },
    /// The asker knows all that was committed as far as the sender knows.
    NothingNewer,
    /// Committed entries, in order.
    Entries {
        entries: Vec<Entry>,
    },
    /// A part of a whole state.
    StatePiece(StatePiece),
    /// Asks for parts of a state whose transfer has begun.
    FetchPieces {
        state: StateName,
        numbers: Vec<u32>,
    },
    /// The state that was asked for is not here, or no longer.
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
    /// The call was not settled here.
    NotLeader {
        call: CallId,
        leader: Option<NodeName>,
    },
    /// A store holds all that its part of the placement of this epoch asks for.
    Copied {
        store: StoreId,
        epoch: PlacementEpoch,
    },
}

/// Agreement of the seeds on the first members of the core, by Paxos with one decree.
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
    /// A higher ballot was promised.
    Refused {
        promised: u64,
    },
    /// Decided.
    Formed {
        members: Vec<CoreMember>,
    },
}
