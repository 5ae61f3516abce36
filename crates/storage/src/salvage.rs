//! Reads the intact records of a damaged log.

use crate::error::StorageError;
use crate::files::{Files, read_whole};
use crate::format::{FRAME_HEADER_BYTES, SEGMENT_HEADER_BYTES, find_frame};
use crate::recovery::is_log_file;

/// What [`salvage`] found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SalvageReport {
    /// The number of intact records.
    pub whole: u64,
    /// The ranges without an intact record: file name, offset and size in bytes.
    pub damaged: Vec<(String, u64, u64)>,
}

/// Passes every intact record of all snapshots and segments to `visit`, in the order of file names, and changes nothing.
/// The result may be incomplete: a message whose end lies in a damaged range looks open.
pub fn salvage<F: Files>(
    files: &mut F, visit: &mut dyn FnMut(&str, &[u8]),
) -> Result<SalvageReport, StorageError> {
    let mut names = files.list().map_err(|error| StorageError::io(".", error))?;
    names.retain(|name| is_log_file(name));
    names.sort_unstable();
    let mut report = SalvageReport::default();
    for name in names {
        let bytes = read_whole(files, &name).map_err(|error| StorageError::io(&name, error))?;
        let mut position = SEGMENT_HEADER_BYTES.min(bytes.len());
        while position < bytes.len() {
            let found = find_frame(&bytes, position, |_| true);
            let start = found.map_or(bytes.len(), |(offset, _)| offset);
            if start > position {
                report.damaged.push((name.clone(), position as u64, (start - position) as u64));
            }
            let Some((offset, header)) = found else { break };
            position = offset + header.frame_bytes() as usize;
            report.whole += 1;
            visit(&name, &bytes[offset + FRAME_HEADER_BYTES..position]);
        }
    }
    Ok(report)
}
