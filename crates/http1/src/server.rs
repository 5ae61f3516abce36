//! The side that reads requests and writes responses.

use std::io::{self, Write};

use bytes::BytesMut;
use http::StatusCode;
use tokio_util::codec::{Decoder, Encoder};

use crate::head::request_head;
use crate::reader::Reader;
use crate::{Fault, MAX_BODY_BYTES, Request, Response};

/// The side that reads requests and writes responses.
#[derive(Debug)]
pub struct Server(Reader<Request>);

impl Default for Server {
    fn default() -> Self {
        Server::new(MAX_BODY_BYTES)
    }
}

impl Server {
    /// Members' calls may have bodies of `most_member_call` bytes, all others of [`MAX_BODY_BYTES`].
    pub fn new(most_member_call: usize) -> Self {
        Server(Reader::new(MAX_BODY_BYTES, most_member_call))
    }

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

/// The words behind a status, which mean nothing.
fn reason(status: u16) -> &'static str {
    StatusCode::from_u16(status).ok().and_then(|status| status.canonical_reason()).unwrap_or("Status")
}
