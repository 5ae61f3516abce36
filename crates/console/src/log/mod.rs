//! What the data folder of a store or of a core member holds. Nothing in the folder is changed: its files are read into
//! memory and opened there as a start would open them. The process may run meanwhile; its newest batch may then look
//! torn.

pub(crate) mod control;
pub(crate) mod folder;
mod messages;

use std::fmt::Write;
use std::path::Path;

use crate::error::ConsoleError;

pub use control::ControlReport;
pub use folder::FolderReport;
pub use messages::{MessageLine, MessagesReport};

/// The folders that processes make in their data folder.
const MESSAGES: &str = "messages";
pub(crate) const CONTROL: &str = "control";

/// Describes a data folder; `names` adds a line for each message.
pub fn describe(path: &Path, names: bool) -> Result<String, ConsoleError> {
    let (messages, control) = (path.join(MESSAGES), path.join(CONTROL));
    if !messages.is_dir() && !control.is_dir() {
        return Err(ConsoleError::NoLog { path: path.to_owned() });
    }
    let mut text = String::new();
    // Danger: none. Writing to a text does not fail.
    if control.is_dir() {
        let (folder, report) = control::read(&control)?;
        let _ = write!(text, "control log, {folder}{report}");
    }
    if messages.is_dir() {
        let (folder, report) = messages::read(&messages)?;
        let _ = write!(text, "message log, {folder}{report}");
        for message in report.messages.iter().filter(|_| names) {
            let _ = writeln!(text, "  {message}");
        }
    }
    Ok(text)
}
