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

/// Fraction of the budget that hedges may use, so that retries after failures always have the rest.
const HEDGE_FRACTION: f64 = 0.5;

/// Which limit a further hedge would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeLimit {
    /// The share of the requests.
    Share,
    /// The budget, or the part of it that hedges may use.
    Budget,
}

/// Requests, retries and hedges of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Counts {
    requests: u32,
    /// Requests whose first attempt got a server.
    placed: u32,
    retries: u32,
    hedges: u32,
}

/// Counts of one service within the last window, by bucket.
#[derive(Debug, Clone, Default)]
struct WindowCounts {
    buckets: VecDeque<(u64, Counts)>,
}

/// Buckets per window.
const BUCKETS: u32 = 10;

impl WindowCounts {
    fn bucket(&mut self, index: u64) -> &mut Counts {
        if self.buckets.back().is_none_or(|b| b.0 < index) {
            self.buckets.push_back((index, Counts::default()));
        }
        while self
            .buckets
            .front()
            .is_some_and(|b| b.0 + u64::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    /// Returns the counts of the window that ends with the bucket `index`.
    fn totals(&mut self, index: u64) -> Counts {
        let _current = self.bucket(index);
        let buckets = self.buckets.iter();
        buckets.fold(Counts::default(), |sum, (_, counts)| Counts {
            requests: sum.requests + counts.requests,
            placed: sum.placed + counts.placed,
            retries: sum.retries + counts.retries,
            hedges: sum.hedges + counts.hedges,
        })
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
        self.counts
            .entry(service)
            .or_default()
            .bucket(index)
            .requests += 1;
    }

    /// Records that a first attempt for `service` got a server, which gives an allowance of hedges.
    pub fn record_placed(&mut self, service: ServiceId, now: Instant) {
        let index = self.bucket_index(now);
        let counts = self.counts.entry(service).or_default().bucket(index);
        counts.placed += 1;
    }

    /// Takes one retry from the budget; returns false when none is left.
    pub fn try_acquire(&mut self, service: ServiceId, now: Instant) -> bool {
        let index = self.bucket_index(now);
        let counts = self.counts.entry(service).or_default();
        let totals = counts.totals(index);
        let allowed = allowed(&self.config, self.instances, totals.requests);
        if f64::from(totals.retries + totals.hedges) + 1.0 > allowed {
            return false;
        }
        counts.bucket(index).retries += 1;
        true
    }

    /// Returns whether one more hedge stays within `share` of the requests that got a server, and within the budget.
    ///
    /// # Errors
    /// The limit that it would exceed.
    pub fn check_hedge(
        &mut self,
        service: ServiceId,
        share: f64,
        now: Instant,
    ) -> Result<(), HedgeLimit> {
        let index = self.bucket_index(now);
        let totals = self.counts.entry(service).or_default().totals(index);
        let allowed = allowed(&self.config, self.instances, totals.requests);
        let hedges = f64::from(totals.hedges) + 1.0;
        if hedges > f64::from(totals.placed) * share {
            return Err(HedgeLimit::Share);
        }
        if hedges > allowed * HEDGE_FRACTION || hedges + f64::from(totals.retries) > allowed {
            return Err(HedgeLimit::Budget);
        }
        Ok(())
    }

    /// Takes a hedge from the budget.
    pub fn record_hedge(&mut self, service: ServiceId, now: Instant) {
        let index = self.bucket_index(now);
        let counts = self.counts.entry(service).or_default().bucket(index);
        counts.hedges += 1;
    }

    /// Returns the hedges of each service in percent of its requests within the last window.
    pub fn hedge_percent(&mut self, now: Instant) -> Vec<(ServiceId, f64)> {
        let index = self.bucket_index(now);
        let counts = self.counts.iter_mut();
        counts
            .map(|(service, counts)| {
                let totals = counts.totals(index);
                let requests = f64::from(totals.placed.max(1));
                (*service, 100.0 * f64::from(totals.hedges) / requests)
            })
            .collect()
    }
}

/// Returns the second sends that one of `instances` may make for `requests` of its own.
fn allowed(config: &RetryBudgetConfig, instances: usize, requests: u32) -> f64 {
    let all = f64::from(requests) * config.ratio + config.extra / instances as f64;
    all * USABLE_FRACTION
}
