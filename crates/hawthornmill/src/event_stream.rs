//! Boundaries of events in a server-sent event stream (`text/event-stream`).
//!
//! HTTP framing tells how the bytes of a stream ended, not whether its last event is complete: a server that
//! fails may close its connection in order, or even send a last chunk. [`EventScanner`] tells where a stream may end.

/// Returns whether `content_type`, with or without parameters, is that of an event stream.
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// A part of a stream that ends with an empty line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Bytes from the start of the scan to the end of the empty line.
    pub bytes: usize,
    /// Whether it has a field; otherwise it has only comments, or nothing.
    pub is_event: bool,
}

/// Finds the ends of events in the bytes of one stream, which may come in any parts.
///
/// A line ends with LF, CR or CRLF.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    /// The current line has at least one byte.
    in_line: bool,
    /// A field has begun since the last empty line.
    in_event: bool,
    /// The last byte was a CR; if an LF follows, it belongs to the same line end.
    after_cr: bool,
    /// Events that have ended.
    events: u64,
}

impl EventScanner {
    /// Scans `bytes` up to the next empty line; returns `None` if all of them were scanned and none came.
    pub fn next_block(&mut self, bytes: &[u8]) -> Option<Block> {
        for (index, byte) in bytes.iter().enumerate() {
            if !self.ends_block(*byte) {
                continue;
            }
            let is_event = std::mem::take(&mut self.in_event);
            self.events += u64::from(is_event);
            let has_lf = self.after_cr && bytes.get(index + 1) == Some(&b'\n');
            self.after_cr &= !has_lf;
            return Some(Block {
                bytes: index + 1 + usize::from(has_lf),
                is_event,
            });
        }
        None
    }

    /// Scans all of `bytes`.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some(block) = self.next_block(bytes) {
            bytes = &bytes[block.bytes..];
        }
    }

    /// Scans one byte; returns whether it ends an empty line.
    fn ends_block(&mut self, byte: u8) -> bool {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if after_cr => false,
            b'\n' | b'\r' => !std::mem::take(&mut self.in_line),
            _ => {
                let is_field = !self.in_line && byte != b':';
                self.in_event |= is_field;
                self.in_line = true;
                false
            }
        }
    }

    /// Returns whether the stream may end after what was scanned: inside neither an event nor a line.
    ///
    /// `delimited` tells that a length or chunks mark the end of the body. Without them, nothing tells a stream that
    /// was cut between two events from a complete one; but one without any event is not taken for complete.
    pub const fn may_end(&self, delimited: bool) -> bool {
        !self.in_event && !self.in_line && (delimited || self.events > 0)
    }
}
