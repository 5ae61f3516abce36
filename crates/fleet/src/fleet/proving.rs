//! Seats: whether the folder is the one that the voter had, and what becomes of one that was lost.

use super::calling::Why;
use super::{Fleet, Role};
use crate::calls::Purpose;
use crate::interface::{Batch, MemberId, Micros, Record, Severity, VoterId};
use crate::log::{Claim, Floor, Knows, Proof, Verdict, Voter, last};

/// A voter without a leader that is bound to a longer log than its own asks the others again after so long.
const BOUND: Micros = 15_000_000;
/// A member that was offered a seat and was not offered it again looks no more after so long whether it may
/// have it.
const OFFERED: Micros = 60_000_000;

impl Fleet {
    pub(super) fn prove(&mut self, now: Micros) {
        let me = self.config.me;
        let first = self.config.voters.contains(&me);
        let Role::Proving(proof, saved) = &mut self.role else { return };
        if !first && proof.claim().lost && now > proof.since() + OFFERED {
            self.role = Role::Outside;
            return;
        }
        let living = self.view.members().living().map(|member| member.id).filter(|id| *id != me);
        let asked = proof.ask(now, living);
        match proof.verdict(now, file_of(&self.config.voters)) {
            Verdict::Wait => {
                for place in asked {
                    self.call(now, place, Purpose::MARKS, Vec::new(), Why::Marks);
                }
            }
            Verdict::Lost { life } => {
                self.counters.seats_lost += 1;
                let line = format!(
                    "the folder is not the one that this voter had (life {life} is known of it): it votes no \
                     more until the others give it a new seat; see what became of the folder"
                );
                self.log(Severity::Warning, line);
                self.seat_is_lost(now, life);
            }
            Verdict::Anew { .. } if !first => {}
            Verdict::Anew { life } => self.begin_anew(now, life),
            Verdict::Proven(floor) => {
                let seed = self.seed;
                match Voter::new(saved, floor, seed) {
                    Some(mut voter) => {
                        let whole = voter.whole();
                        self.records.push(Record::VoterWhole(whole));
                        self.role = Role::Seated(Box::new(voter));
                        self.next_tick = now + self.config.times.tick;
                        self.voter_step(now);
                        self.look_whether_seated();
                    }
                    None => self.broken(),
                }
            }
        }
    }

    /// What this member knows of another's marks, for its proof.
    pub(super) fn knows_of(&self, place: MemberId) -> Knows {
        let (voter, blank) = match &self.role {
            Role::Outside => (None, false),
            Role::Proving(proof, _) if proof.claim().lost => (None, true),
            Role::Proving(proof, saved) => (Some((saved.term, last(saved))), proof.claim().blank),
            // Danger: what could not be written may be gone when the process ends, and whoever waits for a
            // log that goes as far would wait for ever.
            Role::Seated(_) if self.write_again.is_some() => (None, false),
            Role::Seated(voter) => (Some((voter.term(), voter.last())), false),
        };
        let file = file_of(&self.config.voters);
        Knows { of_you: self.marks.get(&place).copied(), voter, blank, file, voters: self.voters.clone() }
    }

    pub(super) fn on_knows(&mut self, from: MemberId, knows: Knows) {
        self.take_voters(&knows.voters);
        if let Role::Proving(proof, _) = &mut self.role {
            proof.answered(from, knows);
        }
    }

    /// A voter that is bound by a log which nobody has any more asks anew: entries that were decided are
    /// still with those who answer, and others may be gone.
    pub(super) fn prove_again(&mut self, now: Micros) {
        let Role::Seated(voter) = &mut self.role else { return };
        if !voter.below_floor() || voter.leader().is_some() {
            self.bound_since = None;
            return;
        }
        if now < *self.bound_since.get_or_insert(now) + BOUND {
            return;
        }
        self.bound_since = None;
        let saved = voter.whole();
        self.records.push(Record::VoterWhole(saved.clone()));
        if let Some((claim, batch)) = claim(self.config.me, &self.config.voters, Some(&saved), self.gone) {
            self.role = Role::Proving(Proof::new(now, claim), Box::new(batch));
        }
    }

    pub(super) fn lost_seat(&mut self, now: Micros, why: &str) {
        self.counters.seats_lost += 1;
        self.log(Severity::Warning, format!("{why}: it votes no more until the others give it a new seat"));
        self.seat_is_lost(now, self.gone);
    }

    /// The seat is gone, and this member waits for one of a later life; if it is one of the first voters,
    /// it also looks whether all of them lost theirs.
    pub(super) fn seat_is_lost(&mut self, now: Micros, life: u32) {
        self.gone = self.gone.max(life);
        self.give_up_seat();
        if let Some((claim, batch)) = claim(self.config.me, &self.config.voters, None, self.gone) {
            self.role = Role::Proving(Proof::new(now, claim), Box::new(batch));
        }
    }

    /// All voters lost their folders. Danger: epochs must not begin anew; see [`Command::GoOn`].
    pub(super) fn begin_anew(&mut self, now: Micros, life: u32) {
        let ids: Vec<VoterId> =
            self.config.voters.iter().map(|place| VoterId { place: *place, life }).collect();
        let batch = beginning(VoterId { place: self.config.me, life }, &ids);
        let Some(voter) = Voter::new(&batch, Floor::default(), self.seed) else { return self.broken() };
        self.log(
            Severity::Error,
            format!("all voters lost their folders, they begin anew under life {life}"),
        );
        self.records.push(Record::VoterWhole(batch));
        self.role = Role::Seated(Box::new(voter));
        self.next_tick = now + self.config.times.tick;
    }

    /// Whether this member votes, or learns, as the voter that a message is to; takes the seat if it is a
    /// new one. The life of its seat, or of the last that it had, if that voter is no more.
    pub(super) fn is_seated_as(&mut self, now: Micros, to: VoterId) -> Result<bool, u32> {
        match &self.role {
            Role::Seated(_) if self.write_again.is_some() => Ok(false),
            Role::Seated(voter) if to.life < voter.id().life => Err(voter.id().life),
            Role::Seated(voter) if to == voter.id() => Ok(true),
            Role::Seated(voter) => {
                // The log gave the place another seat, since it took this one's folder for lost.
                let life = voter.id().life;
                self.seat_is_lost(now, life);
                Ok(false)
            }
            Role::Proving(proof, _) if !proof.claim().lost => Ok(false),
            _ if to.life <= self.gone => Err(self.gone),
            Role::Proving(proof, _) if proof.may_sit(to) => Ok(self.sit_down(now, to)),
            Role::Proving(..) => Ok(false),
            Role::Outside => {
                let (me, life) = (self.config.me, self.gone);
                let voters = self.config.voters.clone();
                let claim = Claim { me, life, mark: 0, blank: true, lost: true, voters };
                self.role = Role::Proving(Proof::new(now, claim), Box::new(empty(to)));
                Ok(false)
            }
        }
    }

    /// The others gave this place a seat of a new life.
    pub(super) fn sit_down(&mut self, now: Micros, voter: VoterId) -> bool {
        let empty =
            Batch { voter, mark: 0, term: 0, vote: None, commit: 0, snapshot: None, entries: Vec::new() };
        let Some(seated) = Voter::new(&empty, Floor::default(), self.seed) else { return false };
        self.records.push(Record::VoterWhole(empty));
        self.role = Role::Seated(Box::new(seated));
        self.next_tick = now + self.config.times.tick;
        true
    }

    pub(super) fn give_up_seat(&mut self) {
        let life = match &self.role {
            Role::Outside => return,
            Role::Proving(proof, _) => proof.claim().life,
            Role::Seated(voter) => voter.id().life,
        };
        self.role = Role::Outside;
        self.write_again = None;
        self.gone = self.gone.max(life);
        self.outboxes.clear();
        self.records.push(Record::NoVoter { life: self.gone });
    }
}

/// Of the voters that a file names, to tell whether another one names the same.
pub(super) fn file_of(voters: &[MemberId]) -> u64 {
    let mut sorted: Vec<u16> = voters.iter().map(|place| place.0).collect();
    sorted.sort_unstable();
    let bytes: Vec<u8> = sorted.iter().flat_map(|place| place.to_le_bytes()).collect();
    siphasher::sip::SipHasher13::new().hash(&bytes)
}

/// The claim of a folder at a start, and what it says; none for a member that is no voter.
pub(super) fn claim(
    me: MemberId, first: &[MemberId], saved: Option<&Batch>, gone: u32,
) -> Option<(Claim, Batch)> {
    if let Some(saved) = saved {
        let known = saved.snapshot.as_ref().map(|snapshot| &snapshot.voters[..]).unwrap_or_default();
        let mut voters: Vec<MemberId> = known.iter().map(|voter| voter.place).collect();
        if voters.is_empty() {
            voters = first.to_vec();
        }
        let (life, mark) = (saved.voter.life, saved.mark);
        return Some((Claim { me, life, mark, blank: false, lost: false, voters }, saved.clone()));
    }
    if !first.contains(&me) {
        return None;
    }
    let ids: Vec<VoterId> = first.iter().map(|place| VoterId { place: *place, life: 1 }).collect();
    let batch = beginning(VoterId { place: me, life: 1 }, &ids);
    let claim = Claim { me, life: gone.max(1), mark: 0, blank: true, lost: gone > 0, voters: first.to_vec() };
    Some((claim, batch))
}

/// What a voter begins with that the log gave a seat.
fn empty(voter: VoterId) -> Batch {
    Batch { voter, mark: 0, term: 0, vote: None, commit: 0, snapshot: None, entries: Vec::new() }
}

/// What the first voters begin with.
fn beginning(me: VoterId, voters: &[VoterId]) -> Batch {
    Batch {
        voter: me,
        mark: 0,
        term: 1,
        vote: None,
        commit: 1,
        snapshot: Some(Voter::beginning(voters)),
        entries: Vec::new(),
    }
}
