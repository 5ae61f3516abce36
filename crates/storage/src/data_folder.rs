//! An implementation of [`Files`] on a folder of the operating system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::files::Files;

/// A folder of the operating system. The most recently written file stays open, so that an append is one system call.
pub struct DataFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl DataFolder {
    /// Opens a folder, and creates it and its parents if they do not exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(DataFolder { path: path.to_path_buf(), open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            self.open = None;
            let file = OpenOptions::new().read(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.to_string(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn close(&mut self, name: &str) {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
    }
}

impl Files for DataFolder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file()
                && let Ok(name) = entry.file_name().into_string()
            {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn read(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        let other;
        let file = match &self.open {
            Some((_, file)) if is_open => file,
            _ => {
                other = File::open(self.path.join(name))?;
                &other
            }
        };
        let mut filled = 0;
        while filled < buffer.len() {
            match file.read_at(&mut buffer[filled..], offset + filled as u64) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(filled)
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
