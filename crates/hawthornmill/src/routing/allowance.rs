//! Fraction of a server's capacity that a request may use, by its account's fair-share status.
//!
//! Load pattern: a few accounts request many times their fair share. Capacity that they leave free is available to
//! other accounts without delay.

use std::time::Duration;

use super::usage::{FairShare, ShareStatus};

/// Fraction of a server's capacity that a request of each status may use.
///
/// Accounts above their fair share get what is left over. If they filled the servers, requests of other accounts would
/// find no capacity, or queue behind long prompts, before any request could be refused.
const CONTENDED_FRACTIONS: [f64; 3] = [1.0, 0.6, 0.35];
/// The same while no accounts ahead of those above their fair share have much unmet demand.
const UNCONTENDED_FRACTIONS: [f64; 3] = [1.0, 0.85, 0.6];
/// Servers that may prefill a family's long shared prefix, for a request of each status.
///
/// Each further copy takes prefill time and KV memory from all accounts.
const MAX_COPIES: [usize; 3] = [usize::MAX, 2, 1];
/// The same at most for an account that requests more than its fair share.
const MAX_LIMITED_COPIES: usize = 2;
/// Part of its fraction of the objective that a request may be expected to take, where it may not use all of it.
///
/// Expected times are those of a moment ago; with the rest, a request that goes first is still in time behind it.
const LATENCY_MARGIN: f64 = 0.7;
/// Usage ratio from which an account's capacity shrinks even without contention.
const UNCONTENDED_RATIO: f64 = 1.2;
/// Largest factor by which an account's capacity shrinks for its usage ratio.
const MAX_REDUCTION: f64 = 4.0;
/// Largest fraction for an account that requests more than its fair share; the rest is for those that request less.
const LIMITED_FRACTION: f64 = 0.9;

/// Least wait that counts as left to a prompt that takes nearly its whole objective, as a fraction of the objective.
const LEAST_WAIT: f64 = 0.2;

/// What a request may be expected to take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyLimit {
    /// Fraction of the objective; 1 for no limit.
    pub fraction: f64,
    /// The fraction bounds the wait for other work only.
    pub wait_only: bool,
}

impl LatencyLimit {
    /// The limit of a request that may use all of its objective.
    pub const NONE: Self = Self {
        fraction: 1.0,
        wait_only: false,
    };

    /// Returns the limit for an account with `share` that may use `capacity_fraction` of a server.
    ///
    /// `is_owed` tells that long prompts are owed. Accounts above their fair share use what is left over, and a long prompt
    /// that they begin delays others, so all of their time stays limited.
    pub fn new(share: FairShare, capacity_fraction: f64, is_owed: bool) -> Self {
        Self {
            fraction: latency_fraction(capacity_fraction),
            wait_only: is_owed && share.status < ShareStatus::AboveFairShare,
        }
    }

    /// Returns whether a request that takes `unloaded` on an idle server is long for its part of the `objective`.
    pub fn is_long(self, unloaded: Duration, objective: Duration) -> bool {
        self.fraction < 1.0 && unloaded > objective.mul_f64(self.fraction)
    }

    /// Returns whether a request may be expected to take `expected`, of which it takes `unloaded` on an idle server.
    ///
    /// `left` is what is left of its `objective`.
    pub fn allows(
        self,
        expected: Duration,
        unloaded: Duration,
        left: Duration,
        objective: Duration,
    ) -> bool {
        self.fraction >= 1.0 || expected <= self.time(unloaded, left, objective)
    }

    /// Returns whether the request is too long for any server, however idle.
    pub fn is_too_long(self, unloaded: Duration, objective: Duration) -> bool {
        !self.wait_only && self.is_long(unloaded, objective)
    }

    fn time(self, unloaded: Duration, left: Duration, objective: Duration) -> Duration {
        if !self.wait_only {
            return left.mul_f64(self.fraction);
        }
        let wait = left
            .saturating_sub(unloaded)
            .max(objective.mul_f64(LEAST_WAIT));
        unloaded + wait.mul_f64(self.fraction)
    }
}

/// Returns the fraction of a server's capacity for an account with `share`.
///
/// `uncontended` means that no accounts ahead of those above their fair share have much unmet demand.
pub fn capacity_fraction(share: FairShare, uncontended: bool) -> f64 {
    // Of two accounts above their fair share, the one with more usage gets less. With equal fractions, an account that
    // enters at more instances would get several times as much.
    let (fractions, reduction) = if uncontended {
        (UNCONTENDED_FRACTIONS, share.usage_ratio / UNCONTENDED_RATIO)
    } else {
        (CONTENDED_FRACTIONS, share.usage_ratio)
    };
    let most = if share.is_limited {
        LIMITED_FRACTION
    } else {
        1.0
    };
    (fractions[share.status as usize] / reduction.clamp(1.0, MAX_REDUCTION)).min(most)
}

/// Returns the fraction of the latency objective that a request may be expected to take, for its fraction of the capacity.
fn latency_fraction(capacity_fraction: f64) -> f64 {
    if capacity_fraction < 1.0 {
        capacity_fraction * LATENCY_MARGIN
    } else {
        1.0
    }
}

/// Returns the number of servers that may prefill a long shared prefix for an account with `share`.
pub fn max_prefix_copies(share: FairShare) -> usize {
    let copies = MAX_COPIES[share.status as usize];
    if share.is_limited {
        copies.min(MAX_LIMITED_COPIES)
    } else {
        copies
    }
}
