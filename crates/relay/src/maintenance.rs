//! The hosts under maintenance, in the folder that lasts: written at each change, read at a start, so that a
//! restart or a new version keeps them out until the operators' call back.

use std::fs;
use std::io;
use std::path::Path;

use crate::unread::Unread;

const FILE: &str = "maintenance.json";
/// It is written under this name first; a process killed meanwhile leaves the last whole file.
const UNFINISHED: &str = "maintenance.new";

/// The names kept; none where there is no file.
pub fn read(folder: &Path) -> Result<Vec<String>, Unread> {
    match fs::read(folder.join(FILE)) {
        Ok(bytes) => serde_json::from_slice(&bytes).map_err(|error| Unread::Form { file: FILE, error }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(Unread::File { file: FILE, error }),
    }
}

pub fn write(folder: &Path, names: &[String]) -> io::Result<()> {
    let bytes = serde_json::to_vec(names)?;
    fs::write(folder.join(UNFINISHED), bytes)?;
    fs::rename(folder.join(UNFINISHED), folder.join(FILE))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_outlast_the_process_and_a_missing_file_is_none() {
        let folder = tempfile::tempdir().expect("folder");
        assert_eq!(read(folder.path()).expect("none"), Vec::<String>::new());
        let names = vec!["h-1".to_owned(), "h-7".to_owned()];
        write(folder.path(), &names).expect("written");
        assert_eq!(read(folder.path()).expect("whole"), names);
        write(folder.path(), &[]).expect("written");
        assert_eq!(read(folder.path()).expect("none"), Vec::<String>::new());
        fs::write(folder.path().join(FILE), b"[\"cut").expect("written");
        assert!(matches!(read(folder.path()), Err(Unread::Form { .. })));
    }
}
