//! Cuts messages out of bytes: a head, then a body by its length, by chunks, or up to the end.

use std::io;

use bytes::{Buf, Bytes, BytesMut};

use crate::{Fault, MAX_HEAD_BYTES, MOST_HEADERS};

/// The largest chunk of a body that is not kept.
const MOST_CHUNK: usize = 4 * 1024 * 1024;

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Length {
    Exact(usize),
    Chunked,
    UntilEnd,
}

/// What a head says: its own part, and the body that follows.
pub(crate) struct Head<H> {
    pub(crate) start: H,
    pub(crate) length: Length,
    /// Its body may be longer than others.
    pub(crate) roomy: bool,
}

#[derive(Debug)]
pub(crate) enum Stage<H> {
    Head,
    Body { start: H, length: Length, most: usize, body: BytesMut },
}

/// Cuts messages out of bytes. The first line is read by `parse`, the rest is the same for both kinds.
#[derive(Debug)]
pub(crate) struct Reader<H> {
    most_body: usize,
    /// For bodies that may be longer.
    most_roomy: usize,
    /// Bodies are read and not kept, however long they are.
    discards: bool,
    pub(crate) stage: Stage<H>,
}

/// What `parse` makes of the bytes so far: a head and its size, or none yet.
pub(crate) type Parsed<H> = Result<Option<(Head<H>, usize)>, Fault>;

impl<H> Reader<H> {
    pub(crate) fn new(most_body: usize, most_roomy: usize) -> Self {
        Reader { most_body, most_roomy, discards: false, stage: Stage::Head }
    }

    /// One that keeps no bodies.
    pub(crate) fn discarding() -> Self {
        Reader { discards: true, ..Reader::new(MOST_CHUNK, MOST_CHUNK) }
    }

    /// A part of a message has come, but not all of it.
    pub(crate) fn is_midway(&self, buffered: &[u8]) -> bool {
        blank(buffered) < buffered.len() || !matches!(self.stage, Stage::Head)
    }

    pub(crate) fn read(
        &mut self, bytes: &mut BytesMut, parse: fn(&[u8]) -> Parsed<H>,
    ) -> Result<Option<(H, Bytes)>, Fault> {
        if let Stage::Head = self.stage {
            bytes.advance(blank(bytes));
            let Some((head, size)) = parse(&bytes[..bytes.len().min(MAX_HEAD_BYTES)])? else {
                return if bytes.len() >= MAX_HEAD_BYTES { Err(Fault::HeadTooLong) } else { Ok(None) };
            };
            let most = if head.roomy { self.most_roomy } else { self.most_body };
            if !self.discards && matches!(head.length, Length::Exact(length) if length > most) {
                return Err(Fault::BodyTooLong);
            }
            bytes.advance(size);
            self.stage = Stage::Body { start: head.start, length: head.length, most, body: BytesMut::new() };
        }
        let Stage::Body { length, most, body, .. } = &mut self.stage else { return Ok(None) };
        let whole = match *length {
            _ if self.discards => discard(bytes, length, body)?,
            Length::Exact(length) if bytes.len() >= length => {
                *body = bytes.split_to(length);
                true
            }
            Length::Exact(_) => false,
            Length::Chunked => read_chunks(bytes, body, *most)?,
            Length::UntilEnd if bytes.len() > *most => return Err(Fault::BodyTooLong),
            Length::UntilEnd => false,
        };
        Ok(if whole { self.take() } else { None })
    }

    /// What has come when the other side ends the connection.
    pub(crate) fn read_end(&mut self, bytes: &mut BytesMut) -> Result<Option<(H, Bytes)>, Fault> {
        match &mut self.stage {
            Stage::Body { length: Length::UntilEnd, body, .. } => {
                *body = bytes.split();
                Ok(self.take())
            }
            Stage::Head if bytes.is_empty() => Ok(None),
            _ => Err(Fault::Io(io::ErrorKind::UnexpectedEof.into())),
        }
    }

    fn take(&mut self) -> Option<(H, Bytes)> {
        match std::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Body { start, body, .. } => Some((start, body.freeze())),
            Stage::Head => None,
        }
    }
}

/// Drops what has come of a body; true at its end.
fn discard(bytes: &mut BytesMut, length: &mut Length, chunks: &mut BytesMut) -> Result<bool, Fault> {
    match length {
        Length::Exact(rest) => {
            let count = bytes.len().min(*rest);
            bytes.advance(count);
            *rest -= count;
            Ok(*rest == 0)
        }
        Length::Chunked => {
            let is_whole = read_chunks(bytes, chunks, MOST_CHUNK)?;
            chunks.clear();
            Ok(is_whole)
        }
        Length::UntilEnd => {
            bytes.clear();
            Ok(false)
        }
    }
}

/// Bytes of empty lines in front, which are to be skipped (RFC 9112, 2.2).
fn blank(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
}

/// Moves whole chunks from `bytes` to `body`; true after the last one and its trailers.
fn read_chunks(bytes: &mut BytesMut, body: &mut BytesMut, most: usize) -> Result<bool, Fault> {
    loop {
        let (start, size) = match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((start, size))) => (start, size),
            Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
                return Err(Fault::Malformed("a chunk's size is too long"));
            }
            Ok(httparse::Status::Partial) => return Ok(false),
            Err(_) => return Err(Fault::Malformed("a chunk has no size")),
        };
        if size == 0 {
            let mut trailers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            return match httparse::parse_headers(&bytes[start..], &mut trailers) {
                Ok(httparse::Status::Complete((end, _))) => {
                    bytes.advance(start + end);
                    Ok(true)
                }
                Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => Err(Fault::HeadTooLong),
                Ok(httparse::Status::Partial) => Ok(false),
                Err(_) => Err(Fault::Malformed("a trailer is malformed")),
            };
        }
        let size = usize::try_from(size).ok().filter(|size| body.len().saturating_add(*size) <= most);
        let Some(size) = size else { return Err(Fault::BodyTooLong) };
        if bytes.len() < start + size + 2 {
            return Ok(false);
        }
        bytes.advance(start);
        body.extend_from_slice(&bytes.split_to(size));
        if &bytes[..2] != b"\r\n" {
            return Err(Fault::Malformed("a chunk does not end where it should"));
        }
        bytes.advance(2);
    }
}
