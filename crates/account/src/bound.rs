//! What no policy could have had: requests while all machines are without power, runs while all hosts of a service are down.
//!
//! It is an estimate from the day's faults and the rates of the windows around them. It counts a request that is sent in
//! the dark as late if power is back within its deadline and as not served otherwise, and a run that becomes due while all
//! hosts of its service are down as late if they stay down for longer than its aim.

use crate::report::Report;
use crate::site::{Class, Day, Site};

const MILLISECONDS_A_SECOND: f64 = 1_000.0;
/// The nines are counted up to this share of requests not served, on a scale of so many powers of ten.
const BEST_UNSERVED: f64 = 0.001;
const NINES: f64 = 3.0;

/// The best that a day allows, as far as its faults tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Shares of the worth owed on the whole day that no policy could earn.
    pub in_the_dark: f64,
    pub without_hosts: f64,
    /// The share of requests that could not be served.
    pub unserved: f64,
}

impl Bound {
    pub fn new(report: &Report, site: &Site, day: &Day) -> Self {
        let owed = site.worth_owed(report);
        let requests = report.all.requests.max(1) as f64;
        let mut bound = Bound { in_the_dark: 0.0, without_hosts: 0.0, unserved: 0.0 };
        let closing = day.closing.as_ref().filter(|closing| closing.how.contains("all"));
        if let Some(closing) = closing {
            for class in &site.classes {
                let rate = rate(report, &class.name);
                let deadline = class.deadline_ms / MILLISECONDS_A_SECOND;
                let hopeless = (closing.down_s - deadline).max(0.0) * rate;
                let late = closing.down_s.min(deadline) * rate;
                bound.unserved += hopeless / requests;
                bound.in_the_dark += (hopeless * class.worth + late * late_loss(class)) / owed;
            }
        }
        for fault in day.faults.iter().filter(|fault| is_outage(&fault.kind, &fault.how)) {
            let Some(service) = &fault.service else { continue };
            for class in site.classes.iter().filter(|class| class.service == *service) {
                let aim = class.ingest.run_aim_ms / MILLISECONDS_A_SECOND;
                let late = (fault.for_s - aim).max(0.0) * rate(report, &class.name);
                bound.without_hosts += late * late_loss(class) / owed;
            }
        }
        bound
    }

    /// The value of the part that counts nines, at the best.
    pub fn nines(&self) -> f64 {
        (-self.unserved.max(BEST_UNSERVED).log10() / NINES).min(1.0)
    }
}

fn is_outage(kind: &str, how: &str) -> bool {
    kind == "srv_crash" && how.split(' ').any(|word| word == "all")
}

fn late_loss(class: &Class) -> f64 {
    class.worth - class.late_worth
}

/// Requests of a class a second, in the mean of the day. Windows are named by the second at which they begin.
fn rate(report: &Report, class: &str) -> f64 {
    let begins: Vec<f64> = report.windows.iter().filter_map(|window| window.name.parse().ok()).collect();
    let step = begins.windows(2).map(|pair| pair[1] - pair[0]).next().unwrap_or(1.0);
    let span = (begins.len() as f64 * step).max(1.0);
    let counts = report.classes.iter().find(|counts| counts.name == class);
    counts.map_or(0.0, |counts| counts.requests as f64 / span)
}
