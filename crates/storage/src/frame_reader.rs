//! Reads the frames of a file in order through a small buffer.

use crate::error::StorageError;
use crate::files::Files;
use crate::format::{FRAME_HEADER_BYTES, FrameHeader};

const READ_AHEAD_BYTES: usize = 64 * 1024;

/// An intact frame.
pub(crate) struct Frame<'a> {
    pub header: FrameHeader,
    pub offset: u64,
    pub payload: &'a [u8],
}

/// The result of reading the next frame.
pub(crate) enum NextFrame<'a> {
    Frame(Frame<'a>),
    /// The file ends here.
    End,
    /// No intact frame begins at this offset.
    Invalid {
        offset: u64,
    },
}

/// Reads the frames of a file in order.
pub(crate) struct FrameReader<'a, F> {
    files: &'a mut F,
    name: &'a str,
    length: u64,
    /// The offset of the next frame.
    offset: u64,
    buffer: Vec<u8>,
    /// The file offset of the buffer's first byte.
    buffer_offset: u64,
}

impl<'a, F: Files> FrameReader<'a, F> {
    pub fn new(files: &'a mut F, name: &'a str, offset: u64) -> Result<Self, StorageError> {
        let length = files.length(name).map_err(|error| StorageError::io(name, error))?;
        Ok(FrameReader { files, name, length, offset, buffer: Vec::new(), buffer_offset: offset })
    }

    pub fn next_frame(&mut self) -> Result<NextFrame<'_>, StorageError> {
        let offset = self.offset;
        if offset >= self.length {
            return Ok(NextFrame::End);
        }
        let Some(header) = self.bytes(offset, FRAME_HEADER_BYTES)?.and_then(FrameHeader::decode) else {
            return Ok(NextFrame::Invalid { offset });
        };
        let payload_offset = offset + FRAME_HEADER_BYTES as u64;
        if payload_offset + u64::from(header.length) > self.length {
            return Ok(NextFrame::Invalid { offset });
        }
        let is_intact = self
            .bytes(payload_offset, header.length as usize)?
            .is_some_and(|payload| header.matches(payload));
        if !is_intact {
            return Ok(NextFrame::Invalid { offset });
        }
        self.offset = offset + header.frame_bytes();
        match self.bytes(payload_offset, header.length as usize)? {
            Some(payload) => Ok(NextFrame::Frame(Frame { header, offset, payload })),
            None => Ok(NextFrame::Invalid { offset }),
        }
    }

    /// Returns bytes of the file through the read-ahead buffer, or `None` if the file ends before them.
    fn bytes(&mut self, offset: u64, length: usize) -> Result<Option<&[u8]>, StorageError> {
        let buffer_end = self.buffer_offset + self.buffer.len() as u64;
        if offset < self.buffer_offset || offset + length as u64 > buffer_end {
            let wanted = length.max(READ_AHEAD_BYTES).min((self.length - offset) as usize);
            self.buffer.clear();
            self.buffer.resize(wanted, 0);
            self.buffer_offset = offset;
            let count = self
                .files
                .read(self.name, offset, &mut self.buffer)
                .map_err(|error| StorageError::io(self.name, error))?;
            self.buffer.truncate(count);
        }
        let start = (offset - self.buffer_offset) as usize;
        Ok(self.buffer.get(start..start + length))
    }
}
