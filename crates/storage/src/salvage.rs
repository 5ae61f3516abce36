//! Reads whatever is whole in a damaged log.

use crate::error::StorageError;
use crate::files::{Files, read_whole};
use crate::format::{FRAME_HEADER_BYTES, SEGMENT_HEADER_BYTES, find_frame};
use crate::recovery::is_log_file;

/// What [`salvage`] found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SalvageReport {
    /// Records that were whole.
    pub whole: u64,
    /// Stretches that held no whole record: file, first byte, bytes.
    pub damaged: Vec<(String, u64, u64)>,
}

/// Tells of every whole record in all snapshots and segments, by file name in order, and changes nothing. Nobody may
/// take what it tells for complete: a record whose end lies in a damaged part looks open.
pub fn salvage<F: Files>(
    files: &mut F, visit: &mut dyn FnMut(&str, &[u8]),
) -> Result<SalvageReport, StorageError> {
    let mut names = files.list().map_err(|error| StorageError::io(".", error))?;
    names.retain(|name| is_log_file(name));
    names.sort_unstable();
    let mut report = SalvageReport::default();
    for name in names {
        let bytes = read_whole(files, &name).map_err(|error| StorageError::io(&name, error))?;
        let mut place = SEGMENT_HEADER_BYTES.min(bytes.len());
        while place < bytes.len() {
            let found = find_frame(&bytes, place, |_| true);
            let start = found.map_or(bytes.len(), |(offset, _)| offset);
            if start > place {
                report.damaged.push((name.clone(), place as u64, (start - place) as u64));
            }
            let Some((offset, header)) = found else { break };
            place = offset + header.frame_bytes() as usize;
            report.whole += 1;
            visit(&name, &bytes[offset + FRAME_HEADER_BYTES..place]);
        }
    }
    Ok(report)
}
