//! Frames of the simulator's wire protocol: big-endian records of fixed size, and a tail for variable-length
//! data.

use std::fmt;
use std::io::{self, Read, Write};

use pewterseam_settings::Malformed;

/// Size of a batch header in bytes: record count, frame size, clock.
pub const BATCH_HEADER: usize = 16;
/// Size of a reply header in bytes: frame size, record count.
pub const REPLY_HEADER: usize = 8;
/// Size of an event record in bytes.
pub const EVENT_SIZE: usize = 56;
/// Size of an action record in bytes.
pub const ACTION_SIZE: usize = 32;
/// Size of a host list entry in bytes.
pub const ENTRY_SIZE: usize = 24;
/// Maximum number of host lists defined at once.
pub const LISTS: usize = 16;

/// An input that can't be processed.
#[derive(Debug)]
pub enum WireError {
    Io(io::Error),
    Frame(String),
    Settings(Malformed),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "input or output failed: {error}"),
            WireError::Frame(text) => write!(f, "malformed frame: {text}"),
            WireError::Settings(error) => write!(f, "malformed settings: {error}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<Malformed> for WireError {
    fn from(error: Malformed) -> Self {
        WireError::Settings(error)
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

/// Returns the error for a malformed frame.
pub fn malformed<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError::Frame(text.into()))
}

/// A read-only view of one record or entry.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }

    pub fn u8(self, at: usize) -> u8 {
        self.0[at]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }

    pub fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.bytes(at)))
    }

    pub fn f64(self, at: usize) -> f64 {
        f64::from_be_bytes(self.bytes(at))
    }

    /// The host's address and port, six bytes as one number.
    pub fn host(self, at: usize) -> u64 {
        self.bytes::<6>(at).iter().fold(0, |host, byte| host << 8 | u64::from(*byte))
    }
}

/// One received batch of events.
pub struct Batch {
    pub clock_s: f64,
    records: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Reads the next batch; `None` at the end of input.
    pub fn read(input: &mut impl Read) -> Result<Option<Self>, WireError> {
        let mut header = [0; BATCH_HEADER];
        let mut have = 0;
        while have < BATCH_HEADER {
            match input.read(&mut header[have..]) {
                Ok(0) if have == 0 => return Ok(None),
                Ok(0) => return malformed(format!("input ends {have} bytes into a batch header")),
                Ok(more) => have += more,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        let fields = Fields(&header);
        let (records, size, clock_s) = (fields.u32(0) as usize, fields.u32(4) as usize, fields.f64(8));
        if !clock_s.is_finite() || clock_s < 0.0 {
            return malformed(format!("invalid clock value {clock_s}"));
        }
        if records
            .checked_mul(EVENT_SIZE)
            .and_then(|n| n.checked_add(BATCH_HEADER))
            .is_none_or(|least| size < least)
        {
            return malformed(format!("a frame of {size} bytes cannot hold {records} records"));
        }
        let mut body = Vec::new();
        input.take((size - BATCH_HEADER) as u64).read_to_end(&mut body)?;
        if body.len() < size - BATCH_HEADER {
            return malformed(format!("input ends after {} of {size} bytes", body.len() + BATCH_HEADER));
        }
        Ok(Some(Batch { clock_s, records, body }))
    }

    pub fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body[..self.records * EVENT_SIZE].chunks_exact(EVENT_SIZE).map(Fields)
    }

    /// The items of `size` bytes in the tail; the field at `at` holds their offset and count.
    pub fn tail(&self, record: Fields<'_>, at: usize, size: usize) -> Result<&[u8], WireError> {
        let (offset, count) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let start = (self.records * EVENT_SIZE).checked_add(offset);
        let end = count.checked_mul(size).and_then(|length| start?.checked_add(length));
        match (start, end) {
            (Some(start), Some(end)) if end <= self.body.len() => Ok(&self.body[start..end]),
            _ => malformed(format!("tail field {offset}+{count} is out of bounds")),
        }
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<[u8; ACTION_SIZE]>,
    tail: Vec<u8>,
}

/// One action record under construction.
pub struct Record([u8; ACTION_SIZE]);

impl Record {
    pub fn new(code: u8, instance: u32) -> Self {
        Record([0; ACTION_SIZE]).put(0, &[code]).put(1, &instance.to_be_bytes())
    }

    pub fn put(mut self, at: usize, bytes: &[u8]) -> Self {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }

    pub fn host(self, at: usize, host: u64) -> Self {
        self.put(at, &host.to_be_bytes()[2..])
    }
}

impl Reply {
    pub fn push(&mut self, record: Record) {
        self.records.push(record.0);
    }

    /// Adds a record and puts `content` into the tail; the field at `at` gets its offset and length.
    pub fn push_with(&mut self, record: Record, at: usize, content: &[u8]) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(content);
        let record = record.put(at, &offset.to_be_bytes());
        self.push(record.put(at + 4, &(content.len() as u32).to_be_bytes()));
    }

    /// Writes the frame and flushes.
    pub fn write(&self, output: &mut impl Write) -> io::Result<()> {
        let size = REPLY_HEADER + self.records.len() * ACTION_SIZE + self.tail.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(size as u32).to_be_bytes());
        frame.extend_from_slice(&(self.records.len() as u32).to_be_bytes());
        frame.extend(self.records.iter().flatten());
        frame.extend_from_slice(&self.tail);
        output.write_all(&frame)?;
        output.flush()
    }
}
