//! Which members sum up what is seen of a destination.

use std::collections::BTreeSet;

use crate::interface::{DestinationId, MemberId, Members};

/// Homes of a destination.
pub const HOMES: usize = 3;

/// The destination's homes, the first one first: the best owner of each zone, and of these the best. Departure:
/// the best owners of all may lie in one zone, and when that is cut off nobody else has heard anything until
/// they are declared dead, which takes longer than a move may. Where there are fewer zones, the best of the
/// rest follow.
pub fn homes(members: &Members, destination: DestinationId) -> Vec<MemberId> {
    let key = destination.to_le_bytes();
    let zones: BTreeSet<&str> = members.living().map(|member| member.zone.as_str()).collect();
    let firsts: BTreeSet<MemberId> =
        zones.into_iter().flat_map(|zone| members.best(&key, 1, members.of_zone(zone))).collect();
    let first = |id: &MemberId| firsts.contains(id);
    let mut homes = members.best(&key, HOMES, members.living().filter(|member| first(&member.id)));
    let rest = members.living().filter(|member| !first(&member.id));
    homes.extend(members.best(&key, HOMES - homes.len(), rest));
    homes
}
