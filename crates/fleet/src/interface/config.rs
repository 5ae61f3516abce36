//! What a fleet's machine is made with.

use std::net::SocketAddr;

use super::{MemberId, Micros};

/// Of one member. What is of the whole fleet (`peers`, `voters`, `keys`, `times`) has to be the same at all
/// members.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub me: MemberId,
    pub name: String,
    pub zone: String,
    pub region: String,
    /// Of the listener that takes `POST /fleet/call`.
    pub address: SocketAddr,
    /// Seconds since 1970 by the machine's clock at the start. Only for an incarnation above those before,
    /// if the folder was lost; a clock that was set back does no harm, since the others tell the
    /// incarnation they knew.
    pub started: u32,
    /// How many places there are, this member's among them.
    pub peers: u16,
    /// The first voters: 3, 5 or 7, in different zones as far as there are such. Later ones follow from the
    /// log.
    pub voters: Vec<MemberId>,
    /// What goes out is sealed with the first; what comes in may be with any.
    pub keys: Vec<[u8; 32]>,
    pub times: Times,
}

/// How long things take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// From one probe of a member to the next: each member probes one other in it. With it and `suspicion`
    /// grow the time to hear of a crash and shrink the bytes.
    pub probe: Micros,
    /// A probe that is not answered so soon is tried by way of others.
    pub answer: Micros,
    /// A suspicion that is not refuted in this time makes a member dead. Grows with the logarithm of the
    /// fleet's size.
    pub suspicion: Micros,
    /// Between looks at whether there is something to gossip.
    pub gossip: Micros,
    /// A voter's tick: a leader's heartbeat is 2 of them, an election starts after 10 to 20 without one.
    pub tick: Micros,
    /// A voter that stayed dead for so long is replaced; one that left is at once.
    pub replace: Micros,
    /// A call that has no answer by then is given up.
    pub call: Micros,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            probe: 500_000,
            answer: 150_000,
            suspicion: 1_500_000,
            gossip: 200_000,
            tick: 100_000,
            replace: 60_000_000,
            call: 2_000_000,
        }
    }
}
