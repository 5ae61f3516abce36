//! The times and numbers of membership.

use pewterseam_wire::Micros;

const MILLISECOND: Micros = 1_000;

/// How often members are probed and when they are given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Each member probes some other members in each period.
    pub probe_period: Micros,
    /// Members that one member probes in each period.
    pub probes_per_period: usize,
    /// An answer later than this makes other members probe too. Less than the period.
    pub probe_timeout: Micros,
    /// So many other members are asked to probe.
    pub indirect_probes: usize,
    /// The shortest suspicion, for about 20 members. It grows with the logarithm of their number.
    pub suspicion: Micros,
    /// The suspicion of a member whose port refused a connection: nothing runs there.
    pub refused_suspicion: Micros,
    /// Between two bursts of fresh rumors.
    pub gossip_period: Micros,
    /// Members that a burst goes to.
    pub gossip_fanout: usize,
    /// Between two comparisons of the whole table with a random member.
    pub compare_period: Micros,
    /// Between two comparisons while the last one found differences.
    pub catch_up_period: Micros,
    /// From news to a comparison that shows whether there was more.
    pub check_period: Micros,
    /// Between two attempts to reach a seed that is no live member, before any member answered.
    pub join_period: Micros,
    /// The same once members are known.
    pub seed_period: Micros,
    /// So long the dead are remembered.
    pub forget_after: Micros,
    /// A wake-up later than this shows that this process was stalled: its deadlines move by the delay.
    pub stall: Micros,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_period: 500 * MILLISECOND,
            probes_per_period: 2,
            probe_timeout: 350 * MILLISECOND,
            indirect_probes: 3,
            suspicion: 900 * MILLISECOND,
            refused_suspicion: 300 * MILLISECOND,
            gossip_period: 100 * MILLISECOND,
            gossip_fanout: 3,
            compare_period: 10_000 * MILLISECOND,
            catch_up_period: 250 * MILLISECOND,
            check_period: 1_000 * MILLISECOND,
            join_period: 200 * MILLISECOND,
            seed_period: 5_000 * MILLISECOND,
            forget_after: 120_000 * MILLISECOND,
            stall: 50 * MILLISECOND,
        }
    }
}

/// Members for which `suspicion` holds as it is.
const SUSPICION_MEMBERS: f64 = 20.0;

impl MembershipSettings {
    /// How long a member is suspected before it is declared dead.
    pub fn suspicion_for(&self, members: usize) -> Micros {
        let factor = ((members.max(2) as f64).ln() / SUSPICION_MEMBERS.ln()).max(1.0);
        (self.suspicion as f64 * factor) as Micros
    }
}
