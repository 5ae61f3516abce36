//! The door's answers as clients read them.

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// `X-Queue-Message-Id`.
    pub name: Option<String>,
    pub closes: bool,
    pub body: String,
}

/// The whole answers that bytes begin with, and whether anything is left.
pub fn read(bytes: &[u8]) -> (Vec<Answer>, bool) {
    let (mut rest, mut answers) = (bytes, Vec::new());
    while let Some((answer, length)) = read_one(rest) {
        answers.push(answer);
        rest = &rest[length..];
    }
    (answers, !rest.is_empty())
}

fn read_one(bytes: &[u8]) -> Option<(Answer, usize)> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let header = |name: &str| {
        let value = |line: &str| Some(line.strip_prefix(name)?.strip_prefix(": ")?.to_owned());
        head.split("\r\n").find_map(value)
    };
    let length = header("content-length").map_or(Some(0), |length| length.parse::<usize>().ok())?;
    let body = bytes.get(head_end..head_end + length)?;
    let status = head.strip_prefix("http/1.1 ")?.get(..3)?.parse().ok()?;
    let answer = Answer {
        status,
        name: header("x-queue-message-id"),
        closes: header("connection").is_some_and(|value| value.contains("close")),
        body: String::from_utf8_lossy(body).into_owned(),
    };
    Some((answer, head_end + length))
}
