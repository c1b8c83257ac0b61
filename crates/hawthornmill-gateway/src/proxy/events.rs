//! Splits a server-sent event stream, so that only complete events are forwarded.
//!
//! A server can fail in the middle of an event. If the client had received half of it, no other server
//! could resume the stream, because a resumed stream begins with a complete event.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more complete events, with the id of the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as received.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
}

/// Splits a stream into complete events and keeps the incomplete rest.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete.
    ///
    /// `event_id` parses the id of one event. Events with an id up to `seen` are dropped, because a server
    /// that resumes a stream may repeat the last event.
    pub fn push(
        &mut self,
        data: &[u8],
        event_id: impl Fn(&[u8]) -> Option<u64>,
        seen: Option<u64>,
    ) -> Option<CompleteEvents> {
        self.buffer.extend_from_slice(data);
        let mut out = BytesMut::new();
        let mut last_id = None;
        let mut has_events = false;
        while let Some(end) = end_of_event(&self.buffer) {
            let event = self.buffer.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(seen)) = (id, seen)
                && id <= seen
            {
                continue;
            }
            last_id = id.or(last_id);
            has_events = true;
            out.extend_from_slice(&event);
        }
        has_events.then(|| CompleteEvents {
            bytes: out.freeze(),
            last_id,
        })
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Returns the number of bytes after the last complete event.
    pub fn rest_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the incomplete event is larger than allowed.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &bytes[line_start..index];
        if text.is_empty() || text == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}
