//! What a day is: the fleet, those that it delivers to, the load and the faults. Read from TOML.

mod faults;
mod load;
mod parties;

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

pub use faults::{Fault, How, Link, Process, Server, Trouble, What};
pub use load::{ClassPlan, EffectPlan, Load};
pub use parties::{DestinationPlan, Fleet, Pick, Who, Zone};

/// One day. Times are seconds from its start, rates are a second over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Clients hand messages in for so long; the day then goes on until the last deadline is over.
    pub length_s: f64,
    pub fleet: Fleet,
    pub destinations: Vec<DestinationPlan>,
    pub load: Load,
    /// They overlap freely.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Why a plan can't be played.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    #[error("{}: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    /// The parser's own words: line, column, and what would be right there.
    #[error("{}: {error}", path.display())]
    NotAPlan { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{}: {what}", path.display())]
    Senseless { path: PathBuf, what: String },
}

impl Plan {
    pub fn read(path: &Path) -> Result<Plan, Malformed> {
        let unreadable = |error| Malformed::Unreadable { path: path.to_owned(), error };
        Plan::parse(&std::fs::read_to_string(path).map_err(unreadable)?, path)
    }

    /// Reads a plan's text; `path` is for what is said of it.
    pub fn parse(text: &str, path: &Path) -> Result<Plan, Malformed> {
        let malformed = |error| Malformed::NotAPlan { path: path.to_owned(), error: Box::new(error) };
        let plan: Plan = toml::from_str(text).map_err(malformed)?;
        match plan.problems().into_iter().next() {
            Some(what) => Err(Malformed::Senseless { path: path.to_owned(), what }),
            None => Ok(plan),
        }
    }

    /// What makes no sense in it, a line each.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut must = |holds: bool, what: String| {
            if !holds {
                problems.push(what);
            }
        };
        must(self.length_s > 0.0, format!("length_s is {}; a day is longer than 0", self.length_s));
        must(self.fleet.relays > 0, "fleet.relays is 0; at least one relay is needed".to_owned());
        must(!self.fleet.zones.is_empty(), "fleet.zones is empty; name one at least".to_owned());
        must(self.fleet.members || !self.fleet.failover, "fleet.failover wants fleet.members".to_owned());
        must(!self.destinations.is_empty(), "there are no destinations".to_owned());
        must(!self.load.classes.is_empty(), "load.classes is empty".to_owned());
        for (place, fault) in self.faults.iter().enumerate() {
            must(
                fault.start_s >= 0.0 && fault.length_s >= 0.0,
                format!("fault {place} starts or lasts below 0"),
            );
        }
        problems
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY: &str = r#"
        name = "a cut and a stall"
        seed = 3
        length_s = 10.0
        [fleet]
        relays = 12
        zones = [{ name = "a", region = "east" }, { name = "b", region = "east" }, { name = "c", region = "west" }]
        [[destinations]]
        number = 1
        hosts = 3
        answers_a_second = 40.0
        answer_ms = [20.0, 60.0]
        limit_a_second = 30.0
        [load]
        messages_a_second = 60.0
        [[load.classes]]
        name = "posting"
        part = 1.0
        effect = { guarded_s = 4.0 }
        aim_s = 2.0
        deadline_s = 8.0
        value = 1.0
        in_order = true
        [[faults]]
        start_s = 2.0
        length_s = 3.0
        what = { link = { from = { relays = { zone = "a" } }, to = { hosts = "all" }, cut = true } }
        [[faults]]
        start_s = 3.0
        length_s = 1.5
        what = { process = { who = { numbers = [2, 3] }, how = "stall" } }
        [[faults]]
        start_s = 4.0
        length_s = 2.0
        what = { server = { who = { destination = 1 }, how = { slow = 5.0 } } }
    "#;

    #[test]
    fn a_day_is_read_and_what_is_unknown_in_it_is_named_with_its_line() {
        let path = Path::new("day.toml");
        let plan = Plan::parse(DAY, path).expect("a day");
        assert_eq!((plan.fleet.relays, plan.faults.len()), (12, 3));
        let broken = DAY.replace("cut = true", "cuts = true");
        let error = Plan::parse(&broken, path).expect_err("no such key").to_string();
        assert!(error.contains("day.toml") && error.contains("line 27"), "{error}");
        assert!(error.contains("cuts") && error.contains("crawl_bytes_a_second"), "{error}");
        let error = Plan::parse(&DAY.replace("relays = 12", "relays = 0"), path).expect_err("nobody");
        assert!(error.to_string().contains("at least one relay"), "{error}");
    }
}
