//! Retries of failed calls.
//!
//! Only idempotent calls are retried, and only before any byte of a response was forwarded. An
//! attempt that reached no server adds no load, so only [`MAX_ATTEMPTS`] and the deadline bound it.
//! An attempt that a server may have run is taken from the service's retry `Budget`, which
//! successful calls refill: during an outage, retries stop adding to the load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ident::{AccountId, ServerId, ServiceId};

/// Attempts of one call, including the first.
pub const MAX_ATTEMPTS: u32 = 4;
/// Retries that one successful call adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Largest retry budget.
const MAX_BUDGET: f64 = 20.0;
/// Initial retry budget.
const INITIAL_BUDGET: f64 = 20.0;
/// Fraction of the budget, and of its refill, that the failures of one server may use.
const MAX_SERVER_FRACTION: f64 = 0.5;
/// Delay before the first retry; it doubles with each further one.
const INITIAL_DELAY: Duration = Duration::from_millis(20);
/// Longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made.
    Unreachable,
    /// The server may have run the call: the connection broke, or the response is invalid.
    Broken,
    /// The server responded that it or its upstream is unavailable (502, 503, 504).
    Unavailable,
}

/// A failed attempt of a call.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// The service called.
    pub service: ServiceId,
    /// The account of the caller.
    pub account: AccountId,
    /// The server that failed.
    pub server: ServerId,
    /// How it failed.
    pub failure: Failure,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Retries that the failures of one server have used.
#[derive(Debug, Clone, Copy, Default)]
struct ServerUsage {
    retries: f64,
    /// Successes of the service when `retries` was last updated.
    at_successes: u64,
}

/// Retry budget of one service.
#[derive(Debug, Clone)]
struct Budget {
    remaining: f64,
    successes: u64,
    servers: BTreeMap<ServerId, ServerUsage>,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            remaining: INITIAL_BUDGET,
            successes: 0,
            servers: BTreeMap::new(),
        }
    }
}

impl Budget {
    fn record_success(&mut self) {
        self.successes += 1;
        self.remaining = (self.remaining + RETRIES_PER_SUCCESS).min(MAX_BUDGET);
    }

    /// Takes one retry after a failure of `server`; returns false if none is left for it.
    fn try_take(&mut self, server: ServerId) -> bool {
        let successes = self.successes;
        let usage = self.servers.entry(server).or_default();
        let earned =
            (successes - usage.at_successes) as f64 * RETRIES_PER_SUCCESS * MAX_SERVER_FRACTION;
        usage.retries = (usage.retries - earned).max(0.0);
        usage.at_successes = successes;
        // Without a bound per server, one that fails every call would use up the whole budget and
        // leave none for the occasional failure of another.
        if self.remaining < 1.0 || usage.retries + 1.0 > MAX_BUDGET * MAX_SERVER_FRACTION {
            return false;
        }
        usage.retries += 1.0;
        self.remaining -= 1.0;
        self.servers.retain(|_, u| {
            u.retries
                > (successes - u.at_successes) as f64 * RETRIES_PER_SUCCESS * MAX_SERVER_FRACTION
        });
        true
    }
}

/// Failures of a server since its last successful response.
#[derive(Debug, Clone, Copy)]
struct FailingServer {
    /// Account whose call failed first.
    first_account: AccountId,
    /// The server is at fault: calls of a second account failed too, or a call that failed here
    /// succeeded on another server.
    at_fault: bool,
}

/// Retry budgets of one instance, and its failing servers.
#[derive(Debug, Clone, Default)]
pub struct Retries {
    budgets: BTreeMap<ServiceId, Budget>,
    failing: BTreeMap<ServerId, FailingServer>,
}

impl Retries {
    /// Records that `server` began to respond to a call that had failed on `failed_servers`.
    pub fn record_success(
        &mut self,
        service: ServiceId,
        server: ServerId,
        failed_servers: &[ServerId],
    ) {
        self.budgets.entry(service).or_default().record_success();
        self.failing.remove(&server);
        for failed in failed_servers {
            if let Some(failing) = self.failing.get_mut(failed) {
                failing.at_fault = true;
            }
        }
    }

    /// Delay before the next attempt, or `None` if the call must not be retried.
    ///
    /// `draw` is a random number between 0 and 1 that spreads retries of calls that failed together.
    pub fn retry_delay(
        &mut self,
        failed: &FailedAttempt,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        if failed.attempt >= MAX_ATTEMPTS {
            return None;
        }
        let doubled = INITIAL_DELAY * 2_u32.saturating_pow(failed.attempt - 1);
        let delay = doubled.min(MAX_DELAY).mul_f64(0.5 + draw / 2.0);
        if now + delay >= failed.deadline {
            return None;
        }
        let free = failed.failure == Failure::Unreachable;
        let budget = self.budgets.entry(failed.service).or_default();
        (free || budget.try_take(failed.server)).then_some(delay)
    }

    /// Records a failure; returns true if the owner should keep work from the server for a while.
    ///
    /// A server that fails immediately frees its slots faster than any other and would attract all
    /// work. But the calls of one account may be what makes it fail, and the other accounts must not
    /// lose the server for that. So a reachable server is at fault only once calls of two accounts
    /// have failed with no success in between, or a call that failed there succeeded elsewhere.
    pub fn record_failure(&mut self, failed: &FailedAttempt) -> bool {
        let failing = self.failing.entry(failed.server).or_insert(FailingServer {
            first_account: failed.account,
            at_fault: false,
        });
        failing.at_fault |= failing.first_account != failed.account;
        failing.at_fault || failed.failure == Failure::Unreachable
    }

    /// Removes all services and servers for which the predicates return false.
    pub fn retain(
        &mut self,
        keep_service: impl Fn(ServiceId) -> bool,
        keep_server: impl Fn(ServerId) -> bool,
    ) {
        self.budgets.retain(|service, _| keep_service(*service));
        self.failing.retain(|server, _| keep_server(*server));
    }

    /// Remaining retry budget of `service`.
    pub fn remaining(&self, service: ServiceId) -> f64 {
        self.budgets
            .get(&service)
            .map_or(INITIAL_BUDGET, |b| b.remaining)
    }
}
