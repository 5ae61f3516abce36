//! The file with the fleet's keys.

use super::reader::Problems;

const DIGITS: usize = 64;

/// The keys of a file: a line of 64 hex digits each, the first of which seals. Empty lines and those that
/// begin with `#` are left out. To change keys, a new one is put second at all members, then first, then
/// the old one is taken out.
///
/// # Errors
/// Lines that are no keys. They are not repeated: most of them would be nearly one.
pub fn keys(text: &str) -> Result<Vec<[u8; 32]>, Problems> {
    let mut problems = Problems::default();
    let mut keys = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        match blake3::Hash::from_hex(line) {
            Ok(key) => keys.push(*key.as_bytes()),
            Err(_) => {
                let wrong = format!("it is no key; it has {} characters", line.chars().count());
                problems.add(number + 1, "a key", wrong, format!("{DIGITS} hex digits"));
            }
        }
    }
    problems.none()?;
    Ok(keys)
}
