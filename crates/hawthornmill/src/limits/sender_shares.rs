//! Shares what an overloaded process can read among the accounts whose clients connect to it.
//!
//! If each new connection were closed with the same probability, an account that opens a hundred times as many connections as
//! others would have nearly all that are kept, and the others would be shut out of this instance. So what is kept is shared
//! max-min among the senders: those that open few connections lose none, and the others keep equally many.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ident::AccountId;

/// Time in which the count of a sender's connections halves.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Time after which counts decay and the level is worked out again.
const LEVEL_INTERVAL: Duration = Duration::from_millis(20);
/// Growth of the sum of all counts after which the level is worked out again.
const LEVEL_GROWTH: f64 = 1.125;
/// Count below which a sender is forgotten.
const MIN_COUNT: f64 = 0.1;

/// Who opened a connection, as far as its first bytes tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sender {
    /// The head of its request hasn't arrived.
    Unknown,
    /// The request has no token of an account.
    Anonymous,
    /// A client of this account.
    Account(AccountId),
}

/// Recent connections by sender, while the process was overloaded.
#[derive(Debug, Clone, Default)]
pub struct SenderShares {
    counts: BTreeMap<Sender, f64>,
    total: f64,
    /// Connections that each sender may keep, of those counted.
    level: f64,
    /// Sum of the counts at which the level was worked out.
    level_total: f64,
    updated: Option<Instant>,
}

impl SenderShares {
    /// Counts a connection of `sender`, and returns the probability with which it is to be closed, if `shed_ratio` of all
    /// connections are.
    pub fn record(&mut self, sender: Sender, shed_ratio: f64, now: Instant) -> f64 {
        let elapsed = self.updated.map(|at| now.saturating_duration_since(at));
        if elapsed.is_some_and(|e| e >= LEVEL_INTERVAL) {
            self.decay(elapsed.unwrap_or_default());
            self.level_total = 0.0;
        }
        if elapsed.is_none_or(|e| e >= LEVEL_INTERVAL) {
            self.updated = Some(now);
        }
        self.total += 1.0;
        let count = self.counts.entry(sender).or_default();
        *count += 1.0;
        let count = *count;
        if self.total >= self.level_total * LEVEL_GROWTH {
            self.level = self.fair_level((1.0 - shed_ratio) * self.total);
            self.level_total = self.total;
        }
        (1.0 - self.level / count).max(0.0)
    }

    fn decay(&mut self, elapsed: Duration) {
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.counts.retain(|_, count| *count >= MIN_COUNT);
        self.total = self.counts.values().sum();
    }

    /// Returns the level at which the counts, each cut at it, add up to `budget`.
    fn fair_level(&self, budget: f64) -> f64 {
        let mut counts: Vec<f64> = self.counts.values().copied().collect();
        counts.sort_unstable_by(f64::total_cmp);
        let mut left = budget;
        for (index, count) in counts.iter().enumerate() {
            let even = left / (counts.len() - index) as f64;
            if *count > even {
                return even;
            }
            left -= count;
        }
        f64::INFINITY
    }
}
