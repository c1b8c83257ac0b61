//! Fleet-wide budget for retries.
//!
//! All instances share one budget per service: in any window, a ratio of the requests plus a fixed extra. No instance
//! asks another before a retry. Each one uses the ratio of its own requests and its part of the extra, divided by the
//! largest number of instances it has seen. The sum over all instances therefore stays within the budget even when they
//! see different numbers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ident::ServiceId;

/// Usable fraction of the budget; the windows of two observers never begin at the same instant.
const USABLE_FRACTION: f64 = 0.7;

/// Settings of the fleet's retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries per request.
    pub ratio: f64,
    /// Further retries allowed in any window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries of one service within the last window, by bucket.
#[derive(Debug, Clone, Default)]
struct WindowCounts {
    buckets: VecDeque<(u64, u32, u32)>,
}

/// Buckets per window.
const BUCKETS: u32 = 10;

impl WindowCounts {
    fn bucket(&mut self, index: u64) -> &mut (u64, u32, u32) {
        if self.buckets.back().is_none_or(|b| b.0 < index) {
            self.buckets.push_back((index, 0, 0));
        }
        while self
            .buckets
            .front()
            .is_some_and(|b| b.0 + u64::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn totals(&self) -> (u32, u32) {
        let requests = self.buckets.iter().map(|b| b.1).sum();
        (requests, self.buckets.iter().map(|b| b.2).sum())
    }
}

/// This instance's part of the retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    start: Instant,
    instances: usize,
    counts: BTreeMap<ServiceId, WindowCounts>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub const fn new(config: RetryBudgetConfig, now: Instant) -> Self {
        Self {
            config,
            start: now,
            instances: 1,
            counts: BTreeMap::new(),
        }
    }

    /// Sets the number of instances that share the budget; the largest number seen counts.
    pub fn observe_instances(&mut self, instances: usize) {
        self.instances = self.instances.max(instances);
    }

    fn bucket_index(&self, now: Instant) -> u64 {
        let length = self.config.window.as_millis() / u128::from(BUCKETS);
        (now.duration_since(self.start).as_millis() / length.max(1)) as u64
    }

    /// Records a first attempt for `service`.
    pub fn record_request(&mut self, service: ServiceId, now: Instant) {
        let index = self.bucket_index(now);
        self.counts.entry(service).or_default().bucket(index).1 += 1;
    }

    /// Takes one retry from the budget; returns false when none is left.
    pub fn try_acquire(&mut self, service: ServiceId, now: Instant) -> bool {
        let index = self.bucket_index(now);
        let counts = self.counts.entry(service).or_default();
        let _current = counts.bucket(index);
        let (requests, retries) = counts.totals();
        let allowed =
            f64::from(requests) * self.config.ratio + self.config.extra / self.instances as f64;
        if f64::from(retries) + 1.0 > allowed * USABLE_FRACTION {
            return false;
        }
        counts.bucket(index).2 += 1;
        true
    }
}
