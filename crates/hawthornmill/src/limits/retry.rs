//! Whether a call that failed is tried again.
//!
//! Only calls that may repeat come here, and only before any byte of an answer was passed on. A try
//! that reached no server puts no load on any, so it is bounded by [`MAX_ATTEMPTS`] and the deadline
//! alone. A try that a server may have run is paid from the service's `Budget`, which successful
//! calls fill: when everything fails, retries stop adding to the load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ident::{AccountId, ServerId, ServiceId};

/// Tries that one call may make, the first included.
pub const MAX_ATTEMPTS: u32 = 4;
/// Retries that one successful call pays for.
const RATIO: f64 = 0.1;
/// Retries that a budget holds at most.
const MOST: f64 = 20.0;
/// Retries that a budget holds at first.
const FIRST: f64 = 20.0;
/// Part of the budget, and of what fills it, that the failures of one server may use.
const PART: f64 = 0.5;
/// Pause before the first retry; each further one doubles it.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest pause.
const MOST_PAUSE: Duration = Duration::from_millis(500);

/// How a try failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made.
    Unreachable,
    /// The server may have run the call: the connection broke, or the answer can't be used.
    Broken,
    /// The server answered that it, or what stands behind it, can't serve now (502, 503, 504).
    Unavailable,
}

/// A try that failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Service that was called.
    pub service: ServiceId,
    /// Account that called.
    pub account: AccountId,
    /// Server that failed.
    pub server: ServerId,
    /// How.
    pub failure: Failure,
    /// Number of the try, from 1.
    pub attempt: u32,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// What a server's failures have used.
#[derive(Debug, Clone, Copy, Default)]
struct Used {
    retries: f64,
    /// Successes of the service when `retries` was last brought up to date.
    at: u64,
}

/// Retries that one service may still make.
#[derive(Debug, Clone)]
struct Budget {
    left: f64,
    successes: u64,
    servers: BTreeMap<ServerId, Used>,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            left: FIRST,
            successes: 0,
            servers: BTreeMap::new(),
        }
    }
}

impl Budget {
    fn succeed(&mut self) {
        self.successes += 1;
        self.left = (self.left + RATIO).min(MOST);
    }

    /// Takes one retry on account of `server`; false when there is none for it.
    fn take(&mut self, server: ServerId) -> bool {
        let successes = self.successes;
        let used = self.servers.entry(server).or_default();
        let earned = (successes - used.at) as f64 * RATIO * PART;
        used.retries = (used.retries - earned).max(0.0);
        used.at = successes;
        // A server that fails everything would use up the whole budget, and a call that another
        // server failed for once would find none; so each has only a part of it.
        if self.left < 1.0 || used.retries + 1.0 > MOST * PART {
            return false;
        }
        used.retries += 1.0;
        self.left -= 1.0;
        self.servers
            .retain(|_, u| u.retries > (successes - u.at) as f64 * RATIO * PART);
        true
    }
}

/// Failures of a server since its last answer.
#[derive(Debug, Clone, Copy)]
struct Failing {
    /// Account that met the first of them.
    first: AccountId,
    /// It is the server's fault: another account met one too, or a call that failed here was
    /// answered elsewhere.
    proved: bool,
}

/// Retry budgets of one instance, and servers that fail.
#[derive(Debug, Clone, Default)]
pub struct Retries {
    budgets: BTreeMap<ServiceId, Budget>,
    failing: BTreeMap<ServerId, Failing>,
}

impl Retries {
    /// A server has begun to answer a call that had failed at the servers `before`.
    pub fn record_success(&mut self, service: ServiceId, server: ServerId, before: &[ServerId]) {
        self.budgets.entry(service).or_default().succeed();
        self.failing.remove(&server);
        for failed in before {
            if let Some(failing) = self.failing.get_mut(failed) {
                failing.proved = true;
            }
        }
    }

    /// The pause before the next try, or none when the call is given up.
    ///
    /// `draw` lies between 0 and 1 and spreads the retries of calls that failed together.
    pub fn retry_delay(
        &mut self,
        failed: &FailedAttempt,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        if failed.attempt >= MAX_ATTEMPTS {
            return None;
        }
        let doubled = PAUSE * 2_u32.saturating_pow(failed.attempt - 1);
        let pause = doubled.min(MOST_PAUSE).mul_f64(0.5 + draw / 2.0);
        if now + pause >= failed.deadline {
            return None;
        }
        let free = failed.failure == Failure::Unreachable;
        let budget = self.budgets.entry(failed.service).or_default();
        (free || budget.take(failed.server)).then_some(pause)
    }

    /// Tells whether the owner should keep work from the server for a while.
    ///
    /// A server that fails at once frees its slots faster than any other and would draw all work to
    /// itself. But one account's calls may be what makes it fail: the others must not lose the server
    /// for that. So a server that takes connections is suspect only once two accounts have met its
    /// failures without an answer between, or a call that failed there was answered elsewhere.
    pub fn record_failure(&mut self, failed: &FailedAttempt) -> bool {
        let failing = self.failing.entry(failed.server).or_insert(Failing {
            first: failed.account,
            proved: false,
        });
        failing.proved |= failing.first != failed.account;
        failing.proved || failed.failure == Failure::Unreachable
    }

    /// Forgets services and servers that `keep` and `known` do not know.
    pub fn retain(&mut self, known: impl Fn(ServiceId) -> bool, keep: impl Fn(ServerId) -> bool) {
        self.budgets.retain(|service, _| known(*service));
        self.failing.retain(|server, _| keep(*server));
    }

    /// Retries that `service` may still make.
    pub fn remaining(&self, service: ServiceId) -> f64 {
        self.budgets.get(&service).map_or(FIRST, |b| b.left)
    }
}
