//! Memory that the requests of one process use together, and which uploads are evicted when it is used up.
//!
//! Memory is reserved before it is allocated, for a body of known length when its head has come. What is counted is what
//! is allocated, so the sum is a bound on the memory itself.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

new_key_type! {
    /// A body that is being received.
    pub struct UploadKey;
}

/// Time for which a body may be received at any speed.
const UPLOAD_GRACE: Duration = Duration::from_secs(1);
/// Bytes a second below which an upload can be evicted.
const MIN_UPLOAD_RATE: f64 = (64 << 10) as f64;
/// Time for which the bytes of an upload are counted together.
const BUCKET: Duration = Duration::from_millis(250);
/// Buckets in which fewer bytes than come in a second at [`MIN_UPLOAD_RATE`] mean that an upload stands still.
///
/// They last for 1.5 s at least, so that a steady sender may pause for half a second.
const BUCKETS: usize = 7;
const MIN_RECENT_BYTES: u64 = MIN_UPLOAD_RATE as u64;
/// Least size of a body whose lifetime tells when there will be memory again.
pub const MIN_TIMED_BYTES: usize = 64 << 10;
/// Weight of the newest lifetime in the mean.
const LIFETIME_WEIGHT: f64 = 0.125;
/// Lifetime of a body that is assumed before one was measured.
const DEFAULT_LIFETIME: Duration = Duration::from_millis(400);
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

/// The memory for requests is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutOfMemory;

/// Bytes that came in the last buckets.
#[derive(Debug, Clone, Copy, Default)]
struct RecentBytes {
    /// Number of the newest bucket.
    newest: u64,
    /// Bytes of each bucket, at the place of its number modulo their count.
    buckets: [u64; BUCKETS],
}

impl RecentBytes {
    /// Empties the buckets that have begun since the newest one.
    fn advance(&mut self, bucket: u64) {
        let begun = (self.newest + 1..=bucket).rev().take(BUCKETS);
        for number in begun {
            self.buckets[number as usize % BUCKETS] = 0;
        }
        self.newest = self.newest.max(bucket);
    }

    fn add(&mut self, bucket: u64, bytes: u64) {
        self.advance(bucket);
        self.buckets[self.newest as usize % BUCKETS] += bytes;
    }

    /// Returns the bytes of the last buckets up to `bucket`.
    fn sum(mut self, bucket: u64) -> u64 {
        self.advance(bucket);
        self.buckets.iter().sum()
    }
}

#[derive(Debug, Clone, Copy)]
struct Upload {
    /// Bytes reserved for it.
    reserved: usize,
    received: usize,
    recent: RecentBytes,
    begun: Instant,
}

impl Upload {
    /// Number of the bucket of `now`.
    fn bucket(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.begun);
        (elapsed.as_millis() / BUCKET.as_millis()) as u64
    }

    fn recent_bytes(&self, now: Instant) -> u64 {
        self.recent.sum(self.bucket(now))
    }

    /// Bytes a second so far.
    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.begun).as_secs_f64();
        self.received as f64 / elapsed.max(f64::MIN_POSITIVE)
    }

    /// Returns whether it is slow, or stands still whatever came before.
    fn is_evictable(&self, now: Instant) -> bool {
        let is_slow = self.rate(now) < MIN_UPLOAD_RATE || self.recent_bytes(now) < MIN_RECENT_BYTES;
        is_slow && now.saturating_duration_since(self.begun) > UPLOAD_GRACE
    }
}

/// Uploads that were evicted for a request.
pub type Evicted = SmallVec<[UploadKey; 4]>;

/// Bytes that the requests of a process use, without I/O.
#[derive(Debug, Default)]
pub struct RequestMemory {
    /// Bytes of each part, in the order of [`RequestPart::ALL`].
    reserved: [usize; RequestPart::ALL.len()],
    uploads: SlotMap<UploadKey, Upload>,
    /// Mean time that a long body is in memory.
    mean_lifetime: Option<Duration>,
}

impl RequestMemory {
    /// Reserves `bytes`, if no more than `limit` are reserved then.
    ///
    /// # Errors
    /// If there is no memory.
    pub fn reserve(
        &mut self,
        part: RequestPart,
        bytes: usize,
        limit: usize,
    ) -> Result<(), OutOfMemory> {
        if self.total().saturating_add(bytes) > limit {
            return Err(OutOfMemory);
        }
        self.reserved[part as usize] += bytes;
        Ok(())
    }

    /// Reserves `bytes`, and evicts uploads that are too slow if need be; returns these, whose bytes are released.
    ///
    /// `own` is the upload for which the bytes are, which is not evicted itself.
    ///
    /// # Errors
    /// If there is no memory even so; nothing is evicted then.
    pub fn reserve_evicting(
        &mut self,
        part: RequestPart,
        bytes: usize,
        limit: usize,
        own: Option<UploadKey>,
        now: Instant,
    ) -> Result<Evicted, OutOfMemory> {
        let excess = self.total().saturating_add(bytes).saturating_sub(limit);
        let evicted = self.slow_uploads(excess, own, now).ok_or(OutOfMemory)?;
        for key in &evicted {
            if let Some(upload) = self.uploads.remove(*key) {
                self.release(RequestPart::Body, upload.reserved);
            }
        }
        self.reserve(part, bytes, limit)?;
        Ok(evicted)
    }

    /// Returns the slowest uploads with `bytes` together, but `own`; `None` if those that can be evicted have fewer.
    fn slow_uploads(&self, bytes: usize, own: Option<UploadKey>, now: Instant) -> Option<Evicted> {
        let uploads = self.uploads.iter();
        let slow = uploads.filter(|(key, u)| Some(*key) != own && u.is_evictable(now));
        let mut slow: Vec<(UploadKey, &Upload)> = slow.collect();
        slow.sort_by(|(_, a), (_, b)| {
            let by_recent = a.recent_bytes(now).cmp(&b.recent_bytes(now));
            by_recent.then(a.rate(now).total_cmp(&b.rate(now)))
        });
        let (mut chosen, mut freed) = (Evicted::new(), 0);
        for (key, upload) in slow {
            chosen.push(key);
            freed += upload.reserved;
            if freed >= bytes {
                return Some(chosen);
            }
        }
        None
    }

    /// Releases bytes of a part.
    pub const fn release(&mut self, part: RequestPart, bytes: usize) {
        self.reserved[part as usize] -= bytes;
    }

    /// Begins to follow a body that is being received, for which `reserved` bytes are reserved.
    pub fn begin_upload(&mut self, reserved: usize, now: Instant) -> UploadKey {
        self.uploads.insert(Upload {
            reserved,
            received: 0,
            recent: RecentBytes::default(),
            begun: now,
        })
    }

    /// Records how many bytes of a body were received so far.
    pub fn record_received(&mut self, upload: UploadKey, received: usize, now: Instant) {
        if let Some(upload) = self.uploads.get_mut(upload) {
            let more = received.saturating_sub(upload.received);
            upload.recent.add(upload.bucket(now), more as u64);
            upload.received = received;
        }
    }

    /// Records how many bytes are reserved for a body that is being received.
    pub fn record_reserved(&mut self, upload: UploadKey, reserved: usize) {
        if let Some(upload) = self.uploads.get_mut(upload) {
            upload.reserved = reserved;
        }
    }

    /// Stops following a body that is complete or abandoned; returns false if it was evicted.
    pub fn end_upload(&mut self, upload: UploadKey) -> bool {
        self.uploads.remove(upload).is_some()
    }

    /// Records that a body of at least [`MIN_TIMED_BYTES`] was in memory for `lifetime`.
    pub fn record_lifetime(&mut self, lifetime: Duration) {
        let before = self.mean_lifetime.unwrap_or(lifetime);
        let mean = before.mul_f64(1.0 - LIFETIME_WEIGHT) + lifetime.mul_f64(LIFETIME_WEIGHT);
        self.mean_lifetime = Some(mean);
    }

    /// Returns when there is memory for a refused caller, if bodies live as long as before.
    pub fn retry_after(&self) -> Duration {
        let lifetime = self.mean_lifetime.unwrap_or(DEFAULT_LIFETIME);
        lifetime.clamp(RETRY_RANGE.0, RETRY_RANGE.1)
    }

    /// Returns the bytes reserved for a part.
    pub const fn reserved(&self, part: RequestPart) -> usize {
        self.reserved[part as usize]
    }

    /// Returns the bytes reserved for all parts.
    pub fn total(&self) -> usize {
        self.reserved.iter().sum()
    }
}
