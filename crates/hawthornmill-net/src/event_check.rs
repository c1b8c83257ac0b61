//! Whether a server's event stream is complete.

use hawthornmill::event_stream::{EventScanner, is_event_stream};
use poem::http::HeaderMap;

/// Follows the body of an event stream.
#[derive(Debug, Clone)]
pub struct EventCheck {
    scanner: EventScanner,
    /// A length or chunks mark the end of the body.
    delimited: bool,
}

impl EventCheck {
    /// Returns the check for a response with these headers, or `None` if it is not an event stream.
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let content_type = headers.get("content-type")?.to_str().ok()?;
        is_event_stream(content_type).then(|| Self {
            scanner: EventScanner::default(),
            delimited: headers.contains_key("content-length")
                || headers.contains_key("transfer-encoding"),
        })
    }

    /// Follows the next part of the body.
    pub fn push(&mut self, part: &[u8]) {
        self.scanner.scan(part);
    }

    /// Returns whether the stream may end after what was pushed.
    pub const fn may_end(&self) -> bool {
        self.scanner.may_end(self.delimited)
    }
}
