//! The clock that is passed in.
//!
//! Decisions take `now` as an argument; the adapters around them read it from a [`Clock`], so that
//! a test can move time by hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A source of monotonic time.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Instant + Send + Sync>,
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

impl Clock {
    /// The operating system's monotonic clock.
    pub fn system() -> Self {
        Self {
            read: Arc::new(Instant::now),
        }
    }

    /// A clock that moves only when its [`ManualClock`] is advanced.
    pub fn manual() -> (Self, ManualClock) {
        let time = ManualClock {
            start: Instant::now(),
            nanos: Arc::new(AtomicU64::new(0)),
        };
        let reader = time.clone();
        let clock = Self {
            read: Arc::new(move || reader.now()),
        };
        (clock, time)
    }

    /// The present instant.
    pub fn now(&self) -> Instant {
        (self.read)()
    }
}

/// The hand that moves a manual [`Clock`].
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    nanos: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        self.nanos
            .fetch_add(step.as_nanos() as u64, Ordering::Relaxed);
    }

    /// The present instant of the manual clock.
    pub fn now(&self) -> Instant {
        self.start + Duration::from_nanos(self.nanos.load(Ordering::Relaxed))
    }
}
