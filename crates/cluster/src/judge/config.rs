//! CONFIG: what operators send and are told, and what processes put in force.

use std::sync::Arc;

use pewterseam_control::Outcome;
use pewterseam_wire::Micros;
use pewterseam_wire::control::{ConfigDocument, ControlState};

use super::Judge;
use crate::configuration::mark;
use crate::event::Life;
use crate::history::Interval;
use crate::operators::Change;
use crate::report::Rule;

impl Judge {
    /// An agreed state is in force at a process.
    pub fn in_force(&mut self, now: Micros, life: Life, state: &ControlState) {
        let before = self.indexes.insert(life, state.index).unwrap_or(0);
        if before > state.index {
            let what = format!("machine {} goes back from {before} to {}", life.machine, state.index);
            self.breach(None, Rule::Config, what);
        }
        self.shown(now, &state.config);
    }

    /// A configuration is in force, or was shown to someone.
    fn shown(&mut self, now: Micros, config: &Arc<ConfigDocument>) {
        let known = self.taken.entry(config.version).or_insert_with(|| config.clone());
        let is_same = Arc::ptr_eq(known, config) || known.text == config.text;
        if !is_same {
            let what = format!("version {} stands for two configurations", config.version);
            self.breach(None, Rule::Config, what);
        }
        self.routes.in_force(now, config.version, &config.text);
        let mark = self.marks.entry(config.version).or_insert_with(|| mark(&config.text));
        match *mark {
            Some(mark) => self.history.stands(now, config.version, mark),
            None => self.breach(None, Rule::Config, format!("version {} cannot be used", config.version)),
        }
    }

    /// An operator sends a change.
    pub fn change_sent(&mut self, now: Micros, change: &Change) {
        self.history.sent(now, change.write());
        self.handling.sent(change);
    }

    /// A relay answers a change; the operator may not hear it.
    pub fn change_answered(&mut self, interval: Interval, change: &Change, outcome: &Outcome) {
        let write = change.write();
        match outcome {
            Outcome::Accepted { version } => {
                self.history.accepted(interval.answered_at, write, *version);
                self.handling.acknowledged(interval.answered_at, change);
            }
            Outcome::Conflict { current } => {
                self.handling.refused(change);
                self.history.refused(write);
                self.history.read(interval, *current);
            }
            Outcome::Invalid { errors } => {
                self.handling.refused(change);
                self.history.refused(write);
                let what = format!("version {} is said to be invalid: {}", write.version, errors.join("; "));
                self.breach(None, Rule::Config, what);
            }
            _ => {}
        }
    }

    /// A relay answers a read of the configuration.
    pub fn config_read(&mut self, interval: Interval, config: &Arc<ConfigDocument>) {
        self.shown(interval.answered_at, config);
        self.history.read(interval, config.version);
    }

    /// No relay shows the configuration at the end.
    pub fn config_missing(&mut self) {
        self.breach(None, Rule::Config, "no configuration can be read".to_owned());
    }

    /// A retirement was acknowledged, and the store is said to be unknown.
    pub fn retirement_forgotten(&mut self, machine: usize) {
        let what = format!("the retirement of machine {machine} was acknowledged and is unknown");
        self.breach(None, Rule::Config, what);
    }
}
