//! What is counted, for `/status` and its metrics.

use serde::Serialize;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams told and their bytes.
    pub told: u64,
    pub told_bytes: u64,
    /// Bodies that were heard and could not be read, and records of zones that are not known here.
    pub malformed: u64,
    pub zones_unknown: u64,
    /// Destinations that were left out of what is watched, since there are more than may be.
    pub destinations_dropped: u64,
    /// Proposals made, decided, refused as overtaken by another home's, and refused otherwise (no quorum).
    pub proposed: u64,
    pub decided: u64,
    pub overtaken: u64,
    pub undecided: u64,
    /// Rounds in which most zones of a destination looked ill at once, and nothing was moved for it.
    pub distrusted: u64,
    /// Moves that were held back by the bound on moves a minute, and those by the least number of zones.
    pub moves_held: u64,
    pub zones_held: u64,
    /// Returns that were stopped in their steps, as the hosts failed again.
    pub returns_held: u64,
    /// Probes asked for.
    pub looks: u64,
    /// Decisions of this part that this version can't read; the ones before them are kept.
    pub not_understood: u64,
}
