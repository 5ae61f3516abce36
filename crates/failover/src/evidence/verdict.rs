//! What the sights of several zones' callers say together: whether a zone's hosts fail, a link, or the callers'
//! own zone.

use std::collections::BTreeSet;

use super::sight::Sight;
use super::sums::Sums;
use crate::interface::ZoneId;

/// What is the matter with a destination.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Their hosts fail: their own zone's callers see it and another zone's at the least, and none sees
    /// otherwise. Where a zone has no relays, those of two others.
    pub ill: BTreeSet<ZoneId>,
    /// Their hosts are well: their own zone's callers see it, where there are such, and nobody who is not ill
    /// himself sees otherwise.
    pub well: BTreeSet<ZoneId>,
    /// Calls from one to the other fail, while the hosts are well for others and the callers elsewhere.
    pub cut: BTreeSet<(ZoneId, ZoneId)>,
    /// Callers who see all fail that others see well: cut off, or ill themselves. Their word does not count.
    pub sick: BTreeSet<ZoneId>,
    /// Seen ill by somebody, and not enough is known to say why: looks of other zones' callers are wanted.
    pub doubtful: BTreeSet<ZoneId>,
}

/// Weighs the sights of a destination. `hosts` are the zones with hosts of it, `peopled` those with relays, living
/// or not.
pub fn verdict(sums: &Sums, hosts: &BTreeSet<ZoneId>, peopled: &BTreeSet<ZoneId>) -> Verdict {
    let callers: BTreeSet<ZoneId> = sums.pairs.keys().map(|(caller, _)| *caller).collect();
    let see = |caller: ZoneId, sight: Sight| -> BTreeSet<ZoneId> {
        hosts.iter().copied().filter(|host| sums.sight(caller, *host) == sight).collect()
    };
    let sick = |caller: &ZoneId| {
        let (ill, well) = (see(*caller, Sight::Ill), see(*caller, Sight::Well));
        let for_others = |host: &&ZoneId| {
            callers.iter().any(|other| other != caller && sums.sight(*other, **host) == Sight::Well)
        };
        // Danger: one who sees a single zone can't tell a link from himself.
        well.is_empty() && ill.len() > 1 && ill.iter().filter(for_others).count() * 2 > ill.len()
    };
    let mut found = Verdict { sick: callers.iter().copied().filter(sick).collect(), ..Verdict::default() };
    let sound: Vec<ZoneId> = callers.into_iter().filter(|caller| !found.sick.contains(caller)).collect();
    for host in hosts.iter().copied() {
        let of = |sight| -> Vec<ZoneId> {
            sound.iter().copied().filter(|caller| sums.sight(*caller, host) == sight).collect()
        };
        let (ill, well) = (of(Sight::Ill), of(Sight::Well));
        let own = if peopled.contains(&host) { sums.sight(host, host) } else { Sight::Unknown };
        if ill.is_empty() {
            if !well.is_empty() && (own == Sight::Well || !peopled.contains(&host)) {
                found.well.insert(host);
            }
            continue;
        }
        let owned = own == Sight::Ill || !peopled.contains(&host);
        if well.is_empty() && owned && ill.len() > 1 {
            found.ill.insert(host);
            continue;
        }
        // Danger: a zone that is cut off from all others looks ill to them, and when it is back its own callers
        // would leave it: without its own word, only the links to it are out.
        let elsewhere = |caller: &ZoneId| !see(*caller, Sight::Well).is_empty();
        let others = ill.len() > 1 && !owned;
        let (cut, unsure): (Vec<_>, Vec<_>) =
            ill.into_iter().partition(|caller| (others || !well.is_empty()) && elsewhere(caller));
        found.cut.extend(cut.into_iter().map(|caller| (caller, host)));
        if !unsure.is_empty() {
            found.doubtful.insert(host);
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::evidence::Pair;

    fn sums(sights: &[(ZoneId, ZoneId, bool)]) -> Sums {
        let mut sums = Sums::default();
        for (caller, host, well) in sights {
            let sight = if *well { Sight::Well } else { Sight::Ill };
            sums.pairs.insert((*caller, *host), Pair { sight, ..Pair::default() });
        }
        sums
    }

    fn weigh(sights: &[(ZoneId, ZoneId, bool)]) -> Verdict {
        verdict(&sums(sights), &[0, 1, 2].into(), &[0, 1, 2].into())
    }

    /// Danger: one zone's word moves the fleet.
    #[test]
    fn one_zones_word_is_a_doubt_and_a_second_one_makes_hosts_ill() {
        let found = weigh(&[(0, 0, false), (1, 1, true), (2, 2, true)]);
        assert!(found.ill.is_empty() && found.cut.is_empty() && found.doubtful == [0].into());
        assert_eq!(weigh(&[(0, 0, false), (1, 0, false), (1, 1, true)]).ill, [0].into());
    }

    /// Danger: a link that fails takes a healthy zone from all others.
    #[test]
    fn a_link_is_told_from_the_hosts_behind_it() {
        let found = weigh(&[(2, 0, false), (2, 1, true), (0, 0, true), (1, 1, true)]);
        assert!(found.ill.is_empty() && found.cut == [(2, 0)].into() && found.well.contains(&1));
    }

    /// Danger: callers that are cut off accuse everyone, and everyone is moved for them.
    #[test]
    fn callers_that_are_cut_off_are_told_from_hosts_that_fail() {
        let found = weigh(&[(2, 0, false), (2, 1, false), (0, 0, true), (1, 1, true), (1, 0, true)]);
        assert!(found.sick == [2].into() && found.ill.is_empty() && found.cut.is_empty());
        assert_eq!(found.well, [0, 1].into());
    }

    /// Danger: a zone that was cut off is left by its own callers once it is back.
    #[test]
    fn a_zone_without_a_word_of_its_own_is_not_ill_for_itself() {
        let found = weigh(&[(0, 2, false), (1, 2, false), (0, 0, true), (1, 1, true)]);
        assert!(found.ill.is_empty() && found.cut == [(0, 2), (1, 2)].into());
    }
}
