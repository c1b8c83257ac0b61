//! Reservations of memory for heads, bodies and kept error responses of requests.
//!
//! [`hawthornmill::limits::request_memory`] decides; this module tells uploads that they are evicted.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use hawthornmill::codes::Code;
use hawthornmill::limits::request_memory::{
    MIN_TIMED_BYTES, OutOfMemory, RequestMemory, RequestPart, UploadKey,
};
use serde_json::json;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::error_response::ErrorResponse;
use crate::event_log;
use crate::gateway::Gateway;

/// One part in this many of the memory in the settings is for requests and incomplete responses together.
///
/// The rest is for the code, the state of the fleet, connections, and pages of the store's lists.
const SHARED_DIVISOR: usize = 2;
/// Part of the memory in the settings that requests use at most.
const REQUEST_SHARE: f64 = 0.35;

/// Why there is no memory for a request; the log and the metrics show the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationError {
    /// The memory is used up.
    Full,
    /// The body came so slowly that its memory went to others.
    Evicted,
    /// The request needs more than all requests may use together.
    TooLarge,
}

impl ReservationError {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Evicted => "evicted",
            Self::TooLarge => "too_large",
        }
    }
}

/// Memory of all requests of the process.
#[derive(Debug, Default)]
pub struct Reservations {
    memory: RefCell<RequestMemory>,
    /// Tells each upload that it is evicted.
    evictions: RefCell<SecondaryMap<UploadKey, Rc<Notify>>>,
}

impl Reservations {
    /// Returns the bytes reserved for a part of all requests.
    pub fn reserved(&self, part: RequestPart) -> usize {
        self.memory.borrow().reserved(part)
    }

    /// Returns the bytes reserved for all requests.
    pub fn total(&self) -> usize {
        self.memory.borrow().total()
    }

    /// Reserves bytes, if need be those of uploads that are too slow; `own` is the upload for which they are.
    fn reserve(
        &self,
        gateway: &Gateway,
        part: RequestPart,
        bytes: usize,
        own: Option<UploadKey>,
    ) -> Result<(), ReservationError> {
        let memory_bytes = gateway.settings.borrow().memory_bytes;
        let limit = request_limit(memory_bytes, gateway.held_responses.total());
        let mut memory = self.memory.borrow_mut();
        if memory.reserve(part, bytes, limit).is_ok() {
            return Ok(());
        }
        let evicted = memory
            .reserve_evicting(part, bytes, limit, own, gateway.now())
            .map_err(|OutOfMemory| ReservationError::Full)?;
        for upload in evicted {
            if let Some(eviction) = self.evictions.borrow_mut().remove(upload) {
                eviction.notify_one();
            }
        }
        Ok(())
    }
}

/// Returns the memory for requests and incomplete responses of a process that may use `memory_bytes`.
pub const fn shared_limit(memory_bytes: usize) -> usize {
    memory_bytes / SHARED_DIVISOR
}

/// Returns the memory for all requests of a process that may use `memory_bytes`, of which responses use `responses`.
pub fn request_limit(memory_bytes: usize, responses: usize) -> usize {
    let most = (memory_bytes as f64 * REQUEST_SHARE) as usize;
    most.min(shared_limit(memory_bytes).saturating_sub(responses))
}

/// Memory reserved for one part of a request; dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    gateway: Rc<Gateway>,
    part: RequestPart,
    bytes: usize,
    /// Since when it is that of a long body.
    long_since: Option<Instant>,
    /// The upload and its eviction, while a body is received.
    upload: Option<(UploadKey, Rc<Notify>)>,
}

impl Reservation {
    /// Returns a reservation of no bytes.
    pub fn empty(gateway: &Rc<Gateway>, part: RequestPart) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            part,
            bytes: 0,
            long_since: None,
            upload: None,
        }
    }

    /// Reserves more, so that it is `bytes` in all; does nothing if it is as many already.
    ///
    /// # Errors
    /// If there is no memory.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), ReservationError> {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return Ok(());
        }
        let gateway = &self.gateway;
        if bytes > request_limit(gateway.settings.borrow().memory_bytes, 0) {
            return Err(ReservationError::TooLarge);
        }
        let (reservations, own) = (&gateway.reservations, self.upload.as_ref().map(|u| u.0));
        reservations.reserve(gateway, self.part, more, own)?;
        self.bytes = bytes;
        if let Some(own) = own {
            let mut memory = reservations.memory.borrow_mut();
            memory.record_reserved(own, bytes);
        }
        if bytes >= MIN_TIMED_BYTES && self.part == RequestPart::Body {
            self.long_since.get_or_insert_with(|| gateway.now());
        }
        gateway.share_memory();
        Ok(())
    }

    /// Begins to follow the body for which this is, so that it can be evicted.
    pub fn begin_upload(&mut self) {
        let reservations = &self.gateway.reservations;
        let now = self.gateway.now();
        let key = reservations
            .memory
            .borrow_mut()
            .begin_upload(self.bytes, now);
        let eviction = Rc::new(Notify::new());
        let told = Rc::clone(&eviction);
        reservations.evictions.borrow_mut().insert(key, told);
        self.upload = Some((key, eviction));
    }

    /// Records how many bytes of the body have come.
    pub fn record_received(&self, received: usize) {
        if let Some((key, _)) = &self.upload {
            let mut memory = self.gateway.reservations.memory.borrow_mut();
            memory.record_received(*key, received, self.gateway.now());
        }
    }

    /// Waits until the upload is evicted.
    pub async fn evicted(&self) {
        match &self.upload {
            Some((_, eviction)) => eviction.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Ends the upload, of which all bytes have come.
    ///
    /// # Errors
    /// If it was evicted before.
    pub fn end_upload(&mut self) -> Result<(), ReservationError> {
        let Some((key, _)) = self.upload.take() else {
            return Ok(());
        };
        let reservations = &self.gateway.reservations;
        reservations.evictions.borrow_mut().remove(key);
        if reservations.memory.borrow_mut().end_upload(key) {
            return Ok(());
        }
        // Its bytes were released with the eviction.
        self.bytes = 0;
        Err(ReservationError::Evicted)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let _evicted = self.end_upload();
        if self.bytes == 0 {
            return;
        }
        let gateway = &self.gateway;
        let lifetime = self.long_since.map(|at| gateway.now().duration_since(at));
        let mut memory = gateway.reservations.memory.borrow_mut();
        memory.release(self.part, self.bytes);
        if let Some(lifetime) = lifetime {
            memory.record_lifetime(lifetime);
        }
        drop(memory);
        gateway.share_memory();
    }
}

/// Returns the response to a request for which there is no memory, and logs and counts it.
///
/// The request has not been executed. One that is too large is told no time to retry, since it never fits.
pub fn refuse(
    gateway: &Gateway,
    attempt_id: &str,
    declared: Option<u64>,
    error: ReservationError,
) -> ErrorResponse {
    let reservations = &gateway.reservations;
    let after =
        (error != ReservationError::TooLarge).then(|| reservations.memory.borrow().retry_after());
    gateway.metrics.memory_refused(error);
    let fields = json!({
        "why": error.name(), "declared_bytes": declared, "request_bytes": reservations.total(),
        "response_bytes": gateway.held_responses.total(), "again_ms": after.map(|a| a.as_millis() as u64),
        "memory_bytes": gateway.settings.borrow().memory_bytes,
    });
    event_log::request_problem("memory_refused", attempt_id, fields);
    after.map_or_else(
        || ErrorResponse::new(Code::InstanceFull),
        |after| ErrorResponse::with_retry_after(Code::InstanceFull, after),
    )
}
