//! One folder, two processes.

use std::future::pending;

use pewterseam_node::operator::{Operation, Verdict};
use tokio::task::LocalSet;

use super::*;
use crate::inputs::Inputs;

#[tokio::test]
async fn a_second_process_waits_for_the_folder_and_says_yes_meanwhile() {
    let folder = tempfile::tempdir().expect("folder");
    let held = File::create(folder.path().join(TURN)).expect("a file");
    held.lock().expect("locked");
    let (inputs, mut incoming) = Inputs::new();
    let pause = Duration::from_millis(100);
    let operators = Operators::new(pause, pause, inputs.clone());
    let log = Logger::root(slog::Discard, slog::o!());
    LocalSet::new()
        .run_until(async {
            let waiting = take_turn(folder.path(), &operators, &mut incoming, pending(), &log);
            let waited = tokio::time::timeout(Duration::from_millis(300), waiting).await;
            assert!(waited.is_err(), "it waits while the other holds the folder");
            assert!(folder.path().join(NEXT).exists(), "the other one learns that this one waits");
            drop(held);
            let waiting = take_turn(folder.path(), &operators, &mut incoming, pending(), &log);
            let taken = tokio::time::timeout(Duration::from_secs(2), waiting).await;
            assert!(matches!(taken, Ok(Ok(Some(_)))), "it takes over once the other has ended");
            assert!(!folder.path().join(NEXT).exists());
        })
        .await;
    assert_eq!(ops::waiting(&Operation::Status).0, Verdict::Yes);
    assert_eq!(ops::waiting(&Operation::Standby).0, Verdict::NotNow);
}
// Danger: it is killed some seconds later instead, and the word it left has the other one leave all to nobody.
#[tokio::test]
async fn a_process_that_is_asked_to_stop_before_its_turn_ends_and_takes_its_word_back() {
    let folder = tempfile::tempdir().expect("folder");
    let held = File::create(folder.path().join(TURN)).expect("a file");
    held.lock().expect("locked");
    let (inputs, mut incoming) = Inputs::new();
    let pause = Duration::from_millis(100);
    let operators = Operators::new(pause, pause, inputs.clone());
    let log = Logger::root(slog::Discard, slog::o!());
    let asked = async {
        while !folder.path().join(NEXT).exists() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    let waiting = take_turn(folder.path(), &operators, &mut incoming, asked, &log);
    let ended = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    assert!(matches!(ended, Ok(Ok(None))), "it ends though the other one serves on");
    assert!(!folder.path().join(NEXT).exists());
}
