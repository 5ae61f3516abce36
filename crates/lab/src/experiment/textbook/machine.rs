//! The textbook at a relay's place: starts, steps, and a disk that takes nothing.

use pewterseam::interface::{Learnt, Micros};
use pewterseam_durable::record::Record;
use pewterseam_durable::replay::History;
use pewterseam_node::client::Answer;
use pewterseam_node::io::{Effect, Input, Step};
use pewterseam_node::list::List;

use super::messages::Held;
use super::{BACKOFF, ByTheBook};
use crate::sim::Machine;

impl Machine for ByTheBook {
    fn start(&mut self, now: Micros, history: History, known: Option<List>) -> Step {
        if let Some(list) = known {
            self.hosts.list(&list);
        }
        self.next = self.next.max(history.next);
        for restored in history.messages {
            let number = restored.number;
            let mut held = Held::new(restored.message);
            held.past = restored.past;
            held.closing = restored.closing;
            if restored.cut {
                held.not_before = now + self.deployment.settings.order_cooldown;
            }
            let notice = held.closing.map(|end| held.notice(number, end));
            self.step.effects.extend(notice.map(Effect::Notify));
            self.hold(number, held);
        }
        self.finish(now)
    }

    fn step(&mut self, now: Micros, inputs: Vec<Input>) -> Step {
        inputs.into_iter().for_each(|input| self.take(now, input));
        self.finish(now)
    }

    fn undo(&mut self, now: Micros, step: Step) -> Step {
        for record in &step.records {
            if let Record::Taken { number, .. } = record {
                self.forget(*number);
            }
        }
        self.step = Step::default();
        for effect in step.effects {
            match effect {
                Effect::Answer { id, answer: Answer::Taken } => {
                    self.step.effects.push(Effect::Answer { id, answer: Answer::NotKept });
                }
                Effect::Call(call) => {
                    self.hosts.keep(call.connection, now);
                    if let Some(number) = self.carried.remove(&call.connection)
                        && let Some(held) = self.held.get_mut(&number)
                    {
                        (held.out, held.not_before) = (None, now + BACKOFF.0);
                    }
                }
                other => self.step.effects.push(other),
            }
        }
        std::mem::take(&mut self.step)
    }

    fn records(&self) -> (u64, Vec<Record>) {
        let records = self.held.iter().flat_map(|(number, held)| held.records(*number));
        (self.next, records.collect())
    }

    fn held(&self) -> usize {
        self.held.len()
    }

    fn learnt(&self) -> Option<Learnt> {
        None
    }

    fn recall(&mut self, _learnt: Option<Learnt>) {}

    fn broken(&self) -> u64 {
        0
    }
}
