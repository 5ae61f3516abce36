//! A story as a file of JSON lines: who the hosts are, then what was told.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use super::Story;

impl Story {
    /// # Errors
    /// Those of the file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        serde_json::to_writer(&mut file, &self.hosts)?;
        for told in &self.told {
            file.write_all(b"\n")?;
            serde_json::to_writer(&mut file, told)?;
        }
        file.write_all(b"\n")?;
        file.flush()
    }

    /// # Errors
    /// Those of the file, and [`io::ErrorKind::InvalidData`] with the line's number where a line is none of a story.
    pub fn read(path: &Path) -> io::Result<Story> {
        let mut story = Story::default();
        for (place, line) in BufReader::new(File::open(path)?).lines().enumerate() {
            let line = line?;
            let read = match place {
                0 => serde_json::from_str(&line).map(|hosts| story.hosts = hosts),
                _ => serde_json::from_str(&line).map(|told| story.told.push(told)),
            };
            let named =
                |error| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {error}", place + 1));
            read.map_err(named)?;
        }
        Ok(story)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::story::{Happened, HostFacts, Told};

    #[test]
    fn what_is_written_is_read_and_a_line_that_is_none_is_named() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("story.jsonl");
        let told = |at| Told { at, what: Happened::Ready { relay: 2 } };
        let hosts = [(7, HostFacts { destination: 1, zone: 0 })].into();
        let story = Story { hosts, told: vec![told(3), told(5)] };
        story.write(&path).expect("written");
        assert_eq!(Story::read(&path).expect("read"), story);
        let mut text = std::fs::read_to_string(&path).expect("text");
        text.push_str("{\"at\": 9, \"what\": {\"Rea");
        std::fs::write(&path, text).expect("cut short");
        let error = Story::read(&path).expect_err("cut short");
        assert!(error.to_string().starts_with("line 4: "), "{error}");
    }
}
