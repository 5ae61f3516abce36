//! A relay's folder, from one process to the next.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use super::relay::Keeps;
use crate::real::error::Unplayable;

/// The state that lasts, and a copy of what it was at the day's start.
#[derive(Clone, Debug)]
pub struct Folder {
    pub state: PathBuf,
    pub config: PathBuf,
    /// Where relays form a fleet.
    pub operator: Option<PathBuf>,
    before: PathBuf,
}

impl Folder {
    pub fn new(base: &Path) -> Result<Self, Unplayable> {
        let folder = Folder {
            state: base.join("state"),
            config: base.join("config.json"),
            operator: None,
            before: base.join("before"),
        };
        for path in [&folder.state, &folder.before] {
            fs::create_dir_all(path).map_err(failed(path))?;
        }
        Ok(folder)
    }

    /// Keeps a copy of what is in it now.
    pub fn remember(&self) -> Result<(), Unplayable> {
        copy(&self.state, &self.before).map_err(failed(&self.before))
    }

    /// Makes it what the next process is to find.
    pub fn prepare(&self, keeps: Keeps) -> Result<(), Unplayable> {
        let done = match keeps {
            Keeps::All => Ok(()),
            Keeps::Nothing => empty(&self.state),
            Keeps::TheStart => empty(&self.state).and_then(|()| copy(&self.before, &self.state)),
        };
        done.map_err(failed(&self.state))
    }

    /// Has the relay form a fleet by an operator's file, with its key beside it.
    pub fn form(&mut self, file: &str, key: &str) -> Result<(), Unplayable> {
        let base = self.state.parent().unwrap_or(&self.state).to_owned();
        let operator = base.join("fleet.toml");
        fs::write(base.join("fleet.key"), key).map_err(failed(&base))?;
        fs::write(&operator, file).map_err(failed(&operator))?;
        self.operator = Some(operator);
        Ok(())
    }

    pub fn configure(&self, config: &serde_json::Value) -> Result<(), Unplayable> {
        fs::write(&self.config, config.to_string()).map_err(failed(&self.config))
    }
}

fn failed(path: &Path) -> impl FnOnce(io::Error) -> Unplayable {
    let path = path.to_owned();
    move |error| Unplayable::Folder { path, error }
}

fn empty(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir(folder)
}

/// A relay's folder has no folders in it.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        match fs::copy(entry.path(), to.join(entry.file_name())) {
            // The relay has cleared it away meanwhile.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            copied => drop(copied?),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a day that loses a folder plays on with what it held, and proves nothing.
    #[test]
    fn a_folder_is_kept_emptied_or_put_back() {
        let base = tempfile::tempdir().expect("a folder");
        let folder = Folder::new(base.path()).expect("made");
        let files = || fs::read_dir(&folder.state).expect("a folder").count();
        fs::write(folder.state.join("0.log"), "old").expect("written");
        folder.remember().expect("copied");
        fs::write(folder.state.join("0.log"), "new").expect("written");
        fs::write(folder.state.join("1.log"), "more").expect("written");
        folder.prepare(Keeps::All).expect("kept");
        assert_eq!(files(), 2);
        folder.prepare(Keeps::TheStart).expect("put back");
        assert_eq!((files(), fs::read(folder.state.join("0.log")).expect("there")), (1, b"old".to_vec()));
        folder.prepare(Keeps::Nothing).expect("emptied");
        assert_eq!(files(), 0);
    }
}
