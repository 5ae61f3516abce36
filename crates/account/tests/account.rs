//! The account of a small report: sums agree, and what is out of reach is told.

use pewterseam_account::{Account, Bound, Report, Site, show};

const REPORT: &str = r#"{
  "G": 0.681, "unserved": 0.1,
  "parts": [["whole day", 0.6, 0.78], ["nines", 0.4, 0.5775]],
  "prices": [["GB between zones", 0.5, 0.018], ["machine-seconds", 3.0, 0.0]],
  "all": {"name": "all", "n": 200, "in_aim": 140, "late": 30, "refused": 10, "failed": 10, "not_owed": 0, "worth": 0.78},
  "classes": [
    {"name": "plain", "n": 100, "in_aim": 80, "late": 10, "refused": 5, "failed": 5, "not_owed": 0, "worth": 0.83},
    {"name": "dear", "n": 100, "in_aim": 60, "late": 20, "refused": 5, "failed": 5, "not_owed": 0, "worth": 0.66}
  ],
  "windows": [
    {"name": "0", "n": 100, "in_aim": 90, "late": 10, "refused": 0, "failed": 0, "not_owed": 0, "worth": 0.9},
    {"name": "2", "n": 100, "in_aim": 50, "late": 20, "refused": 10, "failed": 10, "not_owed": 0, "worth": 0.6}
  ],
  "unserved_by": [["503", 10, []], ["deadline", 10, []]]
}"#;

const SITE: &str = r#"
classes = [
  { name = "plain", service = "one", worth = 1, late_worth = 0.3, deadline_ms = 800, ingest = { run_aim_ms = 600 } },
  { name = "dear", service = "two", worth = 2, late_worth = 0.6, deadline_ms = 800, ingest = { run_aim_ms = 600 } },
]
[[day]]
name = "dark"
closing = { kind = "power_off_all", down_s = 1.0, how = "all taken" }
faults = [
  { at = 1, kind = "srv_crash", service = "two", how = "dark all", for_s = 1.6 },
  { at = 1, kind = "srv_crash", service = "one", how = "gone", for_s = 9.0 },
]
[[day]]
name = "calm"
"#;

fn read() -> (Report, Site) {
    (Report::read(REPORT).expect("a report"), Site::read(SITE).expect("a site"))
}

/// Guards against points that are counted twice or forgotten.
#[test]
fn points_and_figure_make_one() {
    let (report, site) = read();
    let account = Account::new(&report, &site);
    assert!((account.lost() + account.figure - 1.0).abs() < 1e-9, "{}", account.lost());
}

/// Guards against classes whose losses do not add up: late ones lose a part of their worth, others all of it.
#[test]
fn classes_lose_by_their_worth() {
    let (report, site) = read();
    let account = Account::new(&report, &site);
    let [plain, dear] = account.classes.as_slice() else { panic!("two classes") };
    assert!((plain.late - 7.0 / 300.0).abs() < 1e-9);
    assert!((plain.refused + plain.failed - 10.0 / 300.0).abs() < 1e-9);
    assert!((dear.late - 28.0 / 300.0).abs() < 1e-9);
    assert!((dear.never_run - 20.0 / 300.0).abs() < 1e-9, "{}", dear.never_run);
}

/// Guards against a bound that blames the day for what policy could have had.
#[test]
fn only_outages_of_all_hosts_and_of_all_power_are_out_of_reach() {
    let (report, site) = read();
    let dark = Bound::new(&report, &site, site.day("dark").expect("a day"));
    // 25 requests of each class a second: 0.2 s of both classes without an answer, 0.8 s late; 1 s of one class late.
    assert!((dark.unserved - 10.0 / 200.0).abs() < 1e-9, "{}", dark.unserved);
    assert!((dark.in_the_dark - (15.0 + 20.0 * 2.1) / 300.0).abs() < 1e-9, "{}", dark.in_the_dark);
    assert!((dark.without_hosts - 25.0 * 1.4 / 300.0).abs() < 1e-9, "{}", dark.without_hosts);
    let calm = Bound::new(&report, &site, site.day("calm").expect("a day"));
    assert_eq!(calm, Bound { in_the_dark: 0.0, without_hosts: 0.0, unserved: 0.0 });
    assert!((calm.nines() - 1.0).abs() < 1e-9);
}

/// Guards against tables without their sums, and against a day that is not there.
#[test]
fn tables_show_their_sums() {
    let (report, site) = read();
    let text = show(&report, &Account::new(&report, &site), None);
    assert!(text.contains("| sum               | 1.0000 |"), "{text}");
    assert!(site.day("other").is_err());
}
