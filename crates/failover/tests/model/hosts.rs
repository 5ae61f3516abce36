//! Hosts with capacity.

use std::collections::VecDeque;

use pewterseam_failover::interface::{Micros, Outcome, SECOND};
use rand::Rng;

use super::events::Event;
use super::faults::Hosts;
use super::{LIMIT, Model};

/// Time of an answer, without the queue.
const SERVICE: std::ops::Range<Micros> = 20_000..60_000;
/// Calls worked on at once: a little more than the limit needs.
const WORKERS: usize = 15;
const LONGEST_QUEUE: usize = 150;
/// Calls above the limit's pace that are let pass, in seconds of it.
const BURST: f64 = 0.25;
/// Capacity at a return and the time to all of it.
pub const COLD_SHARE: f64 = 0.3;
pub const COLD_TIME: Micros = 4 * SECOND;

pub struct Host {
    pub destination: usize,
    pub zone: usize,
    tokens: f64,
    filled: Micros,
    busy: usize,
    queue: VecDeque<u64>,
    pub cold_from: Option<Micros>,
}

impl Host {
    pub fn new(destination: usize, zone: usize) -> Self {
        Host {
            destination,
            zone,
            tokens: LIMIT * BURST,
            filled: 0,
            busy: 0,
            queue: VecDeque::new(),
            cold_from: None,
        }
    }

    fn admits(&mut self, now: Micros) -> bool {
        let warm = self.cold_from.map_or(1.0, |from| {
            (COLD_SHARE + (1.0 - COLD_SHARE) * (now - from) as f64 / COLD_TIME as f64).min(1.0)
        });
        let gained = (now - self.filled) as f64 / SECOND as f64 * LIMIT * warm;
        self.tokens = (self.tokens + gained).min(LIMIT * BURST);
        self.filled = now;
        let admits = self.tokens >= 1.0 && self.queue.len() < LONGEST_QUEUE;
        self.tokens -= f64::from(u8::from(admits));
        admits
    }
}

impl Model {
    pub fn on_host(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (at, probe, day) = (call.host, call.probe, self.day_time());
        let state = self.faulty.hosts(day, self.hosts[at].zone);
        if !probe {
            self.report.offered(day, at);
        }
        match state {
            Hosts::Silent => {
                // Taken, perhaps worked on, never answered.
                self.ran(number);
            }
            Hosts::Refusing => self.answer(number, Outcome::Rejected { wait: 0 }),
            _ if probe => {
                let slow = if state == Hosts::Slow { 10 } else { 1 };
                let took = self.rng.random_range(SERVICE) * slow;
                self.push(self.now + took, Event::Done { host: usize::MAX, call: number });
            }
            _ if !self.hosts[at].admits(self.now) => self.answer(number, Outcome::Rejected { wait: 0 }),
            _ if self.hosts[at].busy < WORKERS => self.work(at, number),
            _ => self.hosts[at].queue.push_back(number),
        }
    }

    fn work(&mut self, at: usize, number: u64) {
        let slow = self.faulty.hosts(self.day_time(), self.hosts[at].zone) == Hosts::Slow;
        let took = self.rng.random_range(SERVICE) * if slow { 10 } else { 1 };
        self.hosts[at].busy += 1;
        self.ran(number);
        self.push(self.now + took, Event::Done { host: at, call: number });
    }

    pub fn on_done(&mut self, at: usize, number: u64) {
        if at != usize::MAX {
            self.hosts[at].busy -= 1;
            // What was given up meanwhile is not worked on: its connection is closed.
            while let Some(next) = self.hosts[at].queue.pop_front() {
                if self.calls.contains_key(&next) {
                    self.work(at, next);
                    break;
                }
            }
        }
        let silent = |call: &super::calls::Call| {
            self.faulty.hosts(self.day_time(), self.hosts[call.host].zone) == Hosts::Silent
        };
        if self.calls.get(&number).is_some_and(|call| !silent(call)) {
            self.answer(number, Outcome::Ok);
        }
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        let Some(call) = self.calls.get(&number) else { return };
        let (from, to) = (self.hosts[call.host].zone, call.relay % super::ZONES);
        if self.faulty.passes(self.day_time(), from, to) {
            let delay = self.delay(from, to);
            self.push(self.now + delay, Event::Answer { call: number, outcome });
        }
    }
}
