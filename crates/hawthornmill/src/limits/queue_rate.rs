//! How fast a queue is served at this entry.

use std::time::{Duration, Instant};

/// Weight of the newest sample once an average is settled.
///
/// Grants come in bursts of up to [`BURST`], so an average over as few samples would swing with them.
const WEIGHT: f64 = 1.0 / 64.0;
/// Samples after which an average is settled.
const SETTLED: u32 = 16;
/// Samples that one message of an owner may bring at once, so that a gap may be this much longer.
const BURST: u32 = 16;
/// Gap that is assumed before anything was served.
const FIRST_GAP: f64 = 0.02;
/// Part by which a predicted wait may be too short.
const MARGIN: f64 = 1.25;
/// Times the mean that a request may hold its slot: a longer one than most must be done in time too.
const LONG: f64 = 2.0;
/// Bounds of the time after which a caller is told to come back.
const RETRY_AFTER: (f64, f64) = (0.05, 30.0);
/// Part of the time to come back that is added at most at random.
const JITTER: f64 = 0.5;

/// Mean of samples, the newer ones weighing more.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    fn settled(&self) -> bool {
        self.samples >= SETTLED
    }
}

/// QueueRate of the queue of one account and service.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueRate {
    last: Option<Instant>,
    gap: Average,
    hold: Average,
}

impl QueueRate {
    /// A request left the queue for a server, and `left` others still wait.
    ///
    /// Only gaps while others wait are counted: an empty queue says nothing of how fast it would
    /// be served.
    pub fn record_dispatch(&mut self, left: usize, now: Instant) {
        if let Some(last) = self.last {
            self.gap.add(now.duration_since(last).as_secs_f64());
        }
        self.last = (left > 0).then_some(now);
    }

    /// The queue ran empty without a request being served.
    pub fn on_empty(&mut self) {
        self.last = None;
    }

    /// A request held its slot for `time`.
    pub fn record_holding_time(&mut self, time: Duration) {
        self.hold.add(time.as_secs_f64());
    }

    /// Mean time that a request holds its slot; none until some have.
    pub fn mean_holding_time(&self) -> Option<Duration> {
        self.hold
            .settled()
            .then(|| Duration::from_secs_f64(self.hold.value))
    }

    /// Seconds between two requests that are served.
    fn gap(&self, now: Instant) -> f64 {
        let mean = if self.gap.samples == 0 {
            FIRST_GAP
        } else {
            self.gap.value
        };
        // When nothing is served any more no sample comes either; the silence itself is one then.
        let silence = self.last.map_or(0.0, |last| {
            now.duration_since(last).as_secs_f64() / f64::from(BURST)
        });
        mean.max(silence)
    }

    /// Tells whether a request behind `ahead` others can't be answered within `left`.
    pub fn misses_deadline(&self, ahead: usize, left: Duration, now: Instant) -> bool {
        if !self.gap.settled() {
            return false;
        }
        let wait = ahead as f64 * self.gap(now) * MARGIN;
        let hold = self.mean_holding_time().unwrap_or_default().as_secs_f64();
        wait + LONG * hold > left.as_secs_f64()
    }

    /// When a caller that was refused may come back to a queue of `ahead` requests.
    ///
    /// By then half of the queue has been served. `draw` lies between 0 and 1 and spreads callers
    /// that were refused together.
    pub fn retry_after(&self, ahead: usize, draw: f64, now: Instant) -> Duration {
        let half = (ahead as f64 / 2.0).max(1.0) * self.gap(now);
        let spread = half.clamp(RETRY_AFTER.0, RETRY_AFTER.1) * (1.0 + JITTER * draw);
        Duration::from_secs_f64(spread)
    }
}
