//! What is decided in common.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The number of a decision. Each epoch has one decision at most, in all of the fleet and for ever; 0 is
/// before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// What a decision is about. The upper byte is the part that it belongs to. One that a member does not know
/// is kept and passed on by it, and not understood, so that versions N and N+1 run together; a number is
/// never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind(pub u16);

impl Kind {
    /// First kinds of the parts; each has 256.
    pub const FLEET: Kind = Kind(0x0100);
    pub const FAILOVER: Kind = Kind(0x0200);
    pub const BROADCASTS: Kind = Kind(0x0300);
    pub const VARIANTS: Kind = Kind(0x0400);
}

/// What a part decides of one kind: its own type, whose bytes only it reads. A type that went into a
/// release is not changed: postcard's bytes have no names. What N+1 adds becomes a new kind beside the old,
/// or a new last variant of an enum, which a member of version N reads as unknown.
pub trait Matter: Serialize + DeserializeOwned {
    const KIND: Kind;
    /// What it is decided of: of each subject of a kind the newest decision holds.
    type Subject: Serialize + DeserializeOwned;

    fn subject(&self) -> Self::Subject;
}

/// What a member would have decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    pub kind: Kind,
    /// The subject's bytes, in postcard's format.
    pub subject: Vec<u8>,
    /// The matter's bytes, in postcard's format; none ends what was decided of the subject.
    pub what: Option<Vec<u8>>,
    /// Why, in words for an operator.
    pub grounds: String,
    /// If it says so, it is decided only as long as the newest decision of the subject is of this epoch (0:
    /// there is none). Danger: without it, of two members that propose from the same evidence the later one
    /// decides again.
    pub unless_after: Option<Epoch>,
}

impl Proposal {
    /// # Errors
    /// [`postcard::Error`] where the matter can't be written, which is so for maps and sequences of unknown
    /// length only.
    pub fn of<M: Matter>(matter: &M, grounds: impl Into<String>) -> Result<Self, postcard::Error> {
        Ok(Proposal {
            kind: M::KIND,
            subject: postcard::to_stdvec(&matter.subject())?,
            what: Some(postcard::to_stdvec(matter)?),
            grounds: grounds.into(),
            unless_after: None,
        })
    }

    /// Ends what was decided of a subject.
    ///
    /// # Errors
    /// As of [`Proposal::of`].
    pub fn end<M: Matter>(subject: &M::Subject, grounds: impl Into<String>) -> Result<Self, postcard::Error> {
        let subject = postcard::to_stdvec(subject)?;
        Ok(Proposal { kind: M::KIND, subject, what: None, grounds: grounds.into(), unless_after: None })
    }

    /// Decided only if nothing newer than `epoch` was decided of the subject.
    pub fn unless_after(mut self, epoch: Epoch) -> Self {
        self.unless_after = Some(epoch);
        self
    }
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    pub epoch: Epoch,
    pub kind: Kind,
    pub subject: Vec<u8>,
    /// None: what was decided of the subject ends.
    pub what: Option<Vec<u8>>,
    pub grounds: String,
}

impl Decision {
    /// The matter, if it is one of this kind that this version knows, and was not ended.
    pub fn read<M: Matter>(&self) -> Option<M> {
        let what = self.what.as_ref().filter(|_| self.kind == M::KIND)?;
        postcard::from_bytes(what).ok()
    }

    /// The subject, if the decision is of this kind.
    pub fn subject<M: Matter>(&self) -> Option<M::Subject> {
        (self.kind == M::KIND).then(|| postcard::from_bytes(&self.subject).ok()).flatten()
    }
}

/// The decisions in force: the newest of each subject. Without a quorum it stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Up to here nothing is missing.
    pub(crate) epoch: Epoch,
    /// Ended subjects are kept until [`InForce::forget`], so that others can learn that they ended.
    pub(crate) newest: BTreeMap<(Kind, Vec<u8>), Decision>,
    /// Ends of this epoch and before are forgotten.
    pub(crate) forgotten: Epoch,
}

impl InForce {
    /// For parts that are tried without a fleet.
    pub fn with(decisions: impl IntoIterator<Item = Decision>) -> Self {
        let mut in_force = InForce::default();
        decisions.into_iter().for_each(|decision| in_force.take(decision));
        in_force
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// In the order of kinds and subjects.
    pub fn all(&self) -> impl Iterator<Item = &Decision> {
        self.newest.values().filter(|decision| decision.what.is_some())
    }

    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Decision> {
        self.newest
            .range((kind, Vec::new())..)
            .map(|(_, decision)| decision)
            .take_while(move |of| of.kind == kind)
            .filter(|decision| decision.what.is_some())
    }

    /// The decision that holds of a subject.
    pub fn of<M: Matter>(&self, subject: &M::Subject) -> Option<&Decision> {
        let subject = postcard::to_stdvec(subject).ok()?;
        self.newest.get(&(M::KIND, subject)).filter(|decision| decision.what.is_some())
    }
}

/// How it changes: by the log at voters, by what was learnt at the others.
impl InForce {
    pub(crate) fn take(&mut self, decision: Decision) {
        self.epoch = self.epoch.max(decision.epoch);
        self.newest.insert((decision.kind, decision.subject.clone()), decision);
    }

    /// Forgets the older half of the ended subjects if there are more than `most`; what was forgotten.
    pub(crate) fn forget(&mut self, most: usize) -> Vec<Decision> {
        let ended = self.newest.values().filter(|decision| decision.what.is_none());
        let mut epochs: Vec<Epoch> = ended.map(|decision| decision.epoch).collect();
        if epochs.len() <= most {
            return Vec::new();
        }
        epochs.sort_unstable();
        self.forgotten = epochs[epochs.len() / 2];
        let up_to = self.forgotten;
        let forgotten = |_: &_, decision: &mut Decision| decision.what.is_none() && decision.epoch <= up_to;
        self.newest.extract_if(.., forgotten).map(|(_, decision)| decision).collect()
    }
}
