//! What begins and ends when, in order.

use std::collections::BTreeSet;

use pewterseam::interface::Micros;

use super::clock::micros;
use super::error::Unplayable;
use super::places::{Parties, Places};
use crate::plan::{Link, Plan, Process, Trouble, What};
use crate::story::{HostNumber, RelayNumber};

/// What a fault is, with all that it takes.
#[derive(Clone, Debug)]
pub enum Strikes {
    Link { from: Parties, to: Parties, link: Link },
    Process { who: BTreeSet<RelayNumber>, process: Process },
    Server { who: BTreeSet<HostNumber>, trouble: Trouble },
    Discovery { turned_away: bool },
    Replace,
    Load { times: f64 },
    Limit { who: BTreeSet<HostNumber>, times: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Begin,
    End,
    /// A flapping host's turn.
    Turn {
        silent: bool,
    },
    /// One host is replaced: drained beside its successor, and gone.
    Drain {
        host: HostNumber,
        successor: HostNumber,
    },
    Gone {
        host: HostNumber,
    },
}

/// Steps of faults, by the faults' places in the plan.
pub struct Timeline {
    pub strikes: Vec<Strikes>,
    pub steps: Vec<(Micros, usize, Step)>,
}

impl Timeline {
    pub fn of(plan: &Plan, places: &Places) -> Result<Self, Unplayable> {
        let (mut strikes, mut steps) = (Vec::new(), Vec::new());
        for (place, fault) in plan.faults.iter().enumerate() {
            let strike = strike(place, &fault.what, places)?;
            let (start, end) = (micros(fault.start_s), micros(fault.start_s + fault.length_s));
            steps.push((start, place, Step::Begin));
            match &strike {
                Strikes::Server { trouble: Trouble::Flapping(turn_s), .. } => {
                    let turn = micros(*turn_s).max(1);
                    let turns = (start..end).step_by(turn as usize).enumerate();
                    steps.extend(turns.map(|(count, at)| (at, place, Step::Turn { silent: count % 2 == 0 })));
                }
                Strikes::Replace => {
                    let taken = places.successors.range((place, 0)..(place + 1, 0));
                    let each = (end - start) / taken.clone().count().max(1) as Micros;
                    for (count, ((_, host), successor)) in taken.enumerate() {
                        let at = start + each * count as Micros;
                        let (host, successor) = (*host, *successor);
                        steps.push((at, place, Step::Drain { host, successor }));
                        steps.push((at + each, place, Step::Gone { host }));
                    }
                }
                _ => {}
            }
            steps.push((end, place, Step::End));
            strikes.push(strike);
        }
        steps.sort_by_key(|(at, ..)| *at);
        Ok(Timeline { strikes, steps })
    }

    /// When the last fault is over.
    pub fn end(&self) -> Micros {
        self.steps.last().map_or(0, |(at, ..)| *at)
    }
}

fn strike(place: usize, what: &What, places: &Places) -> Result<Strikes, Unplayable> {
    Ok(match what {
        What::Link(link) => {
            let (from, to) = (places.parties(place, &link.from)?, places.parties(place, &link.to)?);
            if !speak(&from, &to) {
                return Err(Unplayable::NoSuchLink { place });
            }
            Strikes::Link { from, to, link: link.clone() }
        }
        What::Process(process) => {
            Strikes::Process { who: places.relays_of(place, &process.who)?, process: process.clone() }
        }
        What::Server(server) => {
            Strikes::Server { who: places.hosts_of(place, &server.who)?, trouble: server.how }
        }
        What::Discovery { turned_away } => Strikes::Discovery { turned_away: *turned_away },
        What::Replace(_) => Strikes::Replace,
        What::Load { times } => Strikes::Load { times: *times },
        What::Limit { who, times } => {
            Strikes::Limit { who: places.hosts_of(place, who)?, times: times.max(0.0) }
        }
    })
}

/// All links have a relay at one end.
fn speak(one: &Parties, other: &Parties) -> bool {
    matches!(one, Parties::Relays(_)) || matches!(other, Parties::Relays(_))
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::*;
    use crate::plan::How;

    fn days() -> Vec<(String, Plan)> {
        let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/days"));
        let files = std::fs::read_dir(folder).expect("days").map(|entry| entry.expect("a day").path());
        let read = |path: std::path::PathBuf| {
            let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
            (name, Plan::read(&path).expect("a day"))
        };
        files.map(read).collect()
    }

    /// Danger: a day that nobody can play, or a kind of fault that no day has.
    #[test]
    fn all_days_can_be_played_and_have_each_kind_of_fault_between_them() {
        let (mut hows, mut troubles, mut others) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        let mut links = plan_of_nothing();
        for (name, plan) in days() {
            assert_eq!(name, plan.name);
            let places = Places::of(&plan).expect("places");
            let timeline = Timeline::of(&plan, &places).expect(&name);
            for strike in &timeline.strikes {
                match strike {
                    Strikes::Link { link, .. } => merge(&mut links, link),
                    Strikes::Process { process, .. } => drop(hows.insert(process.how as u8)),
                    Strikes::Server { trouble, .. } => drop(troubles.insert(word(trouble))),
                    Strikes::Discovery { turned_away } => drop(others.insert(format!("{turned_away}"))),
                    Strikes::Replace => drop(others.insert("replace".to_owned())),
                    Strikes::Load { .. } => drop(others.insert("load".to_owned())),
                    Strikes::Limit { .. } => drop(others.insert("limit".to_owned())),
                }
            }
        }
        assert_eq!(hows.len(), How::DiskFull as usize + 1);
        assert_eq!(troubles.len(), 6, "{troubles:?}");
        assert_eq!(others.len(), 5, "{others:?}");
        let parts = [
            links.drop_part,
            links.delay_ms,
            links.jitter_ms,
            links.duplicate_part,
            links.reorder_part,
            links.half_open_part,
            links.reset_part,
            links.late_part,
            links.crawl_bytes_a_second.unwrap_or(0.0),
        ];
        assert!(links.cut && parts.iter().all(|part| *part > 0.0), "{links:?}");
    }

    fn plan_of_nothing() -> Link {
        let text = r#"from = "clients"
            to = { relays = "all" }"#;
        toml::from_str(text).expect("a link")
    }

    fn merge(all: &mut Link, link: &Link) {
        all.cut |= link.cut;
        all.drop_part += link.drop_part;
        all.delay_ms += link.delay_ms;
        all.jitter_ms += link.jitter_ms;
        all.duplicate_part += link.duplicate_part;
        all.reorder_part += link.reorder_part;
        all.half_open_part += link.half_open_part;
        all.reset_part += link.reset_part;
        all.late_part += link.late_part;
        all.crawl_bytes_a_second = all.crawl_bytes_a_second.or(link.crawl_bytes_a_second);
    }

    fn word(trouble: &Trouble) -> &'static str {
        match trouble {
            Trouble::Silent => "silent",
            Trouble::Refusing => "refusing",
            Trouble::Failing(_) => "failing",
            Trouble::Slow(_) => "slow",
            Trouble::AnswersLost(_) => "answers lost",
            Trouble::Flapping(_) => "flapping",
        }
    }

    #[test]
    fn a_fault_that_names_nobody_is_refused_with_its_place() {
        let (_, mut plan) = days().into_iter().find(|(name, _)| name == "zone-silent").expect("a day");
        let places = Places::of(&plan).expect("places");
        plan.faults[0].what =
            What::Process(Process { who: crate::plan::Pick::Zone("nowhere".to_owned()), how: How::Crash });
        let error = Timeline::of(&plan, &places).err().expect("refused").to_string();
        assert!(error.contains("fault 0") && error.contains("nowhere"), "{error}");
        plan.faults[0].what =
            What::Process(Process { who: crate::plan::Pick::Numbers(vec![12]), how: How::Crash });
        assert!(Timeline::of(&plan, &places).is_err());
    }
}
