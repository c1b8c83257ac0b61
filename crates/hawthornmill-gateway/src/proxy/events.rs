//! Splits a stream of events, so that only whole ones are passed on.
//!
//! A server that stops may stop in the middle of an event. A caller that had half of one could not
//! be served on by another server, which begins with a whole event.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const MOST_EVENT: usize = 1 << 20;

/// Whole events, with the number of the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole {
    /// Their bytes.
    pub bytes: Bytes,
    /// Number of the last event that has one.
    pub last: Option<u64>,
}

/// Bytes of a stream that are not whole events yet.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
}

impl Splitter {
    /// Adds bytes and takes out the whole events that there are now.
    ///
    /// `number` reads the number of one event. Events up to `seen` are left out: a server that goes
    /// on for another may repeat the last one.
    pub fn push(
        &mut self,
        data: &[u8],
        number: impl Fn(&[u8]) -> Option<u64>,
        seen: Option<u64>,
    ) -> Option<Whole> {
        self.held.extend_from_slice(data);
        let mut out = BytesMut::new();
        let mut last = None;
        let mut taken = false;
        while let Some(end) = end_of_event(&self.held) {
            let event = self.held.split_to(end);
            let this = number(&event);
            if let (Some(this), Some(seen)) = (this, seen)
                && this <= seen
            {
                continue;
            }
            last = this.or(last);
            taken = true;
            out.extend_from_slice(&event);
        }
        taken.then(|| Whole {
            bytes: out.freeze(),
            last,
        })
    }

    /// What follows the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// An event is longer than any should be.
    pub fn is_overlong(&self) -> bool {
        self.held.len() > MOST_EVENT
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
