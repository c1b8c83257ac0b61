//! Reads bodies up to a size limit, and up to the memory that all of them may use together.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hawthornmill::codes::Code;
use poem::Body;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Bytes over the limit that are read and discarded before the request is rejected.
///
/// If the connection were closed while the caller is still sending, the caller's TCP stack would
/// discard the response with it: the caller would see a connection error instead of the rejection.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Least capacity of the buffer of a body of unknown length.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Memory for all bodies that the process reads at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    reserved: AtomicUsize,
    /// Held by the one body that may grow without memory being left.
    turn: Semaphore,
}

impl Default for BodyBudget {
    fn default() -> Self {
        Self {
            reserved: AtomicUsize::new(0),
            turn: Semaphore::new(1),
        }
    }
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
            turn: None,
        }
    }
}

/// Memory reserved for one body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation<'a> {
    budget: &'a BodyBudget,
    max_bytes: usize,
    reserved: usize,
    turn: Option<SemaphorePermit<'a>>,
}

impl BodyReservation<'_> {
    /// Appends a part of the body to `buffer`, which holds the rest; returns false if there is no memory for it.
    pub fn append(&mut self, buffer: &mut BytesMut, part: &[u8]) -> bool {
        let length = buffer.len() + part.len();
        if length > buffer.capacity() {
            let capacity = (buffer.capacity() * 2).max(length).max(MIN_BUFFER_BYTES);
            if !self.grow_to(buffer.capacity() + capacity) {
                return false;
            }
            let mut larger = BytesMut::with_capacity(capacity);
            larger.extend_from_slice(buffer);
            *buffer = larger;
        }
        buffer.extend_from_slice(part);
        true
    }

    /// Appends a part of the body, which has at most `max_bytes`; where there is no memory, waits until this is the only
    /// body that grows.
    ///
    /// So those that come whole are read one after the other, instead of failing for those that don't end.
    pub async fn append_in_turn(&mut self, buffer: &mut BytesMut, part: &[u8], max_bytes: usize) {
        if self.append(buffer, part) {
            return;
        }
        // The budget closes no semaphore.
        self.turn = self.budget.turn.acquire().await.ok();
        // Once and for all: what grows step by step leaves freed memory of each size to the allocator.
        buffer.reserve(max_bytes - buffer.len());
        buffer.extend_from_slice(part);
    }

    /// Returns whether this is the one body that may grow without memory being left.
    pub const fn has_turn(&self) -> bool {
        self.turn.is_some()
    }

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
        if rejection.is_none() {
            if memory.append(&mut buffer, &chunk) {
                continue;
            }
            rejection = Some(Code::InstanceFull);
        }
        excess += chunk.len();
        buffer = BytesMut::new();
        if excess > MAX_DISCARD_BYTES {
            break;
        }
    }
    rejection.map_or_else(|| Ok(buffer.freeze()), Err)
}
