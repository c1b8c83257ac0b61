//! What operators publish for the gateway: routes, services, accounts and limits.
//!
//! The types hold data only. [`validate`] says whether a catalog may come into force.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::codes::Code;
use crate::ident::{AccountId, ServiceId};

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// Once at most, but another server may go on after the last event that the caller has.
    Resumable,
}

impl RetryPolicy {
    /// Tells whether a request that may have run can be sent again.
    pub const fn allows_retry(self) -> bool {
        !matches!(self, Self::AtMostOnce)
    }
}

/// One service among which a route's requests are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other targets of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and what is promised for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: Box<str>,
    /// Host without port, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that serve it; at least one with a weight above 0.
    pub targets: SmallVec<[Target; 2]>,
    /// How often a request may run.
    pub retry_policy: RetryPolicy,
    /// The answer is a stream of events.
    pub streaming: bool,
    /// Longest time for which a request may stay unanswered.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers are promised.
    pub objective: Duration,
    /// Rank; 0 is served first.
    pub priority: u32,
    /// Servers to which one request may be sent at most.
    pub max_attempts: u32,
    /// Needs no account.
    pub public: bool,
}

/// What the model engines of a service can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Tokens that one server's memory holds.
    pub kv_capacity: u32,
}

/// A group of servers under one name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Key by which routes and registrations name it.
    pub id: ServiceId,
    /// Name for logs.
    pub name: Box<str>,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Set where the servers are model engines.
    pub engine: Option<Engine>,
}

/// Digest of a bearer token; tokens themselves are not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Digest of `token`.
    pub fn of(token: &[u8]) -> Self {
        Self(*blake3::hash(token).as_bytes())
    }
}

/// A client account and the tokens that act for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Key in counters.
    pub id: AccountId,
    /// Name that servers are shown.
    pub name: Box<str>,
    /// Digests of its tokens.
    pub tokens: SmallVec<[TokenDigest; 2]>,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
    /// Tokens a second that all engines yield together, a token generated counted twice; 0: unknown.
    pub token_rate: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            token_rate: 0.0,
        }
    }
}

/// One published version of everything that decides where a request goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Rises with each change.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// Accounts; none where callers need no token.
    pub accounts: Vec<Account>,
    /// Bounds on callers.
    pub limits: Limits,
}

/// Checks a catalog whole.
///
/// # Errors
/// The code and the words for the first fault; nothing of the catalog may come into force then.
pub fn validate(catalog: &Catalog) -> Result<(), (Code, Box<str>)> {
    let services: BTreeSet<ServiceId> = catalog.services.iter().map(|s| s.id).collect();
    let mut seen = BTreeSet::new();
    for route in &catalog.routes {
        let name = &route.name;
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let what = format!(
                "route {name}: prefix `{}` needs a slash at both ends",
                route.prefix
            );
            return Err((Code::BadValue, what.into()));
        }
        if route.targets.iter().all(|t| t.weight == 0) {
            let what = format!("route {name} goes to no service");
            return Err((Code::BadValue, what.into()));
        }
        if let Some(target) = route
            .targets
            .iter()
            .find(|t| !services.contains(&t.service))
        {
            let what = format!(
                "route {name} names an unknown service {:x}",
                target.service.0
            );
            return Err((Code::UnknownReference, what.into()));
        }
        if !seen.insert((&route.host, &route.prefix)) {
            let what = format!("route {name}: {}{} stands twice", route.host, route.prefix);
            return Err((Code::Duplicate, what.into()));
        }
    }
    Ok(())
}
