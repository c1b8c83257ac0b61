//! Sheds new connections while the process is overloaded.
//!
//! A flooding account may send all its calls to one instance, whatever addresses it is given. When the processor
//! can't keep up, every request is read late: some callers time out before their request is read, others are
//! rejected just before their deadline, and new connections are not accepted. Closing a connection before reading
//! anything from it is the cheapest rejection, and its caller tries another instance at once.

use std::time::{Duration, Instant};

/// Timer lag above which the process counts as overloaded; a request waits this long several times over.
const OVERLOAD_LAG: Duration = Duration::from_millis(15);
/// Lag beyond [`OVERLOAD_LAG`] at which [`MAX_SHED_RATIO`] is reached.
const SHED_RANGE: Duration = Duration::from_millis(45);
/// Largest fraction of connections to close, so that the process always accepts some.
const MAX_SHED_RATIO: f64 = 0.95;
/// Factor by which the lag decays per timer tick, since a backlog takes a while to drain.
const LAG_DECAY: f64 = 0.25;

/// Measures the timer lag of the process and derives the fraction of connections to close.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadShedder {
    lag: Duration,
    next_due: Option<Instant>,
}

impl LoadShedder {
    /// Records a timer that fired at `now`; the next one is due at `next`.
    pub fn tick(&mut self, now: Instant, next: Instant) {
        self.lag = self.overdue(now).max(self.lag.mul_f64(LAG_DECAY));
        self.next_due = Some(next);
    }

    /// Current lag, from the last timer or from one that is overdue.
    pub fn lag(&self, now: Instant) -> Duration {
        self.lag.max(self.overdue(now))
    }

    /// Returns true if latencies measured now are dominated by the process itself.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        self.lag(now) > OVERLOAD_LAG
    }

    fn overdue(&self, now: Instant) -> Duration {
        self.next_due
            .map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }

    /// Fraction of new connections to close.
    pub fn shed_ratio(&self, now: Instant) -> f64 {
        let over = self.lag(now).saturating_sub(OVERLOAD_LAG).as_secs_f64();
        (over / SHED_RANGE.as_secs_f64()).min(MAX_SHED_RATIO)
    }
}
