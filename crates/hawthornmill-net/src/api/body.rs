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

/// Least capacity of the buffer of a body of unknown length.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Memory for all bodies that the process reads at the same time.
#[derive(Debug, Default)]
pub struct BodyBudget {
    reserved: AtomicUsize,
}

impl BodyBudget {
    /// Returns the bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::SeqCst)
    }

    /// Begins to read a body, for which nothing is reserved yet; `max_bytes` is for all bodies together.
    pub const fn begin(&self, max_bytes: usize) -> BodyReservation<'_> {
        BodyReservation {
            budget: self,
            max_bytes,
            reserved: 0,
        }
    }
}

/// Memory reserved for one body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation<'a> {
    budget: &'a BodyBudget,
    max_bytes: usize,
    reserved: usize,
}

impl BodyReservation<'_> {
    /// Reserves more, so that it is `bytes` in all; returns false if there is no memory.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.reserved);
        let before = self.budget.reserved.fetch_add(more, Ordering::SeqCst);
        if before.saturating_add(more) > self.max_bytes {
            self.budget.reserved.fetch_sub(more, Ordering::SeqCst);
            return false;
        }
        self.reserved += more;
        true
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.reserved, Ordering::SeqCst);
    }
}

/// Reads a body of at most `limit` bytes; `declared` is its length if the caller gave one.
///
/// Memory is reserved with `memory` before it is allocated.
///
/// # Errors
/// [`Code::BodyTooLarge`], [`Code::InstanceFull`] if there is no memory for it, or [`Code::BadHeader`] for a truncated
/// body or one with invalid framing.
pub async fn read(
    body: Body,
    limit: usize,
    declared: Option<usize>,
    memory: &mut BodyReservation<'_>,
) -> Result<Bytes, Code> {
    let mut chunks = Box::pin(body.into_bytes_stream());
    let first = declared.unwrap_or(0).min(limit);
    let mut rejection = (!memory.grow_to(first)).then_some(Code::InstanceFull);
    let mut buffer = BytesMut::with_capacity(rejection.map_or(first, |_code| 0));
    let mut excess = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_error| Code::BadHeader)?;
        let length = buffer.len() + chunk.len();
        if rejection.is_none() && length > limit {
            rejection = Some(Code::BodyTooLarge);
        }
        if rejection.is_none() && length > buffer.capacity() {
            let capacity = (buffer.capacity() * 2).max(length).max(MIN_BUFFER_BYTES);
            if memory.grow_to(buffer.capacity() + capacity) {
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
