//! What a message between voters must hold before the library sees it.
//!
//! Danger: the library ends the process where a message contradicts its log. A member that is at fault must
//! not end others.

use std::collections::BTreeSet;

use raft::{RawNode, Storage};

use super::disk::Disk;
use super::machine::Machine;
use super::wire::{Kind, Message};
use crate::interface::Snapshot;

/// Terms beyond are no voter's: elections take a second.
const MOST_TERM: u64 = 1 << 48;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    Senseless,
    /// It rests on entries that this voter acknowledged and does not have: its folder is not the one it had
    /// then.
    Promised,
}

pub fn check(node: &RawNode<Disk>, message: &Message) -> Result<(), Wrong> {
    let raft = &node.raft;
    let holds = |holds: bool| if holds { Ok(()) } else { Err(Wrong::Senseless) };
    let last = raft.raft_log.last_index();
    holds(message.term < MOST_TERM && message.log_term < MOST_TERM && message.index < u64::MAX / 2)?;
    holds(message.term > 0)?;
    holds(message.from != message.to)?;
    match message.kind {
        // Danger: an entry that is not there counts as one of term 0.
        Kind::Append if (message.index == 0) != (message.log_term == 0) => Err(Wrong::Senseless),
        Kind::Append => {
            let mut before = (message.index, message.log_term);
            for entry in &message.entries {
                holds(entry.index == before.0 + 1 && entry.term >= before.1 && entry.term <= message.term)?;
                before = (entry.index, entry.term);
                // An entry that is committed here must be the same there.
                let committed = entry.index <= raft.raft_log.committed && message.term >= raft.term;
                let kept = node.store().first_index().is_ok_and(|first| entry.index >= first);
                let same = || raft.raft_log.term(entry.index).is_ok_and(|term| term == entry.term);
                if committed && kept && !same() {
                    return Err(Wrong::Promised);
                }
            }
            Ok(())
        }
        Kind::Heartbeat if message.term >= raft.term && message.commit > last => Err(Wrong::Promised),
        Kind::AppendResponse => {
            let within = message.index <= last || message.term != raft.term;
            holds(within && message.request_snapshot <= last)
        }
        Kind::Snapshot => holds(message.snapshot.as_ref().is_some_and(sound)),
        _ => Ok(()),
    }
}

/// Whether a snapshot is one that a voter can begin with.
pub fn sound(snapshot: &Snapshot) -> bool {
    let ids: BTreeSet<_> = snapshot.voters.iter().chain(&snapshot.learners).collect();
    let apart = ids.len() == snapshot.voters.len() + snapshot.learners.len();
    let lives = ids.iter().all(|voter| voter.life > 0);
    let read = postcard::from_bytes::<Machine>(&snapshot.data).is_ok();
    snapshot.index > 0 && snapshot.term > 0 && !snapshot.voters.is_empty() && apart && lives && read
}

/// Whether one log goes at least as far as another: by the last entry's term, then its index.
pub fn as_far(one: (u64, u64), other: (u64, u64)) -> bool {
    one >= other
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use crate::interface::{Batch, Entry, MemberId, Snapshot, VoterId};
    use crate::log::proof::Floor;
    use crate::log::voter::Voter;
    use crate::log::wire::{Kind, Message};

    const KINDS: [Kind; 9] = [
        Kind::Append,
        Kind::AppendResponse,
        Kind::Vote,
        Kind::VoteResponse,
        Kind::Snapshot,
        Kind::Heartbeat,
        Kind::HeartbeatResponse,
        Kind::PreVote,
        Kind::PreVoteResponse,
    ];

    fn id(place: u16) -> VoterId {
        VoterId { place: MemberId(place), life: 1 }
    }

    fn voter() -> Voter {
        let snapshot = Some(Voter::beginning(&[id(0), id(1), id(2)]));
        let entries = (2..9).map(|index| Entry { index, term: 1 + index / 4, voters: false, data: vec![] });
        let entries = entries.collect();
        let batch = Batch { voter: id(0), mark: 3, term: 3, vote: None, commit: 5, snapshot, entries };
        Voter::new(&batch, Floor::default(), 1).expect("a voter")
    }

    fn numbers() -> impl Strategy<Value = u64> {
        prop_oneof![0..12u64, 0..12u64, any::<u64>()]
    }

    prop_compose! {
        fn message()(
            kind in 0..KINDS.len(), from in 0..4u16, term in numbers(), log_term in numbers(),
            index in numbers(),
            commit in numbers(), commit_term in numbers(), reject in any::<bool>(), reject_hint in numbers(),
            request_snapshot in numbers(), terms in prop::collection::vec(0..6u64, 0..4), gap in 0..20u64,
            snapshot in prop::option::of((numbers(), numbers(), 0..5u16, any::<bool>())),
        ) -> Message {
            let entries = terms.into_iter().enumerate().map(|(place, term)| Entry {
                index: index.wrapping_add(place as u64 + 1 + gap / 19),
                term,
                voters: term % 2 == 0,
                data: vec![7; gap as usize],
            });
            let snapshot = snapshot.map(|(index, term, voters, sound)| Snapshot {
                index,
                term,
                voters: (0..voters).map(id).collect(),
                learners: if sound { vec![] } else { vec![id(0)] },
                data: if sound { Voter::beginning(&[]).data } else { vec![9; 3] },
            });
            Message {
                kind: KINDS[kind], to: id(0), from: id(from), term, log_term, index, commit, commit_term,
                reject,
                reject_hint, request_snapshot, entries: entries.collect(), snapshot,
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2000))]

        /// Danger: the library panics where a message contradicts its log, and a member at fault would end
        /// the others.
        #[test]
        fn no_message_ends_a_voter(messages in prop::collection::vec(message(), 1..12), ticks in 0..60usize) {
            let mut voter = voter();
            for (place, message) in messages.iter().enumerate() {
                if place == 3 {
                    (0..ticks).for_each(|_| voter.tick());
                }
                let _ = voter.message(message);
                let step = voter.step();
                prop_assert!(step.messages.iter().all(|message| message.from == id(0)));
            }
        }
    }
}
