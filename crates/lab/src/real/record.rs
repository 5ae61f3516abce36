//! A day's story in the folder that was asked for.

use std::path::Path;

use super::error::Unplayable;
use crate::story::Story;

/// Writes a story where `judge` reads it.
pub fn write_story(story: &Story, path: &Path) -> Result<(), Unplayable> {
    story.write(path).map_err(|error| Unplayable::Folder { path: path.to_owned(), error })
}
