//! Log lines on standard error.

use simplelog::{ConfigBuilder, FormatItem, LevelFilter, WriteLogger, format_description};

/// The variable that names the level of the log: `error`, `warn`, `info`, `debug` or `off`.
pub const LEVEL_VARIABLE: &str = "PEWTERSEAM_LOG";

/// What happens within a millisecond or two in several processes must be told apart.
const TIME: &[FormatItem<'_>] = format_description!("[hour]:[minute]:[second].[subsecond digits:3]");

/// Has log lines written to standard error. A second call does nothing.
pub fn start(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_custom(TIME)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    // Danger: an error here only says that a logger is there already.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}

/// The level that the environment asks for, `info` by default.
pub fn level() -> LevelFilter {
    std::env::var(LEVEL_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(LevelFilter::Info)
}
