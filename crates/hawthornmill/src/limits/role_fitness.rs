//! Whether this process is fast enough for a role that other instances depend on.
//!
//! Load pattern: a machine turns slow, or callers flood it, while it relays for a failure domain. It still answers, so
//! nobody takes its place, and the whole domain acts on late reports.

use std::time::{Duration, Instant};

/// Timer lag from which the process is too late for others.
const MAX_LAG: Duration = Duration::from_millis(50);
/// Time for which it must be late before it gives its roles up; a burst is no reason.
const MIN_LATE: Duration = Duration::from_secs(1);
/// Time for which it must be in time before it takes roles again, so that they don't change hands all the time.
const MIN_IN_TIME: Duration = Duration::from_secs(5);

/// Lateness of the process over time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleFitness {
    /// Since when the process is late, or in time after it was unfit.
    since: Option<Instant>,
    unfit: bool,
}

impl RoleFitness {
    /// Records the current timer lag; returns whether the process is fit now if that has changed.
    pub fn observe(&mut self, lag: Duration, now: Instant) -> Option<bool> {
        let is_late = lag > MAX_LAG;
        if is_late == self.unfit {
            self.since = None;
            return None;
        }
        let since = *self.since.get_or_insert(now);
        let needed = if self.unfit { MIN_IN_TIME } else { MIN_LATE };
        if now.duration_since(since) < needed {
            return None;
        }
        self.since = None;
        self.unfit = !self.unfit;
        Some(!self.unfit)
    }
}
