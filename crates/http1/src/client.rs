//! The side that writes requests and reads responses.

use std::io::{self, Write};

use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder};

use crate::head::{bodiless_response_head, response_head};
use crate::reader::{Reader, Stage};
use crate::{Fault, MAX_HEAD_BYTES, Request, Response};

/// The side that writes requests and reads responses.
#[derive(Debug)]
pub struct Client {
    reader: Reader<Response>,
    /// None where requests carry a `Host` of their own.
    host: Option<String>,
    /// The last request was a `HEAD`: no body follows the heads that come.
    is_bodiless: bool,
}

impl Client {
    /// Requests carry `host`; responses have bodies of `most_body` bytes at most.
    pub fn new(host: impl Into<String>, most_body: usize) -> Self {
        let reader = Reader::new(most_body, most_body);
        Client { reader, host: Some(host.into()), is_bodiless: false }
    }

    /// Requests carry a `Host` of their own; the bodies of responses are read and not kept.
    pub fn discarding() -> Self {
        Client { reader: Reader::discarding(), host: None, is_bodiless: false }
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
        let end = buffered.iter().take(MAX_HEAD_BYTES).position(|byte| *byte == b'\n')?;
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
        let parse = if self.is_bodiless { bodiless_response_head } else { response_head };
        loop {
            match self.reader.read(bytes, parse)? {
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
        self.encode(&request, bytes)
    }
}

impl Encoder<&Request> for Client {
    type Error = io::Error;

    fn encode(&mut self, request: &Request, bytes: &mut BytesMut) -> io::Result<()> {
        self.is_bodiless = request.method == "HEAD";
        let mut out = Vec::with_capacity(256 + request.body.len());
        write!(out, "{} {} HTTP/1.1\r\n", request.method, request.path)?;
        if let Some(host) = &self.host {
            write!(out, "Host: {host}\r\n")?;
        }
        request.headers.write(&mut out);
        if request.method != "GET" && request.headers.get("Content-Length").is_none() {
            write!(out, "Content-Length: {}\r\n", request.body.len())?;
        }
        out.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&out);
        bytes.extend_from_slice(&request.body);
        Ok(())
    }
}
