//! Weighted means that lose weight with time.

use std::time::{Duration, Instant};

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Logarithms of ratios of measured to expected times: their weighted sum and its weight at an instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Evidence {
    sum: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Evidence {
    /// No evidence.
    pub(super) const EMPTY: Self = Self {
        sum: 0.0,
        weight: 0.0,
        at: None,
    };

    /// Evidence of `weight` with the mean `log`.
    pub(super) fn new(log: f64, weight: f64, now: Instant) -> Self {
        Self {
            sum: log * weight,
            weight,
            at: Some(now),
        }
    }

    /// Returns the evidence as it counts at `now`.
    pub(super) fn decayed(self, now: Instant) -> Self {
        let age = self
            .at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        Self {
            sum: self.sum * factor,
            weight: self.weight * factor,
            at: Some(now),
        }
    }

    /// Adds one measurement.
    pub(super) fn add(&mut self, log: f64, now: Instant) {
        *self = self.decayed(now);
        self.sum += log;
        self.weight += 1.0;
    }

    /// Adds other evidence as of the same instant.
    pub(super) fn merge(&mut self, other: Self) {
        self.sum += other.sum;
        self.weight += other.weight;
        self.at = self.at.or(other.at);
    }

    pub(super) const fn weight(self) -> f64 {
        self.weight
    }

    /// Returns the mean logarithm.
    pub(super) fn log(self) -> f64 {
        self.sum / self.weight.max(f64::MIN_POSITIVE)
    }
}
