//! Room in the memory of the process that heads, bodies and kept error responses take.
//!
//! [`hawthornmill::limits::request_memory`] decides; this module tells uploads that they must end.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::codes::Code;
use hawthornmill::limits::request_memory::{
    MIN_TIMED_BYTES, NoRoom, RequestMemory, RequestPart, UploadKey,
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

/// Why there is no room for a request; the log and the metrics show the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomRefusal {
    /// The memory is used up.
    Full,
    /// The body came so slowly that it gave way to others.
    Displaced,
}

impl RoomRefusal {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Displaced => "displaced",
        }
    }
}

/// Memory of all requests of the process.
#[derive(Debug, Default)]
pub struct RequestRooms {
    memory: RefCell<RequestMemory>,
    /// Tells each upload that it must end.
    uploads: RefCell<SecondaryMap<UploadKey, Rc<Notify>>>,
}

impl RequestRooms {
    /// Returns the bytes of a part of all requests.
    pub fn used(&self, part: RequestPart) -> usize {
        self.memory.borrow().used(part)
    }

    /// Returns the bytes of all requests.
    pub fn total(&self) -> usize {
        self.memory.borrow().total()
    }

    /// Takes room, if need be from bodies that come slowly.
    fn take(
        &self,
        gateway: &Gateway,
        part: RequestPart,
        bytes: usize,
        limit: usize,
    ) -> Result<(), RoomRefusal> {
        let mut memory = self.memory.borrow_mut();
        if memory.take(part, bytes, limit).is_ok() {
            return Ok(());
        }
        let displaced = memory
            .take_from_slow(part, bytes, limit, gateway.now())
            .map_err(|NoRoom| RoomRefusal::Full)?;
        for upload in displaced {
            if let Some(end) = self.uploads.borrow_mut().remove(upload) {
                end.notify_one();
            }
        }
        Ok(())
    }

    /// Returns when a caller who was refused for lack of room may try again.
    fn retry_after(&self) -> Duration {
        self.memory.borrow().retry_after()
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

/// Tells the upload that it must end.
type UploadEnd = (UploadKey, Rc<Notify>);

/// Room that one part of a request takes; dropping it gives the room back.
#[derive(Debug)]
pub struct Room {
    gateway: Rc<Gateway>,
    part: RequestPart,
    bytes: usize,
    /// When a long body was begun.
    taken_at: Option<Instant>,
    /// Set while a body is received.
    upload: Option<UploadEnd>,
}

impl Room {
    /// Returns room for nothing yet.
    pub fn empty(gateway: &Rc<Gateway>, part: RequestPart) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            part,
            bytes: 0,
            taken_at: None,
            upload: None,
        }
    }

    /// Takes more, so that it is `bytes` in all; does nothing if it is as many already.
    ///
    /// # Errors
    /// If there is no room.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), RoomRefusal> {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return Ok(());
        }
        let gateway = &self.gateway;
        let memory_bytes = gateway.settings.borrow().memory_bytes;
        let limit = request_limit(memory_bytes, gateway.held_responses.total());
        gateway
            .request_rooms
            .take(gateway, self.part, more, limit)?;
        self.bytes = bytes;
        if bytes >= MIN_TIMED_BYTES && self.part == RequestPart::Body {
            self.taken_at.get_or_insert_with(|| gateway.now());
        }
        gateway.limit_responses();
        Ok(())
    }

    /// Follows the body that takes this room, from its first byte on.
    pub fn begin_upload(&mut self) {
        let rooms = &self.gateway.request_rooms;
        let now = self.gateway.now();
        let key = rooms.memory.borrow_mut().begin_upload(self.bytes, now);
        let end = Rc::new(Notify::new());
        rooms.uploads.borrow_mut().insert(key, Rc::clone(&end));
        self.upload = Some((key, end));
    }

    /// Records how many bytes of the body have come.
    pub fn record_received(&self, received: usize) {
        if let Some((key, _)) = &self.upload {
            let rooms = &self.gateway.request_rooms;
            let mut memory = rooms.memory.borrow_mut();
            memory.record_upload(*key, received, self.bytes);
        }
    }

    /// Waits until the upload must end.
    pub async fn displaced(&self) {
        match &self.upload {
            Some((_, end)) => end.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Ends the upload, of which all bytes have come; fails if it had to give way before.
    ///
    /// # Errors
    /// If the room is taken by others.
    pub fn end_upload(&mut self) -> Result<(), RoomRefusal> {
        let Some((key, _)) = self.upload.take() else {
            return Ok(());
        };
        let rooms = &self.gateway.request_rooms;
        rooms.uploads.borrow_mut().remove(key);
        if rooms.memory.borrow_mut().forget_upload(key) {
            return Ok(());
        }
        self.bytes = 0;
        Err(RoomRefusal::Displaced)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let _displaced = self.end_upload();
        if self.bytes == 0 {
            return;
        }
        let gateway = &self.gateway;
        let held = self.taken_at.map(|at| gateway.now().duration_since(at));
        let mut memory = gateway.request_rooms.memory.borrow_mut();
        memory.give_back(self.part, self.bytes);
        if let Some(held) = held {
            memory.record_hold(held);
        }
        drop(memory);
        gateway.limit_responses();
    }
}

/// Returns the response to a request without room, which has not been executed, and logs and counts it.
pub fn refuse(
    gateway: &Gateway,
    attempt_id: &str,
    declared: Option<u64>,
    refusal: RoomRefusal,
) -> ErrorResponse {
    let rooms = &gateway.request_rooms;
    let after = rooms.retry_after();
    gateway.metrics.room_refused(refusal);
    let fields = json!({
        "why": refusal.name(), "declared_bytes": declared, "request_bytes": rooms.total(),
        "response_bytes": gateway.held_responses.total(), "again_ms": after.as_millis() as u64,
        "memory_bytes": gateway.settings.borrow().memory_bytes,
    });
    event_log::request_problem("no_room", attempt_id, fields);
    ErrorResponse::with_retry_after(Code::InstanceFull, after)
}
