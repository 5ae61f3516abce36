//! HTTP/1.1 by hand, so that a client sees where exactly a connection ends.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MOST_HEADERS: usize = 64;
const PIECE: usize = 4_096;

/// A request or an answer as it was read.
#[derive(Debug)]
pub struct Message {
    /// Of a request; empty for an answer.
    pub method: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// How a read ended without a message.
#[derive(Debug)]
pub enum ReadEnd {
    /// The connection ended before the first byte.
    Closed,
    /// It ended, or brought something else, in the middle of a message.
    Broken,
    /// Nothing came in time.
    Silent,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// One connection with what was read beyond the last message.
pub struct Connection {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        Ok(Connection::new(stream))
    }

    pub fn set_patience(&self, patience: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(patience))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn read_request(&mut self) -> Result<Message, ReadEnd> {
        self.read(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            let Ok(httparse::Status::Complete(length)) = request.parse(bytes) else { return None };
            let message = Message {
                method: request.method?.to_owned(),
                status: 0,
                headers: owned(request.headers),
                body: Vec::new(),
            };
            Some((message, length))
        })
    }

    pub fn read_answer(&mut self) -> Result<Message, ReadEnd> {
        self.read(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let Ok(httparse::Status::Complete(length)) = response.parse(bytes) else { return None };
            let message = Message {
                method: String::new(),
                status: response.code?,
                headers: owned(response.headers),
                body: Vec::new(),
            };
            Some((message, length))
        })
    }

    fn read(&mut self, parse: impl Fn(&[u8]) -> Option<(Message, usize)>) -> Result<Message, ReadEnd> {
        let (mut message, head) = loop {
            if let Some(parsed) = parse(&self.rest) {
                break parsed;
            }
            self.read_more()?;
        };
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.rest.len() < head + length {
            self.read_more()?;
        }
        message.body = self.rest[head..head + length].to_vec();
        self.rest.drain(..head + length);
        Ok(message)
    }

    fn read_more(&mut self) -> Result<(), ReadEnd> {
        let mut piece = [0; PIECE];
        let ended = if self.rest.is_empty() { ReadEnd::Closed } else { ReadEnd::Broken };
        match self.stream.read(&mut piece) {
            Ok(0) => Err(ended),
            Ok(count) => {
                self.rest.extend_from_slice(&piece[..count]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(ReadEnd::Silent)
            }
            Err(_) => Err(ended),
        }
    }
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect()
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    format!("{text}\r\n{body}").into_bytes()
}

/// The bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    format!("{text}\r\n{body}").into_bytes()
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &str, patience: Duration,
) -> Option<Message> {
    let mut connection = Connection::open(address, patience).ok()?;
    connection.write(&request(method, path, headers, body)).ok()?;
    connection.read_answer().ok()
}
