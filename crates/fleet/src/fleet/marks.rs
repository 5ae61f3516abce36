//! What was seen of voters' promises, by all members: with it an old folder is found out.

use super::{Fleet, Role};
use crate::envelope::Body;
use crate::interface::{MemberId, Micros};

/// A mark that is news is passed on to so many; a voter tells its own so often, if there is a new one.
const MARK_NEWS: usize = 2;
const MARK_EVERY: Micros = 10_000_000;

impl Fleet {
    pub(super) fn tell_mark(&mut self, now: Micros) {
        let Role::Seated(voter) = &self.role else { return };
        let (life, mark) = (voter.id().life, voter.mark());
        if now >= self.next_mark && mark > self.mark_told {
            (self.next_mark, self.mark_told) = (now + MARK_EVERY, mark);
            self.send_to_some(&Body::Mark { place: self.config.me, life, mark }, MARK_NEWS);
        }
    }

    /// A voter's mark was heard of; those that are news are passed on.
    pub(super) fn on_mark(&mut self, now: Micros, place: MemberId, life: u32, mark: u64) {
        if place == self.config.me {
            match &mut self.role {
                Role::Proving(proof, _) => proof.heard(life, mark),
                Role::Seated(voter) if (life, mark) > (voter.id().life, voter.mark()) => {
                    self.lost_seat(now, "the others saw later promises of this voter than its folder has");
                }
                _ => {}
            }
            return;
        }
        if self.saw_mark(place, life, mark) {
            self.send_to_some(&Body::Mark { place, life, mark }, MARK_NEWS);
        }
    }

    pub(super) fn saw_mark(&mut self, place: MemberId, life: u32, mark: u64) -> bool {
        let newer = self.marks.get(&place).is_none_or(|known| (life, mark) > *known);
        if newer {
            self.marks.insert(place, (life, mark));
            self.marks_changed = true;
        }
        newer
    }
}
