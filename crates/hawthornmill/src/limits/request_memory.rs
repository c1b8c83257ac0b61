//! Memory that the requests of one process use together, and which of them gives way when it is used up.
//!
//! Memory is taken before it is allocated, for a body of known length when its head has come. What is counted is what is
//! allocated, so the sum is a bound on the memory itself.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

new_key_type! {
    /// A body that is being received.
    pub struct UploadKey;
}

/// Time for which a body may be received at any speed.
const UPLOAD_GRACE: Duration = Duration::from_secs(1);
/// Bytes a second; a body that comes more slowly gives way when others lack room.
const MIN_UPLOAD_RATE: f64 = (64 << 10) as f64;
/// Least size whose time in memory tells when there will be room again.
pub const MIN_TIMED_BYTES: usize = 64 << 10;
/// Weight of the newest time in the mean.
const HOLD_WEIGHT: f64 = 0.125;
/// Time after which there may be room again where none was measured.
const DEFAULT_HOLD: Duration = Duration::from_millis(400);
/// Shortest and longest time that a refused caller is told to wait.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// What a request keeps in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPart {
    /// A long head.
    Head,
    /// The body.
    Body,
    /// A server's error response, kept while the request is sent to another server.
    KeptError,
}

impl RequestPart {
    /// All parts, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::Head, Self::Body, Self::KeptError];
}

/// There is no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Debug, Clone, Copy)]
struct Upload {
    /// Bytes taken for it.
    taken: usize,
    received: usize,
    begun: Instant,
}

impl Upload {
    /// Bytes a second so far.
    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.begun).as_secs_f64();
        self.received as f64 / elapsed.max(f64::MIN_POSITIVE)
    }

    fn gives_way(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.begun) > UPLOAD_GRACE && self.rate(now) < MIN_UPLOAD_RATE
    }
}

/// Uploads that give way to a request.
pub type Displaced = SmallVec<[UploadKey; 4]>;

/// Bytes that the requests of a process use, without I/O.
#[derive(Debug, Default)]
pub struct RequestMemory {
    /// Bytes of each part, in the order of [`RequestPart::ALL`].
    used: [usize; RequestPart::ALL.len()],
    uploads: SlotMap<UploadKey, Upload>,
    /// Mean time that a large body is in memory.
    mean_hold: Option<Duration>,
}

impl RequestMemory {
    /// Takes `bytes`, if no more than `limit` are used then.
    ///
    /// # Errors
    /// If there is no room.
    pub fn take(&mut self, part: RequestPart, bytes: usize, limit: usize) -> Result<(), NoRoom> {
        if self.total().saturating_add(bytes) > limit {
            return Err(NoRoom);
        }
        self.used[part as usize] += bytes;
        Ok(())
    }

    /// Takes `bytes` of which some are used by bodies that come slowly; returns the uploads that must end for it.
    ///
    /// The bytes of these no longer count.
    ///
    /// # Errors
    /// If there is no room even so.
    pub fn take_from_slow(
        &mut self,
        part: RequestPart,
        bytes: usize,
        limit: usize,
        now: Instant,
    ) -> Result<Displaced, NoRoom> {
        let excess = self.total().saturating_add(bytes).saturating_sub(limit);
        let displaced = self.slow_uploads(excess, now).ok_or(NoRoom)?;
        for upload in &displaced {
            self.end_upload(*upload);
        }
        self.take(part, bytes, limit)?;
        Ok(displaced)
    }

    /// Returns the slowest uploads that hold `bytes` together; `None` if those that may give way hold less.
    fn slow_uploads(&self, bytes: usize, now: Instant) -> Option<Displaced> {
        let mut chosen = Displaced::new();
        let slow = self.uploads.iter().filter(|(_, u)| u.gives_way(now));
        let mut slow: Vec<(UploadKey, &Upload)> = slow.collect();
        slow.sort_by(|(_, a), (_, b)| a.rate(now).total_cmp(&b.rate(now)));
        let mut freed = 0;
        for (key, upload) in slow {
            chosen.push(key);
            freed += upload.taken;
            if freed >= bytes {
                return Some(chosen);
            }
        }
        None
    }

    /// Gives bytes of a part back.
    pub const fn give_back(&mut self, part: RequestPart, bytes: usize) {
        self.used[part as usize] -= bytes;
    }

    /// Begins to follow a body that is being received, for which `taken` bytes were taken.
    pub fn begin_upload(&mut self, taken: usize, now: Instant) -> UploadKey {
        self.uploads.insert(Upload {
            taken,
            received: 0,
            begun: now,
        })
    }

    /// Records how much was received of a body, and how much was taken for it.
    pub fn record_upload(&mut self, upload: UploadKey, received: usize, taken: usize) {
        if let Some(upload) = self.uploads.get_mut(upload) {
            upload.received = received;
            upload.taken = taken;
        }
    }

    /// Ends an upload that gave way, and gives its bytes back.
    fn end_upload(&mut self, upload: UploadKey) {
        if let Some(upload) = self.uploads.remove(upload) {
            self.give_back(RequestPart::Body, upload.taken);
        }
    }

    /// Stops following a body that is complete or given up; returns false if it had to give way.
    pub fn forget_upload(&mut self, upload: UploadKey) -> bool {
        self.uploads.remove(upload).is_some()
    }

    /// Records that a body of at least [`MIN_TIMED_BYTES`] was in memory for `held`.
    pub fn record_hold(&mut self, held: Duration) {
        let before = self.mean_hold.unwrap_or(held);
        let mean = before.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT);
        self.mean_hold = Some(mean);
    }

    /// Returns when a refused caller finds room, if callers hold it for as long as before.
    pub fn retry_after(&self) -> Duration {
        let hold = self.mean_hold.unwrap_or(DEFAULT_HOLD);
        hold.clamp(RETRY_RANGE.0, RETRY_RANGE.1)
    }

    /// Returns the bytes of a part.
    pub const fn used(&self, part: RequestPart) -> usize {
        self.used[part as usize]
    }

    /// Returns the bytes of all parts.
    pub fn total(&self) -> usize {
        self.used.iter().sum()
    }
}
