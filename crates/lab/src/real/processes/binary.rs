//! Where the relay's program is.

use std::path::PathBuf;

/// The relay beside this program, as a build of the workspace leaves them; tests stand one folder deeper.
pub fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().map(PathBuf::from).unwrap_or_default();
    let folder = if folder.ends_with("deps") { folder.join("..") } else { folder };
    folder.join("pewterseam")
}
