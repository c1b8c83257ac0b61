//! Reads request bodies up to a size limit, and up to the memory that all of them may use together.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hawthornmill::codes::Code;
use poem::Body;

/// Bytes over the limit that are read and discarded before the request is rejected.
///
/// If the connection were closed while the caller is still sending, the caller's TCP stack would
/// discard the response with it: the caller would see a connection error instead of the rejection.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Bytes that are taken at once for a body of unknown length.
const MIN_TAKEN_BYTES: usize = 16 << 10;

/// Memory for all bodies that the process reads at the same time.
#[derive(Debug, Default)]
pub struct BodyRoom {
    taken: AtomicUsize,
}

impl BodyRoom {
    /// Returns the bytes that are taken.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }

    /// Begins to read a body, for which nothing is taken yet; `max_bytes` is for all bodies together.
    pub const fn begin(&self, max_bytes: usize) -> BodyShare<'_> {
        BodyShare {
            room: self,
            max_bytes,
            taken: 0,
        }
    }
}

/// Memory taken for one body; dropping it gives the memory back.
#[derive(Debug)]
pub struct BodyShare<'a> {
    room: &'a BodyRoom,
    max_bytes: usize,
    taken: usize,
}

impl BodyShare<'_> {
    /// Takes more, so that it is `bytes` in all; returns false if there is no room.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.taken);
        let before = self.room.taken.fetch_add(more, Ordering::SeqCst);
        if before.saturating_add(more) > self.max_bytes {
            self.room.taken.fetch_sub(more, Ordering::SeqCst);
            return false;
        }
        self.taken += more;
        true
    }
}

impl Drop for BodyShare<'_> {
    fn drop(&mut self) {
        self.room.taken.fetch_sub(self.taken, Ordering::SeqCst);
    }
}

/// Reads a body of at most `limit` bytes; `declared` is its length if the caller gave one.
///
/// Memory is taken from `share` before it is allocated.
///
/// # Errors
/// [`Code::BodyTooLarge`], [`Code::InstanceFull`] if there is no memory for it, or [`Code::BadHeader`] for a truncated
/// body or one with invalid framing.
pub async fn read(
    body: Body,
    limit: usize,
    declared: Option<usize>,
    share: &mut BodyShare<'_>,
) -> Result<Bytes, Code> {
    let mut chunks = Box::pin(body.into_bytes_stream());
    let first = declared.unwrap_or(0).min(limit);
    let mut rejection = (!share.grow_to(first)).then_some(Code::InstanceFull);
    let mut buffer = BytesMut::with_capacity(rejection.map_or(first, |_code| 0));
    let mut excess = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_error| Code::BadHeader)?;
        let length = buffer.len() + chunk.len();
        if rejection.is_none() && length > limit {
            rejection = Some(Code::BodyTooLarge);
        }
        if rejection.is_none() && length > buffer.capacity() {
            let capacity = (buffer.capacity() * 2).max(length).max(MIN_TAKEN_BYTES);
            if share.grow_to(buffer.capacity() + capacity) {
                let mut larger = BytesMut::with_capacity(capacity);
                larger.extend_from_slice(&buffer);
                buffer = larger;
            } else {
                rejection = Some(Code::InstanceFull);
            }
        }
        if rejection.is_none() {
            buffer.extend_from_slice(&chunk);
            continue;
        }
        excess += chunk.len();
        buffer = BytesMut::new();
        if excess > MAX_DISCARD_BYTES {
            break;
        }
    }
    rejection.map_or_else(|| Ok(buffer.freeze()), Err)
}
