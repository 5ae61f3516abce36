//! The account as tables.

use std::fmt::Write as _;

use comfy_table::{Table, presets};

use crate::account::Account;
use crate::bound::Bound;
use crate::report::Report;

/// Points below this are left out of the table.
const LEAST_SHOWN: f64 = 0.000_05;

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(head.to_vec());
    table
}

fn points(value: f64) -> String {
    format!("{value:.4}")
}

/// The account of a day, with what no policy could have had where the day is known.
pub fn show(report: &Report, account: &Account, bound: Option<&Bound>) -> String {
    let mut text = String::new();
    let parts = [by_reason(account), by_class(account), by_window(report), by_last_answer(report)];
    for part in parts {
        let _ = writeln!(text, "{part}\n");
    }
    if let Some(bound) = bound {
        let _ = writeln!(text, "{}\n", out_of_reach(report, bound));
    }
    text
}

fn by_reason(account: &Account) -> Table {
    let mut table = table(&["part or price", "points"]);
    for point in account.points.iter().filter(|point| point.points.abs() >= LEAST_SHOWN) {
        table.add_row(vec![point.name.clone(), points(point.points)]);
    }
    table.add_row(vec!["all of these".to_owned(), points(account.lost())]);
    table.add_row(vec!["figure of the day".to_owned(), points(account.figure)]);
    table.add_row(vec!["sum".to_owned(), points(account.lost() + account.figure)]);
    table
}

fn by_class(account: &Account) -> Table {
    let mut table = table(&["of the whole day's worth", "late", "refused", "failed", "never run", "all"]);
    for class in &account.classes {
        let cells = [class.late, class.refused, class.failed, class.never_run, class.sum()];
        table.add_row([class.name.clone()].into_iter().chain(cells.map(points)));
    }
    let (lost, summed) = account.whole_day;
    let sum = ["sum", "", "", "", ""].map(str::to_owned).into_iter().chain([points(summed)]);
    table.add_row(sum);
    let told = ["by the day's figure", "", "", "", ""].map(str::to_owned).into_iter().chain([points(lost)]);
    table.add_row(told);
    table
}

fn by_window(report: &Report) -> Table {
    let mut table = table(&["from second", "requests", "late", "refused", "failed", "never run", "worth"]);
    for window in &report.windows {
        let counts = [window.requests, window.late, window.refused, window.failed, window.never_run()];
        let cells = counts.map(|count| count.to_string()).into_iter().chain([format!("{:.3}", window.worth)]);
        table.add_row([window.name.clone()].into_iter().chain(cells));
    }
    table
}

fn by_last_answer(report: &Report) -> Table {
    let mut table = table(&["not served, last answer", "requests"]);
    for (answer, count, _) in &report.unserved_by {
        table.add_row(vec![answer.clone(), count.to_string()]);
    }
    table
}

fn out_of_reach(report: &Report, bound: &Bound) -> Table {
    let mut table = table(&["out of reach", "share", "of"]);
    table.add_row(vec![
        "all machines without power".to_owned(),
        points(bound.in_the_dark),
        "worth".to_owned(),
    ]);
    table.add_row(vec![
        "all hosts of a service down".to_owned(),
        points(bound.without_hosts),
        "worth".to_owned(),
    ]);
    table.add_row(vec!["not served at the best".to_owned(), points(bound.unserved), "requests".to_owned()]);
    table.add_row(vec!["not served".to_owned(), points(report.unserved), "requests".to_owned()]);
    table.add_row(vec!["nines at the best".to_owned(), points(bound.nines()), "part".to_owned()]);
    table
}
