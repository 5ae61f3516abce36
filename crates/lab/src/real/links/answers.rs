//! Where the answers on a stream end.

/// Longest head that is followed; a longer one is passed on unseen.
const MOST_HEAD: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;

/// Follows the answers of one connection, byte by byte.
#[derive(Default)]
pub struct Answers {
    head: Vec<u8>,
    /// Bytes of the present answer's body that are still to come.
    body: usize,
    lost: bool,
}

impl Answers {
    /// Takes the next bytes in. Gives the place of the last byte of the first answer that ends in them.
    pub fn end_in(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut place = 0;
        while place < bytes.len() && !self.lost {
            if self.body > 0 {
                let taken = self.body.min(bytes.len() - place);
                (self.body, place) = (self.body - taken, place + taken);
                if self.body == 0 {
                    return Some(place - 1);
                }
                continue;
            }
            self.head.push(bytes[place]);
            place += 1;
            if self.head.ends_with(b"\r\n\r\n") {
                let length = self.length();
                self.head.clear();
                match length {
                    Some(0) => return Some(place - 1),
                    Some(length) => self.body = length,
                    None => self.lost = true,
                }
            }
            self.lost |= self.head.len() > MOST_HEAD;
        }
        None
    }

    /// The length that the head tells; none where this is no answer with a length.
    fn length(&self) -> Option<usize> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        response.parse(&self.head).ok()?;
        let named = |header: &&mut httparse::Header| header.name.eq_ignore_ascii_case("content-length");
        match response.headers.iter_mut().find(named) {
            Some(header) => std::str::from_utf8(header.value).ok()?.trim().parse().ok(),
            None => Some(0),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_byte_of_an_answer_is_found_however_its_bytes_come() {
        let one = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
        let none = b"HTTP/1.1 204 No Content\r\n\r\n";
        assert_eq!(Answers::default().end_in(one), Some(one.len() - 1));
        assert_eq!(Answers::default().end_in(none), Some(none.len() - 1));
        let mut answers = Answers::default();
        let ends = one.iter().map(|byte| answers.end_in(&[*byte])).position(|end| end == Some(0));
        assert_eq!(ends, Some(one.len() - 1));
        assert_eq!(answers.end_in(none), Some(none.len() - 1));
        assert_eq!(Answers::default().end_in(b"no answer at all\r\n\r\n"), None);
    }
}
