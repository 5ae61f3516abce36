//! What a relay has seen of the homes of one service, and what a new home makes of the words of several.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::message::Seen;

const MICROS_A_MILLISECOND: Micros = 1_000;

/// The homes of one service that a relay has followed, and its own times with grants.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    /// The relay has followed the homes without a gap since then.
    since: Micros,
    /// Nodes that may have granted permits, and until when the relay took them for the home.
    ended: BTreeMap<NodeName, Micros>,
    /// The last of them.
    last: Option<NodeName>,
}

impl Witness {
    pub(crate) fn new(now: Micros) -> Self {
        Witness { since: now, ended: BTreeMap::new(), last: None }
    }

    /// Books that a node was the home up to now.
    pub(crate) fn ended(&mut self, home: NodeName, now: Micros) {
        self.ended.insert(home.clone(), now);
        self.last = Some(home);
    }

    /// Books that the last home has gone on while this relay took itself for the home.
    pub(crate) fn last_went_on(&mut self, now: Micros) {
        if let Some(last) = self.last.clone() {
            self.ended.insert(last, now);
        }
    }

    /// The home before the present one.
    pub(crate) fn last(&self) -> Option<&NodeName> {
        self.last.as_ref()
    }

    /// What to tell; homes that were followed last longer ago than `horizon` are forgotten.
    pub(crate) fn tell(&mut self, now: Micros, horizon: Micros) -> Seen {
        self.ended.retain(|_, until| *until + horizon > now);
        let ago_ms =
            |at: Micros| u32::try_from(now.saturating_sub(at) / MICROS_A_MILLISECOND).unwrap_or(u32::MAX);
        let homes = self.ended.iter().map(|(home, until)| (home.clone(), ago_ms(*until))).collect();
        Seen { since_ago_ms: ago_ms(self.since), homes }
    }

    /// What another relay told, by the local clock. Its way makes all of it later than it was, never earlier.
    pub(crate) fn told(seen: &Seen, now: Micros) -> Self {
        let at = |ago_ms: u32| now.saturating_sub(Micros::from(ago_ms) * MICROS_A_MILLISECOND);
        let ended = seen.homes.iter().map(|(home, ago_ms)| (home.clone(), at(*ago_ms))).collect();
        Witness { since: at(seen.since_ago_ms), ended, last: None }
    }
}

/// The relays that a new home asks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked<'a> {
    /// Those that come next by rank.
    pub(crate) witnesses: &'a [&'a NodeName],
    /// All that may be homes, where that is agreed on.
    pub(crate) agreed: Option<&'a [NodeName]>,
}

/// Whether all of these relays, `me` aside, have told. An empty list tells nothing.
pub(crate) fn have_all_told(me: &NodeName, relays: &[NodeName], words: &BTreeMap<NodeName, Witness>) -> bool {
    relays.contains(me) && relays.iter().all(|relay| relay == me || words.contains_key(relay))
}

/// Until when any of the relays that have told may have granted permits, by what each says of itself.
///
/// A relay that tells follows the one that asks, and grants nothing from then on. Since it began to follow homes without a
/// gap it has granted what it says; what it granted before, it granted in an earlier process or before it had lost the
/// core's word, and both were over when it began.
pub(crate) fn tellers_until(words: &BTreeMap<NodeName, Witness>) -> Micros {
    let own =
        |(relay, word): (&NodeName, &Witness)| word.ended.get(relay).copied().unwrap_or(0).max(word.since);
    words.iter().map(own).max().unwrap_or(0)
}

/// Until when a node that has not told was the home, by the words of these relays and by what `me` has seen.
pub(crate) fn silent_until(
    me: &NodeName, words: &BTreeMap<NodeName, Witness>, mine: &Witness,
) -> Option<Micros> {
    let ended = words.values().chain([mine]).flat_map(|word| &word.ended);
    let silent = ended.filter(|(home, _)| *home != me && !words.contains_key(*home));
    silent.map(|(_, until)| *until).max()
}

/// Until when a node other than `me` was the home, by the words of these relays and by what `me` has seen.
///
/// A relay's own word on its own grants goes before what others took it for: who waited in vain has granted nothing.
pub(crate) fn others_until(
    me: &NodeName, words: &BTreeMap<NodeName, Witness>, mine: &Witness,
) -> Option<Micros> {
    let mut until = None;
    for (witness, word) in words.iter().chain([(me, mine)]) {
        for (home, ended) in &word.ended {
            let speaks_for_itself = home != witness && words.contains_key(home);
            if home != me && !speaks_for_itself {
                until = until.max(Some(*ended));
            }
        }
    }
    until
}

/// Since when all of these relays have followed the homes, if all have told; they know nothing of earlier times.
pub(crate) fn all_know_since(witnesses: &[&NodeName], words: &BTreeMap<NodeName, Witness>) -> Option<Micros> {
    let since = |witness: &&NodeName| words.get(*witness).map(|word| word.since);
    let all: Option<Vec<Micros>> = witnesses.iter().map(since).collect();
    all?.into_iter().max()
}
