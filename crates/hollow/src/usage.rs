//! What each plane of a member has used.

use std::ops::{AddAssign, Sub};
use std::time::Instant;

/// The planes that are measured apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plane {
    Membership,
    Control,
    /// Reading and compiling a configuration that came in force.
    Configuration,
    Discovery,
    /// Delivery with its permits and reports.
    Delivery,
}

/// All planes, in the order of the tables.
pub const PLANES: [Plane; 5] =
    [Plane::Membership, Plane::Control, Plane::Configuration, Plane::Discovery, Plane::Delivery];

/// What one plane has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaneUsage {
    /// Time inside the calls of the machine, by the monotonic clock.
    pub nanoseconds: u64,
    /// Bytes sent: datagrams' payloads, or whole frames.
    pub bytes: u64,
    pub messages: u64,
}

/// What all planes of a member, or of many, have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage([PlaneUsage; PLANES.len()]);

impl Usage {
    pub fn of(&self, plane: Plane) -> PlaneUsage {
        self.0[plane as usize]
    }

    pub fn total(&self) -> PlaneUsage {
        let add = |sum: PlaneUsage, one: &PlaneUsage| PlaneUsage {
            nanoseconds: sum.nanoseconds + one.nanoseconds,
            bytes: sum.bytes + one.bytes,
            messages: sum.messages + one.messages,
        };
        self.0.iter().fold(PlaneUsage::default(), add)
    }

    /// Does work and books its time.
    pub fn time<T>(&mut self, plane: Plane, work: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = work();
        self.0[plane as usize].nanoseconds += start.elapsed().as_nanos() as u64;
        result
    }

    pub fn sent(&mut self, plane: Plane, bytes: usize) {
        let usage = &mut self.0[plane as usize];
        usage.bytes += bytes as u64;
        usage.messages += 1;
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            own.nanoseconds += other.nanoseconds;
            own.bytes += other.bytes;
            own.messages += other.messages;
        }
    }
}

impl Sub for Usage {
    type Output = Usage;

    fn sub(mut self, before: Usage) -> Usage {
        for (own, before) in self.0.iter_mut().zip(before.0) {
            own.nanoseconds -= before.nanoseconds;
            own.bytes -= before.bytes;
            own.messages -= before.messages;
        }
        self
    }
}
