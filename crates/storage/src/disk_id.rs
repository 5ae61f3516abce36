//! The identity of a data folder.

use std::hash::{BuildHasher, RandomState};

use crate::error::StorageError;
use crate::files::{Files, read_whole};
use crate::recovery::is_log_file;

/// The file that holds the identity.
pub const DISK_ID_FILE: &str = "disk-id";

const TEMPORARY_FILE: &str = "disk-id.tmp";

/// Returns the random identity that was created when the folder was first used. It stays the same at each opening; a new
/// identity shows that the disk was lost.
///
/// The identity and its folder are synced before it is returned, so a power loss cannot erase an identity that others
/// already know.
pub fn open_disk_id<F: Files>(files: &mut F) -> Result<u64, StorageError> {
    let names = files.list().map_err(|error| StorageError::io(".", error))?;
    if names.iter().any(|name| name == DISK_ID_FILE) {
        let bytes = read_whole(files, DISK_ID_FILE).map_err(|error| StorageError::io(DISK_ID_FILE, error))?;
        let id = decode(&bytes)
            .ok_or_else(|| StorageError::Damaged { file: DISK_ID_FILE.to_string(), offset: 0 })?;
        // The file name may exist without being synced yet.
        files.sync_folder().map_err(|error| StorageError::io(".", error))?;
        return Ok(id);
    }
    // A folder with log files but without an identity could belong to another node.
    if names.iter().any(|name| is_log_file(name)) {
        return Err(StorageError::Damaged { file: DISK_ID_FILE.to_string(), offset: 0 });
    }
    let id = RandomState::new().hash_one(std::process::id()) | 1;
    let io = |error| StorageError::io(DISK_ID_FILE, error);
    files.create(TEMPORARY_FILE).map_err(io)?;
    files.append(TEMPORARY_FILE, &encode(id)).map_err(io)?;
    files.sync_file(TEMPORARY_FILE).map_err(io)?;
    files.rename(TEMPORARY_FILE, DISK_ID_FILE).map_err(io)?;
    files.sync_folder().map_err(io)?;
    Ok(id)
}

fn encode(id: u64) -> Vec<u8> {
    let mut bytes = id.to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&id.to_le_bytes()).to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<u64> {
    let id: [u8; 8] = bytes.get(..8)?.try_into().ok()?;
    let crc: [u8; 4] = bytes.get(8..12)?.try_into().ok()?;
    (u32::from_le_bytes(crc) == crc32fast::hash(&id)).then_some(u64::from_le_bytes(id))
}
