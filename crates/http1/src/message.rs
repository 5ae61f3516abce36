//! Requests and responses.

use bytes::Bytes;

use crate::Headers;

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
