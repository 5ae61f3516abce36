//! HTTP/1.1 as codecs for `Framed`: requests come in and responses go out on one side, the other way round on
//! the other.

use std::fmt;
use std::io::{self, Write};

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// Most bytes of a request line or status line with its headers.
pub const MOST_HEAD: usize = 16 * 1024;
/// Most headers of a message.
const MOST_HEADERS: usize = 64;
/// Most bytes of a body that a client may hand in.
pub const MOST_BODY: usize = 64 * 1024;
/// Most bytes of the list of hosts, which is the longest that comes in.
pub const MOST_LIST: usize = 4 * 1024 * 1024;

/// Why bytes are no message.
#[derive(Debug)]
pub enum Fault {
    Io(io::Error),
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    Unsupported(&'static str),
    /// Part of it came, and the rest did not in time.
    TooSlow,
}

impl Fault {
    /// The status that tells a client of it.
    pub fn status(&self) -> u16 {
        match self {
            Fault::Io(_) | Fault::Malformed(_) => 400,
            Fault::TooSlow => 408,
            Fault::BodyTooLong => 413,
            Fault::HeadTooLong => 431,
            Fault::Unsupported(_) => 501,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Io(error) => error.fmt(f),
            Fault::Malformed(text) | Fault::Unsupported(text) => f.write_str(text),
            Fault::HeadTooLong => f.write_str("the headers are too long"),
            Fault::BodyTooLong => f.write_str("the body is too long"),
            Fault::TooSlow => f.write_str("the request did not come in time"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Fault::Io(error)
    }
}

/// Header fields in their order; names compare without regard to case, values are any bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Bytes)>);

impl Headers {
    pub fn with(mut self, name: &str, value: impl Into<Bytes>) -> Self {
        self.0.push((name.to_owned(), value.into()));
        self
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(move |(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a Bytes> {
        self.all(name).next()
    }

    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Whether a list header has this token.
    fn lists(&self, name: &str, token: &str) -> bool {
        let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
        self.all(name).any(|value| text(value).split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
    }

    fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Bytes,
    /// The connection may carry another request after this one.
    pub keep_alive: bool,
}

impl Request {
    pub fn get(path: &str) -> Self {
        Request {
            method: "GET".to_owned(),
            path: path.to_owned(),
            headers: Headers::default(),
            body: Bytes::new(),
            keep_alive: true,
        }
    }

    pub fn post(path: &str, headers: Headers, body: Bytes) -> Self {
        Request { method: "POST".to_owned(), headers, body, ..Request::get(path) }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Bytes,
    pub keep_alive: bool,
}

impl Response {
    pub fn new(status: u16) -> Self {
        Response { status, headers: Headers::default(), body: Bytes::new(), keep_alive: true }
    }

    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let headers = Headers::default().with("Content-Type", "text/plain; charset=utf-8");
        Response { headers, body: Bytes::from(text.into()), ..Response::new(status) }
    }
}

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Length {
    Exact(usize),
    Chunked,
    UntilEnd,
}

/// What a head says: its own part, and the body that follows.
struct Head<H> {
    start: H,
    length: Length,
}

#[derive(Debug)]
enum Stage<H> {
    Head,
    Body { start: H, length: Length, body: BytesMut },
}

/// Cuts messages out of bytes. The first line is read by `parse`, the rest is the same for both kinds.
#[derive(Debug)]
struct Reader<H> {
    most_body: usize,
    stage: Stage<H>,
}

/// What `parse` makes of the bytes so far: a head and its size, or none yet.
type Parsed<H> = Result<Option<(Head<H>, usize)>, Fault>;

impl<H> Reader<H> {
    fn new(most_body: usize) -> Self {
        Reader { most_body, stage: Stage::Head }
    }

    /// A part of a message has come, but not all of it.
    fn is_midway(&self, buffered: &[u8]) -> bool {
        blank(buffered) < buffered.len() || !matches!(self.stage, Stage::Head)
    }

    fn read(
        &mut self, bytes: &mut BytesMut, parse: fn(&[u8]) -> Parsed<H>,
    ) -> Result<Option<(H, Bytes)>, Fault> {
        if let Stage::Head = self.stage {
            bytes.advance(blank(bytes));
            let Some((head, size)) = parse(&bytes[..bytes.len().min(MOST_HEAD)])? else {
                return if bytes.len() >= MOST_HEAD { Err(Fault::HeadTooLong) } else { Ok(None) };
            };
            if matches!(head.length, Length::Exact(length) if length > self.most_body) {
                return Err(Fault::BodyTooLong);
            }
            bytes.advance(size);
            self.stage = Stage::Body { start: head.start, length: head.length, body: BytesMut::new() };
        }
        let Stage::Body { length, body, .. } = &mut self.stage else { return Ok(None) };
        let whole = match *length {
            Length::Exact(length) if bytes.len() >= length => {
                *body = bytes.split_to(length);
                true
            }
            Length::Exact(_) => false,
            Length::Chunked => read_chunks(bytes, body, self.most_body)?,
            Length::UntilEnd if bytes.len() > self.most_body => return Err(Fault::BodyTooLong),
            Length::UntilEnd => false,
        };
        Ok(if whole { self.take() } else { None })
    }

    /// What has come when the other side ends the connection.
    fn read_end(&mut self, bytes: &mut BytesMut) -> Result<Option<(H, Bytes)>, Fault> {
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

/// Bytes of empty lines in front, which are to be skipped (RFC 9112, 2.2).
fn blank(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
}

/// Moves whole chunks from `bytes` to `body`; true after the last one and its trailers.
fn read_chunks(bytes: &mut BytesMut, body: &mut BytesMut, most: usize) -> Result<bool, Fault> {
    loop {
        let (start, size) = match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((start, size))) => (start, size),
            Ok(httparse::Status::Partial) if bytes.len() > MOST_HEAD => {
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
                Ok(httparse::Status::Partial) if bytes.len() > MOST_HEAD => Err(Fault::HeadTooLong),
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

fn headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let copy = |header: &httparse::Header<'_>| (header.name.to_owned(), Bytes::copy_from_slice(header.value));
    Headers(parsed.iter().map(copy).collect())
}

/// The length that headers give; none where they are silent.
fn length(headers: &Headers) -> Result<Option<Length>, Fault> {
    let mut lengths = headers.all("Content-Length");
    if headers.get("Transfer-Encoding").is_some() {
        // Danger: two lengths, and someone in between who reads the other one.
        if lengths.next().is_some() {
            return Err(Fault::Malformed("both Content-Length and Transfer-Encoding are given"));
        }
        return match headers.text("Transfer-Encoding") {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Length::Chunked)),
            _ => Err(Fault::Unsupported("the transfer coding is not known")),
        };
    }
    let Some(first) = lengths.next() else { return Ok(None) };
    if lengths.any(|other| other != first) {
        return Err(Fault::Malformed("Content-Length is given twice"));
    }
    let digits =
        std::str::from_utf8(first).ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|text| text.parse().ok());
    length.map(|length| Some(Length::Exact(length))).ok_or(Fault::Malformed("Content-Length is no number"))
}

fn keeps_alive(headers: &Headers, version: Option<u8>) -> bool {
    let closes = headers.lists("Connection", "close");
    !closes && (version == Some(1) || headers.lists("Connection", "keep-alive"))
}

fn request_head(bytes: &[u8]) -> Parsed<Request> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => {
            let headers = headers(parsed.headers);
            let length = length(&headers)?.unwrap_or(Length::Exact(0));
            let start = Request {
                method: parsed.method.unwrap_or_default().to_owned(),
                path: parsed.path.unwrap_or_default().to_owned(),
                keep_alive: keeps_alive(&headers, parsed.version),
                headers,
                body: Bytes::new(),
            };
            Ok(Some((Head { start, length }, size)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLong),
        Err(_) => Err(Fault::Malformed("this is no HTTP request")),
    }
}

fn response_head(bytes: &[u8]) -> Parsed<Response> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => {
            let (headers, status) = (headers(parsed.headers), parsed.code.unwrap_or_default());
            let bodiless = status < 200 || status == 204 || status == 304;
            let length =
                if bodiless { Length::Exact(0) } else { length(&headers)?.unwrap_or(Length::UntilEnd) };
            let keep_alive = keeps_alive(&headers, parsed.version) && length != Length::UntilEnd;
            let start = Response { status, headers, body: Bytes::new(), keep_alive };
            Ok(Some((Head { start, length }, size)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLong),
        Err(_) => Err(Fault::Malformed("this is no HTTP response")),
    }
}

/// The side that reads requests and writes responses.
#[derive(Debug)]
pub struct Server(Reader<Request>);

impl Default for Server {
    fn default() -> Self {
        Server(Reader::new(MOST_BODY))
    }
}

impl Server {
    /// A part of a request has come, but not all of it.
    pub fn is_midway(&self, buffered: &[u8]) -> bool {
        self.0.is_midway(buffered)
    }
}

impl Decoder for Server {
    type Item = Request;
    type Error = Fault;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Request>, Fault> {
        Ok(self.0.read(bytes, request_head)?.map(|(start, body)| Request { body, ..start }))
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> Result<Option<Request>, Fault> {
        match self.decode(bytes)? {
            Some(request) => Ok(Some(request)),
            None => Ok(self.0.read_end(bytes)?.map(|(start, body)| Request { body, ..start })),
        }
    }
}

impl Encoder<Response> for Server {
    type Error = io::Error;

    fn encode(&mut self, response: Response, bytes: &mut BytesMut) -> io::Result<()> {
        let mut out = Vec::with_capacity(256 + response.body.len());
        write!(out, "HTTP/1.1 {} {}\r\n", response.status, reason(response.status))?;
        response.headers.write(&mut out);
        if response.status != 204 {
            write!(out, "Content-Length: {}\r\n", response.body.len())?;
        }
        if !response.keep_alive {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&out);
        bytes.extend_from_slice(&response.body);
        Ok(())
    }
}

/// The side that writes requests and reads responses.
#[derive(Debug)]
pub struct Client {
    reader: Reader<Response>,
    host: String,
}

impl Client {
    /// Requests carry `host`; responses have bodies of `most_body` bytes at most.
    pub fn new(host: impl Into<String>, most_body: usize) -> Self {
        Client { reader: Reader::new(most_body), host: host.into() }
    }

    /// A part of a response has come, but not all of it.
    pub fn is_midway(&self, buffered: &[u8]) -> bool {
        self.reader.is_midway(buffered)
    }

    /// The whole head of a response whose body is spoilt or has not come.
    pub fn head(&self) -> Option<&Response> {
        match &self.reader.stage {
            Stage::Body { start, .. } => Some(start),
            Stage::Head => None,
        }
    }

    /// The status in the first line of a response of which the rest is spoilt or has not come.
    pub fn status(&self, buffered: &[u8]) -> Option<u16> {
        if let Stage::Body { start, .. } = &self.reader.stage {
            return Some(start.status);
        }
        let end = buffered.iter().take(MOST_HEAD).position(|byte| *byte == b'\n')?;
        let mut response = httparse::Response::new(&mut []);
        // The line alone and an empty one make a whole head.
        let head = [&buffered[..=end], b"\r\n"].concat();
        response.parse(&head).ok().filter(|parsed| parsed.is_complete())?;
        response.code
    }
}

impl Decoder for Client {
    type Item = Response;
    type Error = Fault;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Response>, Fault> {
        loop {
            match self.reader.read(bytes, response_head)? {
                // Interim responses are none.
                Some((start, _)) if start.status < 200 => {}
                other => return Ok(other.map(|(start, body)| Response { body, ..start })),
            }
        }
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> Result<Option<Response>, Fault> {
        match self.decode(bytes)? {
            Some(response) => Ok(Some(response)),
            None => Ok(self.reader.read_end(bytes)?.map(|(start, body)| Response { body, ..start })),
        }
    }
}

impl Encoder<Request> for Client {
    type Error = io::Error;

    fn encode(&mut self, request: Request, bytes: &mut BytesMut) -> io::Result<()> {
        let mut out = Vec::with_capacity(256 + request.body.len());
        write!(out, "{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.path, self.host)?;
        request.headers.write(&mut out);
        if request.method != "GET" {
            write!(out, "Content-Length: {}\r\n", request.body.len())?;
        }
        out.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&out);
        bytes.extend_from_slice(&request.body);
        Ok(())
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
