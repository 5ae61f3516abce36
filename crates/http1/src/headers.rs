//! Header fields.

use bytes::Bytes;

/// Header fields in their order; names compare without regard to case, values are any bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub(crate) Vec<(String, Bytes)>);

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
    pub(crate) fn lists(&self, name: &str, token: &str) -> bool {
        let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
        self.all(name).any(|value| text(value).split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
    }

    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
