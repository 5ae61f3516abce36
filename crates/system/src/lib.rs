//! The processes of the system, assembled from its planes: sockets, clocks, signals and threads, and nothing that
//! decides.

pub mod clock;
pub mod disk;
pub mod error;
pub mod logging;
pub mod message;
pub mod node;
pub mod operator;
pub mod relay;
pub mod settings_file;
pub mod signals;
pub mod status;
pub mod store;
pub mod wake;

use error::SystemError;
use settings_file::SettingsFile;
use signals::Signals;
use tokio::task::LocalSet;

/// Runs a relay until it is told to stop.
pub fn run_relay() -> Result<(), SystemError> {
    run(relay::run)
}

/// Runs a store until it is told to stop.
pub fn run_store() -> Result<(), SystemError> {
    run(store::run)
}

fn run<F: Future<Output = Result<(), SystemError>>>(
    process: impl FnOnce(SettingsFile, Signals) -> F,
) -> Result<(), SystemError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(SystemError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        // Danger: a signal that comes before this ends the process by the system's default, whatever it has opened.
        let signals = Signals::new()?;
        logging::start(logging::level());
        process(SettingsFile::from_environment()?, signals).await
    })
}
