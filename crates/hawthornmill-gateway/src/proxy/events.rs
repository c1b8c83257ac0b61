//! Splits a server-sent event stream, so that only complete events are forwarded.
//!
//! A server can fail in the middle of an event. If the client had received half of it, no other server
//! could resume the stream, because a resumed stream begins with a complete event.

use bytes::{Bytes, BytesMut};
use hawthornmill::event_stream::EventScanner;

use super::response_limits::{CutReason, MAX_EVENT_BYTES, max_repeated_bytes};
use crate::http::blocks::Blocks;

/// One or more complete events, with the id of the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as received.
    pub bytes: Bytes,
    /// Id of the last event that was received; `None` if it has none, so that the stream can't be resumed after it.
    pub last_id: Option<u64>,
    /// Number of the events.
    pub count: u32,
}

/// Size of the blocks that hold an incomplete event.
///
/// Buffers that double would leave freed ones of each size to the allocator.
const BLOCK_BYTES: usize = 4 << 10;

/// Splits a stream into complete events and keeps the incomplete rest.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that were scanned and hold no end of an event.
    rest: Blocks,
    scanner: EventScanner,
    /// Bytes of events that were dropped because the client has them.
    repeated: usize,
    /// Bytes of events that the client had before this stream.
    forwarded: usize,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose client has `forwarded` bytes of events already.
    pub fn resuming(forwarded: usize) -> Self {
        Self {
            forwarded,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// `event_id` parses the id of one event. Events with an id up to `seen` are dropped, because a server
    /// that resumes a stream may repeat the last event.
    pub fn push(
        &mut self,
        mut data: &[u8],
        event_id: impl Fn(&[u8]) -> Option<u64>,
        seen: Option<u64>,
    ) -> Option<CompleteEvents> {
        let mut out = BytesMut::new();
        let mut last_id = seen;
        let mut has_events = false;
        let mut count = 0;
        while let Some(block) = self.scanner.next_block(data) {
            let (end, after) = data.split_at(block.bytes);
            data = after;
            let mut event = self.rest.take().concat();
            event.extend_from_slice(end);
            let id = event_id(&event);
            if let (Some(id), Some(seen)) = (id, seen)
                && id <= seen
            {
                self.repeated += event.len();
                continue;
            }
            if block.is_event {
                last_id = id;
                count += 1;
            }
            has_events = true;
            out.extend_from_slice(&event);
        }
        self.keep_rest(data);
        has_events.then(|| CompleteEvents {
            bytes: out.freeze(),
            last_id,
            count,
        })
    }

    /// Keeps bytes that hold no end of an event.
    fn keep_rest(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.rest.spare() == 0 {
                self.rest.add_block(Vec::with_capacity(BLOCK_BYTES));
            }
            data = self.rest.push(data);
        }
    }

    /// Returns whether the stream may end here; `delimited` tells that a length or chunks mark its end.
    pub const fn may_end(&self, delimited: bool) -> bool {
        self.scanner.may_end(delimited)
    }

    /// Takes the bytes after the last complete event: a comment, or nothing, at the end of a complete stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.take().concat().into()
    }

    /// Returns the number of bytes after the last complete event.
    pub const fn rest_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Returns the bound that the stream exceeds, if it does.
    pub fn exceeded_limit(&self) -> Option<CutReason> {
        if self.rest.len() > MAX_EVENT_BYTES {
            Some(CutReason::EventBytes)
        } else {
            (self.repeated > max_repeated_bytes(self.forwarded)).then_some(CutReason::RepeatedBytes)
        }
    }
}
