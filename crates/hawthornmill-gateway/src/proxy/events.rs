//! Splits a stream of events, so that only whole ones are passed on.
//!
//! A server that stops may stop in the middle of an event. A caller that had half of one could not
//! be served on by another server, which begins with a whole event.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events, with the number of the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of the last event that has one.
    pub last_id: Option<u64>,
}

/// Bytes of a stream that are not whole events yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and takes out the whole events that there are now.
    ///
    /// `number` reads the number of one event. Events up to `seen` are left out: a server that goes
    /// on for another may repeat the last one.
    pub fn push(
        &mut self,
        data: &[u8],
        event_id: impl Fn(&[u8]) -> Option<u64>,
        seen: Option<u64>,
    ) -> Option<CompleteEvents> {
        self.buffer.extend_from_slice(data);
        let mut out = BytesMut::new();
        let mut last_id = None;
        let mut any = false;
        while let Some(end) = end_of_event(&self.buffer) {
            let event = self.buffer.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(seen)) = (id, seen)
                && id <= seen
            {
                continue;
            }
            last_id = id.or(last_id);
            any = true;
            out.extend_from_slice(&event);
        }
        any.then(|| CompleteEvents {
            bytes: out.freeze(),
            last_id,
        })
    }

    /// What follows the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// An event is longer than any should be.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Length of the first event, the empty line behind it included.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &bytes[line..at];
        if text.is_empty() || text == b"\r" {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}
