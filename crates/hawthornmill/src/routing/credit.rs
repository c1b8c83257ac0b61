//! Part of an account's fair share that this instance sends without waiting for reports of what the others send.
//!
//! Load pattern: an account that requests many times its share enters at every instance. Its fleet-wide usage is known
//! late. If each instance sent as long as that is below a level, all of them would until their reports arrive, and again
//! each time that the usage has decayed. Instead each sends at a rate: the account's level, divided among the instances by
//! where the account's requests arrive. Usage corrects the rate, slowly enough for late reports.

use std::time::Duration;

use super::usage::{AccountUsage, DECAY_TIME};

/// Time for which unused credit is kept.
const MAX_SAVED: Duration = Duration::from_millis(500);
/// Factor by which accounts may together exceed what the servers yielded lately, so that idle capacity is found.
const GROWTH: f64 = 1.05;

/// Credit of one account at this instance, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Credit {
    tokens: f64,
}

/// What an account may use, and what it uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareOfDemand {
    /// Fair share of the account in the whole fleet, in tokens per decay time.
    pub level: f64,
    /// Usage of the account in the whole fleet, as known here.
    pub fleet: AccountUsage,
    /// Usage that arose at this instance.
    pub local: AccountUsage,
}

impl ShareOfDemand {
    /// Returns the part of the account's requests that arrive at this instance.
    fn part(&self) -> f64 {
        f64::from(self.local.requested) / f64::from(self.fleet.requested).max(1.0)
    }

    /// Returns the tokens that the account lacks to its level and that this instance may send at once.
    fn lacking(&self) -> f64 {
        (self.level - f64::from(self.fleet.served)).max(0.0) * self.part()
    }

    /// Returns the tokens per second that this instance may send: its part of the level, more while the account is below
    /// it, less while it is above.
    fn rate(&self) -> f64 {
        let level = self.level * GROWTH;
        let allowed = (level + level - f64::from(self.fleet.served)).max(0.0);
        allowed * self.part() / DECAY_TIME.as_secs_f64()
    }
}

impl Credit {
    /// Returns the credit of an account that requests more than its fair share from now on.
    pub fn new(share: &ShareOfDemand) -> Self {
        Self {
            tokens: share.lacking(),
        }
    }

    /// Adds what the account may use at this instance in `elapsed`.
    pub fn refill(&mut self, share: &ShareOfDemand, elapsed: Duration) {
        let rate = share.rate();
        let max = (rate * MAX_SAVED.as_secs_f64()).max(self.tokens);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(max);
    }

    /// Takes the cost of a request, in tokens; the last one within the share may overdraw the credit.
    pub fn charge(&mut self, cost: f64) {
        if self.is_positive() {
            self.tokens -= cost;
        }
    }

    /// Returns the tokens left; negative when the last request overdrew the credit.
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns whether the account's next request is within its share.
    pub fn is_positive(&self) -> bool {
        self.tokens > 0.0
    }
}
