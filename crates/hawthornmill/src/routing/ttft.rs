//! Estimates the time to the first token (TTFT) of a service's engines from their responses.
//!
//! Load pattern: an instance's own link is saturated, and every response reaches it half a second late. Taken for slow
//! prefill, that makes all servers look busy, and the instance refuses work while engines idle.
//!
//! The model is therefore a linear regression of the TTFT on the prefill tokens ahead, with exponentially decaying weights:
//! the slope is the prefill time per token, the intercept is common to all requests. The estimate decides which requests
//! are sent at all, so without new responses it returns to its prior; otherwise a wrong estimate could last forever.

use std::time::{Duration, Instant};

/// Prior TTFT without the prefill.
const INITIAL_LATENCY: Duration = Duration::from_millis(60);
/// Prior prefill rate, in tokens per millisecond.
const INITIAL_RATE_PER_MS: f64 = 60.0;
/// Prompt length of the second of the two prior samples; the first has none.
const PRIOR_PROMPT_TOKENS: f64 = 10_000.0;
/// Weight of each prior sample, in responses.
const PRIOR_WEIGHT: f64 = 5.0;
/// Fraction of its weight that a sample loses with each newer one.
const SAMPLE_DECAY: f64 = 0.01;
/// Time without a response after which the estimate begins to return to the prior.
const DECAY_DELAY: Duration = Duration::from_millis(500);
/// Half-life of the samples from then on.
const DECAY_HALF_LIFE: Duration = Duration::from_millis(250);
/// Bounds of a plausible prefill rate, in tokens per millisecond.
const RATE_BOUNDS_PER_MS: (f64, f64) = (5.0, 400.0);

/// Weighted sums over samples of prefill tokens and milliseconds to the first token.
#[derive(Debug, Clone, Copy)]
pub struct TtftModel {
    weight: f64,
    tokens: f64,
    millis: f64,
    squares: f64,
    products: f64,
    last: Option<Instant>,
}

/// Estimated time to the first token of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TtftEstimate {
    /// Prefill rate in tokens per second.
    pub prefill_rate: f64,
    /// TTFT without the prefill.
    pub base_latency: Duration,
}

impl TtftEstimate {
    /// Returns the time to prefill `tokens`.
    pub fn prefill_time(self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate)
    }
}

impl Default for TtftModel {
    fn default() -> Self {
        let mut model = Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            squares: 0.0,
            products: 0.0,
            last: None,
        };
        let latency = INITIAL_LATENCY.as_secs_f64() * 1000.0;
        model.add(PRIOR_WEIGHT, 0.0, latency);
        model.add(
            PRIOR_WEIGHT,
            PRIOR_PROMPT_TOKENS,
            latency + PRIOR_PROMPT_TOKENS / INITIAL_RATE_PER_MS,
        );
        model
    }
}

impl TtftModel {
    /// Records a TTFT of `time` with `tokens` to prefill ahead, including the request's own prompt; above 0.
    pub fn observe(&mut self, tokens: u32, time: Duration, now: Instant) {
        *self = self.decayed(now);
        self.last = Some(now);
        self.scale(1.0 - SAMPLE_DECAY);
        self.add(1.0, f64::from(tokens), time.as_secs_f64() * 1000.0);
    }

    /// Returns the model at `now`: the longer without a response, the closer to the prior.
    #[must_use]
    pub fn decayed(self, now: Instant) -> Self {
        let silence = self.last.map_or(Duration::ZERO, |last| {
            now.saturating_duration_since(last)
                .saturating_sub(DECAY_DELAY)
        });
        if silence.is_zero() {
            return self;
        }
        let factor = 0.5_f64.powf(silence.as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64());
        let (mut learned, mut prior) = (self, Self::default());
        learned.scale(factor);
        prior.scale(1.0 - factor);
        learned.merge(prior);
        learned
    }

    fn merge(&mut self, other: Self) {
        self.weight += other.weight;
        self.tokens += other.tokens;
        self.millis += other.millis;
        self.squares += other.squares;
        self.products += other.products;
    }

    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.tokens *= factor;
        self.millis *= factor;
        self.squares *= factor;
        self.products *= factor;
    }

    fn add(&mut self, weight: f64, tokens: f64, millis: f64) {
        self.merge(Self {
            weight,
            tokens: weight * tokens,
            millis: weight * millis,
            squares: weight * tokens * tokens,
            products: weight * tokens * millis,
            last: None,
        });
    }

    /// Prefill rate in tokens per millisecond.
    fn rate_per_ms(self) -> f64 {
        let spread = self.squares - self.tokens * self.tokens / self.weight;
        let slope = (self.products - self.tokens * self.millis / self.weight) / spread.max(1.0);
        (1.0 / slope.max(f64::MIN_POSITIVE)).clamp(RATE_BOUNDS_PER_MS.0, RATE_BOUNDS_PER_MS.1)
    }

    /// Returns the estimate; a placement uses it for each of its candidates.
    pub fn estimate(self) -> TtftEstimate {
        let rate_per_ms = self.rate_per_ms();
        let millis = (self.millis - self.tokens / rate_per_ms) / self.weight;
        TtftEstimate {
            prefill_rate: rate_per_ms * 1000.0,
            base_latency: Duration::from_secs_f64(millis.max(0.0) / 1000.0),
        }
    }
}
