//! Service rate of a queue at this entry.

use std::time::{Duration, Instant};

/// Lowest weight of the newest sample in an average.
///
/// Grants come in bursts of up to [`MAX_BURST`], so an average over that few samples would oscillate.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
/// Samples after which an average is reliable.
const MIN_SAMPLES: u32 = 16;
/// Grants that one message of an owner may carry; the gap before it may be this many times the mean.
const MAX_BURST: u32 = 16;
/// Gap between dispatches to assume before the first sample.
const INITIAL_GAP_S: f64 = 0.02;
/// Safety factor on a predicted wait.
const WAIT_FACTOR: f64 = 1.25;
/// Multiple of the mean holding time to allow for, so that longer requests meet their deadline too.
const HOLDING_TIME_FACTOR: f64 = 2.0;
/// Lower and upper bound of the time after which a refused caller should retry.
const RETRY_AFTER_S: (f64, f64) = (0.05, 30.0);
/// Largest random addition to the retry time, as a fraction of it.
const JITTER: f64 = 0.5;

/// Exponentially weighted moving average; a plain mean for the first samples.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    fn is_reliable(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// Service rate of the queue of one account and service.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueRate {
    last_dispatch: Option<Instant>,
    gap: Average,
    holding_time: Average,
}

impl QueueRate {
    /// Records that a request was dispatched while `remaining` others still wait.
    ///
    /// Only gaps while others wait are counted: an empty queue doesn't show how fast it would be
    /// served.
    pub fn record_dispatch(&mut self, remaining: usize, now: Instant) {
        if let Some(last) = self.last_dispatch {
            self.gap.add(now.duration_since(last).as_secs_f64());
        }
        self.last_dispatch = (remaining > 0).then_some(now);
    }

    /// Records that the queue became empty without a dispatch.
    pub fn on_empty(&mut self) {
        self.last_dispatch = None;
    }

    /// Records that a request held its slot for `time`.
    pub fn record_holding_time(&mut self, time: Duration) {
        self.holding_time.add(time.as_secs_f64());
    }

    /// Mean time that a request holds its slot, once there are enough samples.
    pub fn mean_holding_time(&self) -> Option<Duration> {
        self.holding_time
            .is_reliable()
            .then(|| Duration::from_secs_f64(self.holding_time.value))
    }

    /// Seconds between two dispatches.
    fn gap(&self, now: Instant) -> f64 {
        let mean = if self.gap.samples == 0 {
            INITIAL_GAP_S
        } else {
            self.gap.value
        };
        // A stalled queue yields no samples, so the time since the last dispatch counts as one.
        let stall = self.last_dispatch.map_or(0.0, |last| {
            now.duration_since(last).as_secs_f64() / f64::from(MAX_BURST)
        });
        mean.max(stall)
    }

    /// Returns true if a request behind `ahead` others is unlikely to finish within `left`.
    pub fn misses_deadline(&self, ahead: usize, left: Duration, now: Instant) -> bool {
        if !self.gap.is_reliable() {
            return false;
        }
        let wait = ahead as f64 * self.gap(now) * WAIT_FACTOR;
        let holding_time = self.mean_holding_time().unwrap_or_default().as_secs_f64();
        wait + HOLDING_TIME_FACTOR * holding_time > left.as_secs_f64()
    }

    /// Time after which a refused caller should retry on a queue of `ahead` requests.
    ///
    /// Half of the queue has been served by then. `draw` is a random number between 0 and 1 that
    /// spreads callers that were refused together.
    pub fn retry_after(&self, ahead: usize, draw: f64, now: Instant) -> Duration {
        let half = (ahead as f64 / 2.0).max(1.0) * self.gap(now);
        let delay = half.clamp(RETRY_AFTER_S.0, RETRY_AFTER_S.1) * (1.0 + JITTER * draw);
        Duration::from_secs_f64(delay)
    }
}
