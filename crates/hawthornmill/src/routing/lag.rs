//! How long an instance has known that others decide by something newer.
//!
//! Load pattern: callers fill an instance's own link, so that news of a change reach it long before the change does.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Numbers that are remembered; of more that come meanwhile, only the oldest decide.
const MOST: usize = 16;

/// Numbers of something published, a catalog's version or a revision, that were heard of and are not here yet.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Rising, each with the instant at which it was first heard of.
    newer: SmallVec<[(u64, Instant); MOST]>,
}

impl Lag {
    /// Somebody has `number`; this instance has `own`.
    pub fn observe(&mut self, number: u64, own: u64, now: Instant) {
        let known = self.newer.last().map_or(own, |(last, _)| *last);
        if number > known.max(own) && self.newer.len() < MOST {
            self.newer.push((number, now));
        }
    }

    /// This instance has `own` now.
    pub fn catch_up(&mut self, own: u64) {
        self.newer.retain(|(number, _)| *number > own);
    }

    /// Tells whether anything newer is known to exist.
    pub fn is_behind(&self) -> bool {
        !self.newer.is_empty()
    }

    /// How long it has been known that something newer exists; zero when nothing does.
    pub fn duration(&self, now: Instant) -> Duration {
        let first = self.newer.first();
        first.map_or(Duration::ZERO, |(_, at)| now.duration_since(*at))
    }
}
