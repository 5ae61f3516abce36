//! What a machine is made with.

use super::{MemberId, Micros, ZoneId};
use crate::operator::Operator;

/// Of one relay. `operator` has to be the same at all members.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub me: MemberId,
    /// Names of the zones of the relay's settings, in their order.
    pub zones: Vec<String>,
    /// The relay's own zone among them.
    pub zone: ZoneId,
    /// Seconds since 1970 at the moment of `Machine::new`: pins run out by it.
    pub wall: u64,
    /// Part of its capacity that a destination has at least when it returns, and the span after which it has
    /// all of it (the settings' cold pool).
    pub cold_share: f64,
    pub cold_time: Micros,
    pub operator: Operator,
}
