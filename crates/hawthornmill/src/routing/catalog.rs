//! Catalog that operators publish for the gateway: routes, services, accounts and limits.
//!
//! The types hold data only; [`validate`] checks a catalog before it comes into force.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::regions::AllowedRegions;
use crate::codes::Code;
use crate::ident::{AccountId, ServiceId};

/// Whether a request of a route may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// It runs at most once, but another server may resume the stream after the last event that the caller has.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether a request that may have run can be sent again.
    pub const fn allows_retry(self) -> bool {
        !matches!(self, Self::AtMostOnce)
    }
}

/// One of the services among which a route's requests are split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Requests of one host and path prefix: where they go, and the guarantees for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: Box<str>,
    /// Host without port, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that serve the route; at least one has a weight above 0.
    pub targets: SmallVec<[Target; 2]>,
    /// Whether a request may be sent again.
    pub retry_policy: RetryPolicy,
    /// The response is a stream of events.
    pub streaming: bool,
    /// Longest time that a request may take until its response.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events with which a stream is still on time; `None` if the catalog doesn't tell.
    ///
    /// Not a part of encoded routes, which the build before lacks it in; see [`Catalog::gap_targets`].
    #[serde(skip)]
    pub gap_target: Option<Duration>,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Maximum number of servers to which one request is sent.
    pub max_attempts: u32,
    /// Requests need no account.
    pub public: bool,
    /// Regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Capacity of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one server runs concurrently.
    pub slots: u32,
    /// Tokens that one server's KV memory holds.
    pub kv_capacity: u32,
    /// Time to copy the KV memory of a token from one server to another; zero where servers can't.
    pub copy_time: Duration,
}

/// What servers of a service bear after a start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a server is cold after a start.
    pub time: Duration,
    /// Requests per second that it bears meanwhile, from all its clients together.
    pub rate: f64,
}

/// A group of servers under one name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Key that routes and registrations refer to.
    pub id: ServiceId,
    /// Name for logs.
    pub name: Box<str>,
    /// Connections that one server accepts from all its clients together.
    pub max_connections: u32,
    /// Set where the servers are model engines.
    pub engine: Option<Engine>,
    /// Set where servers bear less after a start.
    pub cold_start: Option<ColdStart>,
}

/// Digest of a bearer token; the token itself isn't stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Hashes `token`.
    pub fn of(token: &[u8]) -> Self {
        Self(*blake3::hash(token).as_bytes())
    }
}

/// A client account and its tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Key in counters.
    pub id: AccountId,
    /// Name that is passed on to servers.
    pub name: Box<str>,
    /// Digests of its tokens.
    pub tokens: SmallVec<[TokenDigest; 2]>,
    /// Priority that overrides the route's.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served, besides the bounds of the route.
    pub allowed_regions: AllowedRegions,
}

/// Limits on callers, and the capacity of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Time that a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// Tokens per second that all engines yield together, with each generated token counted twice; 0 when unknown.
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

/// One published version of all data that decides where a request goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Increases with each change.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Accounts; empty where callers need no token.
    pub accounts: Vec<Account>,
    /// Limits on callers.
    pub limits: Limits,
}

impl Catalog {
    /// Returns the gap targets of the routes in their order, in milliseconds; 0 stands for none.
    pub fn gap_targets(&self) -> Vec<u32> {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let targets = self.routes.iter().map(|r| r.gap_target.map_or(0, ms));
        targets.collect()
    }

    /// Sets the gap targets of the routes, which their encoded form lacks.
    pub fn set_gap_targets(&mut self, targets: &[u32]) {
        for (route, ms) in self.routes.iter_mut().zip(targets) {
            let target = Duration::from_millis((*ms).into());
            route.gap_target = Some(target).filter(|t| !t.is_zero());
        }
    }
}

/// Validates a whole catalog.
///
/// # Errors
/// Returns the code and the text of the first fault; no part of the catalog may come into force then.
pub fn validate(catalog: &Catalog) -> Result<(), (Code, Box<str>)> {
    let faults = faults(catalog, |service| format!("{:x}", service.0).into());
    faults.into_iter().next().map_or(Ok(()), Err)
}

/// Returns the code and the text of each fault for which the catalog is refused; `name_of` returns the name of a service
/// that the catalog doesn't define.
pub fn faults(catalog: &Catalog, name_of: impl Fn(ServiceId) -> Box<str>) -> Vec<(Code, Box<str>)> {
    let services: BTreeSet<ServiceId> = catalog.services.iter().map(|s| s.id).collect();
    let mut seen = BTreeSet::new();
    let mut faults = Vec::new();
    let mut report = |code: Code, what: String| faults.push((code, what.into()));
    for route in &catalog.routes {
        let (name, prefix) = (&route.name, &route.prefix);
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let what = format!("route {name}: prefix `{prefix}` must begin and end with a slash");
            report(Code::BadValue, what);
        }
        if route.targets.iter().all(|t| t.weight == 0) {
            let what = format!("route {name} has no target with a weight above 0");
            report(Code::BadValue, what);
        }
        let is_unknown = |t: &&Target| !services.contains(&t.service);
        for target in route.targets.iter().filter(is_unknown) {
            let service = name_of(target.service);
            let what = format!("route {name} names an unknown service {service}");
            report(Code::UnknownReference, what);
        }
        if !seen.insert((&route.host, prefix)) {
            let host = &route.host;
            let what = format!("route {name}: duplicate host and prefix {host}{prefix}");
            report(Code::Duplicate, what);
        }
    }
    faults
}
