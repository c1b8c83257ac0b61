//! Whole and broken answers.
//!
//! HTTP framing tells that a connection ended in order, not that a model engine said all that it had
//! to say. [`ResponseLines`] follows an answer that is made of lines and knows whether its last line came,
//! and from which line on a broken one can be resumed; [`ResumeFilter`] joins the resumed part on.

/// Longest line that is followed; an answer with a longer one can't be resumed.
const LINE_LIMIT: usize = 64 << 10;

/// Lines of an answer, as far as it was passed on.
#[derive(Debug, Clone, Default)]
pub struct ResponseLines {
    count: u64,
    partial: Vec<u8>,
    done: bool,
    long: bool,
}

impl ResponseLines {
    /// Takes the next part of the answer.
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
        if self.partial.len() + part.len() > LINE_LIMIT {
            self.long = true;
            return;
        }
        self.partial.extend_from_slice(part);
    }

    /// Tells whether the last line says that the answer is done; it may lack its line end.
    pub fn is_complete(&self) -> bool {
        if self.partial.is_empty() {
            self.done
        } else {
            is_done(&self.partial) && is_closed(&self.partial)
        }
    }

    /// Whole lines passed on, and the bytes of the line after them; none when a line was too long.
    pub fn resume_point(&self) -> Option<(u64, &[u8])> {
        (!self.long).then_some((self.count, &self.partial))
    }
}

/// A quote within a JSON string stands behind a backslash, so that no text that a model wrote looks
/// like the field itself.
fn is_done(line: &[u8]) -> bool {
    let field = b"\"done\":";
    let Some(at) = line.windows(field.len()).position(|w| w == field) else {
        return false;
    };
    line[at + field.len()..]
        .trim_ascii_start()
        .starts_with(b"true")
}

/// Tells whether the object on a line without its line end is all there: a cut may fall between the
/// field that says `done` and the end of its line.
fn is_closed(line: &[u8]) -> bool {
    let (mut depth, mut text, mut escaped) = (0, false, false);
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if text => escaped = true,
            b'"' => text = !text,
            b'{' | b'[' if !text => depth += 1,
            b'}' | b']' if !text => depth -= 1,
            _ => {}
        }
    }
    depth == 0 && !text && line.trim_ascii_end().ends_with(b"}")
}

/// Leaves out of a resumed answer what was passed on already.
#[derive(Debug, Clone, Default)]
pub struct ResumeFilter {
    expected: Vec<u8>,
}

impl ResumeFilter {
    /// The resumed answer begins with `passed`.
    pub fn new(passed: &[u8]) -> Self {
        Self {
            expected: passed.to_vec(),
        }
    }

    /// Number of bytes at the start of `chunk` to leave out; none when they differ from what was
    /// passed on, so that the two parts are not of one answer.
    pub fn skip(&mut self, chunk: &[u8]) -> Option<usize> {
        let count = self.expected.len().min(chunk.len());
        if self.expected[..count] != chunk[..count] {
            return None;
        }
        self.expected.drain(..count);
        Some(count)
    }

    /// Tells whether all that was passed on before has come again.
    pub fn is_done(&self) -> bool {
        self.expected.is_empty()
    }
}
