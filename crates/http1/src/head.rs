//! Heads of messages, parsed by httparse.

use bytes::Bytes;

use crate::reader::{Head, Length, Parsed};
use crate::{Fault, Headers, MEMBER_CALL, MOST_HEADERS, Request, Response};

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

pub(crate) fn request_head(bytes: &[u8]) -> Parsed<Request> {
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
            let roomy = start.path == MEMBER_CALL;
            Ok(Some((Head { start, length, roomy }, size)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLong),
        Err(_) => Err(Fault::Malformed("this is no HTTP request")),
    }
}

pub(crate) fn response_head(bytes: &[u8]) -> Parsed<Response> {
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
            Ok(Some((Head { start, length, roomy: false }, size)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLong),
        Err(_) => Err(Fault::Malformed("this is no HTTP response")),
    }
}

/// The head of a response to `HEAD`, whatever length it tells.
pub(crate) fn bodiless_response_head(bytes: &[u8]) -> Parsed<Response> {
    let bodiless = |(head, size): (Head<Response>, usize)| (Head { length: Length::Exact(0), ..head }, size);
    Ok(response_head(bytes)?.map(bodiless))
}
