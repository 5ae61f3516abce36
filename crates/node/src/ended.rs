//! Ids of messages that are over. Danger: one of them comes again, by a client's fault or from someone who has
//! seen it, and what must not run twice would.

use std::collections::{HashMap, VecDeque};

use pewterseam::interface::Micros;

use crate::names::number;

/// Remembers ids for a span, and no longer.
#[derive(Debug)]
pub struct EndedIds {
    span: Micros,
    /// Whether the message was delivered.
    delivered: HashMap<u64, bool>,
    /// Until when each is remembered, the earliest first.
    until: VecDeque<(Micros, u64)>,
}

impl EndedIds {
    pub fn new(span: Micros) -> Self {
        EndedIds { span, delivered: HashMap::new(), until: VecDeque::new() }
    }

    pub fn add(&mut self, now: Micros, id: &str, delivered: bool) {
        while let Some((_, old)) = self.until.pop_front_if(|(until, _)| *until <= now) {
            self.delivered.remove(&old);
        }
        let id = number(id);
        if self.delivered.insert(id, delivered).is_none() {
            self.until.push_back((now + self.span, id));
        }
    }

    /// Whether the message of this id was delivered; none for one that is not known.
    pub fn get(&self, id: &str) -> Option<bool> {
        self.delivered.get(&number(id)).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_are_remembered_for_the_span_and_then_take_no_memory() {
        let mut ended = EndedIds::new(100);
        for now in 0..1_000 {
            ended.add(now, &format!("m{now}"), now % 2 == 0);
        }
        assert_eq!((ended.get("m999"), ended.get("m998")), (Some(false), Some(true)));
        assert_eq!((ended.get("m899"), ended.get("other")), (None, None));
        assert_eq!((ended.delivered.len(), ended.until.len()), (100, 100));
    }
}
