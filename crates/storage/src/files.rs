//! The file operations that the log needs.

use std::io;

/// A flat folder of files, by name.
///
/// Nothing is durable before it is synced: a file's bytes by [`Files::sync_file`], and names that were created, renamed
/// or removed by [`Files::sync_folder`].
pub trait Files: Send {
    /// The names of all files, in no particular order.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Creates an empty file; an existing file of that name is truncated.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file. After an error, any part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Reads from an offset into the buffer, up to the end of the file, and returns the number of bytes read.
    fn read(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// The length of a file in bytes.
    fn length(&mut self, name: &str) -> io::Result<u64>;
    /// Truncates a file to a length.
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file and replaces a file that already has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the bytes and the length of a file durable.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Reads a whole file. Used for small files, and for searching a file with a torn or damaged part.
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
