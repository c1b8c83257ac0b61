//! How far a process is behind with its work, and which new connections it turns away for that.
//!
//! Load pattern: an account floods, and its callers come in by one instance, whatever they are told. When
//! that instance has not enough processor to read all, it reads each request late: callers give up on some
//! before they are read, get refusals when their time is nearly over, and find no place for new connections.
//! Connections that are closed before anything was read of them cost least, and their callers go to another
//! instance at once.

use std::time::{Duration, Instant};

/// Lateness from which a process counts as behind and turns connections away: a request takes several of its turns,
/// and waits in each.
const FIRST: Duration = Duration::from_millis(15);
/// Lateness beyond [`FIRST`] at which the most are turned away.
const RANGE: Duration = Duration::from_millis(45);
/// Part of the connections that is turned away at most, so that the process is always seen to take some.
const MOST_PART: f64 = 0.95;
/// Part of the lateness that is kept when the next timer is less late: a queue takes a while to shrink.
const KEPT: f64 = 0.25;

/// How late a process runs what is due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadShedder {
    late: Duration,
    due: Option<Instant>,
}

impl LoadShedder {
    /// A timer came at `now`; the next one is due at `next`.
    pub fn tick(&mut self, now: Instant, next: Instant) {
        self.late = self.overdue(now).max(self.late.mul_f64(KEPT));
        self.due = Some(next);
    }

    /// How late the process is: by its last timer, or by one that should have come already.
    pub fn lag(&self, now: Instant) -> Duration {
        self.late.max(self.overdue(now))
    }

    /// Tells whether the process is so late that times it measures tell more of itself than of others.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        self.lag(now) > FIRST
    }

    fn overdue(&self, now: Instant) -> Duration {
        self.due
            .map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }

    /// Part of the new connections to turn away.
    pub fn shed_ratio(&self, now: Instant) -> f64 {
        let over = self.lag(now).saturating_sub(FIRST).as_secs_f64();
        (over / RANGE.as_secs_f64()).min(MOST_PART)
    }
}
