//! A message as it is kept: its immutable record and the facts about it.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::WallMicros;
use crate::identity::Owner;
use crate::placement::Partition;

/// The name of a message, told to the client in `X-Queue-Message-Id`.
///
/// It is the client's request id, a dot, and the partition in hexadecimal, so that any relay finds the stores that
/// hold it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageName(pub Arc<str>);

impl fmt::Debug for MessageName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl MessageName {
    pub fn new(request_id: &str, partition: Partition) -> Self {
        MessageName(Arc::from(format!("{request_id}.{:x}", partition.0)))
    }

    /// The client's request id.
    pub fn request_id(&self) -> &str {
        self.0.rsplit_once('.').map_or(&self.0, |(id, _)| id)
    }

    /// The partition, unless this is no name that the system gave.
    pub fn partition(&self) -> Option<Partition> {
        let (_, digits) = self.0.rsplit_once('.')?;
        u16::from_str_radix(digits, 16).ok().map(Partition)
    }
}

/// Headers in order, names in lower case.
pub type Headers = Vec<(Arc<str>, Arc<str>)>;

/// What a route takes messages by. It stays the same route for as long as this stays: its name may be given to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// In lower case, without a port.
    pub hostname: Arc<str>,
    pub path_prefix: Arc<str>,
}

impl RouteKey {
    /// Whether a request with this `Host` header and target falls under the route. A longer prefix goes first.
    pub fn matches(&self, host: &str, target: &str) -> bool {
        without_port(host).eq_ignore_ascii_case(&self.hostname) && target.starts_with(&*self.path_prefix)
    }
}

/// A `Host` header without its port.
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// An accepted request. It never changes once it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: MessageName,
    pub partition: Partition,
    /// The ordering key of a message on a `fifo` route.
    pub ordering_key: Option<Arc<str>>,
    /// Messages of the same key that were open when this one was taken. It starts after all of them have ended.
    pub predecessors: Vec<MessageName>,
    /// The relay that took it.
    pub owner: Owner,
    pub accepted_at: WallMicros,
    pub delay_ms: u64,
    pub retention_ms: u64,
    /// The version of the configuration that it was taken under.
    pub config_version: u64,
    /// The name that its route had then, for those who read logs.
    pub route: Arc<str>,
    pub host: Arc<str>,
    pub method: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// Headers to pass on, in order.
    pub headers: Headers,
    pub body: Bytes,
    /// Its route. Records of earlier builds do not have it, and are written as they were read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route_key: Option<RouteKey>,
}

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A host answered with success.
    Completed { signature: Arc<str> },
    /// A host refused it for good (422).
    Refused,
    /// `maxAttempts` answers of 500.
    AttemptsUsed,
    /// `retentionS` after it was sent.
    Expired,
    /// A configuration dropped its route.
    RouteDropped,
}

impl End {
    /// Where two stores know different ends, the one that every reader settles on: success goes first.
    pub fn rank(&self) -> u8 {
        match self {
            End::Completed { .. } => 0,
            End::Refused => 1,
            End::AttemptsUsed => 2,
            End::RouteDropped => 3,
            End::Expired => 4,
        }
    }
}

/// Something learnt about a message after it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// So many answers of 500 in all.
    Attempted {
        name: MessageName,
        failures: u32,
    },
    Ended {
        name: MessageName,
        end: End,
    },
}

impl Fact {
    pub fn name(&self) -> &MessageName {
        match self {
            Fact::Attempted { name, .. } | Fact::Ended { name, .. } => name,
        }
    }
}
