//! Lists that were made for the purpose: what is read, what is refused with its line, and what plays are worth.

use pewterseam_known_red::{
    ListError, Outcome, Seed, Verdict, outcome_of, passed_over_seeds, play, read, skipped_tests, verdict,
};
use quickcheck::quickcheck;

const GOOD: &str = "# Remarks are passed over.\n\
    test: group::some_test\n\
    command: SOME_SEED=12 cargo test -p some group::some_test\n\
    seed: 12\n\
    plays: 3\n\
    seen: LOST: it is gone\n\
    issue: 61\n\
    \n\
    test: other_test\n\
    command: cargo test -p other other_test\n\
    seed: none\n\
    plays: 1\n\
    seen: it hangs\n\
    issue: 7\n";

/// The good list with one text in place of another.
fn with(text: &str, other: &str) -> String {
    assert!(GOOD.contains(text), "{text}");
    GOOD.replacen(text, other, 1)
}

#[test]
fn a_list_is_read() {
    let entries = read(GOOD).expect("a good list");
    assert_eq!(entries.len(), 2);
    let first = &entries[0];
    assert_eq!((first.line, first.test.as_str(), first.seed), (2, "group::some_test", Seed::Of(12)));
    assert_eq!((first.plays.get(), first.issue.get()), (3, 61));
    assert_eq!(first.seen, "LOST: it is gone");
    assert_eq!((entries[1].line, entries[1].seed), (9, Seed::Any));
    assert_eq!(skipped_tests(&entries).collect::<Vec<_>>(), ["other_test"]);
    assert_eq!(passed_over_seeds(&entries), "group::some_test=12");
    assert_eq!(read(""), Ok(Vec::new()));
    assert_eq!(read("# None.\n\n\n"), Ok(Vec::new()));
}

/// Guards against entries that are passed over because nobody can read them.
#[test]
fn what_is_not_in_the_form_is_refused_with_its_line() {
    let value =
        |line, name, value: &str, wanted| ListError::Value { line, name, value: value.to_owned(), wanted };
    let cases = [
        (with("seed: 12\n", "seed 12\n"), ListError::NoField { line: 4, text: "seed 12".to_owned() }),
        (with("seed: 12\n", "sead: 12\n"), ListError::UnknownField { line: 4, name: "sead".to_owned() }),
        (with("seed: 12\n", "seed: 12\nseed: 12\n"), ListError::Twice { line: 5, name: "seed" }),
        (with("seed: 12\n", ""), ListError::Missing { line: 2, name: "seed" }),
        (with("seed: 12\n", "seed: twelve\n"), value(4, "seed", "twelve", "a number or `none`")),
        (
            with("seed: 12\n", "seed: 13\n"),
            value(
                3,
                "command",
                "SOME_SEED=12 cargo test -p some group::some_test",
                "a command that names the seed",
            ),
        ),
        (with("plays: 3\n", "plays: 0\n"), value(5, "plays", "0", "a number from 1 to 20")),
        (with("plays: 3\n", "plays: 21\n"), value(5, "plays", "21", "a number from 1 to 20")),
        (with("seen: LOST: it is gone\n", "seen:\n"), value(6, "seen", "", "what was seen")),
        (with("issue: 61\n", "issue: none\n"), value(7, "issue", "none", "the number of an issue")),
        (
            with("test: other_test\n", "test: other test\n"),
            value(9, "test", "other test", "the path of a test"),
        ),
        (
            with("test: other_test\n", "test: another\n"),
            value(10, "command", "cargo test -p other other_test", "a command that names the test"),
        ),
        (with("\n\ntest: other_test", "\ntest: other_test"), ListError::Twice { line: 8, name: "test" }),
        // The form of before.
        (
            "clusters_keep_the_rules | LOST | issue 61\n".to_owned(),
            ListError::NoField { line: 1, text: "clusters_keep_the_rules | LOST | issue 61".to_owned() },
        ),
    ];
    for (list, wanted) in cases {
        assert_eq!(read(&list), Err(wanted), "{list}");
    }
}

#[test]
fn outcomes_are_read_from_what_the_runner_prints() {
    let outcome = |output: &str| outcome_of("some_test", output);
    assert_eq!(outcome("running 1 test\ntest some_test ... FAILED\n"), Outcome::Failed);
    assert_eq!(outcome("test some_test ... ok\ntest result: ok. 1 passed\n"), Outcome::Passed);
    assert_eq!(outcome("running 0 tests\ntest result: ok. 0 passed\n"), Outcome::NotThere);
    assert_eq!(outcome("test some_test_of_another_name ... FAILED\n"), Outcome::NotThere);
    assert_eq!(outcome("test some_test ... ignored\n"), Outcome::NotThere);
    assert_eq!(outcome("error: could not compile `some`\n"), Outcome::NotThere);
    let printed = "test some_test ... seed 1: well\n";
    assert_eq!(outcome(&format!("{printed}ok\n\ntest result: ok. 1 passed\n")), Outcome::Passed);
    let failures = "FAILED\n\nfailures:\n    some_test\n\ntest result: FAILED.\n";
    assert_eq!(outcome(&format!("{printed}{failures}")), Outcome::Failed);
    assert_eq!(outcome(printed), Outcome::NotThere, "it broke off");
    assert_eq!(outcome("some_test\n"), Outcome::NotThere, "a line of its name is no failure");
}

/// Guards against an entry that stays although its fault is gone, and against one that must fail in each play.
#[test]
fn an_entry_is_true_while_it_fails_in_some_play() {
    use Outcome::{Failed, NotThere, Passed};
    assert_eq!(verdict(&[Passed, Failed, Passed]), Verdict::Red { failed: 1 });
    assert_eq!(verdict(&[Failed]), Verdict::Red { failed: 1 });
    assert_eq!(verdict(&[Passed, Passed]), Verdict::Green);
    assert_eq!(verdict(&[Failed, NotThere]), Verdict::NotThere);
    assert_eq!(verdict(&[]), Verdict::NotThere);
}

/// Guards against commands that are not played, or not so often as the entry says.
#[test]
fn commands_are_played_as_often_as_the_entry_says() {
    let of_command = |command: &str| {
        let list = format!("test: t\ncommand: {command} # t\nseed: none\nplays: 3\nseen: x\nissue: 1\n");
        play(&read(&list).expect("a good list")[0]).expect("a shell")
    };
    assert_eq!(of_command("echo 'test t ... FAILED'"), Verdict::Red { failed: 3 });
    assert_eq!(of_command("echo 'test t ... ok'"), Verdict::Green);
    assert_eq!(of_command("echo nothing"), Verdict::NotThere);
    assert_eq!(of_command("exit 3"), Verdict::NotThere);
}

quickcheck! {
    /// Guards against panics of the reader, whatever stands in the file.
    fn any_text_is_read_or_refused(text: String) -> bool {
        read(&text).is_ok_and(|entries| entries.iter().all(|entry| !entry.test.is_empty())) || read(&text).is_err()
    }
}
