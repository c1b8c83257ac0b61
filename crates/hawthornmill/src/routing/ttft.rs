//! How long engines of a service take to a first token, learnt from their answers.
//!
//! Load pattern: an instance's own link is full, and every answer reaches it half a second late. Taken for slow
//! reading, that makes all servers look busy, and the instance turns away work for which engines idle.
//!
//! So a line is laid through the times by the tokens before them, the older answers weighing less: its slope is the
//! reading, its begin is what is the same for all requests. What it says decides which requests are sent at all, so
//! without new answers it goes back to what was assumed first: else a wrong one could last for ever.

use std::time::{Duration, Instant};

/// Time to a first token besides the reading, until answers have shown it.
const FIRST_TIME: Duration = Duration::from_millis(60);
/// Rate of reading until answers have shown it, in tokens a millisecond.
const FIRST_RATE: f64 = 60.0;
/// Tokens of the longer of the two prompts that stand in for answers at the begin.
const FIRST_PROMPT: f64 = 10_000.0;
/// Answers of each of the two that stand in.
const FIRST_ANSWERS: f64 = 5.0;
/// Part of its weight that an answer loses with each newer one.
const FADE: f64 = 0.01;
/// Time without an answer after which what was learnt begins to count less.
const SILENT: Duration = Duration::from_millis(500);
/// Further time in which it comes to count half.
const FORGET: Duration = Duration::from_millis(250);
/// Bounds of a plausible rate, in tokens a millisecond.
const RATES: (f64, f64) = (5.0, 400.0);

/// Weighted sums over answers: tokens before the first one, and milliseconds to it.
#[derive(Debug, Clone, Copy)]
pub struct TtftModel {
    weight: f64,
    tokens: f64,
    millis: f64,
    squares: f64,
    products: f64,
    last: Option<Instant>,
}

impl Default for TtftModel {
    fn default() -> Self {
        let mut times = Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            squares: 0.0,
            products: 0.0,
            last: None,
        };
        let first = FIRST_TIME.as_secs_f64() * 1000.0;
        times.add(FIRST_ANSWERS, 0.0, first);
        times.add(
            FIRST_ANSWERS,
            FIRST_PROMPT,
            first + FIRST_PROMPT / FIRST_RATE,
        );
        times
    }
}

impl TtftModel {
    /// The first token came `time` after `tokens` were before it, its own prompt included; above 0.
    pub fn observe(&mut self, tokens: u32, time: Duration, now: Instant) {
        *self = self.decayed(now);
        self.last = Some(now);
        self.keep(1.0 - FADE);
        self.add(1.0, f64::from(tokens), time.as_secs_f64() * 1000.0);
    }

    /// What it says at `now`: the longer no answer came, the more of what was assumed first.
    #[must_use]
    pub fn decayed(self, now: Instant) -> Self {
        let silence = self.last.map_or(Duration::ZERO, |last| {
            now.saturating_duration_since(last).saturating_sub(SILENT)
        });
        if silence.is_zero() {
            return self;
        }
        let kept = 0.5_f64.powf(silence.as_secs_f64() / FORGET.as_secs_f64());
        let (mut learnt, mut assumed) = (self, Self::default());
        learnt.keep(kept);
        assumed.keep(1.0 - kept);
        learnt.merge(assumed);
        learnt
    }

    fn merge(&mut self, other: Self) {
        self.weight += other.weight;
        self.tokens += other.tokens;
        self.millis += other.millis;
        self.squares += other.squares;
        self.products += other.products;
    }

    fn keep(&mut self, kept: f64) {
        self.weight *= kept;
        self.tokens *= kept;
        self.millis *= kept;
        self.squares *= kept;
        self.products *= kept;
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

    /// Tokens that are read in a millisecond.
    fn rate(self) -> f64 {
        let spread = self.squares - self.tokens * self.tokens / self.weight;
        let slope = (self.products - self.tokens * self.millis / self.weight) / spread.max(1.0);
        (1.0 / slope.max(f64::MIN_POSITIVE)).clamp(RATES.0, RATES.1)
    }

    /// Tokens that are read in a second.
    pub fn prefill_rate(self) -> f64 {
        self.rate() * 1000.0
    }

    /// Time in which `tokens` are read.
    pub fn prefill_time(self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate())
    }

    /// Time to a first token besides the reading.
    pub fn base_latency(self) -> Duration {
        let millis = (self.millis - self.tokens / self.rate()) / self.weight;
        Duration::from_secs_f64(millis.max(0.0) / 1000.0)
    }
}
