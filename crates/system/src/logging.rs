//! Log lines on standard error.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// The variable that names the level of the log: `error`, `warn`, `info`, `debug` or `off`.
pub const LEVEL_VARIABLE: &str = "PEWTERSEAM_LOG";

/// Has log lines written to standard error. A second call does nothing.
pub fn start(level: LevelFilter) {
    let config =
        ConfigBuilder::new().set_target_level(LevelFilter::Off).set_thread_level(LevelFilter::Off).build();
    // Danger: an error here only says that a logger is there already.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}

/// The level that the environment asks for, `info` by default.
pub fn level() -> LevelFilter {
    std::env::var(LEVEL_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(LevelFilter::Info)
}
