//! Data folders and the logs in them.

use std::fs;
use std::path::Path;

use pewterseam_storage::{DataFolder, open_disk_id};
use pewterseam_wire::identity::DiskId;

use crate::error::SystemError;

/// Opens a folder of the data folder.
pub fn open_folder(path: &Path) -> Result<DataFolder, SystemError> {
    fs::create_dir_all(path).map_err(|error| SystemError::Folder { path: path.to_owned(), error })?;
    DataFolder::open(path).map_err(|error| SystemError::Folder { path: path.to_owned(), error })
}

/// The identity of the data folder, drawn when it is first used.
pub fn disk_id(folder: &mut DataFolder) -> Result<DiskId, SystemError> {
    Ok(DiskId(open_disk_id(folder)?))
}
