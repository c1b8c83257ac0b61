//! Finds usage lines in a router's log.
//!
//! A log holds other lines too, and may begin or end in the middle of one. When a killed router's
//! successor appends to the same file, its first line stands behind the half of another. So each
//! place of a line at which a usage object begins is tried.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use hawthornmill::usage::UsageLine;
use hawthornmill::usage::explain::UsageLog;

/// How every usage line begins.
const BEGIN: &str = "{\"kind\":\"usage";

/// Takes every usage line of a file.
///
/// # Errors
/// When the file can't be read.
pub fn read_file(file: &Path, log: &mut UsageLog) -> io::Result<()> {
    let mut reader = BufReader::new(File::open(file)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        read_line(&String::from_utf8_lossy(&bytes), log);
        bytes.clear();
    }
    Ok(())
}

/// Takes the usage objects of one line.
pub fn read_line(line: &str, log: &mut UsageLog) {
    for (at, _) in line.match_indices(BEGIN) {
        let mut objects = serde_json::Deserializer::from_str(&line[at..]).into_iter();
        match objects.next() {
            Some(Ok(found)) => log.insert(found),
            _ => log.unreadable += 1,
        }
    }
}

/// Takes every usage line of a text.
pub fn read_text(text: &str) -> UsageLog {
    let mut log = UsageLog::default();
    text.lines().for_each(|line| read_line(line, &mut log));
    log
}

/// The line that a router writes.
///
/// # Panics
/// Never: a usage line has only names and numbers in it.
pub fn write_line(line: &UsageLine) -> String {
    serde_json::to_string(line).expect("names and numbers can be written")
}
