//! The command line as a person meets it.

mod common;

use std::fs;
use std::process::{Command, Output};

use common::*;
use serde_json::json;

fn pewterseam(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pewterseam"));
    for name in ["NODE_CONFIG", "NODE_STATE"] {
        command.env_remove(name);
    }
    command.args(arguments).output().expect("started")
}

fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

#[test]
fn version_and_help_are_printed() {
    let version = pewterseam(&["version"]);
    assert!(version.status.success());
    assert_eq!(out(&version), format!("pewterseam {}\n", env!("CARGO_PKG_VERSION")));
    let help = pewterseam(&["--help"]);
    assert!(help.status.success());
    for word in ["serve", "check", "counters", "journal", "version"] {
        assert!(out(&help).contains(word), "{word}");
    }
}

#[test]
fn what_can_not_be_done_is_one_plain_line() {
    let cases: &[&[&str]] = &[
        &[],
        &["dance"],
        &["serve", "--loud"],
        &["serve"],
        &["check", "--config", "/nowhere/config.json"],
        &["counters", "nowhere"],
        &["counters", "127.0.0.1:1"],
        &["journal", "/nowhere"],
    ];
    for arguments in cases {
        let output = pewterseam(arguments);
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{arguments:?}: {text}");
        assert_eq!(text.lines().count(), 1, "{arguments:?}: {text}");
        assert!(text.starts_with("pewterseam: "), "{arguments:?}: {text}");
    }
}

#[test]
fn each_command_tells_its_arguments() {
    let commands = [
        "serve", "check", "counters", "journal", "version", "relay", "store", "config", "status", "log",
        "local",
    ];
    let overview = out(&pewterseam(&["help"]));
    for command in commands {
        assert!(overview.contains(&format!("\n  {command} ")), "{command}: {overview}");
        let help = pewterseam(&[command, "--help"]);
        assert!(help.status.success(), "{command}");
        assert!(out(&help).starts_with(&format!("Usage: pewterseam {command}")), "{}", out(&help));
    }
}

#[test]
fn what_is_wrong_with_the_words_is_told() {
    let cases: &[(&[&str], &str)] = &[
        (&["config"], "check, get or put is missing"),
        (&["config", "burn"], "there is no command \"config burn\""),
        (&["config", "put", "127.0.0.1:1"], "FILE is missing"),
        (&["status"], "ADDRESS is missing"),
        (&["status", "here"], "ADDRESS \"here\" is not an address"),
        (&["log", "/nowhere"], "[console-no-log] /nowhere holds no log"),
        (&["log", "a", "b"], "unexpected argument \"b\""),
        (&["check", "--settings", "a", "--config", "b"], "--config does not go with --settings"),
        (&["check", "--config", "a", "--config", "b"], "--config is given twice"),
        (&["serve", "--state"], "missing argument for option '--state'"),
        (&["local", "--for", "ever"], "--for \"ever\" is not a number of seconds"),
        (&["config", "get", "127.0.0.1:1"], "[console-silent] 127.0.0.1:1 does not answer"),
    ];
    for (arguments, told) in cases {
        let output = pewterseam(arguments);
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{arguments:?}: {text}");
        assert_eq!(text.lines().count(), 1, "{arguments:?}: {text}");
        assert!(text.starts_with("pewterseam: [") && text.contains(told), "{arguments:?}: {text}");
    }
}

// Danger: who mends a file learns of its faults one start after the other.
#[test]
fn all_faults_of_a_file_are_told_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("file");
    let file = path.to_string_lossy().into_owned();
    fs::write(&path, "ip = \"nowhere\"\nzone = \"a\"\nportRange = [2, 1]\n").expect("written");
    let text = String::from_utf8(pewterseam(&["check", "--settings", &file]).stderr).expect("text");
    let told: Vec<&str> = text.lines().skip(1).map(str::trim).collect();
    assert_eq!(
        told,
        ["nodeName is missing", "ip is not an IP address", "portRange is not two ports"],
        "{text}"
    );
    let route = json!({"name": "r", "backend": "x"});
    fs::write(&path, json!({"version": 1, "routes": [route], "backends": []}).to_string()).expect("written");
    let text = String::from_utf8(pewterseam(&["config", "check", &file]).stderr).expect("text");
    for missing in ["hostname", "pathPrefix", "timeoutMs"] {
        assert!(text.contains(missing), "{missing}: {text}");
    }
}

// Danger: who is woken at night reads what is wrong, and not what to do about it.
#[test]
fn a_configuration_that_does_not_do_is_told_with_a_code_and_a_way_out() {
    let host = StandIn::start(|_| None);
    let place = Place::new(platform(host.address).address);
    drop(place.start()); // writes its configuration
    let path = place.folder.path().join("config.json");
    let whole: serde_json::Value =
        serde_json::from_slice(&fs::read(&path).expect("read")).expect("the configuration");
    let cases = [
        ("/settings/family_info/late", json!("soon"), "settings-word", "one of linear, halving"),
        ("/settings/allowed/conn_idle_s", json!(-1), "settings-span", "allowed.conn_idle_s"),
        ("/seed", json!("a seed"), "config-seed", "hexadecimal"),
        ("/limits/disk_mb", json!(0), "config-disk", "limits.disk_mb"),
        ("/listen", json!(80), "config-form", "at that place"),
        ("/settings/me", json!(9), "config-peer", "settings.me"),
    ];
    for (key, value, code, way_out) in cases {
        let mut changed = whole.clone();
        changed["peers"] = json!(["127.0.0.1:1"]);
        let (parent, name) = key.rsplit_once('/').expect("a path");
        changed.pointer_mut(parent).expect(parent)[name] = value;
        fs::write(&path, changed.to_string()).expect("written");
        let output = pewterseam(&["check", "--config", &path.to_string_lossy()]);
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(text.starts_with(&format!("pewterseam: [{code}] ")), "{key}: {text}");
        assert!(text.contains(way_out) && text.lines().count() == 1, "{key}: {text}");
    }
}

#[test]
fn a_configuration_can_be_checked_and_a_running_relay_asked() {
    let host = StandIn::start(|_| None);
    let platform = platform(host.address);
    let place = Place::new(platform.address);
    let relay = place.start();
    let config = place.folder.path().join("config.json");
    let checked = pewterseam(&["check", "--config", &config.to_string_lossy()]);
    assert_eq!(out(&checked), "n0: 3 classes, 1 tenants, 8 slots\n");
    assert_eq!(relay.hand_in(&message("m1", "transfer", Some("acct"), b"12345")), 202);
    wait_for("sent", || host.ids().len() == 1);
    let counters = out(&pewterseam(&["counters", &place.listen.to_string()]));
    assert!(counters.contains("taken 1\n") && counters.contains("held 1\n"), "{counters}");
    let folder = place.state();
    let journal = out(&pewterseam(&["journal", &folder.to_string_lossy()]));
    assert!(journal.starts_with("1 \"m1\" class \"transfer\" tenant \"acme\" to 7 by "), "{journal}");
    assert!(journal.ends_with(" key \"acct\", 5 bytes, 1 attempts, may have run\n"), "{journal}");
    let records = out(&pewterseam(&["journal", "--records", &folder.to_string_lossy()]));
    assert!(records.contains("1 taken \"m1\"") && records.contains("1 attempt started at "), "{records}");
}
