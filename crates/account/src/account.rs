//! The points that a day lacks to 1, and where they went.

use crate::report::{Counts, Report};
use crate::site::Site;

/// Points that went for one reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub name: String,
    pub points: f64,
}

/// What a class lost of the whole day's worth, as shares of the worth owed.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoss {
    pub name: String,
    pub late: f64,
    pub refused: f64,
    pub failed: f64,
    pub never_run: f64,
}

impl ClassLoss {
    pub fn sum(&self) -> f64 {
        self.late + self.refused + self.failed + self.never_run
    }
}

/// Where a day's worth went.
#[derive(Clone, Debug)]
pub struct Account {
    pub figure: f64,
    /// What parts and prices took.
    pub points: Vec<Point>,
    pub classes: Vec<ClassLoss>,
    /// What the whole day lost by its own figure, and by the sum of the classes.
    pub whole_day: (f64, f64),
}

impl Account {
    pub fn new(report: &Report, site: &Site) -> Self {
        let part = |(name, weight, value): &(String, f64, f64)| Point {
            name: name.clone(),
            points: weight * (1.0 - value),
        };
        let price = |(name, _, points): &(String, f64, f64)| Point { name: name.clone(), points: *points };
        let points = report.parts.iter().map(part).chain(report.prices.iter().map(price)).collect();
        let owed = site.worth_owed(report);
        let classes: Vec<ClassLoss> =
            report.classes.iter().map(|counts| class_loss(counts, site, owed)).collect();
        let lost = classes.iter().map(ClassLoss::sum).sum();
        Account { figure: report.figure, points, classes, whole_day: (1.0 - report.all.worth, lost) }
    }

    /// The points of all reasons; with the figure they make 1, up to rounding.
    pub fn lost(&self) -> f64 {
        self.points.iter().map(|point| point.points).sum()
    }
}

fn class_loss(counts: &Counts, site: &Site, owed: f64) -> ClassLoss {
    let (worth, late_worth) =
        site.class(&counts.name).map_or((1.0, 0.0), |class| (class.worth, class.late_worth));
    let share = |count: u64, lost: f64| count as f64 * lost / owed;
    ClassLoss {
        name: counts.name.clone(),
        late: share(counts.late, worth - late_worth),
        refused: share(counts.refused, worth),
        failed: share(counts.failed, worth),
        never_run: share(counts.never_run(), worth),
    }
}
