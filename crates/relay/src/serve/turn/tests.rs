//! One folder, two processes.

use std::future::pending;

use pewterseam_node::operator::{Operation, Verdict};

use super::*;
use crate::inputs::Inputs;

/// A folder that another process serves from, and what this one waits with.
struct Beside {
    folder: tempfile::TempDir,
    other: File,
    operators: Operators,
    incoming: mpsc::UnboundedReceiver<Input>,
}

impl Beside {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let other = File::create(folder.path().join(TURN)).expect("a file");
        other.lock().expect("locked");
        let (inputs, incoming) = Inputs::new();
        let pause = Duration::from_millis(100);
        Beside { folder, other, operators: Operators::new(pause, pause, inputs), incoming }
    }

    /// Whether this process has left its word that it waits.
    fn says_it_waits(&self) -> bool {
        self.folder.path().join(NEXT).exists()
    }

    /// What came of the wait within that time, if anything.
    async fn waits(
        &mut self, stop: impl Future<Output = ()>, within: Duration,
    ) -> Option<Result<Option<File>, Fault>> {
        let log = Logger::root(slog::Discard, slog::o!());
        let waiting = take_turn(self.folder.path(), &self.operators, &mut self.incoming, stop, &log);
        tokio::time::timeout(within, waiting).await.ok()
    }
}

#[tokio::test]
async fn a_second_process_waits_for_the_folder_and_says_yes_meanwhile() {
    let mut beside = Beside::new();
    let waited = beside.waits(pending(), Duration::from_millis(300)).await;
    assert!(waited.is_none(), "it waits while the other holds the folder");
    assert!(beside.says_it_waits(), "the other one learns that this one waits");
    beside.other.unlock().expect("ended");
    let taken = beside.waits(pending(), Duration::from_secs(2)).await;
    assert!(matches!(taken, Some(Ok(Some(_)))), "it takes over once the other has ended");
    assert!(!beside.says_it_waits());
    assert_eq!(ops::waiting(&Operation::Status).0, Verdict::Yes);
    assert_eq!(ops::waiting(&Operation::Standby).0, Verdict::NotNow);
}

// Danger: it is killed some seconds later instead, and the word it left has the other one leave all to nobody.
#[tokio::test]
async fn a_process_that_is_asked_to_stop_before_its_turn_ends_and_takes_its_word_back() {
    let mut beside = Beside::new();
    let word = beside.folder.path().join(NEXT);
    let asked = async {
        while !word.exists() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    let ended = beside.waits(asked, Duration::from_secs(10)).await;
    assert!(matches!(ended, Some(Ok(None))), "it ends though the other one serves on");
    assert!(!beside.says_it_waits());
}
