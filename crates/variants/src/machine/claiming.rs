//! The relay's own messages.

use pewterseam_fleet::interface::{MemberId, Severity, Ticket, Unanswered};

use super::in_force::seen;
use super::{Asking, Machine};
use crate::claimant::{Act, Message, Plan};
use crate::claims::{Ask, End, Item, Reply, Said};
use crate::interface::{Effect, Micros, Offered, Unmerged};
use crate::rules::{Full, Key};

type OwnersOf<'a> = &'a dyn Fn(Key) -> Vec<MemberId>;

impl Machine {
    pub(super) fn on_offered(&mut self, now: Micros, offered: &Offered) {
        let handle = offered.handle;
        let (rule, keys) = match self.in_force.keys(now, offered) {
            Ok(found) => found,
            Err(why) => return self.unmerged(handle, why),
        };
        self.counters.offered += 1;
        if self.messages.len() >= self.config.most_messages || self.messages.get(handle).is_some() {
            match rule.full {
                Full::Deliver => self.unmerged(handle, Unmerged::NoRoom),
                Full::HandBack => {
                    self.counters.handed_back += 1;
                    self.effects.push(Effect::HandBack { handle, after: rule.retry() });
                }
            }
            return;
        }
        if self.file.as_ref().is_some_and(|file| file.learn)
            && let Some(making) = self.in_force.making(&offered.class)
        {
            self.learning.offered(handle, &making.rule, &making.salt, seen(offered));
        }
        let plan = Plan::new(handle, &offered.class, &rule, offered.deadline, offered.resumed, keys);
        let handover = &self.handover;
        let owners = |key: Key| handover.owners(key).into_iter().map(|seat| seat.member).collect();
        let (message, acts) = Message::new(now, plan, &owners);
        self.messages.put(message);
        self.act(now, handle, acts);
    }

    pub(super) fn on_ended(&mut self, now: Micros, handle: u64, end: End) {
        let (end, cut) = end.cut();
        self.counters.answers_cut += u64::from(cut);
        self.learning.ended(handle, &end);
        self.with_message(now, handle, |message, owners| message.ended(now, end, owners));
    }

    pub(super) fn on_wakes(&mut self, now: Micros) {
        // Each has its wake behind the time when it is put back.
        while let Some(handle) = self.messages.due(now) {
            self.with_message(now, handle, |message, owners| message.timer(now, owners));
        }
    }

    /// Has a message do something, and what it says done.
    pub(super) fn with_message(
        &mut self, now: Micros, handle: u64, does: impl FnOnce(&mut Message, OwnersOf<'_>) -> Vec<Act>,
    ) {
        let Some(mut message) = self.messages.take(handle) else { return };
        let handover = &self.handover;
        let owners = |key: Key| handover.owners(key).into_iter().map(|seat| seat.member).collect();
        let acts = does(&mut message, &owners);
        self.messages.put(message);
        self.act(now, handle, acts);
    }

    fn act(&mut self, now: Micros, handle: u64, acts: Vec<Act>) {
        let mut mine = Vec::new();
        for act in acts {
            match act {
                Act::Ask { to, item } if to == self.config.me => mine.push(item),
                Act::Ask { to, item } => self.calls.push(to, item),
                Act::Deliver { may_have_run } => {
                    self.counters.delivered += 1;
                    self.counters.passed_on += u64::from(may_have_run);
                    self.effects.push(Effect::Deliver { handle, may_have_run });
                }
                Act::Wait => {
                    self.counters.waited += 1;
                    self.effects.push(Effect::Wait { handle });
                }
                Act::Answer(end) => {
                    self.counters.answered += 1;
                    self.learning.dropped(handle);
                    self.effects.push(Effect::Answer { handle, end });
                }
                Act::HandBack { after } => {
                    self.counters.handed_back += 1;
                    self.learning.dropped(handle);
                    self.effects.push(Effect::HandBack { handle, after });
                }
                Act::Unmerged(why) => self.unmerged(handle, why),
                Act::Proof { part } => {
                    let class = self.messages.get(handle).map(|message| message.plan().class.clone());
                    class.into_iter().for_each(|class| self.narrow(now, &class, part));
                }
            }
        }
        for item in mine {
            let (key, ballot) = (item.key, item.ballot);
            let said = self.own(now, (self.config.me, self.config.incarnation), item);
            self.heard(now, self.config.me, key, handle, ballot, said);
        }
    }

    fn unmerged(&mut self, handle: u64, why: Unmerged) {
        let counters = &mut self.counters;
        match why {
            Unmerged::NoRule => {}
            Unmerged::NoKey => counters.unmerged_no_key += 1,
            Unmerged::Full => counters.unmerged_full += 1,
            Unmerged::NoRoom => counters.unmerged_no_room += 1,
            Unmerged::NoQuorum => counters.unmerged_no_quorum += 1,
            Unmerged::Uncertain => counters.unmerged_uncertain += 1,
            Unmerged::Ambiguous => counters.unmerged_ambiguous += 1,
        }
        self.effects.push(Effect::Unmerged { handle, why });
    }

    fn heard(&mut self, now: Micros, owner: MemberId, key: Key, handle: u64, ballot: u32, said: Said) {
        self.with_message(now, handle, |message, owners| message.said(now, owner, key, ballot, said, owners));
    }

    /// What waits for the owners that can take it goes out.
    pub(super) fn flush(&mut self, now: Micros) {
        for due in self.calls.due(now) {
            let ticket = self.ticket();
            self.calls.sent(now, ticket, &due);
            self.asking.insert(ticket, Asking::Claims);
            let ask = Ask::Claims {
                roster: self.handover.epoch(),
                rules: self.in_force.epoch(),
                incarnation: self.config.incarnation,
                items: due.items,
            };
            self.ask(ticket, due.to, &ask);
        }
    }

    pub(super) fn ask(&mut self, ticket: Ticket, to: MemberId, ask: &Ask) {
        let Ok(body) = postcard::to_stdvec(ask) else {
            self.counters.broken += 1;
            return;
        };
        if let Ask::Claims { items, .. } = ask {
            self.counters.calls += 1;
            self.counters.call_bytes += body.len() as u64;
            self.counters.items += items.len() as u64;
        }
        self.effects.push(Effect::Ask { ticket, to, body });
    }

    pub(super) fn on_replied(&mut self, now: Micros, ticket: Ticket, answer: Result<Vec<u8>, Unanswered>) {
        let Some(asking) = self.asking.remove(&ticket) else { return };
        let reply = match answer {
            Ok(body) => postcard::from_bytes::<Reply>(&body).map_err(|_| self.counters.malformed += 1).ok(),
            Err(_) => None,
        };
        self.counters.calls_unanswered += u64::from(reply.is_none());
        let out = match asking {
            Asking::Claims => self.calls.replied(ticket),
            Asking::HandOver { of } => return self.on_handed(now, of, reply),
        };
        let Some(out) = out else { return };
        match reply {
            Some(Reply::Claims(said)) if said.len() == out.asked.len() => {
                for ((key, handle, ballot), said) in out.asked.into_iter().zip(said) {
                    self.heard(now, out.to, key, handle, ballot, said);
                }
            }
            Some(Reply::Newer | Reply::Older) => {
                self.counters.calls_stale += 1;
                for (_, handle, _) in out.asked {
                    self.with_message(now, handle, |message, _| {
                        message.stale();
                        Vec::new()
                    });
                }
            }
            Some(_) => {
                self.counters.malformed += 1;
                let line = "a claim's owner answered something else than was asked; see its version";
                self.log(Severity::Warning, line.to_owned());
            }
            None => {}
        }
    }

    /// This process's own word, as an owner.
    pub(super) fn own(&mut self, now: Micros, from: (MemberId, u32), item: Item) -> Said {
        let key = item.key;
        let outcome = self.take_item(now, from, item);
        for member in outcome.tell {
            if member == self.config.me {
                for handle in self.messages.of_key(key) {
                    self.with_message(now, handle, |message, owners| message.look(now, owners));
                }
            } else {
                self.tell_look(member, key);
            }
        }
        outcome.said
    }
}
