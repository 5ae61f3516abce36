//! What relays and stores say to each other over the message log.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::identity::Owner;
use crate::placement::{Partition, PlacementEpoch, StoreId};
use crate::record::{End, Fact, MessageName, Record};

/// A store grants no claim of a message while it has heard from the message's owner within this time.
pub const OWNER_LEASE: Micros = 1_500_000;

/// An owner counts its lease from the moment at which it sent the request that renewed it, and as shorter by this. It
/// bounds how far two steady clocks drift apart within a lease.
pub const OWNER_LEASE_MARGIN: Micros = 100_000;

/// Time added to `retentionS` wherever a message is given up for its age: what remains of it may still be on its way then.
pub const RETENTION_MARGIN: Micros = 5_000_000;

/// A request to a store. Each is answered by one [`StoreResponse`].
#[expect(
    clippy::large_enum_variant,
    reason = "requests are short-lived and moved once; a box would cost an allocation"
)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Keep a record. `Done` once it is synced. A record that is there already is acknowledged again; where it has ended
    /// or has another owner by now, the answer is `Statuses` instead, once it is synced. With
    /// `renews_lease` it comes from the owner that the record names, and renews that owner's lease.
    Append { epoch: PlacementEpoch, record: Record, renews_lease: bool },
    /// Which messages of an ordering key are open? Answered by `OpenMessages`.
    ListOpen { epoch: PlacementEpoch, partition: Partition, ordering_key: Arc<str> },
    /// Keep facts, also about messages whose record is not here. `Done` once those that are ends are synced.
    Settle { facts: Vec<Fact> },
    /// What is known of these messages? Answered by `Statuses`, in the same order.
    Look { names: Vec<MessageName> },
    /// The owner is about to send these messages to hosts. Renews its lease, then answers as `Look` does.
    Confirm { owner: Owner, names: Vec<MessageName> },
    /// The record of a message with its body, open or dead. Answered by `Found`.
    Fetch { name: MessageName },
    /// These messages are to have this owner. Granted where `claim` is above every claim that was granted before and
    /// the present owner has no lease; `Done` once all are granted and synced, else `Declined` with `AlreadyClaimed` or
    /// `OwnerHoldsLease`.
    Claim { names: Vec<MessageName>, owner: Owner, claim: u32 },
    /// A relay that stops gives these up: the stores offer them to other relays at once. `Done` when taken.
    Release { names: Vec<MessageName>, owner: Owner },
    /// A store that is new to partitions asks for all that is known of them, in pieces: `after` is the last message
    /// name of the previous piece. Answered by `Contents`.
    Pull { epoch: PlacementEpoch, partitions: Vec<Partition>, after: Option<MessageName> },
}

/// A store's answer.
#[expect(
    clippy::large_enum_variant,
    reason = "answers are short-lived and moved once; a box would cost an allocation"
)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    Done {
        store: StoreId,
    },
    OpenMessages {
        store: StoreId,
        names: Vec<MessageName>,
    },
    Statuses {
        store: StoreId,
        statuses: Vec<Status>,
    },
    Found {
        store: StoreId,
        record: Option<Record>,
    },
    Contents {
        store: StoreId,
        messages: Vec<StoredMessage>,
        is_last: bool,
    },
    /// Nothing was done, and why.
    Declined {
        store: StoreId,
        reason: Decline,
    },
}

impl StoreResponse {
    /// The store that answers.
    pub fn store(&self) -> &StoreId {
        match self {
            StoreResponse::Done { store }
            | StoreResponse::OpenMessages { store, .. }
            | StoreResponse::Statuses { store, .. }
            | StoreResponse::Found { store, .. }
            | StoreResponse::Contents { store, .. }
            | StoreResponse::Declined { store, .. } => store,
        }
    }
}

/// Why a store did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decline {
    /// The request rests on an older placement than the store's; ask for the newest.
    StalePlacement,
    /// The store is not in the group, or has not yet copied what it must know to answer.
    NotInGroup,
    /// The disk is full or failed.
    Disk,
    /// Too much is waiting.
    Busy,
    /// An equal or higher claim was granted, or the message has ended.
    AlreadyClaimed,
    /// The present owner was heard from within [`OWNER_LEASE`].
    OwnerHoldsLease,
}

/// What a store knows of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    Unknown,
    /// `released`: the owner gave it up.
    Open {
        owner: Owner,
        claim: u32,
        failures: u32,
        released: bool,
    },
    Ended(End),
}

/// A message as one store hands it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMessage {
    pub name: MessageName,
    /// None where only facts are known.
    pub record: Option<Record>,
    pub owner: Option<Owner>,
    pub claim: u32,
    pub failures: u32,
    pub end: Option<End>,
    /// How long ago the first store that handed it on took the record. Danger: a copy that begins with age 0 is due, and
    /// over, as much too late as the message was old.
    #[serde(default)]
    pub age_ms: u64,
    /// Time for which its stores were away that the age does not count. It goes by the time of day, which may have been set
    /// meanwhile, and may be wrong by `maxSkewMs`.
    #[serde(default)]
    pub away_ms: u64,
}

/// What a store tells a relay unasked. Lost ones are told again for as long as they hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreNotice {
    /// The owner of these messages is gone or gave them up, and the relay is the one to take them over. The store
    /// repeats it about once a second until they are claimed or ended.
    TakeOver { messages: Vec<OrphanMessage> },
    /// A message has ended that messages of this relay wait for.
    PredecessorEnded { name: MessageName },
}

/// A message without a live owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrphanMessage {
    pub record: Record,
    /// The owner that is gone or gave it up.
    pub owner: Owner,
    /// The claim that the next owner makes is above this.
    pub claim: u32,
    pub failures: u32,
    /// How long ago the first store took the record, at the least: by steady clocks alone.
    pub age_ms: u64,
    /// Time for which its stores were away that the age does not count, by the time of day.
    #[serde(default)]
    pub away_ms: u64,
}

/// A body alone, for callers that hold the rest.
pub type Body = Bytes;
