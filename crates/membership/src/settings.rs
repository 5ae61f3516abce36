//! Timing and fan-out settings of membership.

use pewterseam_wire::Micros;

const MILLISECOND: Micros = 1_000;

/// How often members are probed, and when they are declared dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Each member probes some other members once in this period.
    pub probe_period: Micros,
    /// Number of members that each member probes per period.
    pub probes_per_period: usize,
    /// If the target does not answer within this time, other members are asked to probe it too. Must be less than
    /// the period.
    pub probe_timeout: Micros,
    /// Number of other members that are asked to probe.
    pub indirect_probes: usize,
    /// Minimum time of suspicion, for up to 20 members. It grows with the logarithm of the number of members.
    pub min_suspicion: Micros,
    /// Time of suspicion of a member whose port refused a connection, which means that nothing runs there.
    pub refused_suspicion: Micros,
    /// Interval between two rounds of gossip of fresh rumors.
    pub gossip_period: Micros,
    /// Number of members that a round of gossip goes to.
    pub gossip_fanout: usize,
    /// Interval between two comparisons of the whole table with a random member.
    pub compare_period: Micros,
    /// Interval between two comparisons while the last ones found differences.
    pub catch_up_period: Micros,
    /// Delay between a new rumor and the comparison that shows whether others were missed.
    pub check_delay: Micros,
    /// Interval between attempts to contact seeds that are not live members, until any member has answered.
    pub join_period: Micros,
    /// The same interval once a member has answered.
    pub seed_period: Micros,
    /// How long dead members are remembered.
    pub forget_after: Micros,
    /// A wake-up that is later than this shows that the process was paused: its deadlines move by the delay.
    pub stall_threshold: Micros,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_period: 500 * MILLISECOND,
            probes_per_period: 2,
            probe_timeout: 350 * MILLISECOND,
            indirect_probes: 3,
            min_suspicion: 900 * MILLISECOND,
            refused_suspicion: 300 * MILLISECOND,
            gossip_period: 100 * MILLISECOND,
            gossip_fanout: 3,
            compare_period: 10_000 * MILLISECOND,
            catch_up_period: 250 * MILLISECOND,
            check_delay: 1_000 * MILLISECOND,
            join_period: 200 * MILLISECOND,
            seed_period: 5_000 * MILLISECOND,
            forget_after: 120_000 * MILLISECOND,
            stall_threshold: 50 * MILLISECOND,
        }
    }
}

/// Number of members up to which `min_suspicion` applies unscaled.
const MEMBERS_AT_MIN_SUSPICION: f64 = 20.0;

impl MembershipSettings {
    /// How long a member is suspected before it is declared dead.
    pub fn suspicion_for(&self, members: usize) -> Micros {
        let factor = ((members.max(2) as f64).ln() / MEMBERS_AT_MIN_SUSPICION.ln()).max(1.0);
        (self.min_suspicion as f64 * factor) as Micros
    }
}
