//! Complete and interrupted responses of model engines.
//!
//! HTTP framing shows that a connection ended in order, not that a model engine sent its whole
//! output. [`ResponseLines`] tracks a response made of lines: whether its last line arrived, and
//! from which line an interrupted response can be resumed. [`ResumeFilter`] removes from the
//! resumed response what the client already has.

/// Longest line that is kept; a response with a longer one can't be resumed.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Lines of a response, as far as it was forwarded.
#[derive(Debug, Clone, Default)]
pub struct ResponseLines {
    count: u64,
    /// The current line, up to the limit.
    partial: Vec<u8>,
    line: LineScanner,
    /// The last complete line has `"done": true`.
    done: bool,
    too_long: bool,
}

impl ResponseLines {
    /// Adds the next part of the response.
    pub fn push(&mut self, mut chunk: &[u8]) {
        while let Some(end) = chunk.iter().position(|b| *b == b'\n') {
            self.extend(&chunk[..end]);
            self.done = std::mem::take(&mut self.line).is_done();
            self.count += 1;
            self.partial.clear();
            chunk = &chunk[end + 1..];
        }
        self.extend(chunk);
    }

    fn extend(&mut self, part: &[u8]) {
        for byte in part {
            self.line.push(*byte);
        }
        if self.partial.len() + part.len() > MAX_LINE_BYTES {
            self.too_long = true;
            return;
        }
        self.partial.extend_from_slice(part);
    }

    /// Returns whether the last line marks the end of the response; its line end may be missing.
    pub fn is_complete(&self) -> bool {
        if self.line.is_empty() {
            self.done
        } else {
            self.line.is_done() && self.line.is_balanced()
        }
    }

    /// Number of complete lines forwarded and the bytes after them; `None` if a line was too long.
    pub fn resume_point(&self) -> Option<(u64, &[u8])> {
        (!self.too_long).then_some((self.count, &self.partial))
    }
}

/// Start of the field that marks the last line.
const DONE_FIELD: &[u8] = b"\"done\":";
/// Its value there.
const DONE_VALUE: &[u8] = b"true";

/// How far the first field `done` of a line was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DoneField {
    /// Bytes of [`DONE_FIELD`] that the line ends with.
    Name(usize),
    /// Bytes of [`DONE_VALUE`] that came after it.
    Value(usize),
    /// It has another value.
    Other,
}

/// Reads a line with a JSON object, of any length.
///
/// A quote within a JSON string is escaped, so generated text can't look like a field.
#[derive(Debug, Clone)]
struct LineScanner {
    field: DoneField,
    depth: i32,
    in_string: bool,
    escaped: bool,
    /// The last byte that is no white space; 0 if there is none.
    last: u8,
}

impl Default for LineScanner {
    fn default() -> Self {
        Self {
            field: DoneField::Name(0),
            depth: 0,
            in_string: false,
            escaped: false,
            last: 0,
        }
    }
}

impl LineScanner {
    fn push(&mut self, byte: u8) {
        self.field = self.field.after(byte);
        if !byte.is_ascii_whitespace() {
            self.last = byte;
        }
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth -= 1,
            _ => {}
        }
    }

    const fn is_empty(&self) -> bool {
        self.last == 0
    }

    /// Returns whether the line has `"done": true`.
    fn is_done(&self) -> bool {
        self.field == DoneField::Value(DONE_VALUE.len())
    }

    /// Returns whether the object of a line without its line end is complete: the connection may be cut
    /// between the `done` field and the end of its line.
    const fn is_balanced(&self) -> bool {
        self.depth == 0 && !self.in_string && self.last == b'}'
    }
}

impl DoneField {
    fn after(self, byte: u8) -> Self {
        match self {
            Self::Name(read) if byte != DONE_FIELD[read] => {
                Self::Name(usize::from(byte == DONE_FIELD[0]))
            }
            Self::Name(read) if read + 1 == DONE_FIELD.len() => Self::Value(0),
            Self::Name(read) => Self::Name(read + 1),
            Self::Value(0) if byte.is_ascii_whitespace() => self,
            Self::Value(read) if read == DONE_VALUE.len() => self,
            Self::Value(read) if byte == DONE_VALUE[read] => Self::Value(read + 1),
            Self::Value(_) | Self::Other => Self::Other,
        }
    }
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
