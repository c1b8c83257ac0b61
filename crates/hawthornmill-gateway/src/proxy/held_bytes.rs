//! Memory that the incomplete responses of all connections use together.
//!
//! When it is used up, the request that holds the most ends, and not the whole process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::sync::Notify;

use super::response_limits::CutReason;

/// Bytes up to which a response isn't accounted; nearly all events and heads are shorter.
const MIN_HELD_BYTES: usize = 4 << 10;

/// Capacity above which a buffer that holds little is replaced.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// Replaces a large buffer that holds little, so that memory that isn't accounted is not kept.
///
/// `taken` bytes were taken from its front, by which its capacity, but not its memory, has become less.
pub fn shrink(buffer: &mut BytesMut, taken: usize) {
    if buffer.len() <= MIN_HELD_BYTES && buffer.capacity() + taken > MAX_KEPT_BYTES {
        let mut small = BytesMut::with_capacity(MIN_HELD_BYTES);
        small.extend_from_slice(buffer);
        *buffer = small;
    }
}

/// Identifies a holder of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub u64);

/// Bytes by holder, without I/O.
#[derive(Debug, Default)]
pub struct Ledger {
    held: BTreeMap<HolderId, usize>,
    total: usize,
}

impl Ledger {
    /// Sets the bytes of a holder; returns the holder that must end because all together hold more than `limit`.
    ///
    /// The bytes of the holder that is returned no longer count.
    pub fn set(&mut self, holder: HolderId, bytes: usize, limit: usize) -> Option<HolderId> {
        self.release(holder);
        self.held.insert(holder, bytes);
        self.total += bytes;
        if self.total <= limit {
            return None;
        }
        let (largest, _) = self.held.iter().max_by_key(|(_, bytes)| **bytes)?;
        let largest = *largest;
        self.release(largest);
        Some(largest)
    }

    /// Removes a holder.
    pub fn release(&mut self, holder: HolderId) {
        self.total -= self.held.remove(&holder).unwrap_or(0);
    }

    /// Returns the bytes of all holders.
    pub const fn total(&self) -> usize {
        self.total
    }
}

/// Tells a holder that it must end.
#[derive(Debug, Default)]
struct Eviction {
    notify: Notify,
    evicted: Cell<bool>,
}

/// The incomplete responses of the process.
#[derive(Debug, Default)]
pub struct HeldResponses {
    ledger: RefCell<Ledger>,
    /// Bytes that all together may hold.
    limit: Cell<usize>,
    evictions: RefCell<BTreeMap<HolderId, Rc<Eviction>>>,
    last_id: Cell<u64>,
    /// Holders that must end and have not released their memory yet.
    evicting: Cell<usize>,
}

impl HeldResponses {
    /// Returns the bytes of all holders.
    pub fn total(&self) -> usize {
        self.ledger.borrow().total()
    }

    /// Sets the bytes that all responses together may hold; it is checked when one of them grows.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Begins to account a response, which holds nothing yet.
    pub fn begin(self: &Rc<Self>) -> HeldBytes {
        HeldBytes {
            responses: Rc::clone(self),
            holder: None,
        }
    }

    fn evict(&self, holder: HolderId) {
        if let Some(eviction) = self.evictions.borrow_mut().remove(&holder) {
            eviction.evicted.set(true);
            self.evicting.set(self.evicting.get() + 1);
            eviction.notify.notify_one();
        }
    }

    fn release(&self, holder: HolderId) {
        self.ledger.borrow_mut().release(holder);
        self.evictions.borrow_mut().remove(&holder);
    }
}

/// Accounts the bytes that one response holds; dropping it releases them.
#[derive(Debug)]
pub struct HeldBytes {
    responses: Rc<HeldResponses>,
    holder: Option<(HolderId, Rc<Eviction>)>,
}

impl HeldBytes {
    /// Sets the bytes of the response that are incomplete.
    ///
    /// # Errors
    /// If this response must end because it holds the most.
    pub fn set(&mut self, bytes: usize) -> Result<(), CutReason> {
        if self.is_evicted() {
            return Err(CutReason::Memory);
        }
        if bytes <= MIN_HELD_BYTES {
            self.clear();
            return Ok(());
        }
        let holder = self.register();
        let mut ledger = self.responses.ledger.borrow_mut();
        let victim = ledger.set(holder, bytes, self.responses.limit.get());
        drop(ledger);
        if let Some(victim) = victim {
            self.responses.evict(victim);
        }
        if self.is_evicted() {
            return Err(CutReason::Memory);
        }
        Ok(())
    }

    fn register(&mut self) -> HolderId {
        if let Some((id, _)) = &self.holder {
            return *id;
        }
        let number = self.responses.last_id.get() + 1;
        self.responses.last_id.set(number);
        let (id, eviction) = (HolderId(number), Rc::new(Eviction::default()));
        let mut evictions = self.responses.evictions.borrow_mut();
        evictions.insert(id, Rc::clone(&eviction));
        self.holder = Some((id, eviction));
        id
    }

    fn is_evicted(&self) -> bool {
        self.holder.as_ref().is_some_and(|(_, e)| e.evicted.get())
    }

    /// Releases what the response holds.
    pub fn clear(&mut self) {
        if let Some((id, eviction)) = self.holder.take() {
            if eviction.evicted.get() {
                let evicting = &self.responses.evicting;
                evicting.set(evicting.get() - 1);
            }
            self.responses.release(id);
        }
    }

    /// Lets responses that must end run first, so that their memory is free before this one reads on.
    pub async fn wait_for_evictions(&self) {
        if self.holder.is_some() && self.responses.evicting.get() > 0 {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until this response must end; never returns while it holds little.
    pub async fn evicted(&self) {
        match &self.holder {
            Some((_, eviction)) => eviction.notify.notified().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.clear();
    }
}
