//! Time for which an instance has known that others have a newer version.
//!
//! Load pattern: callers saturate an instance's own link, so it hears of a change long before it receives it.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Pending numbers that are kept; further ones are dropped, since the oldest decides.
const MAX_PENDING: usize = 16;

/// Catalog versions or store revisions that were heard of but not received yet.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Increasing, each with the instant at which it was first heard of.
    pending: SmallVec<[(u64, Instant); MAX_PENDING]>,
}

impl Lag {
    /// Records that another instance has `number` while this one has `current`.
    pub fn observe(&mut self, number: u64, current: u64, now: Instant) {
        let last_known = self.pending.last().map_or(current, |(last, _)| *last);
        if number > last_known.max(current) && self.pending.len() < MAX_PENDING {
            self.pending.push((number, now));
        }
    }

    /// Records that this instance has `current` now.
    pub fn catch_up(&mut self, current: u64) {
        self.pending.retain(|(number, _)| *number > current);
    }

    /// Returns whether a newer number is known to exist.
    pub fn is_behind(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns how long a newer number has been known to exist, or zero.
    pub fn duration(&self, now: Instant) -> Duration {
        let first = self.pending.first();
        first.map_or(Duration::ZERO, |(_, at)| now.duration_since(*at))
    }
}
