//! A segmented log with optional snapshots, and the identity of the data folder.
//!
//! [`Log`] is synchronous and does its I/O through the trait [`Files`], of which there are two implementations:
//! [`DataFolder`] on real files and [`SimulatedFiles`] in memory with power losses. [`LogWriter`] runs a log on a
//! separate thread for callers that must not block on a disk. The format on disk is described in `docs/storage.md`.

mod append_queue;
mod data_folder;
mod disk_id;
mod error;
mod files;
mod format;
mod frame_reader;
mod log;
mod recovery;
mod salvage;
mod simulated;
mod snapshot;
mod writer;

pub use append_queue::{AppendQueue, PendingWrite};
pub use data_folder::DataFolder;
pub use disk_id::{DISK_ID_FILE, open_disk_id};
pub use error::StorageError;
pub use files::Files;
pub use format::{FORMAT_VERSION, FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES, SEGMENT_HEADER_BYTES};
pub use log::{Log, LogOptions, Position};
pub use recovery::{Recovered, RecoveredFrom};
pub use salvage::{SalvageReport, salvage};
pub use simulated::SimulatedFiles;
pub use writer::{LogWriter, WriterEvent, WriterStopped};
