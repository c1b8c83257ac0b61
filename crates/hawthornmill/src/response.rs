//! Complete and interrupted responses of model engines.
//!
//! HTTP framing shows that a connection ended in order, not that a model engine sent its whole
//! output. [`ResponseLines`] tracks a response made of lines: whether its last line arrived, and
//! from which line an interrupted response can be resumed. [`ResumeFilter`] removes from the
//! resumed response what the client already has.

/// Longest line that is tracked; a response with a longer one can't be resumed.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Lines of a response, as far as it was forwarded.
#[derive(Debug, Clone, Default)]
pub struct ResponseLines {
    count: u64,
    partial: Vec<u8>,
    done: bool,
    too_long: bool,
}

impl ResponseLines {
    /// Adds the next part of the response.
    pub fn push(&mut self, mut chunk: &[u8]) {
        while let Some(end) = chunk.iter().position(|b| *b == b'\n') {
            self.extend(&chunk[..end]);
            self.done = is_done(&self.partial);
            self.count += 1;
            self.partial.clear();
            chunk = &chunk[end + 1..];
        }
        self.extend(chunk);
    }

    fn extend(&mut self, part: &[u8]) {
        if self.partial.len() + part.len() > MAX_LINE_BYTES {
            self.too_long = true;
            return;
        }
        self.partial.extend_from_slice(part);
    }

    /// Returns whether the last line marks the end of the response; its line end may be missing.
    pub fn is_complete(&self) -> bool {
        if self.partial.is_empty() {
            self.done
        } else {
            is_done(&self.partial) && is_balanced(&self.partial)
        }
    }

    /// Number of complete lines forwarded and the bytes after them; `None` if a line was too long.
    pub fn resume_point(&self) -> Option<(u64, &[u8])> {
        (!self.too_long).then_some((self.count, &self.partial))
    }
}

/// Returns whether `line` has `"done": true`.
///
/// A quote within a JSON string is escaped, so generated text can't look like the field itself.
fn is_done(line: &[u8]) -> bool {
    let field = b"\"done\":";
    let Some(at) = line.windows(field.len()).position(|w| w == field) else {
        return false;
    };
    line[at + field.len()..]
        .trim_ascii_start()
        .starts_with(b"true")
}

/// Returns whether the JSON object on a line without its line end is complete: the connection may
/// be cut between the `done` field and the end of its line.
fn is_balanced(line: &[u8]) -> bool {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth -= 1,
            _ => {}
        }
    }
    depth == 0 && !in_string && line.trim_ascii_end().ends_with(b"}")
}

/// Removes from a resumed response what was already forwarded.
#[derive(Debug, Clone, Default)]
pub struct ResumeFilter {
    expected: Vec<u8>,
}

impl ResumeFilter {
    /// Expects the resumed response to begin with `forwarded`.
    pub fn new(forwarded: &[u8]) -> Self {
        Self {
            expected: forwarded.to_vec(),
        }
    }

    /// Number of bytes to skip at the start of `chunk`; `None` if they differ from what was
    /// forwarded, so that the two parts don't belong to one response.
    pub fn skip(&mut self, chunk: &[u8]) -> Option<usize> {
        let count = self.expected.len().min(chunk.len());
        if self.expected[..count] != chunk[..count] {
            return None;
        }
        self.expected.drain(..count);
        Some(count)
    }

    /// Returns whether everything that was forwarded before has been received again.
    pub fn is_done(&self) -> bool {
        self.expected.is_empty()
    }
}
