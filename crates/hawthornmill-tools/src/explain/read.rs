//! Extracts usage records from a router's log.
//!
//! A log also holds other lines, and may begin or end with a partial one. When a router is killed
//! and its successor appends to the same file, the first new line follows a partial one without a
//! line break. Therefore a line is parsed from each position at which a usage object may begin.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use hawthornmill::usage::UsageLine;
use hawthornmill::usage::explain::UsageLog;

/// Prefix of every usage object.
const USAGE_PREFIX: &str = "{\"kind\":\"usage";

/// Adds the usage records of a file to `log`.
///
/// # Errors
/// If the file can't be read.
pub fn read_file(file: &Path, log: &mut UsageLog) -> io::Result<()> {
    let mut reader = BufReader::new(File::open(file)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        read_line(&String::from_utf8_lossy(&bytes), log);
        bytes.clear();
    }
    Ok(())
}

/// Adds the usage records of one line to `log`.
pub fn read_line(line: &str, log: &mut UsageLog) {
    for (offset, _) in line.match_indices(USAGE_PREFIX) {
        let mut objects = serde_json::Deserializer::from_str(&line[offset..]).into_iter();
        match objects.next() {
            Some(Ok(record)) => log.insert(record),
            _ => log.unreadable += 1,
        }
    }
}

/// Returns the usage records of a text.
pub fn read_text(text: &str) -> UsageLog {
    let mut log = UsageLog::default();
    text.lines().for_each(|line| read_line(line, &mut log));
    log
}

/// Formats a usage record as the line that a router logs.
///
/// # Panics
/// Never: a usage record holds only strings and numbers, which JSON can represent.
pub fn format_line(line: &UsageLine) -> String {
    serde_json::to_string(line).expect("strings and numbers are valid JSON")
}
