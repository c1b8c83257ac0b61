//! How many requests may be sent a second time.
//!
//! The whole fleet shares one budget for each service: over any window, a part of the requests that
//! came plus a fixed extra. No instance asks another before it sends again; each takes its own part
//! of the extra, by the greatest number of instances that it has seen, and the ratio of its own
//! requests. The sum over all instances then stays within the budget whatever each one sees.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ident::ServiceId;

/// Part of the budget that is used: windows of two observers are never cut at the same instant.
const USED_PART: f64 = 0.7;

/// The fleet's budget of second sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends besides, in any window.
    pub extra: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Events of one service within the last window, in tenths of it.
#[derive(Debug, Clone, Default)]
struct Counts {
    buckets: VecDeque<(u64, u32, u32)>,
}

/// Parts into which a window is divided for counting.
const PARTS: u32 = 10;

impl Counts {
    fn at(&mut self, part: u64) -> &mut (u64, u32, u32) {
        if self.buckets.back().is_none_or(|b| b.0 < part) {
            self.buckets.push_back((part, 0, 0));
        }
        while self
            .buckets
            .front()
            .is_some_and(|b| b.0 + u64::from(PARTS) < part)
        {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn sums(&self) -> (u32, u32) {
        let firsts = self.buckets.iter().map(|b| b.1).sum();
        (firsts, self.buckets.iter().map(|b| b.2).sum())
    }
}

/// This instance's part of the budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    terms: RetryBudgetConfig,
    start: Instant,
    sharers: usize,
    counts: BTreeMap<ServiceId, Counts>,
}

impl RetryBudget {
    /// A budget of which nothing is used.
    pub const fn new(terms: RetryBudgetConfig, now: Instant) -> Self {
        Self {
            terms,
            start: now,
            sharers: 1,
            counts: BTreeMap::new(),
        }
    }

    /// Learns how many instances share the budget; the greatest number counts.
    pub fn observe_instances(&mut self, instances: usize) {
        self.sharers = self.sharers.max(instances);
    }

    fn part(&self, now: Instant) -> u64 {
        let part = self.terms.window.as_millis() / u128::from(PARTS);
        (now.duration_since(self.start).as_millis() / part.max(1)) as u64
    }

    /// A request came for `service`.
    pub fn record_request(&mut self, service: ServiceId, now: Instant) {
        let part = self.part(now);
        self.counts.entry(service).or_default().at(part).1 += 1;
    }

    /// Takes one second send; false when there is none left.
    pub fn try_acquire(&mut self, service: ServiceId, now: Instant) -> bool {
        let part = self.part(now);
        let counts = self.counts.entry(service).or_default();
        let _current = counts.at(part);
        let (came, sent) = counts.sums();
        let allowed = f64::from(came) * self.terms.ratio + self.terms.extra / self.sharers as f64;
        if f64::from(sent) + 1.0 > allowed * USED_PART {
            return false;
        }
        counts.at(part).2 += 1;
        true
    }
}
