//! One try at one key: what its owners said, and what that comes to.

use pewterseam_fleet::interface::MemberId;

use crate::claims::{End, Said, quorum};

/// What the words of the owners come to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Words that are still to come may change it.
    Open,
    Granted {
        may_have_run: bool,
    },
    Done(End),
    /// Another one has the message and is heard of.
    Held,
    /// Another message has the key.
    Differs {
        part: u16,
        proof: bool,
        ambiguous: bool,
    },
    /// It may have run, and nobody says so.
    Uncertain,
    Full,
    /// Too few owners said anything that helps.
    Silent,
}

/// Words of the owners, under one roster and one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    words: Vec<(MemberId, Option<Said>)>,
}

impl Round {
    pub fn new(owners: impl IntoIterator<Item = MemberId>) -> Self {
        Round { words: owners.into_iter().map(|owner| (owner, None)).collect() }
    }

    pub fn owners(&self) -> impl Iterator<Item = MemberId> {
        self.words.iter().map(|(owner, _)| *owner)
    }

    /// Owners whose words are missing, or may be better by now.
    pub fn open(&self) -> impl Iterator<Item = MemberId> {
        let open = |said: &Option<Said>| matches!(said, None | Some(Said::NotReady));
        self.words.iter().filter(move |(_, said)| open(said)).map(|(owner, _)| *owner)
    }

    /// Whether an owner granted, or may have.
    pub fn may_hold(&self) -> bool {
        self.words.iter().any(|(_, said)| matches!(said, None | Some(Said::Granted { .. })))
    }

    pub fn heard(&mut self, owner: MemberId, said: Said) {
        if let Some((_, word)) = self.words.iter_mut().find(|(of, _)| *of == owner) {
            *word = Some(said);
        }
    }

    /// `last`: nothing more is waited for. `careful`: one owner's word on an end is not enough, since
    /// another may know that the messages differ.
    pub fn verdict(&self, last: bool, careful: bool) -> Verdict {
        let said = || self.words.iter().filter_map(|(_, said)| said.as_ref());
        let count = |which: fn(&Said) -> bool| said().filter(|said| which(said)).count();
        let needed = quorum(self.words.len());
        if self.words.is_empty() {
            return Verdict::Silent;
        }
        // One owner's word is enough: it has seen the other message.
        let differs = said().find_map(|said| match said {
            Said::Differs { part, proof, ambiguous } => Some((*part, *proof, *ambiguous)),
            _ => None,
        });
        if let Some((part, proof, ambiguous)) = differs {
            return Verdict::Differs { part, proof, ambiguous };
        }
        let granted = count(|said| matches!(said, Said::Granted { .. }));
        let missing = self.words.len() - said().count();
        let open = missing + count(|said| *said == Said::NotReady);
        let end = said().find_map(|said| if let Said::Done(end) = said { Some(end.clone()) } else { None });
        if let Some(end) = end {
            let enough = !careful || self.words.len() - open >= needed;
            return if enough || last { Verdict::Done(end) } else { Verdict::Open };
        }
        if granted >= needed {
            let ran = |said: &Said| *said == Said::Granted { may_have_run: true };
            return Verdict::Granted { may_have_run: said().any(ran) };
        }
        if granted + open >= needed && !last {
            return Verdict::Open;
        }
        if count(|said| *said == Said::Held) > 0 {
            Verdict::Held
        } else if count(|said| *said == Said::Uncertain) > 0 {
            Verdict::Uncertain
        } else if count(|said| *said == Said::Full) > 0 {
            Verdict::Full
        } else {
            Verdict::Silent
        }
    }
}
