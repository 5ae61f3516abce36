//! What the log needs of a folder of files.

use std::io;

/// A flat folder of files, by name.
///
/// Nothing is durable before it is synced: a file's bytes by [`Files::sync_file`], and names that were created, renamed
/// or removed by [`Files::sync_folder`].
pub trait Files: Send {
    /// The names of all files, in no order.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Makes an empty file; one of that name is emptied.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Writes at the end of a file. After an error, any part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Reads from an offset into the buffer, as far as the file goes, and returns how much was read.
    fn read(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// The length of a file in bytes.
    fn length(&mut self, name: &str) -> io::Result<u64>;
    /// Cuts a file to a length.
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Gives a file another name, in the place of a file that may have it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes a file's bytes and length durable.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;
    /// Makes durable which names exist.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Reads a whole file. For small ones, and for the rare search of a damaged one.
pub(crate) fn read_whole<F: Files>(files: &mut F, name: &str) -> io::Result<Vec<u8>> {
    let length = files.length(name)? as usize;
    let mut bytes = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match files.read(name, filled as u64, &mut bytes[filled..])? {
            0 => break,
            count => filled += count,
        }
    }
    bytes.truncate(filled);
    Ok(bytes)
}
